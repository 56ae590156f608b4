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
	// localEnough is how many back ends of a pool a zone must have to keep its
	// new flows. With fewer, one that dies is met again by each retry.
	localEnough = 3
	// spreadTime is for how long a balancer that has just learned of its back
	// ends spreads new flows over all zones. After an outage all clients come
	// back at once, and the zones together take more than each alone.
	spreadTime = 3 * time.Second
	// defaultPolicy names the policy of pools that have none of their own.
	defaultPolicy = "default"
	// longAgo stands for times that nobody has reported, in seconds.
	longAgo = 3600
)

// Back ends as policies know them.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// weigher gives the relative share of new flows that a back end takes: by the
// policy of its pool, else by the default policy, else by its zone and what is
// observed. A policy that fails is passed over, so that a bad program never stops
// traffic.
func (c *control) weigher(evacuated map[string]uint64, now time.Time) func(directory.BackendEntry) uint32 {
	zone := c.balancer.settings.Load().GetZone()
	off := c.balancer.off
	spread := now.Sub(c.firstAt) < spreadTime && !off.Has(mechanism.SpreadAfterStart) || off.Has(mechanism.LocalZone)
	zones := c.zonesOfPools(zone, evacuated)
	c.observed.startTable(zones)
	return func(backend directory.BackendEntry) uint32 {
		local := backend.GetZone() == zone
		if program := c.programs.find(c.known, backend.GetPool()); program != nil {
			if weight, ok := c.evaluate(program, backend, local); ok {
				return weight
			}
		}
		weight := 1.0
		if !spread {
			weight = c.zoneWeight(backend, zones[backend.GetPool()])
		}
		if !off.Has(mechanism.Health) {
			weight *= c.observed.healthWeight(backend.GetNumber())
		}
		return uint32(math.Ceil(weight * rule.MaximumWeight))
	}
}

// zoneWeight is the weight, 0 to 1, of a pool's back ends in a zone. The pool is nil where
// all entries have vanished or lapsed, and those that were take new flows for a while.
func (c *control) zoneWeight(backend directory.BackendEntry, pool *poolZones) float64 {
	place := demand.Place{Pool: demand.Pool(backend.GetPool()), Zone: demand.Zone(backend.GetZone())}
	if parts := c.observed.parts[place.Pool]; parts != nil && pool != nil && (pool.localBackends == 0 || pool.localBackends >= localEnough) {
		return c.partWeight(parts, place)
	}
	if place.Zone == demand.Zone(c.balancer.settings.Load().GetZone()) {
		return 1
	}
	return c.remoteWeight(backend.GetPool(), pool)
}

// poolZones is what a pool has in the balancer's zone and in the others.
type poolZones struct {
	localBackends, remoteBackends int
	localSlots, remoteSlots       float64
}

// zonesOfPools counts the back ends that may take new flows. An evacuated zone has
// none.
func (c *control) zonesOfPools(zone string, evacuated map[string]uint64) map[string]*poolZones {
	counted := make(map[string]*poolZones)
	for _, backend := range c.known.Backends() {
		_, empty := evacuated[backend.GetZone()]
		if backend.Gone || backend.GetDraining() || empty {
			continue
		}
		pool := counted[backend.GetPool()]
		if pool == nil {
			pool = &poolZones{}
			counted[backend.GetPool()] = pool
		}
		slots := math.Max(1, float64(backend.GetCapacity()))
		if backend.GetZone() == zone {
			pool.localBackends++
			pool.localSlots += slots
		} else {
			pool.remoteBackends++
			pool.remoteSlots += slots
		}
	}
	return counted
}

// remoteWeight is the weight, 0 to 1, of a pool's back ends in other zones.
func (c *control) remoteWeight(name string, pool *poolZones) float64 {
	if pool == nil || pool.localBackends < localEnough {
		return 1
	}
	remote := c.observed.remote[name]
	if c.balancer.off.Has(mechanism.ZoneSharing) {
		remote = shares.Remote(0, pool.localSlots, pool.remoteSlots)
	}
	weight := shares.RemoteWeight(remote, pool.localBackends, pool.remoteBackends)
	return min(weight, 1)
}

func (c *control) evaluate(program *policy.Program, backend directory.BackendEntry, local bool) (uint32, bool) {
	health := c.observed.unwell[backend.GetNumber()]
	facts := policy.Facts{
		Name:          backend.GetId(),
		Zone:          backend.GetZone(),
		MachineState:  stateLive,
		Healthy:       true,
		ReportAge:     longAgo,
		UpSeconds:     longAgo,
		Local:         local,
		Capacity:      float64(backend.GetCapacity()),
		WarmupSeconds: (time.Duration(backend.GetWarmupMilliseconds()) * time.Millisecond).Seconds(),
		Failing:       health.Failing,
		Slow:          health.Slow,
		Use:           c.observed.use(backend.GetPool()),
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

// programs keeps policies compiled.
type programs struct {
	compiled map[string]*compiledPolicy
}

type compiledPolicy struct {
	policy  *apiv1.Policy
	program *policy.Program
}

// find returns the program for a pool, or nil when the zones decide.
func (p *programs) find(known *directory.Directory, pool string) *policy.Program {
	found := known.Policy(pool)
	if found == nil {
		found = known.Policy(defaultPolicy)
	}
	if found == nil {
		return nil
	}
	kept := p.compiled[found.GetName()]
	if kept == nil || kept.policy != found {
		program, err := policy.Compile(found)
		if err != nil {
			program = nil
		}
		kept = &compiledPolicy{policy: found, program: program}
		p.compiled[found.GetName()] = kept
	}
	return kept.program
}
