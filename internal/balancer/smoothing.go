package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// smoothedWaiting holds the exponentially smoothed number of requests that wait at this
// balancer, by pool.
type smoothedWaiting struct {
	waiting       map[string]float64
	lastSummaryAt time.Time
}

func newSmoothedWaiting() smoothedWaiting { return smoothedWaiting{waiting: make(map[string]float64)} }

// update moves the averages toward those of a summary, about two thirds of the way (1-1/e)
// when the time constant within has passed since the last summary. It reports whether the
// summary was a new one.
func (f *smoothedWaiting) update(summary *observe.Summary, within time.Duration) bool {
	if summary == nil || !summary.At.After(f.lastSummaryAt) {
		return false
	}
	part := 1 - math.Exp(-summary.At.Sub(f.lastSummaryAt).Seconds()/within.Seconds())
	f.lastSummaryAt = summary.At
	for pool, waiting := range summary.InFlight {
		f.waiting[pool] += part * (waiting - f.waiting[pool])
	}
	return true
}
