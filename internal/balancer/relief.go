package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// reliefs bound what health takes off the weights of back ends by what the others can bear.
// A place with localEnough back ends or more is bounded by itself, since zones keep their new
// flows; the others by their whole pool.
type reliefs struct {
	// places are those of the back ends that are unwell and listed.
	places map[incarnation.ID]demand.Place
	// sums are those of the places that have such back ends, and pools those of their pools.
	sums  map[demand.Place]healthSum
	pools map[demand.Pool]healthSum
	// parts are the parts of what health takes off that may be taken off. Places that are
	// not listed have no bound.
	parts map[demand.Place]float64
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

// measureRelief sums up the back ends that take new flows, with each new table.
func (c *control) measureRelief(evacuated map[string]uint64, warming *warming, now time.Time) {
	made := reliefs{
		places: make(map[incarnation.ID]demand.Place, len(c.observed.unwell)),
		sums:   make(map[demand.Place]healthSum),
		pools:  make(map[demand.Pool]healthSum),
	}
	if len(c.observed.unwell) > 0 {
		for _, group := range c.known.Groups() {
			if _, empty := evacuated[group.Zone]; !empty {
				made.add(group, &c.observed, warming, now)
			}
		}
	}
	made.plan(c.demand.picture.Load(), now)
	c.observed.reliefs = made
}

// add sums up a group. Cold back ends bear little, and are no room.
func (r *reliefs) add(group *directory.Group, seen *observed, warming *warming, now time.Time) {
	place, sum, unwell := placeOf(group.Place), healthSum{}, false
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() || warming.bounded() && now.Before(warming.warmFrom(backend)) {
			continue
		}
		slots := slotsOf(backend)
		sum = sum.plus(healthSum{backends: 1, slots: slots, well: slots})
		if health := seen.unwell[backend.Incarnation()]; !health.Well() {
			unwell = true
			r.places[backend.Incarnation()] = place
			sum.well -= slots * (1 - shares.HealthWeight(health))
		}
	}
	r.pools[place.Pool] = r.pools[place.Pool].plus(sum)
	if unwell {
		r.sums[place] = sum
	}
}

// plan plans the parts by the demand of now, where a picture tells it.
func (r *reliefs) plan(picture *demand.Picture, now time.Time) {
	r.parts = make(map[demand.Place]float64, len(r.sums))
	for place, sum := range r.sums {
		waiting := 0.0
		if picture.Fresh(now) {
			waiting = picture.Places[place].Waiting
		}
		if sum.backends < localEnough {
			sum = r.pools[place.Pool]
			if picture.Fresh(now) {
				waiting, _ = picture.Whole(place.Pool)
			}
		}
		r.parts[place] = shares.Relief(sum.slots, sum.well, waiting)
	}
}

// of is the part of what health takes off a back end that may be taken off.
func (r *reliefs) of(backend incarnation.ID) float64 {
	part, bounded := r.parts[r.places[backend]]
	if !bounded {
		return 1
	}
	return part
}
