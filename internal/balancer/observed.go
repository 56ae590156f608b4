package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

const (
	// demandTimeConstant is how fast the estimate of demand follows what is observed.
	demandTimeConstant = time.Second
	// minShareChange is by how much the remote share of a pool must have changed for a
	// new table.
	minShareChange = 0.05
	// minHealthWeightChange is the same for the weight of a back end.
	minHealthWeightChange = 0.1
	// summaryMaxAge is how old a summary may be. A balancer without packets makes
	// none.
	summaryMaxAge = 2 * time.Second
)

// weightInputs is what was observed, as tables are made with it: the demand on each
// pool, and the back ends that are unwell. Demand is how many requests of this
// zone's clients wait at a time. Routers spread a zone's packets evenly over its
// balancers, so each sees one part in as many.
type weightInputs struct {
	followed
	// pools and remote are what the table in force was made with, by pool: the
	// back ends, and the share of new flows that goes to other zones.
	pools        map[string]*poolCapacity
	remoteShares map[string]float64
	// plannedShares are the parts of a pool's new flows for each zone by the latest picture, and
	// parts those that the table in force was made with; pools of which no picture tells
	// have none.
	plannedShares, appliedShares map[demand.Pool]map[demand.Zone]float64
	// weightedByShares are the pools whose weights in the table in force are by parts.
	weightedByShares map[string]bool
	// unhealthy are the back ends whose answers differ from the others', and
	// appliedHealthWeights the factors below 1 that the table in force was made with.
	unhealthy            map[incarnation.ID]observe.Health
	appliedHealthWeights map[incarnation.ID]float64
	// limits bound what is taken off by health.
	limits healthLimits
	// zoneBalancers is how many there are in the zone, this one included.
	zoneBalancers int
}

func newWeightInputs() weightInputs {
	return weightInputs{followed: newFollowed(), remoteShares: make(map[string]float64),
		appliedHealthWeights: make(map[incarnation.ID]float64), zoneBalancers: 1}
}

// beginTable takes the back ends that a new table is made with.
func (o *weightInputs) beginTable(zones map[string]*poolCapacity) {
	o.pools = zones
	o.appliedShares = o.plannedShares
	clear(o.appliedHealthWeights)
	for backend := range o.unhealthy {
		o.appliedHealthWeights[backend] = o.healthWeight(backend)
	}
	clear(o.remoteShares)
	for name, zone := range zones {
		o.remoteShares[name] = o.remoteShare(name, zone)
	}
}

func (o *weightInputs) remoteShare(pool string, zone *poolCapacity) float64 {
	return shares.Remote(o.waiting[pool]*float64(o.zoneBalancers), zone.localSlots, zone.remoteSlots)
}

// applySummary follows a summary and tells whether the table should be made anew.
func (o *weightInputs) applySummary(summary *observe.Summary, now time.Time) bool {
	if summary == nil || now.Sub(summary.At) > summaryMaxAge {
		clear(o.waiting)
		return false
	}
	if !o.followed.take(summary, demandTimeConstant) {
		return false
	}
	changed := false
	for pool := range summary.Waiting {
		if zone := o.pools[pool]; zone != nil && !o.weightedByShares[pool] {
			changed = changed || math.Abs(o.remoteShare(pool, zone)-o.remoteShares[pool]) > minShareChange
		}
	}
	return changed
}

// updateHealth takes what so many balancers found of back ends, and tells whether the table
// should be made anew.
func (o *weightInputs) updateHealth(found map[incarnation.ID]observe.Finding, observers int) bool {
	unwell := make(map[incarnation.ID]observe.Health, len(o.unhealthy))
	for backend, finding := range found {
		if health := finding.Health(observers, o.unhealthy[backend]); !health.Well() {
			unwell[backend] = health
		}
	}
	o.unhealthy = unwell
	return o.healthChanged()
}

// healthWeight is the factor for the weight of a back end.
func (o *weightInputs) healthWeight(backend incarnation.ID) float64 {
	health, unwell := o.unhealthy[backend]
	if !unwell {
		return 1
	}
	return shares.LimitedWeight(shares.HealthWeight(health), o.limits.allowedFraction(backend))
}

// utilization is the part of the slots of a pool in this zone that are in use.
func (o *weightInputs) utilization(pool string) float64 {
	zone := o.pools[pool]
	if zone == nil || zone.localSlots == 0 {
		return 0
	}
	return o.waiting[pool] * float64(o.zoneBalancers) / zone.localSlots
}

// healthChanged tells whether the weight of a back end moves by enough.
func (o *weightInputs) healthChanged() bool {
	for backend := range o.unhealthy {
		if applied, found := o.appliedHealthWeights[backend]; !found || math.Abs(o.healthWeight(backend)-applied) > minHealthWeightChange {
			return true
		}
	}
	for backend := range o.appliedHealthWeights {
		if o.unhealthy[backend].Well() {
			return true
		}
	}
	return false
}

// setPlannedShares takes the parts of new flows for each zone, and tells whether some move by enough.
func (o *weightInputs) setPlannedShares(parts map[demand.Pool]map[demand.Zone]float64) bool {
	o.plannedShares = parts
	if len(parts) != len(o.appliedShares) {
		return true
	}
	for pool, zones := range parts {
		applied, found := o.appliedShares[pool]
		if !found || sharesDiffer(zones, applied) || sharesDiffer(applied, zones) {
			return true
		}
	}
	return false
}

// sharesDiffer tells whether the part of a zone differs by enough from another one's. Zones that
// only the other one names are not looked at.
func sharesDiffer(parts, other map[demand.Zone]float64) bool {
	for zone, part := range parts {
		if math.Abs(part-other[zone]) > minShareChange {
			return true
		}
	}
	return false
}

// inFlightByPool is the demand by pool, for the log.
func (o *weightInputs) inFlightByPool() map[string]float64 {
	described := make(map[string]float64, len(o.waiting))
	for pool, waiting := range o.waiting {
		described[pool] = math.Round(waiting*float64(o.zoneBalancers)*10) / 10
	}
	return described
}
