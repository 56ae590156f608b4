package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// healthLimits bounds how much the weights of unhealthy back ends are reduced, by the load that the
// other back ends can take. A pool zone with at least minLocalBackends back ends has a limit of its
// own, since zones keep their new flows; the others share the limit of their whole pool.
type healthLimits struct {
	// poolZones maps each unhealthy back end in the directory to its pool zone.
	poolZones map[incarnation.ID]demand.PoolZone
	// poolZoneTotals covers the pool zones that have unhealthy back ends, and poolTotals their
	// pools.
	poolZoneTotals map[demand.PoolZone]slotTotals
	poolTotals     map[demand.Pool]slotTotals
	// allowed is the fraction of the weight reduction for health that may be applied, by pool zone.
	// Pool zones that are not in the map have no limit.
	allowed map[demand.PoolZone]float64
}

// slotTotals is the number of requests that a group of back ends that take new flows, those of a
// pool zone or a pool, can handle at once.
type slotTotals struct {
	backends int
	// slots counts the slots of all back ends, and healthySlots those that remain after the
	// reduction for health.
	slots, healthySlots float64
}

func (s slotTotals) plus(other slotTotals) slotTotals {
	return slotTotals{backends: s.backends + other.backends, slots: s.slots + other.slots, healthySlots: s.healthySlots + other.healthySlots}
}

// computeHealthLimits sums up the back ends that take new flows, for each new table.
func (c *control) computeHealthLimits(evacuated map[string]uint64, warmup *warmupState, now time.Time) {
	result := healthLimits{
		poolZones:      make(map[incarnation.ID]demand.PoolZone, len(c.weightInputs.unhealthy)),
		poolZoneTotals: make(map[demand.PoolZone]slotTotals),
		poolTotals:     make(map[demand.Pool]slotTotals),
	}
	if len(c.weightInputs.unhealthy) > 0 {
		for _, group := range c.replica.BackendGroups() {
			if _, isEvacuated := evacuated[group.Zone]; !isEvacuated {
				result.addGroup(group, &c.weightInputs, warmup, now)
			}
		}
	}
	result.update(c.demand.aggregate.Load(), now)
	c.weightInputs.limits = result
}

// addGroup adds the back ends of a group. Cold back ends can handle little load and do not count as
// capacity.
func (l *healthLimits) addGroup(group *directory.BackendGroup, inputs *weightInputs, warmup *warmupState, now time.Time) {
	poolZone, sum, unhealthy := poolZoneOf(group.PoolZone), slotTotals{}, false
	for _, backend := range group.Entries {
		if backend.Gone || backend.GetDraining() || warmup.limited() && now.Before(warmup.warmTime(backend)) {
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

// update computes the allowed fractions for the current demand. Without a fresh aggregate it counts
// no requests in flight.
func (l *healthLimits) update(aggregate *demand.Aggregate, now time.Time) {
	l.allowed = make(map[demand.PoolZone]float64, len(l.poolZoneTotals))
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

// allowedFraction returns the fraction of a back end's weight reduction for health that may be
// applied.
func (l *healthLimits) allowedFraction(backend incarnation.ID) float64 {
	fraction, limited := l.allowed[l.poolZones[backend]]
	if !limited {
		return 1
	}
	return fraction
}
