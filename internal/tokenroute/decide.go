package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// Packet is what a decision needs to know of a packet.
type Packet struct {
	Key flow.Key
	// First is set on the packet that opens a flow.
	First bool
	// Retransmission is set on repetitions of a first packet.
	Retransmission bool
	Token          Token
	// Sequence, Acknowledged and Length are those of the packet's data.
	Sequence, Acknowledged uint32
	Length                 uint16
	// Closing is set on packets that end their flow.
	Closing bool
}

// Verdict is what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward: the packet goes to the back end.
	Forward Verdict = iota
	// Refuse: the client is told at once that the flow can't be served.
	Refuse
	// Drop: the packet is dropped without a word; its sender repeats it.
	Drop
)

// Reason is why a verdict was given.
type Reason uint8

// The reasons.
const (
	ReasonToken Reason = iota
	ReasonOpenedElsewhere
	ReasonNewFlow
	ReasonNoTable
	ReasonNoRoute
	ReasonNoBackend
	ReasonUnknownToken
	ReasonForeignToken
	ReasonDeadBackend
	// ReasonEvacuated: all back ends that could take the flow are in evacuated zones.
	ReasonEvacuated
	// ReasonCold: only cold back ends are left, and they bear no more now.
	ReasonCold
	// ReasonNoCapacity: the pool is short of room, and the flow was drawn to give way.
	ReasonNoCapacity
	// ReasonRestarted: the back end has started again since the flow was opened, and
	// holds none from before.
	ReasonRestarted
	reasonCount
)

var reasonNames = [reasonCount]string{
	"token", "kept", "new_flow", "no_table", "no_route", "no_backend", "unknown_token", "foreign_token", "dead_backend",
	"evacuated", "cold_backend", "no_room", "restarted_backend",
}

// String names the reason as logs and metrics do.
func (r Reason) String() string { return reasonNames[r] }

// ReasonCount is the number of reasons, for counters.
const ReasonCount = int(reasonCount)

// Decision is the verdict on one packet.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Backend *Backend
	// Refusal is that by which the flow was refused for want of room.
	Refusal *admission.Refusal
}

// Decide decides one packet by a table, which may be nil while nothing is
// known. An open flow is refused only when its own back end is known to be
// dead: what one balancer does not know of an open flow, another one may.
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
	named := table.Resolve(route, packet.Token)
	if named == nil && table.KnowsToken(packet.Token) {
		return Decision{Verdict: Drop, Reason: ReasonForeignToken}
	}
	if named == nil {
		return Decision{Verdict: Drop, Reason: ReasonUnknownToken}
	}
	f.rotate(now)
	state := f.flowCache.find(packet.Key)
	chosen := f.backendFor(state, named, now)
	if f.observe(packet, state, chosen, now) {
		return Decision{Verdict: Refuse, Reason: ReasonDeadBackend, Backend: chosen}
	}
	if chosen != named {
		return Decision{Verdict: Forward, Reason: ReasonOpenedElsewhere, Backend: chosen}
	}
	return Decision{Verdict: Forward, Reason: ReasonToken, Backend: named}
}

// observe takes a later packet of a flow that goes to a back end, and tells
// whether the back end counts as dead for it.
func (f *Flows) observe(packet Packet, state *flowState, backend *Backend, now time.Time) bool {
	var seenAt time.Time
	if state == nil && (packet.Length > 0 || packet.Closing) {
		seenAt = f.flowCache.removeIdle(packet.Key, backend.Incarnation())
	}
	if packet.Closing {
		f.close(packet, state, now)
		return false
	}
	if state == nil && packet.Length > 0 {
		state = f.flowCache.add(packet.Key)
		state.firstRequestAt = seenAt
	}
	if state != nil {
		state.attach(f.loadFor(backend), now)
	}
	return f.failureDetector.Observe(packet, state, backend, now)
}

// close takes the packet that ends a flow. Who opened a contested flow is still
// remembered, for packets that come after it.
func (f *Flows) close(packet Packet, state *flowState, now time.Time) {
	if state == nil {
		return
	}
	state.countResponseLength(packet.Key.Address(), packet.Acknowledged)
	if state.opening.count > 1 {
		state.detach(now)
		return
	}
	f.flowCache.forget(packet.Key, state, now)
}

func (f *Flows) decideFirst(route *Route, packet Packet, now time.Time) Decision {
	if route == nil {
		return Decision{Verdict: Refuse, Reason: ReasonNoRoute}
	}
	if level := f.refusalFor(route, packet); level != nil {
		f.CountRefusal(level.Pool)
		return Decision{Verdict: Refuse, Reason: ReasonNoCapacity, Refusal: level}
	}
	chosen := f.ChooseForFirst(route, packet.Key, now)
	if chosen == nil {
		return Decision{Verdict: Refuse, Reason: route.refusalReason(packet.Key.Hash())}
	}
	return Decision{Verdict: Forward, Reason: ReasonNewFlow, Backend: chosen}
}
