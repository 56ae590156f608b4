package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// smoothedWaiting is how many requests wait here for each pool, smoothed.
type smoothedWaiting struct {
	waiting       map[string]float64
	lastSummaryAt time.Time
}

func newSmoothedWaiting() smoothedWaiting { return smoothedWaiting{waiting: make(map[string]float64)} }

// update follows a summary, two thirds of the way in the given time, and tells whether it was
// a new one.
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
