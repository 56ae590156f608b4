package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// roomPause spaces the looks for back ends that have turned warm.
const roomPause = time.Second

// room is how many requests the back ends of each place that take new flows handle at
// once: live, not draining, in no evacuated zone, warm, and well as far as is known.
type room struct {
	// slots is never changed, but replaced.
	slots    map[demand.Place]float64
	backends map[demand.Place]int
	// warmAt is when the next back end is warm; zero is never.
	warmAt time.Time
}

// measureRoom counts the room with each new table, and when back ends have turned warm.
func (c *control) measureRoom(evacuated map[string]uint64, now time.Time) {
	made := room{slots: make(map[demand.Place]float64), backends: make(map[demand.Place]int)}
	warming := c.newWarming(now)
	for _, backend := range c.known.Backends() {
		_, empty := evacuated[backend.GetZone()]
		if backend.Gone || backend.GetDraining() || empty {
			continue
		}
		place := demand.Place{Pool: demand.Pool(backend.GetPool()), Zone: demand.Zone(backend.GetZone())}
		made.backends[place]++
		if warm := warming.of(backend).Until; now.Before(warm) {
			if made.warmAt.IsZero() || warm.Before(made.warmAt) {
				made.warmAt = warm
			}
			continue
		}
		made.slots[place] += math.Max(1, float64(backend.GetCapacity())) * c.observed.healthWeight(backend.GetNumber())
	}
	if !made.warmAt.IsZero() && made.warmAt.Before(now.Add(roomPause)) {
		made.warmAt = now.Add(roomPause)
	}
	c.demand.room = made
}

// isOld tells whether back ends have turned warm since the room was counted.
func (r *room) isOld(now time.Time) bool { return !r.warmAt.IsZero() && !now.Before(r.warmAt) }
