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
	// minLocalBackends is how many back ends of a pool a zone must have to keep its new flows. With
	// fewer, retries are likely to hit the same failed back end again.
	minLocalBackends = 3
	// startupSpreadTime is how long a balancer that has just learned of its back ends spreads new
	// flows over all zones. After an outage all clients return at once, and the zones together can
	// take more than any one alone.
	startupSpreadTime = 3 * time.Second
	// defaultPolicy is the name of the policy for pools that have none of their own.
	defaultPolicy = "default"
	// unreportedAge stands for times that were never reported, in seconds.
	unreportedAge = 3600
)

// States of back ends as policies see them.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// weights computes the relative shares of new flows that back ends take in one table: by the policy
// of their pool, else by the default policy, else by their zone and the observations. A policy that
// fails is skipped, so that a faulty program never stops traffic.
type weights struct {
	control *control
	zone    string
	// spreadAllZones is set while all zones get new flows with the same weight.
	spreadAllZones bool
	pools          map[string]*poolCapacity
	// programs holds the compiled policies of the pools looked up for this table; nil means none.
	programs map[string]*policy.Program
}

// newWeights collects the inputs for the weights of a table.
func (c *control) newWeights(evacuated map[string]uint64, now time.Time) *weights {
	zone := c.balancer.settings.Load().GetZone()
	disabled := c.balancer.disabled
	result := &weights{
		control:        c,
		zone:           zone,
		programs:       make(map[string]*policy.Program),
		spreadAllZones: now.Sub(c.firstRoutesAt) < startupSpreadTime && !disabled.Has(mechanism.SpreadAfterStart) || disabled.Has(mechanism.LocalZone),
	}
	c.measureCapacity(evacuated, now)
	result.pools = c.demand.capacity.pools
	c.weightInputs.beginTable(result.pools)
	c.weightInputs.weightedByShares = make(map[string]bool, len(result.pools))
	for pool := range result.pools {
		c.weightInputs.weightedByShares[pool] = result.usesPlannedShares(pool)
	}
	return result
}

// weightFunc returns a function that computes the weight of a back end.
func (c *control) weightFunc(evacuated map[string]uint64, now time.Time) func(directory.BackendEntry) uint32 {
	return c.newWeights(evacuated, now).backendWeight
}

// backendWeight returns the weight of a back end.
func (w *weights) backendWeight(backend directory.BackendEntry) uint32 {
	c := w.control
	if program := w.program(backend.GetPool()); program != nil {
		if weight, ok := c.evaluate(program, backend, backend.GetZone() == w.zone); ok {
			return weight
		}
	}
	weight := w.poolZoneWeight(directory.PoolZone{Pool: backend.GetPool(), Zone: backend.GetZone()})
	if !c.balancer.disabled.Has(mechanism.Health) {
		weight *= c.weightInputs.healthWeight(backend.Incarnation())
	}
	return uint32(math.Ceil(weight * rule.MaximumWeight))
}

// uniformWeight returns the weight of each back end of a pool zone, if all have the same.
func (w *weights) uniformWeight(poolZone directory.PoolZone) (weight uint32, uniform bool) {
	if w.program(poolZone.Pool) != nil || len(w.control.weightInputs.unhealthy) > 0 {
		return 0, false
	}
	return uint32(math.Ceil(w.poolZoneWeight(poolZone) * rule.MaximumWeight)), true
}

// poolZoneWeight returns the weight, from 0 to 1, of the healthy back ends of a pool zone.
func (w *weights) poolZoneWeight(poolZone directory.PoolZone) float64 {
	if w.spreadAllZones {
		return 1
	}
	return w.zoneWeight(poolZone)
}

// zoneChosenByWeights reports whether the weights alone choose the zone of a pool's new flows: this
// is so if the weights follow planned shares and the own zone keeps one. If the own zone has no
// back end, the weights of the other zones differ little, and choosing the least used back end of
// all zones avoids a partitioned zone before any balancer reports it: with one zone evacuated while
// another was partitioned, 129 more requests were late without this.
func (w *weights) zoneChosenByWeights(pool string) bool {
	return w.usesPlannedShares(pool) && w.poolShares(pool)[demand.Zone(w.zone)] > 0
}

// usesPlannedShares reports whether a pool's weights follow the planned shares. They do not if a
// policy applies, while new flows are spread after a start, or if the zone has few back ends.
func (w *weights) usesPlannedShares(pool string) bool {
	return !w.spreadAllZones && w.program(pool) == nil && w.poolShares(pool) != nil
}

// program returns the compiled policy of a pool, or nil if the zones decide.
func (w *weights) program(pool string) *policy.Program {
	program, cached := w.programs[pool]
	if !cached {
		program = w.control.policies.lookup(w.control.replica, pool)
		w.programs[pool] = program
	}
	return program
}

// poolShares returns the shares of a pool's new flows for each zone. It returns nil if none are
// planned, if the zone has too few back ends of its own, or if all entries were removed or have
// expired, in which case the former back ends take new flows for a while.
func (w *weights) poolShares(name string) map[demand.Zone]float64 {
	pool := w.pools[name]
	if pool == nil || pool.localBackends > 0 && pool.localBackends < minLocalBackends {
		return nil
	}
	return w.control.weightInputs.appliedShares[demand.Pool(name)]
}

// zoneWeight returns the weight, from 0 to 1, of a pool's back ends in a zone.
func (w *weights) zoneWeight(poolZone directory.PoolZone) float64 {
	if zoneShares := w.poolShares(poolZone.Pool); zoneShares != nil {
		return w.control.shareWeight(zoneShares, poolZoneOf(poolZone))
	}
	if poolZone.Zone == w.zone {
		return 1
	}
	return w.control.remoteWeight(poolZone.Pool, w.pools[poolZone.Pool])
}

// poolZoneOf converts a pool zone of the directory to one of package demand.
func poolZoneOf(poolZone directory.PoolZone) demand.PoolZone {
	return demand.PoolZone{Pool: demand.Pool(poolZone.Pool), Zone: demand.Zone(poolZone.Zone)}
}

// remoteWeight returns the weight, from 0 to 1, of a pool's back ends in other zones.
func (c *control) remoteWeight(name string, pool *poolCapacity) float64 {
	if pool == nil || pool.localBackends < minLocalBackends {
		return 1
	}
	remote := c.weightInputs.remoteShares[name]
	if c.balancer.disabled.Has(mechanism.ZoneSharing) {
		remote = shares.RemoteShare(0, pool.localSlots, pool.remoteSlots)
	}
	weight := shares.RemoteWeight(remote, pool.localBackends, pool.remoteBackends)
	return min(weight, 1)
}

func (c *control) evaluate(program *policy.Program, backend directory.BackendEntry, local bool) (uint32, bool) {
	health := c.weightInputs.unhealthy[backend.Incarnation()]
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
		Use:           c.weightInputs.utilization(backend.GetPool()),
	}
	if backend.GetDraining() {
		facts.MachineState = stateLeaving
	}
	outcome, err := program.Evaluate(facts)
	if err != nil {
		c.balancer.logger.Warn("Control: policy failed, zones decide the weight.", "pool", backend.GetPool(),
			"backend", backend.GetId(), "error", err)
		return 0, false
	}
	if outcome.Leaving {
		return 0, true
	}
	return uint32(math.Round(outcome.Weight * rule.MaximumWeight)), true
}

// policyCache holds compiled policies.
type policyCache struct {
	compiled map[string]*compiledPolicy
}

type compiledPolicy struct {
	policy  *apiv1.Policy
	program *policy.Program
}

// lookup returns the program for a pool, or nil if the zones decide.
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
