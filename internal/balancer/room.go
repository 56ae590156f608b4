package balancer

import (
	"maps"
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// roomPause spaces the looks for back ends that have turned warm.
const roomPause = time.Second

// room is how many requests the back ends of each place that take new flows handle at
// once: live, not draining, in no evacuated zone, warm, and well as far as is known.
type room struct {
	// slots is never changed, but replaced.
	slots    map[demand.ZonePool]float64
	backends map[demand.ZonePool]int
	// zones are what each pool has in the balancer's zone and in others, cold ones too.
	zones map[string]*poolZones
	// counts are what groups had when they were counted last; those that have not changed
	// are not counted again.
	counts map[directory.Place]groupCount
	// cold are the back ends that are no room yet, and lookAt is when some may be; zero is
	// never.
	cold   []coldSlots
	lookAt time.Time
	// dead are the back ends that were judged dead of late.
	dead map[incarnation.ID]deadBackend
}

// deadFor is for how long a back end that was judged dead is no room, unless it is judged
// so again. Verdicts last for 2 s after the last witness, and one that gets no new flows has
// a witness less often. Without more than a verdict, plans would turn with each.
const deadFor = 5 * time.Second

// deadBackend is a back end that is no room until a time, though the directory has it.
type deadBackend struct {
	place demand.ZonePool
	until time.Time
}

// coldSlots is what a back end adds to its place from a time on.
type coldSlots struct {
	place demand.ZonePool
	slots float64
	until time.Time
}

// poolZones is what a pool has in the balancer's zone and in the others.
type poolZones struct {
	localBackends, remoteBackends int
	localSlots, remoteSlots       float64
}

// measureRoom counts the back ends that may take new flows, with each new table. Which
// balancers may use a cold one is of no matter here: with a rank among 12,000 balancers for
// each of 1,400 cold ones, a count of 140,000 took 484 ms of processor in place of 226.
func (c *control) measureRoom(evacuated map[string]uint64, now time.Time) {
	counts := c.demand.room.counts
	made := room{
		dead:     c.demand.room.dead,
		slots:    make(map[demand.ZonePool]float64),
		backends: make(map[demand.ZonePool]int),
		zones:    make(map[string]*poolZones),
		counts:   make(map[directory.Place]groupCount, len(counts)),
	}
	warming := c.newWarming(now)
	c.measureHealth(evacuated, warming, now)
	own := c.balancer.settings.Load().GetZone()
	for _, group := range c.replica.Groups() {
		if _, empty := evacuated[group.Zone]; empty {
			continue
		}
		counted := counts[group.Place]
		if counted.version != group.Version {
			counted = countGroup(group)
		}
		made.counts[group.Place] = counted
		made.count(group.Place, counted, own)
		place := placeOf(group.Place)
		if warming.bounded() || len(c.observed.unwell) > 0 {
			made.countEach(group, place, warming, &c.observed, now)
		} else if counted.backends > 0 {
			made.slots[place] += counted.slots
		}
	}
	made.schedule(now)
	c.demand.room = made
}

// groupCount is what the back ends of a group that may take new flows have, as of a version
// of it.
type groupCount struct {
	version  uint64
	backends int
	slots    float64
}

func countGroup(group *directory.Group) groupCount {
	counted := groupCount{version: group.Version}
	for _, backend := range group.Entries {
		if !backend.Gone && !backend.GetDraining() {
			counted.backends++
			counted.slots += slotsOf(backend)
		}
	}
	return counted
}

// countEach adds the slots of a group, where back ends differ by their warmth or health.
func (r *room) countEach(group *directory.Group, place demand.ZonePool, warming *warming, seen *observed, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() {
			continue
		}
		slots := slotsOf(backend) * seen.healthWeight(backend.Incarnation())
		if until := warming.warmFrom(backend); now.Before(until) {
			r.cold = append(r.cold, coldSlots{place: place, slots: slots, until: until})
			continue
		}
		r.slots[place] += slots
	}
}

// slotsOf is how many requests a back end handles at once.
func slotsOf(backend directory.BackendEntry) float64 {
	return math.Max(1, float64(backend.GetCapacity()))
}

// count counts the back ends of a group that may take new flows.
func (r *room) count(place directory.Place, counted groupCount, own string) {
	if counted.backends == 0 {
		return
	}
	r.backends[placeOf(place)] += counted.backends
	pool := r.zones[place.Pool]
	if pool == nil {
		pool = &poolZones{}
		r.zones[place.Pool] = pool
	}
	if place.Zone == own {
		pool.localBackends += counted.backends
		pool.localSlots += counted.slots
		return
	}
	pool.remoteBackends += counted.backends
	pool.remoteSlots += counted.slots
}

// look adds the back ends that have turned warm since the room was counted.
func (r *room) look(now time.Time) {
	if r.lookAt.IsZero() || now.Before(r.lookAt) {
		return
	}
	r.slots = maps.Clone(r.slots)
	kept := r.cold[:0]
	for _, each := range r.cold {
		if now.Before(each.until) {
			kept = append(kept, each)
			continue
		}
		r.slots[each.place] += each.slots
	}
	r.cold = kept
	r.schedule(now)
}

// schedule sets when to look again.
func (r *room) schedule(now time.Time) {
	r.lookAt = time.Time{}
	for _, each := range r.cold {
		if r.lookAt.IsZero() || each.until.Before(r.lookAt) {
			r.lookAt = each.until
		}
	}
	if soonest := now.Add(roomPause); !r.lookAt.IsZero() && r.lookAt.Before(soonest) {
		r.lookAt = soonest
	}
}

// takeDead takes which back ends are judged dead. Those that the table has no longer are none
// of the room anyway.
func (r *room) takeDead(summary *observe.Summary, table *tokenroute.Table, now time.Time) {
	for id, each := range r.dead {
		if !now.Before(each.until) {
			delete(r.dead, id)
		}
	}
	if table == nil || now.Sub(summary.At) > observedFor {
		return
	}
	for _, id := range summary.Dead {
		backend := table.Backend(id)
		if backend == nil || backend.Gone {
			continue
		}
		if r.dead == nil {
			r.dead = make(map[incarnation.ID]deadBackend)
		}
		place := demand.ZonePool{Pool: demand.Pool(backend.Pool), Zone: demand.Zone(backend.Zone)}
		r.dead[id] = deadBackend{place: place, until: now.Add(deadFor)}
	}
}

// living are the slots without those of dead back ends, each of which had as many as the
// others of its place.
func (r *room) living(now time.Time) map[demand.ZonePool]float64 {
	if len(r.dead) == 0 {
		return r.slots
	}
	slots := maps.Clone(r.slots)
	for _, each := range r.dead {
		if backends := r.backends[each.place]; backends > 0 && now.Before(each.until) {
			slots[each.place] = math.Max(0, slots[each.place]-r.slots[each.place]/float64(backends))
		}
	}
	return slots
}
