package demand

import (
	"math"
	"time"
)

const (
	// smoothingTime is how fast the own part follows what is observed. It is short beside
	// the way of a part to all balancers; where many add up, little chance is left.
	smoothingTime = 500 * time.Millisecond
	// maximumObservationAge is how old an observation may be. A balancer without packets makes
	// none, and asks nothing.
	maximumObservationAge = 2 * time.Second
	// negligibleLoad is what a smoothed load counts as none below, in requests.
	negligibleLoad = 1e-3
)

// LocalLoad is what this balancer's own flows ask, smoothed. The zero value asks nothing.
type LocalLoad struct {
	observedAt time.Time
	loads      map[PoolZone]Load
}

// Observe follows what was observed up to a time.
func (o *LocalLoad) Observe(observed map[PoolZone]Load, at time.Time) {
	if !at.After(o.observedAt) {
		return
	}
	part := 1 - math.Exp(-at.Sub(o.observedAt).Seconds()/smoothingTime.Seconds())
	o.observedAt = at
	places := make(map[PoolZone]Load, len(observed))
	for place, load := range o.loads {
		if kept := load.scale(1 - part); kept.total() > negligibleLoad {
			places[place] = kept
		}
	}
	for place, load := range observed {
		if load.total() > 0 {
			places[place] = places[place].Plus(load.scale(part))
		}
	}
	o.loads = places
}

// Aggregate is the part of this balancer, which stands in a zone.
func (o *LocalLoad) Aggregate(zone Zone, now time.Time) Aggregate {
	made := Aggregate{At: o.observedAt, Balancers: 1, ZoneBalancers: map[Zone]int{zone: 1}, Loads: o.loads}
	if now.Sub(o.observedAt) > maximumObservationAge {
		// Others carry what its zone asks: one that is aside, or left out by the routers, would
		// else make each of them seem to carry less than it does.
		made.At, made.Loads, made.ZoneBalancers = now, nil, nil
	}
	return made
}

func (l Load) scale(part float64) Load {
	return Load{
		InFlight:    l.InFlight * part,
		NewFlows:    l.NewFlows * part,
		Responses:   l.Responses * part,
		Refusals:    l.Refusals * part,
		RequestRate: l.RequestRate * part,
	}
}

func (l Load) total() float64 {
	return l.InFlight + l.NewFlows + l.Responses + l.Refusals + l.RequestRate
}
