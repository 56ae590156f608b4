package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// rateTimeConstant is how fast the asks that pass here are followed, as they are for the picture.
	rateTimeConstant = 500 * time.Millisecond
	// rateHistory is for how long they are remembered: as long as a picture may be used.
	rateHistory = demand.MaximumAge
)

// requestRates is what this balancer was asked of each pool a second, now and in the last rateHistory.
type requestRates struct {
	updatedAt time.Time
	current   map[demand.Pool]float64
	history   []rateSample
}

// rateSample is what was asked at a time.
type rateSample struct {
	at    time.Time
	rates map[demand.Pool]float64
}

// addSummary takes what was asked since the last summary.
func (r *requestRates) addSummary(summary *observe.Summary) {
	if summary == nil || !summary.At.After(r.updatedAt) {
		return
	}
	alpha := 1 - math.Exp(-summary.At.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
	r.updatedAt = summary.At
	rates := make(map[demand.Pool]float64, len(r.current))
	for pool, rate := range r.current {
		rates[pool] = rate * (1 - alpha)
	}
	for poolZone, load := range summary.Loads {
		rates[poolZone.Pool] += alpha * load.Offered
	}
	r.current = rates
	r.history = append(r.history, rateSample{at: summary.At, rates: rates})
	for len(r.history) > 0 && summary.At.Sub(r.history[0].at) > rateHistory {
		r.history = r.history[1:]
	}
}

// growthSince is how many times what is asked of a pool here is what was asked at a time, 1 at least:
// infinite where nothing was.
func (r *requestRates) growthSince(pool demand.Pool, since time.Time) float64 {
	current, past := r.current[pool], 0.0
	for _, sample := range r.history {
		if sample.at.After(since) {
			break
		}
		past = sample.rates[pool]
	}
	if current <= past || current == 0 {
		return 1
	}
	return current / past
}
