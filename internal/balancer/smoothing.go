package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// smoothedInFlight holds the exponentially smoothed number of requests in flight through
// this balancer, by pool.
type smoothedInFlight struct {
	inFlight      map[string]float64
	lastSummaryAt time.Time
}

func newSmoothedInFlight() smoothedInFlight {
	return smoothedInFlight{inFlight: make(map[string]float64)}
}

// update moves the averages toward the counts of a summary, about two thirds of the way
// (1-1/e) when timeConstant has passed since the last summary. It reports whether the
// summary was a new one.
func (s *smoothedInFlight) update(summary *observe.Summary, timeConstant time.Duration) bool {
	if summary == nil || !summary.At.After(s.lastSummaryAt) {
		return false
	}
	weight := 1 - math.Exp(-summary.At.Sub(s.lastSummaryAt).Seconds()/timeConstant.Seconds())
	s.lastSummaryAt = summary.At
	for pool, inFlight := range summary.InFlight {
		s.inFlight[pool] += weight * (inFlight - s.inFlight[pool])
	}
	return true
}
