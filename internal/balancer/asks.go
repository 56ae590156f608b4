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
	rateHistory = demand.FreshFor
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
func (a *requestRates) addSummary(summary *observe.Summary) {
	if summary == nil || !summary.At.After(a.updatedAt) {
		return
	}
	part := 1 - math.Exp(-summary.At.Sub(a.updatedAt).Seconds()/rateTimeConstant.Seconds())
	a.updatedAt = summary.At
	asked := make(map[demand.Pool]float64, len(a.current))
	for pool, rate := range a.current {
		asked[pool] = rate * (1 - part)
	}
	for place, load := range summary.Places {
		asked[place.Pool] += part * load.Asks
	}
	a.current = asked
	a.history = append(a.history, rateSample{at: summary.At, rates: asked})
	for len(a.history) > 0 && summary.At.Sub(a.history[0].at) > rateHistory {
		a.history = a.history[1:]
	}
}

// growthSince is how many times what is asked of a pool here is what was asked at a time, 1 at least:
// infinite where nothing was.
func (a *requestRates) growthSince(pool demand.Pool, since time.Time) float64 {
	now, then := a.current[pool], 0.0
	for _, each := range a.history {
		if each.at.After(since) {
			break
		}
		then = each.rates[pool]
	}
	if now <= then || now == 0 {
		return 1
	}
	return now / then
}
