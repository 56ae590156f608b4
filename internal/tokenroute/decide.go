package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// Packet is the part of a packet that a decision depends on.
type Packet struct {
	Key flow.Key
	// First is set on the packet that opens a flow.
	First bool
	// Retransmission is set on retransmissions of a first packet.
	Retransmission bool
	Token          Token
	// Sequence, Acknowledged and Length describe the packet's data.
	Sequence, Acknowledged uint32
	Length                 uint16
	// Closing is set on packets that end their flow.
	Closing bool
	// Waited is how long the packet waited here to be read.
	Waited time.Duration
}

// segment returns the numbers that tell the packet's flow from others with the same key.
func (p Packet) segment() flow.Segment {
	return flow.Segment{SYN: p.First, Closes: p.Closing, Sequence: p.Sequence, Acknowledged: p.Acknowledged, Length: uint32(p.Length)}
}

const (
	// openingTimeout is how long after the first packet a client gives up the opening of a flow
	// that was not answered.
	openingTimeout = 1400 * time.Millisecond
	// firstCopyDelay is how long after the first packet clients retransmit it first.
	firstCopyDelay = 200 * time.Millisecond
)

// openingEnded reports whether the opening of the flow had ended when this first packet was read:
// its client has opened the flow through another balancer, or given it up. An answer of another
// back end would change the token of an open flow.
func (p Packet) openingEnded() bool {
	left := openingTimeout
	if p.Retransmission {
		left -= firstCopyDelay
	}
	return p.Waited >= left
}

// Verdict is what is done with a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward sends the packet to the back end.
	Forward Verdict = iota
	// Refuse tells the client at once that the flow can't be served.
	Refuse
	// Drop discards the packet silently; its sender retransmits it.
	Drop
)

// Reason is why a verdict was given.
type Reason uint8

// The reasons.
const (
	ReasonToken Reason = iota
	// ReasonOpenedElsewhere means that the flow was opened by a back end other than the one that its
	// token names, and stays with the one that opened it.
	ReasonOpenedElsewhere
	ReasonNewFlow
	ReasonNoTable
	ReasonNoRoute
	ReasonNoBackend
	ReasonUnknownToken
	ReasonMisroutedToken
	ReasonDeadBackend
	// ReasonEvacuated means that all back ends that could take the flow are in evacuated zones.
	ReasonEvacuated
	// ReasonCold means that only cold back ends are left, and they can take no more new flows now.
	ReasonCold
	// ReasonNoCapacity means that the pool is short of capacity and the flow is among those selected
	// for refusal.
	ReasonNoCapacity
	// ReasonRestarted means that the back end has restarted since the flow was opened, and holds no
	// flows from before.
	ReasonRestarted
	// ReasonLate means that the opening of the flow had ended when its first packet was read, or that
	// the flow was followed by another one with the same key.
	ReasonLate
	reasonCount
)

var reasonNames = [reasonCount]string{
	"token", "kept", "new_flow", "no_table", "no_route", "no_backend", "unknown_token", "foreign_token", "dead_backend",
	"evacuated", "cold_backend", "no_room", "restarted_backend", "late",
}

// String returns the name of the reason that logs and metrics use.
func (r Reason) String() string { return reasonNames[r] }

// ReasonCount is the number of reasons, for arrays of counters.
const ReasonCount = int(reasonCount)

// Decision is the verdict on one packet, and the reason for it.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Backend *Backend
	// Refusal is the refusal that applied if the pool is short of capacity, or else nil.
	Refusal *admission.Refusal
}

// Decide decides on one packet using a table, which may be nil while no routes are known. An open
// flow is refused only if its own back end is known to be dead: another balancer may know an open
// flow that this one does not.
func (f *Flows) Decide(table *Table, packet Packet, now time.Time) Decision {
	if table == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoTable}
	}
	f.SetTable(table, now)
	if !f.disabled.Has(mechanism.RestedFlows) {
		f.flowCache.idleTimeout = table.IdleTimeout
	}
	route := table.Route(packet.Key.Address())
	if packet.First {
		return f.decideFirst(route, packet, now)
	}
	if route == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoRoute}
	}
	backend := table.Resolve(route, packet.Token)
	if backend == nil && table.KnowsToken(packet.Token) {
		return Decision{Verdict: Drop, Reason: ReasonMisroutedToken}
	}
	if backend == nil {
		return Decision{Verdict: Drop, Reason: ReasonUnknownToken}
	}
	f.rotate(now)
	state, former := f.flowCache.match(packet, now)
	if former {
		return Decision{Verdict: Forward, Reason: ReasonToken, Backend: backend}
	}
	chosen := f.backendFor(state, backend, now)
	if f.observe(packet, state, chosen, now) {
		return Decision{Verdict: Refuse, Reason: ReasonDeadBackend, Backend: chosen}
	}
	if chosen != backend {
		return Decision{Verdict: Forward, Reason: ReasonOpenedElsewhere, Backend: chosen}
	}
	return Decision{Verdict: Forward, Reason: ReasonToken, Backend: backend}
}

// observe processes a later packet of a flow that goes to a back end, and reports whether the back
// end counts as dead for this flow.
func (f *Flows) observe(packet Packet, state *flowState, backend *Backend, now time.Time) bool {
	if packet.Closing {
		f.close(packet, state, now)
		return false
	}
	if state == nil && packet.Length > 0 {
		state = f.flowCache.add(packet.Key)
		state.numbers.Add(packet.segment())
	}
	if state != nil && state.numbers.Ended() {
		// An acknowledgement of the back end's own end still shows that it lives.
		return packet.Length == 0 && f.failureDetector.Observe(packet, nil, backend, now)
	}
	if state != nil {
		state.attach(f.loadFor(backend), now)
	}
	return f.failureDetector.Observe(packet, state, backend, now)
}

// close processes the packet that ends a flow. The flow is still remembered, so that packets of it
// that follow are told from those of the next flow with the same key.
func (f *Flows) close(packet Packet, state *flowState, now time.Time) {
	if state == nil {
		return
	}
	state.countResponseLength(packet.Key.Address(), packet.Acknowledged)
	state.detach(now)
}

func (f *Flows) decideFirst(route *Route, packet Packet, now time.Time) Decision {
	if packet.openingEnded() || f.flowCache.opensFormer(packet) {
		return Decision{Verdict: Drop, Reason: ReasonLate}
	}
	if route == nil {
		return Decision{Verdict: Refuse, Reason: ReasonNoRoute}
	}
	if refusal := f.refusalFor(route, packet); refusal != nil {
		f.CountRefusal(refusal.Pool)
		return Decision{Verdict: Refuse, Reason: ReasonNoCapacity, Refusal: refusal}
	}
	chosen := f.chooseForFirst(route, packet, now)
	if chosen == nil {
		ended := func(backend *Backend) bool { return f.table.ended(backend, now) }
		return Decision{Verdict: Refuse, Reason: route.refusalReason(packet.Key.Hash(), ended)}
	}
	return Decision{Verdict: Forward, Reason: ReasonNewFlow, Backend: chosen}
}
