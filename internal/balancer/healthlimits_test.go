package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// slowFindings returns findings by which back ends 1 to count are certainly slow.
func slowFindings(count int) map[incarnation.ID]observe.Finding {
	findings := make(map[incarnation.ID]observe.Finding)
	for number := range count {
		findings[incarnation.ID{Number: uint64(number + 1)}] = observe.Finding{Slow: observe.Excess{Fraction: 0.9, Evidence: 1000}}
	}
	return findings
}

// maxBackendFraction returns the greatest fraction of many open flows that one back end gets.
func maxBackendFraction(t *testing.T, control *control) float64 {
	table := control.balancer.table.Load()
	route := table.Route(flow.Address{IP: [4]byte{0, 0, 0, 1}, Port: 443, Protocol: flow.ProtocolTCP})
	require.NotNil(t, route)
	const flows = 20_000
	counts := make(map[uint64]int)
	highest := 0
	for hash := range uint64(flows) {
		chosen := route.Choose(hash*0x9e3779b97f4a7c15, func(*tokenroute.Backend) tokenroute.Preference { return tokenroute.Preferred },
			func(backend *tokenroute.Backend) int { return counts[backend.Number] })
		require.NotNil(t, chosen)
		counts[chosen.Number]++
		highest = max(highest, counts[chosen.Number])
	}
	return float64(highest) / flows
}

// After a burst, two of three back ends counted as unhealthy. The third got 0.84 to 0.94 of all new
// flows and rejected them, and the pool seemed to lack capacity, so that other flows were refused.
func TestLoadOnHealthyMinorityIsBounded(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		zones     map[string]int
		unhealthy int
	}{
		"a back end in each of three zones": {zones: map[string]int{"giza": 1, "maadi": 1, "nasr": 1}, unhealthy: 2},
		"three in one zone":                 {zones: map[string]int{"maadi": 3}, unhealthy: 2},
		"most of a hundred":                 {zones: map[string]int{"maadi": 100}, unhealthy: 80},
	} {
		t.Run(name, func(t *testing.T) {
			control := newServingControl(now, test.zones)
			all := 0
			for _, count := range test.zones {
				all += count
			}
			healthyFraction := maxBackendFraction(t, control)
			require.True(t, control.weightInputs.evaluateHealth(slowFindings(test.unhealthy), 1))
			control.rebuildTable(now)
			require.LessOrEqual(t, maxBackendFraction(t, control), 2*healthyFraction+0.02, "at most twice its fraction while all back ends are healthy")
			require.GreaterOrEqual(t, control.slots(), float64(all), "half of the slots still count as capacity")
		})
	}
}

// If the slots are in use, weights are reduced less than if they are free, and the table is
// rebuilt.
func TestHealthLimitFollowsDemand(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 10})
	require.True(t, control.weightInputs.evaluateHealth(slowFindings(5), 1))
	control.rebuildTable(now)
	slow := incarnation.ID{Number: 1}
	idle := control.weightInputs.healthWeight(slow)
	require.Less(t, idle, 0.05)
	control.demand.tree.SetOwn(demand.Aggregate{At: now, Balancers: 1, ZoneBalancers: map[demand.Zone]int{"maadi": 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone("maadi"): {InFlight: 40, RequestRate: 100}}}, demand.Position{})
	aggregate := control.demand.tree.Aggregate(now)
	control.demand.aggregate.Store(aggregate.WithCapacity(control.demand.capacity.slots))
	control.findings.local = slowFindings(5)
	require.True(t, control.updateHealth(now), "the table must be rebuilt")
	control.rebuildTable(now)
	require.Greater(t, control.weightInputs.healthWeight(slow), 0.5)
}

// BenchmarkCapacityWithUnhealthyBackends measures the capacity of a large fleet, as for each new
// table, while some of its back ends are unhealthy.
func BenchmarkCapacityWithUnhealthyBackends(b *testing.B) {
	for _, unhealthy := range []int{0, 100} {
		b.Run(fmt.Sprint(unhealthy), func(b *testing.B) {
			now := time.Now()
			control := newSizedControl(140_000, 100, 0, now)
			control.weightInputs.evaluateHealth(slowFindings(unhealthy), 1)
			for b.Loop() {
				control.measureCapacity(nil, now)
			}
		})
	}
}
