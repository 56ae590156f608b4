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
	controller *admission.Gate
	// priorities are those of the routes in force, by pool.
	priorities map[string][]admission.Urgency
	pressures  pressureEstimator
	// overloaded are the pools that some flows are refused of.
	overloaded map[string]bool
	// saturatedUntil is until when pools that had no free slot count as saturated.
	saturatedUntil map[string]time.Time
}

func newAdmissionState() admissionState {
	return admissionState{controller: admission.NewGate(), pressures: pressureEstimator{followed: newFollowed()}, saturatedUntil: make(map[string]time.Time)}
}

// updateRoutes takes the routes that are in force.
func (g *admissionState) updateRoutes(table *apiv1.RouteTable) {
	g.priorities = make(map[string][]admission.Urgency)
	for _, route := range table.GetRoutes() {
		for _, share := range route.GetPools() {
			known := g.priorities[share.GetPool()]
			if urgency := admission.Urgency(route.GetPriority()); !slices.Contains(known, urgency) {
				g.priorities[share.GetPool()] = append(known, urgency)
			}
		}
	}
}

// saturationHold is for how long a pool that had no free slot counts as saturated: until the
// answers of that time have been compared and forgotten.
const saturationHold = time.Second

// saturatedPools are the pools that are saturated, or were a moment ago.
func (g *admissionState) saturatedPools(zone demand.Zone, picture *demand.Picture, now time.Time) map[string]bool {
	for pool := range picture.Pools() {
		if g.pressures.saturated(pool, zone, picture) {
			g.saturatedUntil[string(pool)] = now.Add(saturationHold)
		}
	}
	found := make(map[string]bool)
	for pool, until := range g.saturatedUntil {
		if now.After(until) {
			delete(g.saturatedUntil, pool)
			continue
		}
		found[pool] = true
	}
	return found
}

// updateAdmission moves the gate by what was observed and hands its levels to traffic.
func (c *control) updateAdmission(summary *observe.Summary, now time.Time) {
	c.gate.pressures.addSummary(summary)
	picture := c.demand.aggregate.Load()
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	c.balancer.traffic.flows.Saturate(c.gate.saturatedPools(zone, picture, now))
	if c.balancer.off.Has(mechanism.Admission) {
		return
	}
	var demands []admission.Demand
	for pool := range picture.Pools() {
		if urgencies := c.gate.priorities[string(pool)]; len(urgencies) > 0 {
			pressure := c.gate.pressures.estimate(pool, zone, picture, c.listed)
			demands = append(demands, admission.Demand{Pool: string(pool), Urgencies: urgencies, Pressure: pressure})
		}
	}
	levels := c.gate.controller.Step(demands, now)
	c.logOverloadChanges(levels, picture, now)
	c.balancer.traffic.flows.Admit(levels)
}

// logOverloadChanges tells which pools began or ceased to be short of room.
func (c *control) logOverloadChanges(levels *admission.Levels, picture *demand.Picture, now time.Time) {
	short := make(map[string]bool)
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	for _, level := range levels.All() {
		if !short[level.Pool] && !c.gate.overloaded[level.Pool] {
			waiting, room := picture.Whole(demand.Pool(level.Pool))
			c.balancer.logger.Warn("Control: pool is short of room.", "pool", level.Pool, "urgency", uint64(level.Urgency),
				"refused_part", rounded(level.Refused), "pressure", rounded(level.Pressure.Waiting),
				"pressure_age", level.Pressure.Age(now).Round(time.Millisecond), "waiting", rounded(waiting), "room", rounded(room),
				"waiting_here", rounded(c.gate.pressures.waiting[level.Pool]),
				"zone_part", rounded(zoneRequestFraction(demand.Pool(level.Pool), zone, picture)), "zone_balancers", picture.Zones[zone])
		}
		short[level.Pool] = true
	}
	for pool := range c.gate.overloaded {
		if !short[pool] {
			c.balancer.logger.Info("Control: pool has room again.", "pool", pool)
		}
	}
	c.gate.overloaded = short
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
	priority admission.Urgency
}

func (r *refusalCounters) increment(level *admission.Level) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusalKey]uint64)
	}
	r.counts[refusalKey{pool: level.Pool, priority: level.Urgency}]++
}

func (r *refusalCounters) snapshot() map[refusalKey]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}
