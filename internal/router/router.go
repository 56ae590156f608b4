// Package router decides, packet by packet, which back end a flow goes to.
//
// Decide is called by the traffic goroutines. It reads an immutable View and
// the node's flow table and takes no other lock. It yields one of four
// actions: forward, ask the keepers, refuse (a new flow only), or drop. A drop
// is harmless to a flow, since TCP sends the packet again; a wrong forward
// would break it. So whenever the node cannot know, it asks or drops.
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
	// ActionForward sends the packet to the verdict's back end.
	ActionForward Action = iota
	// ActionLookup parks the packet and asks the keepers.
	ActionLookup
	// ActionRefuse answers a SYN with a RST: the flow was not opened.
	ActionRefuse
	// ActionDrop drops the packet.
	ActionDrop
)

// Path is how a decision was reached.
type Path uint8

const (
	// PathLocal: the node's own entry.
	PathLocal Path = iota
	// PathSettled: the settled rule.
	PathSettled
	// PathPending: the pending rule.
	PathPending
	// PathKeeper: a keeper's record or binding.
	PathKeeper
	// PathRefusedOverload: the flow table is nearly full.
	PathRefusedOverload
	// PathRefusedNoBackend: no back end takes new flows.
	PathRefusedNoBackend
	// PathRefusedNoService: no service has the address.
	PathRefusedNoService
	// PathDroppedNoContact: the node is out of contact with its group.
	PathDroppedNoContact
	// PathDroppedNotReady: the node has no agreed state yet, or the service is
	// not in force yet.
	PathDroppedNotReady
	// PathDroppedKeepers: the keepers did not answer in time.
	PathDroppedKeepers
	// PathDroppedRejoin: a node that was cut off is recording its flows.
	PathDroppedRejoin
	// PathCount is the number of paths.
	PathCount
)

var pathNames = [PathCount]string{
	"local", "settled", "pending", "keeper", "refused_overload",
	"refused_no_backend", "refused_no_service", "dropped_no_contact",
	"dropped_not_ready", "dropped_keepers", "dropped_rejoin",
}

// String names the path, as in metrics and explanations.
func (path Path) String() string {
	if path < PathCount {
		return pathNames[path]
	}
	return "unknown"
}

// PacketFlags are the TCP flags that matter here.
type PacketFlags uint8

const (
	// PacketOpens is set on a SYN without ACK.
	PacketOpens PacketFlags = 1 << iota
	// PacketCloses is set on a FIN or RST.
	PacketCloses
)

// Decision is the outcome of a decision.
type Decision struct {
	Action  Action
	Path    Path
	Backend uint32
	// Proposal and Bind are the question to the keepers for ActionLookup: bind
	// the proposal if there is no record, or only look.
	Proposal uint32
	Bind     bool
	// Opens is set when the question is about a SYN.
	Opens bool
}

const (
	// refuseFillPercent is the fill of the table at which SYNs are refused, so
	// that open flows always find room.
	refuseFillPercent = 95
	// portReuseTime is how long, in milliseconds, a closed or leaving flow must
	// have been silent before a SYN counts as a new flow on the same ports.
	portReuseTime = 30_000
)

// Router is safe for use by many goroutines.
type Router struct {
	table *flowtable.Table
	view  atomic.Pointer[View]
	// contactLeaseEnd is the time in milliseconds since the node's start until
	// which the view may be trusted; see core's contact lease.
	contactLeaseEnd atomic.Uint32
	// serveIsolated lets the node decide by its rule after contactLeaseEnd.
	serveIsolated atomic.Bool
}

// New makes a router without a view; it drops everything until SetView.
func New(table *flowtable.Table) *Router {
	return &Router{table: table}
}

// SetView publishes a compiled view.
func (router *Router) SetView(view *View) { router.view.Store(view) }

// View returns the view in use, or nil.
func (router *Router) View() *View { return router.view.Load() }

// SetContact sets until when the view may be trusted, in milliseconds since
// the node's start, and whether the node serves by its rule after that.
func (router *Router) SetContact(freshUntil uint32, serveIsolated bool) {
	router.contactLeaseEnd.Store(freshUntil)
	router.serveIsolated.Store(serveIsolated)
}

// HasContact reports whether the view may be trusted at now.
func (router *Router) HasContact(now uint32) bool { return now <= router.contactLeaseEnd.Load() }

// Table returns the flow table.
func (router *Router) Table() *flowtable.Table { return router.table }

// Decide decides one packet at now, in milliseconds since the node's start. It
// does not allocate.
func (router *Router) Decide(now uint32, key flow.Key, hash uint64, flags PacketFlags) Decision {
	view := router.view.Load()
	if view == nil {
		return Decision{Action: ActionDrop, Path: PathDroppedNotReady}
	}
	mark := entryFlags(flags)
	if flags&PacketOpens != 0 {
		if !router.HasContact(now) && !router.serveIsolated.Load() {
			return Decision{Action: ActionDrop, Path: PathDroppedNoContact}
		}
		if entry, found := router.table.Get(key, hash); found && reusesPorts(view, entry, now) {
			router.table.Delete(key, hash)
		}
	}
	if entry, found := router.table.Touch(key, hash, now, mark); found {
		return Decision{Action: ActionForward, Path: PathLocal, Backend: entry.Backend}
	}
	return router.decideUnknownFlow(view, now, key, hash, flags)
}

// entryFlags gives what a packet shows of its flow.
func entryFlags(flags PacketFlags) flowtable.Flags {
	var mark flowtable.Flags
	if flags&PacketCloses != 0 {
		mark |= flowtable.FlagClosed
	}
	if flags&PacketOpens == 0 {
		mark |= flowtable.FlagEstablished
	}
	return mark
}

// reusesPorts reports whether a SYN on an existing entry opens a new flow.
func reusesPorts(view *View, entry flowtable.Entry, now uint32) bool {
	if now-entry.LastSeen < portReuseTime {
		return false
	}
	return entry.Flags&flowtable.FlagClosed != 0 || view.Leaving[entry.Backend]
}

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
		return Decision{Action: ActionLookup, Path: PathKeeper, Proposal: proposal, Bind: true, Opens: opens}
	}
	if view.mayHaveRecord(key, hash) {
		return Decision{Action: ActionLookup, Path: PathKeeper, Proposal: result.fallback, Opens: opens}
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

// InsertFlow enters a flow in the table after a decision. A full table leaves the
// flow out; its next packet is decided anew, with the same outcome.
func (router *Router) InsertFlow(now uint32, key flow.Key, hash uint64, backend uint32, flags PacketFlags) {
	entry := flowtable.Entry{Backend: backend, Opened: now, LastSeen: now, Flags: entryFlags(flags)}
	if flags&PacketOpens != 0 {
		entry.Flags |= flowtable.FlagOpenedHere
	}
	router.table.Put(key, hash, entry)
}
