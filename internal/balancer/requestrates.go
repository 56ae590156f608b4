package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// rateTimeConstant is the time constant of the smoothed request rates of this balancer, the
	// same as for the rates in a demand.Aggregate.
	rateTimeConstant = 500 * time.Millisecond
	// rateHistory is how long past rates are kept: as long as an aggregate may be used.
	rateHistory = demand.MaximumAge
)

// requestRates holds the request rate of each pool through this balancer, per second, now and over
// the last rateHistory.
type requestRates struct {
	updatedAt time.Time
	current   map[demand.Pool]float64
	history   []rateSample
}

// rateSample holds the request rates at one time.
type rateSample struct {
	at           time.Time
	requestRates map[demand.Pool]float64
}

// addSummary updates the rates with the requests counted since the last summary.
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
		rates[poolZone.Pool] += alpha * load.RequestRate
	}
	r.current = rates
	r.history = append(r.history, rateSample{at: summary.At, requestRates: rates})
	for len(r.history) > 0 && summary.At.Sub(r.history[0].at) > rateHistory {
		r.history = r.history[1:]
	}
}

// growthSince returns the ratio of a pool's current request rate here to its rate at an earlier
// time. It is at least 1, and infinite if the earlier rate was 0.
func (r *requestRates) growthSince(pool demand.Pool, since time.Time) float64 {
	current, past := r.current[pool], 0.0
	for _, sample := range r.history {
		if sample.at.After(since) {
			break
		}
		past = sample.requestRates[pool]
	}
	if current <= past || current == 0 {
		return 1
	}
	return current / past
}
