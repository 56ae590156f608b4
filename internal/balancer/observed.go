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
	smoothedWaiting
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
	return weightInputs{smoothedWaiting: newSmoothedWaiting(), remoteShares: make(map[string]float64),
		appliedHealthWeights: make(map[incarnation.ID]float64), zoneBalancers: 1}
}

// beginTable takes the back ends that a new table is made with.
func (w *weightInputs) beginTable(pools map[string]*poolCapacity) {
	w.pools = pools
	w.appliedShares = w.plannedShares
	clear(w.appliedHealthWeights)
	for backend := range w.unhealthy {
		w.appliedHealthWeights[backend] = w.healthWeight(backend)
	}
	clear(w.remoteShares)
	for name, pool := range pools {
		w.remoteShares[name] = w.remoteShare(name, pool)
	}
}

func (w *weightInputs) remoteShare(name string, capacity *poolCapacity) float64 {
	return shares.RemoteShare(w.waiting[name]*float64(w.zoneBalancers), capacity.localSlots, capacity.remoteSlots)
}

// applySummary follows a summary and tells whether the table should be made anew.
func (w *weightInputs) applySummary(summary *observe.Summary, now time.Time) bool {
	if summary == nil || now.Sub(summary.At) > summaryMaxAge {
		clear(w.waiting)
		return false
	}
	if !w.smoothedWaiting.update(summary, demandTimeConstant) {
		return false
	}
	changed := false
	for name := range summary.InFlight {
		if pool := w.pools[name]; pool != nil && !w.weightedByShares[name] {
			changed = changed || math.Abs(w.remoteShare(name, pool)-w.remoteShares[name]) > minShareChange
		}
	}
	return changed
}

// updateHealth takes what so many balancers found of back ends, and tells whether the table
// should be made anew.
func (w *weightInputs) updateHealth(findings map[incarnation.ID]observe.Finding, observers int) bool {
	unhealthy := make(map[incarnation.ID]observe.Health, len(w.unhealthy))
	for backend, finding := range findings {
		if health := finding.Health(observers, w.unhealthy[backend]); !health.Healthy() {
			unhealthy[backend] = health
		}
	}
	w.unhealthy = unhealthy
	return w.healthChanged()
}

// healthWeight is the factor for the weight of a back end.
func (w *weightInputs) healthWeight(backend incarnation.ID) float64 {
	health, unhealthy := w.unhealthy[backend]
	if !unhealthy {
		return 1
	}
	return shares.LimitedWeight(shares.HealthWeight(health), w.limits.allowedFraction(backend))
}

// utilization is the part of the slots of a pool in this zone that are in use.
func (w *weightInputs) utilization(name string) float64 {
	pool := w.pools[name]
	if pool == nil || pool.localSlots == 0 {
		return 0
	}
	return w.waiting[name] * float64(w.zoneBalancers) / pool.localSlots
}

// healthChanged tells whether the weight of a back end moves by enough.
func (w *weightInputs) healthChanged() bool {
	for backend := range w.unhealthy {
		if applied, found := w.appliedHealthWeights[backend]; !found || math.Abs(w.healthWeight(backend)-applied) > minHealthWeightChange {
			return true
		}
	}
	for backend := range w.appliedHealthWeights {
		if w.unhealthy[backend].Healthy() {
			return true
		}
	}
	return false
}

// setPlannedShares takes the parts of new flows for each zone, and tells whether some move by enough.
func (w *weightInputs) setPlannedShares(planned map[demand.Pool]map[demand.Zone]float64) bool {
	w.plannedShares = planned
	if len(planned) != len(w.appliedShares) {
		return true
	}
	for pool, zones := range planned {
		applied, found := w.appliedShares[pool]
		if !found || sharesDiffer(zones, applied) || sharesDiffer(applied, zones) {
			return true
		}
	}
	return false
}

// sharesDiffer tells whether the part of a zone differs by enough from another one's. Zones that
// only the other one names are not looked at.
func sharesDiffer(shares, other map[demand.Zone]float64) bool {
	for zone, share := range shares {
		if math.Abs(share-other[zone]) > minShareChange {
			return true
		}
	}
	return false
}

// inFlightByPool is the demand by pool, for the log.
func (w *weightInputs) inFlightByPool() map[string]float64 {
	inFlight := make(map[string]float64, len(w.waiting))
	for pool, waiting := range w.waiting {
		inFlight[pool] = math.Round(waiting*float64(w.zoneBalancers)*10) / 10
	}
	return inFlight
}
