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

// admissionState is the control goroutine's state for admission control.
type admissionState struct {
	controller *admission.Controller
	// priorities are those of the routes in force, by pool.
	priorities        map[string][]admission.Priority
	pressureEstimator pressureEstimator
	// overloaded is the set of pools for which some new flows are refused.
	overloaded map[string]bool
	// saturatedUntil is, for each pool that recently had no free slot, the time until which it
	// counts as saturated.
	saturatedUntil map[string]time.Time
}

func newAdmissionState() admissionState {
	return admissionState{controller: admission.NewController(), pressureEstimator: pressureEstimator{smoothedInFlight: newSmoothedInFlight()}, saturatedUntil: make(map[string]time.Time)}
}

// updateRoutes collects each pool's priorities from the routes in force.
func (a *admissionState) updateRoutes(table *apiv1.RouteTable) {
	a.priorities = make(map[string][]admission.Priority)
	for _, route := range table.GetRoutes() {
		for _, share := range route.GetPools() {
			existing := a.priorities[share.GetPool()]
			if priority := admission.Priority(route.GetPriority()); !slices.Contains(existing, priority) {
				a.priorities[share.GetPool()] = append(existing, priority)
			}
		}
	}
}

// saturationHold is how long a pool that had no free slot still counts as saturated: until the
// responses of that time have been compared and discarded.
const saturationHold = time.Second

// saturatedPools returns the pools that are saturated or were within saturationHold.
func (a *admissionState) saturatedPools(zone demand.Zone, aggregate *demand.Aggregate, now time.Time) map[string]bool {
	for pool := range aggregate.PoolZones() {
		if a.pressureEstimator.saturated(pool, zone, aggregate) {
			a.saturatedUntil[string(pool)] = now.Add(saturationHold)
		}
	}
	pools := make(map[string]bool)
	for pool, until := range a.saturatedUntil {
		if now.After(until) {
			delete(a.saturatedUntil, pool)
			continue
		}
		pools[pool] = true
	}
	return pools
}

// updateAdmission updates the admission controller from the latest summary and passes the resulting
// refusal fractions to the traffic goroutine.
func (c *control) updateAdmission(summary *observe.Summary, now time.Time) {
	c.admission.pressureEstimator.addSummary(summary)
	aggregate := c.demand.aggregate.Load()
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	c.balancer.traffic.flows.SetSaturatedPools(c.admission.saturatedPools(zone, aggregate, now))
	if c.balancer.disabled.Has(mechanism.Admission) {
		return
	}
	var demands []admission.PoolState
	for pool := range aggregate.PoolZones() {
		if priorities := c.admission.priorities[string(pool)]; len(priorities) > 0 {
			pressure := c.admission.pressureEstimator.estimate(pool, zone, aggregate, c.balancersByZone)
			demands = append(demands, admission.PoolState{Pool: string(pool), Priorities: priorities, Pressure: pressure})
		}
	}
	refusals := c.admission.controller.Update(demands, now)
	c.logOverloadChanges(refusals, aggregate, now)
	c.balancer.traffic.flows.SetRefusals(refusals)
}

// logOverloadChanges logs which pools have become overloaded and which have recovered.
func (c *control) logOverloadChanges(refusals *admission.Refusals, aggregate *demand.Aggregate, now time.Time) {
	overloaded := make(map[string]bool)
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	for _, refusal := range refusals.All() {
		if !overloaded[refusal.Pool] && !c.admission.overloaded[refusal.Pool] {
			waiting, slots := aggregate.PoolTotals(demand.Pool(refusal.Pool))
			c.balancer.logger.Warn("Control: pool is short of room.", "pool", refusal.Pool, "urgency", uint64(refusal.Priority),
				"refused_part", rounded(refusal.Fraction), "pressure", rounded(refusal.Pressure.RequestsPerSlot),
				"pressure_age", refusal.Pressure.Age(now).Round(time.Millisecond), "waiting", rounded(waiting), "room", rounded(slots),
				"waiting_here", rounded(c.admission.pressureEstimator.inFlight[refusal.Pool]),
				"zone_part", rounded(zoneRequestFraction(demand.Pool(refusal.Pool), zone, aggregate)), "zone_balancers", aggregate.ZoneBalancers[zone])
		}
		overloaded[refusal.Pool] = true
	}
	for pool := range c.admission.overloaded {
		if !overloaded[pool] {
			c.balancer.logger.Info("Control: pool has room again.", "pool", pool)
		}
	}
	c.admission.overloaded = overloaded
}

// refusalCounters counts the flows refused for lack of capacity, by pool and priority. It is safe
// for concurrent use; counting a refused flow costs no more than taking the lock.
type refusalCounters struct {
	mutex  sync.Mutex
	counts map[refusalKey]uint64
}

// refusalKey identifies a counter by pool and priority.
type refusalKey struct {
	pool     string
	priority admission.Priority
}

func (r *refusalCounters) increment(refusal *admission.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusalKey]uint64)
	}
	r.counts[refusalKey{pool: refusal.Pool, priority: refusal.Priority}]++
}

func (r *refusalCounters) snapshot() map[refusalKey]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}
