package tokenroute

import (
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

// Admit takes the levels by which new flows are refused for want of room; nil refuses
// nobody. It may be called by any goroutine.
func (f *Flows) Admit(levels *admission.Refusals) { f.levels.Store(levels) }

// Levels are those in force.
func (f *Flows) Levels() *admission.Refusals { return f.levels.Load() }

// refusing returns the level by which the first packet of a flow is refused, or nil.
// A copy passes: an earlier one may have been forwarded here or by another balancer, and
// to refuse it would be to say of a flow that may have opened that it was not.
func (f *Flows) refusing(route *Route, packet Packet) *admission.Refusal {
	levels := f.levels.Load()
	if levels == nil || packet.Copy {
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
	if state := f.memory.find(key); state != nil && (state.opening.count > 0 || state.track.backend != nil) {
		return nil
	}
	return level
}
