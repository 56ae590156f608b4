package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// smoothedInFlight is how many requests wait here for each pool, smoothed.
type smoothedInFlight struct {
	inFlight      map[string]float64
	lastSummaryAt time.Time
}

func newSmoothedInFlight() smoothedInFlight {
	return smoothedInFlight{inFlight: make(map[string]float64)}
}

// update follows a summary, two thirds of the way in the given time, and tells whether it was
// a new one.
func (f *smoothedInFlight) update(summary *observe.Summary, within time.Duration) bool {
	if summary == nil || !summary.At.After(f.lastSummaryAt) {
		return false
	}
	part := 1 - math.Exp(-summary.At.Sub(f.lastSummaryAt).Seconds()/within.Seconds())
	f.lastSummaryAt = summary.At
	for pool, waiting := range summary.InFlight {
		f.inFlight[pool] += part * (waiting - f.inFlight[pool])
	}
	return true
}
