// Package router decides for each packet which back end its flow goes to.
//
// The traffic goroutines call Router.Decide. It reads an immutable View and the
// flow table of the node, and takes no lock but those of the table. The control
// goroutine publishes a new View with SetView. A decision has one of four
// actions: forward, look the flow up at the keepers, refuse (new flows only), or
// drop. A drop does no harm to a flow, since TCP retransmits the packet; a
// forward to the wrong back end would break the flow. So whenever the node
// cannot know the back end, it looks the flow up or drops the packet.
package router

import (
	"sync/atomic"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Action is what to do with a packet.
type Action uint8

const (
	// ActionForward sends the packet to the back end of the decision.
	ActionForward Action = iota
	// ActionLookup buffers the packet and looks the flow up at the keepers.
	ActionLookup
	// ActionRefuse responds to a SYN with a RST: the flow is not opened.
	ActionRefuse
	// ActionDrop drops the packet.
	ActionDrop
)

// Path is the way in which a decision was reached.
type Path uint8

const (
	// PathLocal means that the flow table of the node has an entry.
	PathLocal Path = iota
	// PathSettled means that the settled rule decided.
	PathSettled
	// PathPending means that the pending rule decided.
	PathPending
	// PathKeeper means that a record or binding of a keeper decided.
	PathKeeper
	// PathRefusedOverload means that the flow table is nearly full.
	PathRefusedOverload
	// PathRefusedNoBackend means that no back end accepts new flows.
	PathRefusedNoBackend
	// PathRefusedNoService means that no service has the destination address.
	PathRefusedNoService
	// PathDroppedNoContact means that the node has no contact with its group.
	PathDroppedNoContact
	// PathDroppedNotReady means that the node has no agreed state yet, or that
	// the service is not in force yet.
	PathDroppedNotReady
	// PathDroppedKeepers means that the keepers did not respond in time.
	PathDroppedKeepers
	// PathDroppedRejoin means that a node that was isolated from its group is
	// recording its flows.
	PathDroppedRejoin
	// PathCount is the number of paths.
	PathCount
)

var pathNames = [PathCount]string{
	"local", "settled", "pending", "keeper", "refused_overload",
	"refused_no_backend", "refused_no_service", "dropped_no_contact",
	"dropped_not_ready", "dropped_keepers", "dropped_rejoin",
}

// String returns the name of the path as used in metrics and explanations.
func (path Path) String() string {
	if path < PathCount {
		return pathNames[path]
	}
	return "unknown"
}

// PacketFlags holds the TCP flags that the router needs.
type PacketFlags uint8

const (
	// PacketOpens is set on a SYN without ACK.
	PacketOpens PacketFlags = 1 << iota
	// PacketCloses is set on a FIN or RST.
	PacketCloses
)

// Decision is the result of Router.Decide.
type Decision struct {
	Action  Action
	Path    Path
	Backend uint32
	// Proposal and Bind are the parameters of the lookup for ActionLookup. If the
	// keepers have no record, they bind the flow to the proposal if Bind is set;
	// otherwise they only read, and the proposal is the result.
	Proposal uint32
	Bind     bool
	// IsSYN is set if the lookup is for a SYN.
	IsSYN bool
}

const (
	// refuseFillPercent is the fill level of the table at which SYNs are refused,
	// so that there is always space for open flows.
	refuseFillPercent = 95
	// portReuseTime is the time in milliseconds for which a closed flow, or a flow
	// of a leaving back end, must have been idle before a SYN counts as a new flow
	// on the same ports.
	portReuseTime = 30_000
)

// Router decides packets by a View and a flow table. It is safe for concurrent
// use.
type Router struct {
	table *flowtable.Table
	view  atomic.Pointer[View]
	// contactLeaseEnd is the end of the contact lease, in milliseconds since the
	// node started. The view may be trusted until then; see package core.
	contactLeaseEnd atomic.Uint32
	// serveIsolated lets the node decide by its rule after contactLeaseEnd.
	serveIsolated atomic.Bool
}

// New returns a router without a view. It drops all packets until SetView is
// called.
func New(table *flowtable.Table) *Router {
	return &Router{table: table}
}

// SetView publishes a view that Compile has prepared.
func (router *Router) SetView(view *View) { router.view.Store(view) }

// View returns the view in use, or nil.
func (router *Router) View() *View { return router.view.Load() }

// SetContact sets the end of the contact lease, in milliseconds since the node
// started, and whether the node decides by its rule after that.
func (router *Router) SetContact(contactLeaseEnd uint32, serveIsolated bool) {
	router.contactLeaseEnd.Store(contactLeaseEnd)
	router.serveIsolated.Store(serveIsolated)
}

// HasContact reports whether the contact lease holds at now, so that the view may
// be trusted.
func (router *Router) HasContact(now uint32) bool { return now <= router.contactLeaseEnd.Load() }

// Table returns the flow table of the router.
func (router *Router) Table() *flowtable.Table { return router.table }

// Decide returns the decision for one packet at now, in milliseconds since the
// node started. It does not allocate.
func (router *Router) Decide(now uint32, key flow.Key, hash uint64, flags PacketFlags) Decision {
	view := router.view.Load()
	if view == nil {
		return Decision{Action: ActionDrop, Path: PathDroppedNotReady}
	}
	observed := entryFlags(flags)
	if flags&PacketOpens != 0 {
		if !router.HasContact(now) && !router.serveIsolated.Load() {
			return Decision{Action: ActionDrop, Path: PathDroppedNoContact}
		}
		if entry, found := router.table.Get(key, hash); found && reusesPorts(view, entry, now) {
			router.table.Delete(key, hash)
		}
	}
	if entry, found := router.table.Touch(key, hash, now, observed); found {
		return Decision{Action: ActionForward, Path: PathLocal, Backend: entry.Backend}
	}
	return router.decideUnknownFlow(view, now, key, hash, flags)
}

// entryFlags returns the flags that a packet sets in the entry of its flow.
func entryFlags(flags PacketFlags) flowtable.Flags {
	var result flowtable.Flags
	if flags&PacketCloses != 0 {
		result |= flowtable.FlagClosed
	}
	if flags&PacketOpens == 0 {
		result |= flowtable.FlagEstablished
	}
	return result
}

// reusesPorts reports whether a SYN that matches an existing entry opens a new
// flow on the same ports.
func reusesPorts(view *View, entry flowtable.Entry, now uint32) bool {
	if now-entry.LastSeen < portReuseTime {
		return false
	}
	return entry.Flags&flowtable.FlagClosed != 0 || view.Leaving[entry.Backend]
}

// decideUnknownFlow decides a packet whose flow has no entry in the table.
func (router *Router) decideUnknownFlow(view *View, now uint32, key flow.Key, hash uint64, flags PacketFlags) Decision {
	service := view.services[key.Address()]
	opens := flags&PacketOpens != 0
	if service == nil || service.fallback == nil {
		if opens {
			return Decision{Action: ActionRefuse, Path: PathRefusedNoService}
		}
		return Decision{Action: ActionDrop, Path: PathRefusedNoService}
	}
	if !router.HasContact(now) && !router.serveIsolated.Load() {
		return Decision{Action: ActionDrop, Path: PathDroppedNoContact}
	}
	if opens && service.notInForce {
		return Decision{Action: ActionDrop, Path: PathDroppedNotReady}
	}
	if opens && router.table.Full(hash, refuseFillPercent) {
		return Decision{Action: ActionRefuse, Path: PathRefusedOverload}
	}
	if !opens && view.DropUnknownFlows {
		return Decision{Action: ActionDrop, Path: PathDroppedRejoin}
	}
	result := service.choose(hash)
	if opens && result.proposal == rule.NoBackend {
		return Decision{Action: ActionRefuse, Path: PathRefusedNoBackend}
	}
	if result.ambiguous {
		proposal := result.fallback
		if opens {
			proposal = result.proposal
		}
		return Decision{Action: ActionLookup, Path: PathKeeper, Proposal: proposal, Bind: true, IsSYN: opens}
	}
	if view.mayHaveRecord(key, hash) {
		return Decision{Action: ActionLookup, Path: PathKeeper, Proposal: result.fallback, IsSYN: opens}
	}
	if result.fallback == rule.NoBackend {
		return Decision{Action: ActionDrop, Path: PathRefusedNoBackend}
	}
	router.InsertFlow(now, key, hash, result.fallback, flags)
	path := PathSettled
	if view.Phase == PhaseFlipped {
		path = PathPending
	}
	return Decision{Action: ActionForward, Path: path, Backend: result.fallback}
}

// InsertFlow adds a flow to the table after a decision. If the table is full, the
// flow is not added, and its next packet is decided again, with the same result.
func (router *Router) InsertFlow(now uint32, key flow.Key, hash uint64, backend uint32, flags PacketFlags) {
	entry := flowtable.Entry{Backend: backend, Opened: now, LastSeen: now, Flags: entryFlags(flags)}
	if flags&PacketOpens != 0 {
		entry.Flags |= flowtable.FlagOpenedHere
	}
	router.table.Put(key, hash, entry)
}
