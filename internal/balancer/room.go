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
	slots    map[demand.ZonePool]float64
	backends map[demand.ZonePool]int
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
	poolZone demand.ZonePool
	until    time.Time
}

// coldBackend is what a back end adds to its place from a time on.
type coldBackend struct {
	poolZone demand.ZonePool
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
	result := capacity{
		failed:   c.demand.capacity.failed,
		slots:    make(map[demand.ZonePool]float64),
		backends: make(map[demand.ZonePool]int),
		pools:    make(map[string]*poolCapacity),
		counts:   make(map[directory.Place]groupCount, len(counts)),
	}
	warming := c.newWarmupState(now)
	c.computeHealthLimits(evacuated, warming, now)
	localZone := c.balancer.settings.Load().GetZone()
	for _, group := range c.directory.Groups() {
		if _, isEvacuated := evacuated[group.Zone]; isEvacuated {
			continue
		}
		count := counts[group.Place]
		if count.version != group.Version {
			count = countGroup(group)
		}
		result.counts[group.Place] = count
		result.addCount(group.Place, count, localZone)
		poolZone := poolZoneOf(group.Place)
		if warming.limited() || len(c.observed.unhealthy) > 0 {
			result.addBackends(group, poolZone, warming, &c.observed, now)
		} else if count.backends > 0 {
			result.slots[poolZone] += count.slots
		}
	}
	result.scheduleCheck(now)
	c.demand.capacity = result
}

// groupCount is what the back ends of a group that may take new flows have, as of a version
// of it.
type groupCount struct {
	version  uint64
	backends int
	slots    float64
}

func countGroup(group *directory.Group) groupCount {
	count := groupCount{version: group.Version}
	for _, backend := range group.Entries {
		if !backend.Gone && !backend.GetDraining() {
			count.backends++
			count.slots += backendSlots(backend)
		}
	}
	return count
}

// addBackends adds the slots of a group, where back ends differ by their warmth or health.
func (c *capacity) addBackends(group *directory.Group, poolZone demand.ZonePool, warming *warmupState, inputs *weightInputs, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() {
			continue
		}
		slots := backendSlots(backend) * inputs.healthWeight(backend.Incarnation())
		if until := warming.warmAt(backend); now.Before(until) {
			c.cold = append(c.cold, coldBackend{poolZone: poolZone, slots: slots, warmAt: until})
			continue
		}
		c.slots[poolZone] += slots
	}
}

// backendSlots is how many requests a back end handles at once.
func backendSlots(backend directory.BackendEntry) float64 {
	return math.Max(1, float64(backend.GetCapacity()))
}

// addCount counts the back ends of a group that may take new flows.
func (c *capacity) addCount(poolZone directory.Place, count groupCount, localZone string) {
	if count.backends == 0 {
		return
	}
	c.backends[poolZoneOf(poolZone)] += count.backends
	pool := c.pools[poolZone.Pool]
	if pool == nil {
		pool = &poolCapacity{}
		c.pools[poolZone.Pool] = pool
	}
	if poolZone.Zone == localZone {
		pool.localBackends += count.backends
		pool.localSlots += count.slots
		return
	}
	pool.remoteBackends += count.backends
	pool.remoteSlots += count.slots
}

// addWarmed adds the back ends that have turned warm since the room was counted.
func (c *capacity) addWarmed(now time.Time) {
	if c.nextCheckAt.IsZero() || now.Before(c.nextCheckAt) {
		return
	}
	c.slots = maps.Clone(c.slots)
	cold := c.cold[:0]
	for _, backend := range c.cold {
		if now.Before(backend.warmAt) {
			cold = append(cold, backend)
			continue
		}
		c.slots[backend.poolZone] += backend.slots
	}
	c.cold = cold
	c.scheduleCheck(now)
}

// scheduleCheck sets when to look again.
func (c *capacity) scheduleCheck(now time.Time) {
	c.nextCheckAt = time.Time{}
	for _, backend := range c.cold {
		if c.nextCheckAt.IsZero() || backend.warmAt.Before(c.nextCheckAt) {
			c.nextCheckAt = backend.warmAt
		}
	}
	if soonest := now.Add(warmCheckInterval); !c.nextCheckAt.IsZero() && c.nextCheckAt.Before(soonest) {
		c.nextCheckAt = soonest
	}
}

// updateFailed takes which back ends are judged dead. Those that the table has no longer are none
// of the room anyway.
func (c *capacity) updateFailed(summary *observe.Summary, table *tokenroute.Table, now time.Time) {
	for id, failed := range c.failed {
		if !now.Before(failed.until) {
			delete(c.failed, id)
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
		if c.failed == nil {
			c.failed = make(map[incarnation.ID]failedBackend)
		}
		poolZone := demand.ZonePool{Pool: demand.Pool(backend.Pool), Zone: demand.Zone(backend.Zone)}
		c.failed[id] = failedBackend{poolZone: poolZone, until: now.Add(failedHold)}
	}
}

// liveSlots are the slots without those of dead back ends, each of which had as many as the
// others of its place.
func (c *capacity) liveSlots(now time.Time) map[demand.ZonePool]float64 {
	if len(c.failed) == 0 {
		return c.slots
	}
	slots := maps.Clone(c.slots)
	for _, failed := range c.failed {
		if backends := c.backends[failed.poolZone]; backends > 0 && now.Before(failed.until) {
			slots[failed.poolZone] = math.Max(0, slots[failed.poolZone]-c.slots[failed.poolZone]/float64(backends))
		}
	}
	return slots
}
