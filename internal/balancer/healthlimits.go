package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// healthLimits bound what health takes off the weights of back ends by what the others can bear.
// A place with localEnough back ends or more is bounded by itself, since zones keep their new
// flows; the others by their whole pool.
type healthLimits struct {
	// places are those of the back ends that are unwell and listed.
	places map[incarnation.ID]demand.ZonePool
	// sums are those of the places that have such back ends, and pools those of their pools.
	sums  map[demand.ZonePool]healthSum
	pools map[demand.Pool]healthSum
	// parts are the parts of what health takes off that may be taken off. Places that are
	// not listed have no bound.
	parts map[demand.ZonePool]float64
}

// healthSum is what the back ends of a place or a pool that take new flows handle at once.
type healthSum struct {
	backends int
	// slots are those of all, and well those that remain by their health.
	slots, well float64
}

func (s healthSum) plus(other healthSum) healthSum {
	return healthSum{backends: s.backends + other.backends, slots: s.slots + other.slots, well: s.well + other.well}
}

// measureHealth sums up the back ends that take new flows, with each new table.
func (c *control) measureHealth(evacuated map[string]uint64, warming *warming, now time.Time) {
	made := healthLimits{
		places: make(map[incarnation.ID]demand.ZonePool, len(c.observed.unwell)),
		sums:   make(map[demand.ZonePool]healthSum),
		pools:  make(map[demand.Pool]healthSum),
	}
	if len(c.observed.unwell) > 0 {
		for _, group := range c.replica.Groups() {
			if _, empty := evacuated[group.Zone]; !empty {
				made.add(group, &c.observed, warming, now)
			}
		}
	}
	made.plan(c.demand.picture.Load(), now)
	c.observed.limits = made
}

// add sums up a group. Cold back ends bear little, and are no room.
func (l *healthLimits) add(group *directory.Group, seen *observed, warming *warming, now time.Time) {
	place, sum, unwell := placeOf(group.Place), healthSum{}, false
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() || warming.bounded() && now.Before(warming.warmFrom(backend)) {
			continue
		}
		slots := slotsOf(backend)
		sum = sum.plus(healthSum{backends: 1, slots: slots, well: slots})
		if health := seen.unwell[backend.Incarnation()]; !health.Healthy() {
			unwell = true
			l.places[backend.Incarnation()] = place
			sum.well -= slots * (1 - shares.HealthWeight(health))
		}
	}
	l.pools[place.Pool] = l.pools[place.Pool].plus(sum)
	if unwell {
		l.sums[place] = sum
	}
}

// plan plans the parts by the demand of now, where a picture tells it.
func (l *healthLimits) plan(picture *demand.Aggregate, now time.Time) {
	l.parts = make(map[demand.ZonePool]float64, len(l.sums))
	for place, sum := range l.sums {
		waiting := 0.0
		if picture.Fresh(now) {
			waiting = picture.Loads[place].InFlight
		}
		if sum.backends < localEnough {
			sum = l.pools[place.Pool]
			if picture.Fresh(now) {
				waiting, _ = picture.PoolTotals(place.Pool)
			}
		}
		l.parts[place] = shares.HealthLimit(sum.slots, sum.well, waiting)
	}
}

// of is the part of what health takes off a back end that may be taken off.
func (l *healthLimits) of(backend incarnation.ID) float64 {
	part, bounded := l.parts[l.places[backend]]
	if !bounded {
		return 1
	}
	return part
}
