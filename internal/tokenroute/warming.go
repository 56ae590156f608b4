package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Warmup is how cold a back end is. The zero value is warm.
type Warmup struct {
	// Until is when the back end is warm. It is cold before.
	Until time.Time
	// FlowsPerSecond is how many new flows this balancer may send to the cold back
	// end within any second; all balancers together stay within what it bears.
	FlowsPerSecond int
	// LimitKnown is set when it is known what a cold back end bears. It then takes its
	// part; else it takes new flows only where no warm one is left.
	LimitKnown bool
}

// warmupWindow is the second within which a cold back end's new flows are counted,
// with what their packets may take more or less on their ways.
const warmupWindow = 1200 * time.Millisecond

// warmupLimiter counts the new flows that went to cold back ends lately.
// Where a whole zone comes back cold and empty, its balancers would
// otherwise prefer it and send it all that it can't bear yet.
type warmupLimiter struct {
	sent map[incarnation.ID][]time.Time
}

// preference tells whether a back end may be sent a new flow as far as its warmth
// goes.
func (a *warmupLimiter) preference(backend *Backend, now time.Time) Preference {
	warming := &backend.Warmup
	if !now.Before(warming.Until) {
		return Preferred
	}
	if a.recentCount(backend.Incarnation(), now) >= warming.FlowsPerSecond {
		return Forbidden
	}
	if warming.LimitKnown {
		return Preferred
	}
	return Avoided
}

// recentCount is how many new flows went to a back end within the last second.
func (a *warmupLimiter) recentCount(backend incarnation.ID, now time.Time) int {
	sent := a.sent[backend]
	old := 0
	for old < len(sent) && now.Sub(sent[old]) >= warmupWindow {
		old++
	}
	return len(sent) - old
}

// record counts a new flow that goes to a back end.
func (a *warmupLimiter) record(backend *Backend, now time.Time) {
	if !now.Before(backend.Warmup.Until) {
		return
	}
	if a.sent == nil {
		a.sent = make(map[incarnation.ID][]time.Time)
	}
	sent := a.sent[backend.Incarnation()]
	kept := sent[len(sent)-a.recentCount(backend.Incarnation(), now):]
	a.sent[backend.Incarnation()] = append(kept, now)
}

// expire drops what is older than a second.
func (a *warmupLimiter) expire(now time.Time) {
	for backend := range a.sent {
		if a.recentCount(backend, now) == 0 {
			delete(a.sent, backend)
		}
	}
}
