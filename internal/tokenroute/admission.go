package tokenroute

import (
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

// SetRefusals takes the levels by which new flows are refused for want of room; nil refuses
// nobody. It may be called by any goroutine.
func (f *Flows) SetRefusals(levels *admission.Refusals) { f.refusals.Store(levels) }

// Refusals are those in force.
func (f *Flows) Refusals() *admission.Refusals { return f.refusals.Load() }

// refusalFor returns the level by which the first packet of a flow is refused, or nil.
// A copy passes: an earlier one may have been forwarded here or by another balancer, and
// to refuse it would be to say of a flow that may have opened that it was not.
func (f *Flows) refusalFor(route *Route, packet Packet) *admission.Refusal {
	levels := f.refusals.Load()
	if levels == nil || packet.Retransmission {
		return nil
	}
	key := packet.Key
	chosen := route.poolFor(key.Hash())
	if chosen == nil {
		return nil
	}
	level := levels.Match(chosen.name, route.priority, key.Hash())
	if level == nil {
		return nil
	}
	if state := f.flowCache.find(key); state != nil && (state.opening.count > 0 || state.tracker.backend != nil) {
		return nil
	}
	return level
}
