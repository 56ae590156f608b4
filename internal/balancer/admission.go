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

// gate is what the control goroutine knows of admission.
type gate struct {
	core *admission.Controller
	// urgencies are those of the routes in force, by pool.
	urgencies map[string][]admission.Priority
	pressures pressures
	// short are the pools that some flows are refused of.
	short map[string]bool
	// saturatedUntil is until when pools that had no free slot count as saturated.
	saturatedUntil map[string]time.Time
}

func newGate() gate {
	return gate{core: admission.NewController(), pressures: pressures{smoothedInFlight: newSmoothedInFlight()}, saturatedUntil: make(map[string]time.Time)}
}

// takeRoutes takes the routes that are in force.
func (g *gate) takeRoutes(table *apiv1.RouteTable) {
	g.urgencies = make(map[string][]admission.Priority)
	for _, route := range table.GetRoutes() {
		for _, share := range route.GetPools() {
			known := g.urgencies[share.GetPool()]
			if urgency := admission.Priority(route.GetPriority()); !slices.Contains(known, urgency) {
				g.urgencies[share.GetPool()] = append(known, urgency)
			}
		}
	}
}

// saturatedFor is for how long a pool that had no free slot counts as saturated: until the
// answers of that time have been compared and forgotten.
const saturatedFor = time.Second

// saturated are the pools that are saturated, or were a moment ago.
func (g *gate) saturated(zone demand.Zone, picture *demand.Aggregate, now time.Time) map[string]bool {
	for pool := range picture.ZonePools() {
		if g.pressures.saturated(pool, zone, picture) {
			g.saturatedUntil[string(pool)] = now.Add(saturatedFor)
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

// admit moves the gate by what was observed and hands its levels to traffic.
func (c *control) admit(summary *observe.Summary, now time.Time) {
	c.gate.pressures.follow(summary)
	picture := c.demand.picture.Load()
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	c.balancer.traffic.flows.Saturate(c.gate.saturated(zone, picture, now))
	if c.balancer.disabled.Has(mechanism.Admission) {
		return
	}
	var demands []admission.PoolState
	for pool := range picture.ZonePools() {
		if urgencies := c.gate.urgencies[string(pool)]; len(urgencies) > 0 {
			pressure := c.gate.pressures.on(pool, zone, picture, c.balancersByZone)
			demands = append(demands, admission.PoolState{Pool: string(pool), Priorities: urgencies, Pressure: pressure})
		}
	}
	levels := c.gate.core.Update(demands, now)
	c.tellShort(levels, picture, now)
	c.balancer.traffic.flows.Admit(levels)
}

// tellShort tells which pools began or ceased to be short of room.
func (c *control) tellShort(levels *admission.Refusals, picture *demand.Aggregate, now time.Time) {
	short := make(map[string]bool)
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	for _, level := range levels.All() {
		if !short[level.Pool] && !c.gate.short[level.Pool] {
			waiting, room := picture.PoolTotals(demand.Pool(level.Pool))
			c.balancer.logger.Warn("Control: pool is short of room.", "pool", level.Pool, "urgency", uint64(level.Priority),
				"refused_part", rounded(level.Fraction), "pressure", rounded(level.Pressure.RequestsPerSlot),
				"pressure_age", level.Pressure.Age(now).Round(time.Millisecond), "waiting", rounded(waiting), "room", rounded(room),
				"waiting_here", rounded(c.gate.pressures.inFlight[level.Pool]),
				"zone_part", rounded(askedPart(demand.Pool(level.Pool), zone, picture)), "zone_balancers", picture.ZoneBalancers[zone])
		}
		short[level.Pool] = true
	}
	for pool := range c.gate.short {
		if !short[pool] {
			c.balancer.logger.Info("Control: pool has room again.", "pool", pool)
		}
	}
	c.gate.short = short
}

// refusals counts the flows that were refused for want of room, by pool and urgency. Any
// goroutine may use it; a refused flow costs its lock and no more.
type refusals struct {
	mutex  sync.Mutex
	counts map[refusedKind]uint64
}

// refusedKind is a pool and an urgency.
type refusedKind struct {
	pool    string
	urgency admission.Priority
}

func (r *refusals) count(level *admission.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[refusedKind]uint64)
	}
	r.counts[refusedKind{pool: level.Pool, urgency: level.Priority}]++
}

func (r *refusals) all() map[refusedKind]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}
