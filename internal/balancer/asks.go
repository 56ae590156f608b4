package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// asksTime is how fast the asks that pass here are followed, as they are for the picture.
	asksTime = 500 * time.Millisecond
	// asksKept is for how long they are remembered: as long as a picture may be used.
	asksKept = demand.MaximumAge
)

// asks is what this balancer was asked of each pool a second, now and in the last asksKept.
type asks struct {
	seenAt time.Time
	now    map[demand.Pool]float64
	past   []askedAt
}

// askedAt is what was asked at a time.
type askedAt struct {
	at   time.Time
	asks map[demand.Pool]float64
}

// follow takes what was asked since the last summary.
func (a *asks) follow(summary *observe.Summary) {
	if summary == nil || !summary.At.After(a.seenAt) {
		return
	}
	part := 1 - math.Exp(-summary.At.Sub(a.seenAt).Seconds()/asksTime.Seconds())
	a.seenAt = summary.At
	asked := make(map[demand.Pool]float64, len(a.now))
	for pool, rate := range a.now {
		asked[pool] = rate * (1 - part)
	}
	for place, load := range summary.Loads {
		asked[place.Pool] += part * load.Offered
	}
	a.now = asked
	a.past = append(a.past, askedAt{at: summary.At, asks: asked})
	for len(a.past) > 0 && summary.At.Sub(a.past[0].at) > asksKept {
		a.past = a.past[1:]
	}
}

// grown is how many times what is asked of a pool here is what was asked at a time, 1 at least:
// infinite where nothing was.
func (a *asks) grown(pool demand.Pool, since time.Time) float64 {
	now, then := a.now[pool], 0.0
	for _, each := range a.past {
		if each.at.After(since) {
			break
		}
		then = each.asks[pool]
	}
	if now <= then || now == 0 {
		return 1
	}
	return now / then
}
