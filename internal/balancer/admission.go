package balancer

import (
	"maps"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// admissionState is what the control goroutine knows of admission.
type admissionState struct {
	controller *admission.Controller
	// priorities are those of the routes in force, by pool.
	priorities map[string][]admission.Priority
	pressures  pressureEstimator
	// overloaded are the pools that some flows are refused of.
	overloaded map[string]bool
	// saturatedUntil is until when pools that had no free slot count as saturated.
	saturatedUntil map[string]time.Time
}

func newAdmissionState() admissionState {
	return admissionState{controller: admission.NewController(), pressures: pressureEstimator{smoothedWaiting: newSmoothedWaiting()}, saturatedUntil: make(map[string]time.Time)}
}

// updateRoutes takes the routes that are in force.
func (a *admissionState) updateRoutes(table *apiv1.RouteTable) {
	a.priorities = make(map[string][]admission.Priority)
	for _, route := range table.GetRoutes() {
		for _, share := range route.GetPools() {
			priorities := a.priorities[share.GetPool()]
			if priority := admission.Priority(route.GetPriority()); !slices.Contains(priorities, priority) {
				a.priorities[share.GetPool()] = append(priorities, priority)
			}
		}
	}
}

// saturationHold is for how long a pool that had no free slot counts as saturated: until the
// answers of that time have been compared and forgotten.
const saturationHold = time.Second

// saturatedPools are the pools that are saturated, or were a moment ago.
func (a *admissionState) saturatedPools(zone demand.Zone, aggregate *demand.Aggregate, now time.Time) map[string]bool {
	for pool := range aggregate.ZonePools() {
		if a.pressures.saturated(pool, zone, aggregate) {
			a.saturatedUntil[string(pool)] = now.Add(saturationHold)
		}
	}
	saturated := make(map[string]bool)
	for pool, until := range a.saturatedUntil {
		if now.After(until) {
			delete(a.saturatedUntil, pool)
			continue
		}
		saturated[pool] = true
	}
	return saturated
}

// updateAdmission moves the gate by what was observed and hands its levels to traffic.
func (c *control) updateAdmission(summary *observe.Summary, now time.Time) {
	c.gate.pressures.addSummary(summary)
	aggregate := c.demand.aggregate.Load()
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	c.balancer.traffic.flows.Saturate(c.gate.saturatedPools(zone, aggregate, now))
	if c.balancer.disabled.Has(mechanism.Admission) {
		return
	}
	var demands []admission.PoolState
	for pool := range aggregate.ZonePools() {
		if priorities := c.gate.priorities[string(pool)]; len(priorities) > 0 {
			pressure := c.gate.pressures.estimate(pool, zone, aggregate, c.balancersByZone)
			demands = append(demands, admission.PoolState{Pool: string(pool), Priorities: priorities, Pressure: pressure})
		}
	}
	rejections := c.gate.controller.Update(demands, now)
	c.logOverloadChanges(rejections, aggregate, now)
	c.balancer.traffic.flows.Admit(rejections)
}

// logOverloadChanges tells which pools began or ceased to be short of room.
func (c *control) logOverloadChanges(rejections *admission.Refusals, aggregate *demand.Aggregate, now time.Time) {
	overloaded := make(map[string]bool)
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	for _, rejection := range rejections.All() {
		if !overloaded[rejection.Pool] && !c.gate.overloaded[rejection.Pool] {
			waiting, slots := aggregate.PoolTotals(demand.Pool(rejection.Pool))
			c.balancer.logger.Warn("Control: pool is short of room.", "pool", rejection.Pool, "urgency", uint64(rejection.Priority),
				"refused_part", rounded(rejection.Fraction), "pressure", rounded(rejection.Pressure.RequestsPerSlot),
				"pressure_age", rejection.Pressure.Age(now).Round(time.Millisecond), "waiting", rounded(waiting), "room", rounded(slots),
				"waiting_here", rounded(c.gate.pressures.waiting[rejection.Pool]),
				"zone_part", rounded(zoneRequestFraction(demand.Pool(rejection.Pool), zone, aggregate)), "zone_balancers", aggregate.ZoneBalancers[zone])
		}
		overloaded[rejection.Pool] = true
	}
	for pool := range c.gate.overloaded {
		if !overloaded[pool] {
			c.balancer.logger.Info("Control: pool has room again.", "pool", pool)
		}
	}
	c.gate.overloaded = overloaded
}

// refusalCounters counts the flows that were refused for want of room, by pool and urgency. Any
// goroutine may use it; a refused flow costs its lock and no more.
type refusalCounters struct {
	mutex  sync.Mutex
	counts map[refusalKey]uint64
}

// refusalKey is a pool and an urgency.
type refusalKey struct {
	pool     string
	priority admission.Priority
}

func (r *refusalCounters) increment(rejection *admission.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusalKey]uint64)
	}
	r.counts[refusalKey{pool: rejection.Pool, priority: rejection.Priority}]++
}

func (r *refusalCounters) snapshot() map[refusalKey]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}
