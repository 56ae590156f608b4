package demand

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of the exponential smoothing of observed loads. It
	// is short compared with the time that a load takes to reach all balancers. Where the
	// loads of many balancers are added up, little random variation is left.
	smoothingTime = 500 * time.Millisecond
	// maximumObservationAge is how old an observation may be. A balancer that receives no
	// packets makes no observations, and has no load.
	maximumObservationAge = 2 * time.Second
	// negligibleLoad is the smoothed load, in requests, below which it counts as none.
	negligibleLoad = 1e-3
)

// LocalLoad is the smoothed load of this balancer's own flows. The zero value has none.
type LocalLoad struct {
	observedAt time.Time
	loads      map[PoolZone]Load
}

// Observe updates the smoothed load with the load that was observed up to a time.
func (l *LocalLoad) Observe(observed map[PoolZone]Load, at time.Time) {
	if !at.After(l.observedAt) {
		return
	}
	factor := 1 - math.Exp(-at.Sub(l.observedAt).Seconds()/smoothingTime.Seconds())
	l.observedAt = at
	loads := make(map[PoolZone]Load, len(observed))
	for poolZone, load := range l.loads {
		if kept := load.scale(1 - factor); kept.total() > negligibleLoad {
			loads[poolZone] = kept
		}
	}
	for poolZone, load := range observed {
		if load.total() > 0 {
			loads[poolZone] = loads[poolZone].Plus(load.scale(factor))
		}
	}
	l.loads = loads
}

// Aggregate returns the load as an aggregate of this balancer alone, which is in the given
// zone.
func (l *LocalLoad) Aggregate(zone Zone, now time.Time) Aggregate {
	aggregate := Aggregate{At: l.observedAt, Balancers: 1, ZoneBalancers: map[Zone]int{zone: 1}, Loads: l.loads}
	if now.Sub(l.observedAt) > maximumObservationAge {
		// Other balancers carry the demand of its zone. If one that is withdrawn, or that
		// routers send nothing to, counted as carrying traffic, each of them would seem to
		// carry less than it does.
		aggregate.At, aggregate.Loads, aggregate.ZoneBalancers = now, nil, nil
	}
	return aggregate
}

func (l Load) scale(factor float64) Load {
	return Load{
		InFlight:    l.InFlight * factor,
		NewFlows:    l.NewFlows * factor,
		Responses:   l.Responses * factor,
		Refusals:    l.Refusals * factor,
		RequestRate: l.RequestRate * factor,
	}
}

func (l Load) total() float64 {
	return l.InFlight + l.NewFlows + l.Responses + l.Refusals + l.RequestRate
}
