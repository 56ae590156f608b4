package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Warmup describes how cold a back end is. The zero value is a warm back end.
type Warmup struct {
	// Until is when the back end becomes warm. It is cold before.
	Until time.Time
	// FlowsPerSecond is how many new flows this balancer may send to the cold back end within any
	// second. All balancers together stay within what the back end can handle.
	FlowsPerSecond int
	// LimitKnown is set if it is known how many new flows a cold back end can handle. The back end
	// then takes its normal share of new flows up to that limit. Otherwise it takes new flows only
	// if no warm back end is left.
	LimitKnown bool
}

// warmupWindow is the window in which the new flows of a cold back end are counted: one second plus
// the variation in the transit time of their packets.
const warmupWindow = 1200 * time.Millisecond

// warmupLimiter counts the recent new flows to cold back ends. When a whole zone comes back cold
// and without load, its balancers would otherwise prefer it and send it more than it can handle.
type warmupLimiter struct {
	sent map[incarnation.ID][]time.Time
}

// preference returns the preference of a back end for a new flow as far as its warmup is concerned.
func (l *warmupLimiter) preference(backend *Backend, now time.Time) Preference {
	warming := &backend.Warmup
	if !now.Before(warming.Until) {
		return Preferred
	}
	if l.recentCount(backend.Incarnation(), now) >= warming.FlowsPerSecond {
		return Forbidden
	}
	if warming.LimitKnown {
		return Preferred
	}
	return Avoided
}

// recentCount returns how many new flows went to a back end within the last warmupWindow.
func (l *warmupLimiter) recentCount(backend incarnation.ID, now time.Time) int {
	sent := l.sent[backend]
	expired := 0
	for expired < len(sent) && now.Sub(sent[expired]) >= warmupWindow {
		expired++
	}
	return len(sent) - expired
}

// record counts a new flow to a back end that is still cold.
func (l *warmupLimiter) record(backend *Backend, now time.Time) {
	if !now.Before(backend.Warmup.Until) {
		return
	}
	if l.sent == nil {
		l.sent = make(map[incarnation.ID][]time.Time)
	}
	sent := l.sent[backend.Incarnation()]
	kept := sent[len(sent)-l.recentCount(backend.Incarnation(), now):]
	l.sent[backend.Incarnation()] = append(kept, now)
}

// expire drops the back ends that got no new flow within the last warmupWindow.
func (l *warmupLimiter) expire(now time.Time) {
	for backend := range l.sent {
		if l.recentCount(backend, now) == 0 {
			delete(l.sent, backend)
		}
	}
}
