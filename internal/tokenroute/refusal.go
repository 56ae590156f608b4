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
	key := packet.Key
	chosen := route.poolFor(key.Hash())
	if chosen == nil {
		return nil
	}
	refusal := refusals.Match(chosen.name, route.priority, key.Hash())
	if refusal == nil {
		return nil
	}
	state := f.flowCache.find(key)
	if state != nil && state.numbers.Contains(packet.segment()) && (state.opening.count > 0 || state.tracker.backend != nil) {
		return nil
	}
	return refusal
}
