package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// followed is how many requests wait here for each pool, smoothed.
type followed struct {
	waiting map[string]float64
	seenAt  time.Time
}

func newFollowed() followed { return followed{waiting: make(map[string]float64)} }

// take follows a summary, two thirds of the way in the given time, and tells whether it was
// a new one.
func (f *followed) take(summary *observe.Summary, within time.Duration) bool {
	if summary == nil || !summary.At.After(f.seenAt) {
		return false
	}
	part := 1 - math.Exp(-summary.At.Sub(f.seenAt).Seconds()/within.Seconds())
	f.seenAt = summary.At
	for pool, waiting := range summary.InFlight {
		f.waiting[pool] += part * (waiting - f.waiting[pool])
	}
	return true
}
