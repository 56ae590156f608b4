package tokenroute

import (
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

// SetRefusals sets the refusals of new flows to pools that are short of capacity; nil refuses none.
// It may be called by any goroutine.
func (f *Flows) SetRefusals(refusals *admission.Refusals) { f.refusals.Store(refusals) }

// Refusals returns the refusals in force.
func (f *Flows) Refusals() *admission.Refusals { return f.refusals.Load() }

// refusalFor returns the refusal that applies to the first packet of a flow, or nil. A
// retransmission is never refused: this or another balancer may have forwarded an earlier copy, and
// a refusal would tell the client that a flow was not opened that may have been.
func (f *Flows) refusalFor(route *Route, packet Packet) *admission.Refusal {
	refusals := f.refusals.Load()
	if refusals == nil || packet.Retransmission {
		return nil
	}
	chosen := route.poolFor(packet.Key.Hash())
	if chosen == nil {
		return nil
	}
	refusal := refusals.Match(chosen.name, route.priority, packet.admissionHash())
	if refusal == nil {
		return nil
	}
	state := f.flowCache.find(packet.Key)
	if state != nil && state.numbers.Contains(packet.segment()) && (state.opening.count > 0 || state.tracker.backend != nil) {
		return nil
	}
	return refusal
}

// sequenceMultiplier spreads sequence numbers over the hash (2^64 divided by the golden ratio).
const sequenceMultiplier = 0x9e3779b97f4a7c15

// admissionHash returns the hash that decides whether the flow is refused. It differs between the
// flows of a port, so that a client whose flow was refused may be admitted when it tries again.
func (p Packet) admissionHash() uint64 { return p.Key.Hash() + uint64(p.Sequence)*sequenceMultiplier }
