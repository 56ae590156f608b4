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

// warmCheckInterval spaces the looks for back ends that have turned warm.
const warmCheckInterval = time.Second

// capacity is how many requests the back ends of each place that take new flows handle at
// once: live, not draining, in no evacuated zone, warm, and well as far as is known.
type capacity struct {
	// slots is never changed, but replaced.
	slots    map[demand.Place]float64
	backends map[demand.Place]int
	// pools are what each pool has in the balancer's zone and in others, cold ones too.
	pools map[string]*poolCapacity
	// counts are what groups had when they were counted last; those that have not changed
	// are not counted again.
	counts map[directory.Place]groupCount
	// cold are the back ends that are no room yet, and nextCheckAt is when some may be; zero is
	// never.
	cold        []coldBackend
	nextCheckAt time.Time
	// failed are the back ends that were judged dead of late.
	failed map[incarnation.ID]failedBackend
}

// failedHold is for how long a back end that was judged dead is no room, unless it is judged
// so again. Verdicts last for 2 s after the last witness, and one that gets no new flows has
// a witness less often. Without more than a verdict, plans would turn with each.
const failedHold = 5 * time.Second

// failedBackend is a back end that is no room until a time, though the directory has it.
type failedBackend struct {
	poolZone demand.Place
	until    time.Time
}

// coldBackend is what a back end adds to its place from a time on.
type coldBackend struct {
	poolZone demand.Place
	slots    float64
	warmAt   time.Time
}

// poolCapacity is what a pool has in the balancer's zone and in the others.
type poolCapacity struct {
	localBackends, remoteBackends int
	localSlots, remoteSlots       float64
}

// measureCapacity counts the back ends that may take new flows, with each new table. Which
// balancers may use a cold one is of no matter here: with a rank among 12,000 balancers for
// each of 1,400 cold ones, a count of 140,000 took 484 ms of processor in place of 226.
func (c *control) measureCapacity(evacuated map[string]uint64, now time.Time) {
	counts := c.demand.capacity.counts
	made := capacity{
		failed:   c.demand.capacity.failed,
		slots:    make(map[demand.Place]float64),
		backends: make(map[demand.Place]int),
		pools:    make(map[string]*poolCapacity),
		counts:   make(map[directory.Place]groupCount, len(counts)),
	}
	warming := c.newWarmupState(now)
	c.computeHealthLimits(evacuated, warming, now)
	own := c.balancer.settings.Load().GetZone()
	for _, group := range c.known.Groups() {
		if _, empty := evacuated[group.Zone]; empty {
			continue
		}
		counted := counts[group.Place]
		if counted.version != group.Version {
			counted = countGroup(group)
		}
		made.counts[group.Place] = counted
		made.addCount(group.Place, counted, own)
		place := poolZoneOf(group.Place)
		if warming.limited() || len(c.observed.unhealthy) > 0 {
			made.addBackends(group, place, warming, &c.observed, now)
		} else if counted.backends > 0 {
			made.slots[place] += counted.slots
		}
	}
	made.scheduleCheck(now)
	c.demand.capacity = made
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
			counted.slots += backendSlots(backend)
		}
	}
	return counted
}

// addBackends adds the slots of a group, where back ends differ by their warmth or health.
func (r *capacity) addBackends(group *directory.Group, place demand.Place, warming *warmupState, seen *weightInputs, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() {
			continue
		}
		slots := backendSlots(backend) * seen.healthWeight(backend.Incarnation())
		if until := warming.warmAt(backend); now.Before(until) {
			r.cold = append(r.cold, coldBackend{poolZone: place, slots: slots, warmAt: until})
			continue
		}
		r.slots[place] += slots
	}
}

// backendSlots is how many requests a back end handles at once.
func backendSlots(backend directory.BackendEntry) float64 {
	return math.Max(1, float64(backend.GetCapacity()))
}

// addCount counts the back ends of a group that may take new flows.
func (r *capacity) addCount(place directory.Place, counted groupCount, own string) {
	if counted.backends == 0 {
		return
	}
	r.backends[poolZoneOf(place)] += counted.backends
	pool := r.pools[place.Pool]
	if pool == nil {
		pool = &poolCapacity{}
		r.pools[place.Pool] = pool
	}
	if place.Zone == own {
		pool.localBackends += counted.backends
		pool.localSlots += counted.slots
		return
	}
	pool.remoteBackends += counted.backends
	pool.remoteSlots += counted.slots
}

// addWarmed adds the back ends that have turned warm since the room was counted.
func (r *capacity) addWarmed(now time.Time) {
	if r.nextCheckAt.IsZero() || now.Before(r.nextCheckAt) {
		return
	}
	r.slots = maps.Clone(r.slots)
	kept := r.cold[:0]
	for _, each := range r.cold {
		if now.Before(each.warmAt) {
			kept = append(kept, each)
			continue
		}
		r.slots[each.poolZone] += each.slots
	}
	r.cold = kept
	r.scheduleCheck(now)
}

// scheduleCheck sets when to look again.
func (r *capacity) scheduleCheck(now time.Time) {
	r.nextCheckAt = time.Time{}
	for _, each := range r.cold {
		if r.nextCheckAt.IsZero() || each.warmAt.Before(r.nextCheckAt) {
			r.nextCheckAt = each.warmAt
		}
	}
	if soonest := now.Add(warmCheckInterval); !r.nextCheckAt.IsZero() && r.nextCheckAt.Before(soonest) {
		r.nextCheckAt = soonest
	}
}

// updateFailed takes which back ends are judged dead. Those that the table has no longer are none
// of the room anyway.
func (r *capacity) updateFailed(summary *observe.Summary, table *tokenroute.Table, now time.Time) {
	for id, each := range r.failed {
		if !now.Before(each.until) {
			delete(r.failed, id)
		}
	}
	if table == nil || now.Sub(summary.At) > summaryMaxAge {
		return
	}
	for _, id := range summary.Dead {
		backend := table.Backend(id)
		if backend == nil || backend.Gone {
			continue
		}
		if r.failed == nil {
			r.failed = make(map[incarnation.ID]failedBackend)
		}
		place := demand.Place{Pool: demand.Pool(backend.Pool), Zone: demand.Zone(backend.Zone)}
		r.failed[id] = failedBackend{poolZone: place, until: now.Add(failedHold)}
	}
}

// liveSlots are the slots without those of dead back ends, each of which had as many as the
// others of its place.
func (r *capacity) liveSlots(now time.Time) map[demand.Place]float64 {
	if len(r.failed) == 0 {
		return r.slots
	}
	slots := maps.Clone(r.slots)
	for _, each := range r.failed {
		if backends := r.backends[each.poolZone]; backends > 0 && now.Before(each.until) {
			slots[each.poolZone] = math.Max(0, slots[each.poolZone]-r.slots[each.poolZone]/float64(backends))
		}
	}
	return slots
}
