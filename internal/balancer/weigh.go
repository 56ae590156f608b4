package balancer

import (
	"math"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/policy"
	"github.com/indigobarrow/indigobarrow/internal/rule"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

const (
	// minLocalBackends is how many back ends of a pool a zone must have to keep its
	// new flows. With fewer, one that dies is met again by each retry.
	minLocalBackends = 3
	// startupSpreadTime is for how long a balancer that has just learned of its back
	// ends spreads new flows over all zones. After an outage all clients come
	// back at once, and the zones together take more than each alone.
	startupSpreadTime = 3 * time.Second
	// defaultPolicy names the policy of pools that have none of their own.
	defaultPolicy = "default"
	// unreportedAge stands for times that nobody has reported, in seconds.
	unreportedAge = 3600
)

// Back ends as policies know them.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// weights are the relative shares of new flows that back ends take in one table: by the
// policy of their pool, else by the default policy, else by their zone and what is
// observed. A policy that fails is passed over, so that a bad program never stops
// traffic.
type weights struct {
	control *control
	zone    string
	// spreadAllZones is set while all zones take new flows alike.
	spreadAllZones bool
	pools          map[string]*poolCapacity
	// programs are those of the pools that were looked up for this table, nil for none.
	programs map[string]*policy.Program
}

// newWeights collects what the weights of a table depend on.
func (c *control) newWeights(evacuated map[string]uint64, now time.Time) *weights {
	zone := c.balancer.settings.Load().GetZone()
	off := c.balancer.disabled
	result := &weights{
		control:        c,
		zone:           zone,
		programs:       make(map[string]*policy.Program),
		spreadAllZones: now.Sub(c.firstRoutesAt) < startupSpreadTime && !off.Has(mechanism.SpreadAfterStart) || off.Has(mechanism.LocalZone),
	}
	c.measureCapacity(evacuated, now)
	result.pools = c.demand.capacity.pools
	c.observed.beginTable(result.pools)
	c.observed.weightedByShares = make(map[string]bool, len(result.pools))
	for pool := range result.pools {
		c.observed.weightedByShares[pool] = result.usesPlannedShares(pool)
	}
	return result
}

// weightFunc gives the weight of a back end.
func (c *control) weightFunc(evacuated map[string]uint64, now time.Time) func(directory.BackendEntry) uint32 {
	return c.newWeights(evacuated, now).weight
}

// weight is the weight of a back end.
func (w *weights) weight(backend directory.BackendEntry) uint32 {
	c := w.control
	if program := w.program(backend.GetPool()); program != nil {
		if weight, ok := c.evaluate(program, backend, backend.GetZone() == w.zone); ok {
			return weight
		}
	}
	weight := w.poolZoneWeight(directory.Place{Pool: backend.GetPool(), Zone: backend.GetZone()})
	if !c.balancer.disabled.Has(mechanism.Health) {
		weight *= c.observed.healthWeight(backend.Incarnation())
	}
	return uint32(math.Ceil(weight * rule.MaximumWeight))
}

// uniformWeight is the weight of each back end of a place, where all have the same.
func (w *weights) uniformWeight(poolZone directory.Place) (weight uint32, uniform bool) {
	if w.program(poolZone.Pool) != nil || len(w.control.observed.unhealthy) > 0 {
		return 0, false
	}
	return uint32(math.Ceil(w.poolZoneWeight(poolZone) * rule.MaximumWeight)), true
}

// poolZoneWeight is the weight, 0 to 1, of a place's back ends that are well.
func (w *weights) poolZoneWeight(poolZone directory.Place) float64 {
	if w.spreadAllZones {
		return 1
	}
	return w.zoneWeight(poolZone)
}

// zoneChosenByWeights tells whether the weights alone choose the zone of a pool's new flows: where they
// are the parts that were planned, and the own zone keeps one. Where it has no back end, the
// weights of the others differ little, and the least used among all shows a zone that is cut
// off before anybody tells: with a zone evacuated while another was cut off, 129 more requests
// were late without.
func (w *weights) zoneChosenByWeights(pool string) bool {
	return w.usesPlannedShares(pool) && w.plannedShares(pool)[demand.Zone(w.zone)] > 0
}

// usesPlannedShares tells whether a pool's weights are the parts that were planned. A policy, the spread
// after a start, and few back ends in the zone are weighed otherwise.
func (w *weights) usesPlannedShares(pool string) bool {
	return !w.spreadAllZones && w.program(pool) == nil && w.plannedShares(pool) != nil
}

// program is the policy of a pool, or nil when the zones decide.
func (w *weights) program(pool string) *policy.Program {
	program, cached := w.programs[pool]
	if !cached {
		program = w.control.programs.lookup(w.control.directory, pool)
		w.programs[pool] = program
	}
	return program
}

// plannedShares are the parts of a pool's new flows for each zone, or nil where none are
// planned, the zone has too few back ends of its own, or all entries have vanished or
// lapsed, and those that were take new flows for a while.
func (w *weights) plannedShares(name string) map[demand.Zone]float64 {
	pool := w.pools[name]
	if pool == nil || pool.localBackends > 0 && pool.localBackends < minLocalBackends {
		return nil
	}
	return w.control.observed.appliedShares[demand.Pool(name)]
}

// zoneWeight is the weight, 0 to 1, of a pool's back ends in a zone.
func (w *weights) zoneWeight(poolZone directory.Place) float64 {
	if zoneShares := w.plannedShares(poolZone.Pool); zoneShares != nil {
		return w.control.shareWeight(zoneShares, poolZoneOf(poolZone))
	}
	if poolZone.Zone == w.zone {
		return 1
	}
	return w.control.remoteWeight(poolZone.Pool, w.pools[poolZone.Pool])
}

// poolZoneOf is a place of the directory as demand knows it.
func poolZoneOf(poolZone directory.Place) demand.ZonePool {
	return demand.ZonePool{Pool: demand.Pool(poolZone.Pool), Zone: demand.Zone(poolZone.Zone)}
}

// remoteWeight is the weight, 0 to 1, of a pool's back ends in other zones.
func (c *control) remoteWeight(name string, pool *poolCapacity) float64 {
	if pool == nil || pool.localBackends < minLocalBackends {
		return 1
	}
	remote := c.observed.remoteShares[name]
	if c.balancer.disabled.Has(mechanism.ZoneSharing) {
		remote = shares.RemoteShare(0, pool.localSlots, pool.remoteSlots)
	}
	weight := shares.RemoteWeight(remote, pool.localBackends, pool.remoteBackends)
	return min(weight, 1)
}

func (c *control) evaluate(program *policy.Program, backend directory.BackendEntry, local bool) (uint32, bool) {
	health := c.observed.unhealthy[backend.Incarnation()]
	facts := policy.Facts{
		Name:          backend.GetId(),
		Zone:          backend.GetZone(),
		MachineState:  stateLive,
		Healthy:       true,
		ReportAge:     unreportedAge,
		UpSeconds:     unreportedAge,
		Local:         local,
		Capacity:      float64(backend.GetCapacity()),
		WarmupSeconds: (time.Duration(backend.GetWarmupMilliseconds()) * time.Millisecond).Seconds(),
		Failing:       health.Failing,
		Slow:          health.Slow,
		Use:           c.observed.utilization(backend.GetPool()),
	}
	if backend.GetDraining() {
		facts.MachineState = stateLeaving
	}
	outcome, err := program.Evaluate(facts)
	if err != nil {
		c.balancer.logger.Warn("Control: policy failed, zones decide.", "pool", backend.GetPool(),
			"backend", backend.GetId(), "error", err)
		return 0, false
	}
	if outcome.Leaving {
		return 0, true
	}
	return uint32(math.Round(outcome.Weight * rule.MaximumWeight)), true
}

// policyCache keeps policies compiled.
type policyCache struct {
	compiled map[string]*compiledPolicy
}

type compiledPolicy struct {
	policy  *apiv1.Policy
	program *policy.Program
}

// lookup returns the program for a pool, or nil when the zones decide.
func (p *policyCache) lookup(dir *directory.Directory, pool string) *policy.Program {
	source := dir.Policy(pool)
	if source == nil {
		source = dir.Policy(defaultPolicy)
	}
	if source == nil {
		return nil
	}
	cached := p.compiled[source.GetName()]
	if cached == nil || cached.policy != source {
		program, err := policy.Compile(source)
		if err != nil {
			program = nil
		}
		cached = &compiledPolicy{policy: source, program: program}
		p.compiled[source.GetName()] = cached
	}
	return cached.program
}
