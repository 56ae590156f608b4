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
	// demandTimeConstant is the time constant of the smoothed estimate of demand.
	demandTimeConstant = time.Second
	// minShareChange is the change of a pool's remote share, or of a zone's planned share, above
	// which a new table is built.
	minShareChange = 0.05
	// minHealthWeightChange is the same for the weight of a back end.
	minHealthWeightChange = 0.1
	// summaryMaxAge is how old a summary may be. A balancer that handles no packets produces none.
	summaryMaxAge = 2 * time.Second
)

// weightInputs holds the observations that tables are built from: the demand on each pool, and the
// unhealthy back ends. Demand is the number of requests from this zone's clients that are waiting
// for a response at a time. Routers spread a zone's packets evenly over its balancers, so each of n
// balancers sees one n-th of them.
type weightInputs struct {
	smoothedInFlight
	// pools and remoteShares are what the table in force was built with, by pool: the back ends,
	// and the share of new flows that goes to other zones.
	pools        map[string]*poolCapacity
	remoteShares map[string]float64
	// plannedShares are the shares of a pool's new flows for each zone by the latest aggregate, and
	// appliedShares those that the table in force was built with. Pools that are in no aggregate
	// have none.
	plannedShares, appliedShares map[demand.Pool]map[demand.Zone]float64
	// weightedByShares holds the pools whose weights in the table in force follow planned shares.
	weightedByShares map[string]bool
	// unhealthy holds the back ends whose responses differ from those of the others, and
	// appliedHealthWeights the factors below 1 that the table in force was built with.
	unhealthy            map[incarnation.ID]observe.Health
	appliedHealthWeights map[incarnation.ID]float64
	// limits bounds the weight reduction for health.
	limits healthLimits
	// zoneBalancers is the number of balancers in the zone, this one included.
	zoneBalancers int
}

func newWeightInputs() weightInputs {
	return weightInputs{smoothedInFlight: newSmoothedInFlight(), remoteShares: make(map[string]float64),
		appliedHealthWeights: make(map[incarnation.ID]float64), zoneBalancers: 1}
}

// beginTable records the back ends and shares that a new table is built with.
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
	return shares.RemoteShare(w.inFlight[name]*float64(w.zoneBalancers), capacity.localSlots, capacity.remoteSlots)
}

// update updates the demand from a summary and reports whether the table should be rebuilt.
func (w *weightInputs) update(summary *observe.Summary, now time.Time) bool {
	if summary == nil || now.Sub(summary.At) > summaryMaxAge {
		clear(w.inFlight)
		return false
	}
	if !w.smoothedInFlight.update(summary, demandTimeConstant) {
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

// evaluateHealth evaluates the findings of the given number of balancers about back ends, and
// reports whether the table should be rebuilt.
func (w *weightInputs) evaluateHealth(findings map[incarnation.ID]observe.Finding, observers int) bool {
	unhealthy := make(map[incarnation.ID]observe.Health, len(w.unhealthy))
	for backend, finding := range findings {
		if health := finding.Health(observers, w.unhealthy[backend]); !health.Healthy() {
			unhealthy[backend] = health
		}
	}
	w.unhealthy = unhealthy
	return w.healthChanged()
}

// healthWeight returns the factor that health applies to the weight of a back end.
func (w *weightInputs) healthWeight(backend incarnation.ID) float64 {
	health, unhealthy := w.unhealthy[backend]
	if !unhealthy {
		return 1
	}
	return shares.LimitedWeight(shares.HealthWeight(health), w.limits.allowedFraction(backend))
}

// utilization returns the fraction of a pool's slots in this zone that are in use.
func (w *weightInputs) utilization(name string) float64 {
	pool := w.pools[name]
	if pool == nil || pool.localSlots == 0 {
		return 0
	}
	return w.inFlight[name] * float64(w.zoneBalancers) / pool.localSlots
}

// healthChanged reports whether the weight of a back end has changed enough for a new table.
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

// setPlannedShares sets the shares of new flows for each zone, and reports whether any differs
// enough from those in force.
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

// sharesDiffer reports whether the share of a zone differs by more than minShareChange from that in
// other. Zones that only other has are not compared.
func sharesDiffer(shares, other map[demand.Zone]float64) bool {
	for zone, share := range shares {
		if math.Abs(share-other[zone]) > minShareChange {
			return true
		}
	}
	return false
}

// inFlightByPool returns the demand by pool, for the log.
func (w *weightInputs) inFlightByPool() map[string]float64 {
	byPool := make(map[string]float64, len(w.inFlight))
	for pool, waiting := range w.inFlight {
		byPool[pool] = math.Round(waiting*float64(w.zoneBalancers)*10) / 10
	}
	return byPool
}
