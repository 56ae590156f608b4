package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// healthLimits bound what health takes off the weights of back ends by what the others can bear.
// A place with minLocalBackends back ends or more is bounded by itself, since zones keep their new
// flows; the others by their whole pool.
type healthLimits struct {
	// poolZones are those of the back ends that are unwell and listed.
	poolZones map[incarnation.ID]demand.ZonePool
	// poolZoneTotals are those of the places that have such back ends, and pools those of their pools.
	poolZoneTotals map[demand.ZonePool]slotTotals
	poolTotals     map[demand.Pool]slotTotals
	// allowed are the parts of what health takes off that may be taken off. Places that are
	// not listed have no bound.
	allowed map[demand.ZonePool]float64
}

// slotTotals is what the back ends of a place or a pool that take new flows handle at once.
type slotTotals struct {
	backends int
	// slots are those of all, and well those that remain by their health.
	slots, healthySlots float64
}

func (s slotTotals) plus(other slotTotals) slotTotals {
	return slotTotals{backends: s.backends + other.backends, slots: s.slots + other.slots, healthySlots: s.healthySlots + other.healthySlots}
}

// computeHealthLimits sums up the back ends that take new flows, with each new table.
func (c *control) computeHealthLimits(evacuated map[string]uint64, warming *warmupState, now time.Time) {
	limits := healthLimits{
		poolZones:      make(map[incarnation.ID]demand.ZonePool, len(c.observed.unhealthy)),
		poolZoneTotals: make(map[demand.ZonePool]slotTotals),
		poolTotals:     make(map[demand.Pool]slotTotals),
	}
	if len(c.observed.unhealthy) > 0 {
		for _, group := range c.directory.Groups() {
			if _, isEvacuated := evacuated[group.Zone]; !isEvacuated {
				limits.addGroup(group, &c.observed, warming, now)
			}
		}
	}
	limits.update(c.demand.aggregate.Load(), now)
	c.observed.limits = limits
}

// addGroup sums up a group. Cold back ends bear little, and are no room.
func (l *healthLimits) addGroup(group *directory.Group, inputs *weightInputs, warming *warmupState, now time.Time) {
	poolZone, sum, unhealthy := poolZoneOf(group.Place), slotTotals{}, false
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() || warming.limited() && now.Before(warming.warmAt(backend)) {
			continue
		}
		slots := backendSlots(backend)
		sum = sum.plus(slotTotals{backends: 1, slots: slots, healthySlots: slots})
		if health := inputs.unhealthy[backend.Incarnation()]; !health.Healthy() {
			unhealthy = true
			l.poolZones[backend.Incarnation()] = poolZone
			sum.healthySlots -= slots * (1 - shares.HealthWeight(health))
		}
	}
	l.poolTotals[poolZone.Pool] = l.poolTotals[poolZone.Pool].plus(sum)
	if unhealthy {
		l.poolZoneTotals[poolZone] = sum
	}
}

// update plans the parts by the demand of now, where a picture tells it.
func (l *healthLimits) update(aggregate *demand.Aggregate, now time.Time) {
	l.allowed = make(map[demand.ZonePool]float64, len(l.poolZoneTotals))
	for poolZone, sum := range l.poolZoneTotals {
		waiting := 0.0
		if aggregate.Fresh(now) {
			waiting = aggregate.Loads[poolZone].InFlight
		}
		if sum.backends < minLocalBackends {
			sum = l.poolTotals[poolZone.Pool]
			if aggregate.Fresh(now) {
				waiting, _ = aggregate.PoolTotals(poolZone.Pool)
			}
		}
		l.allowed[poolZone] = shares.HealthLimit(sum.slots, sum.healthySlots, waiting)
	}
}

// allowedFraction is the part of what health takes off a back end that may be taken off.
func (l *healthLimits) allowedFraction(backend incarnation.ID) float64 {
	fraction, limited := l.allowed[l.poolZones[backend]]
	if !limited {
		return 1
	}
	return fraction
}
