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

// slowFindings are findings by which back ends 1 to count are slow beyond doubt.
func slowFindings(count int) map[incarnation.ID]observe.Finding {
	found := make(map[incarnation.ID]observe.Finding)
	for number := range count {
		found[incarnation.ID{Number: uint64(number + 1)}] = observe.Finding{Slow: observe.Excess{Fraction: 0.9, Evidence: 1000}}
	}
	return found
}

// maxBackendFraction is the greatest part of many open flows that one back end gets.
func maxBackendFraction(t *testing.T, control *control) float64 {
	table := control.balancer.table.Load()
	route := table.Route(flow.Address{IP: [4]byte{0, 0, 0, 1}, Port: 443, Protocol: flow.ProtocolTCP})
	require.NotNil(t, route)
	const flows = 20_000
	counts := make(map[uint64]int)
	most := 0
	for hash := range uint64(flows) {
		chosen := route.Choose(hash*0x9e3779b97f4a7c15, func(*tokenroute.Backend) tokenroute.Preference { return tokenroute.Preferred },
			func(backend *tokenroute.Backend) int { return counts[backend.Number] })
		require.NotNil(t, chosen)
		counts[chosen.Number]++
		most = max(most, counts[chosen.Number])
	}
	return float64(most) / flows
}

// Story: after a burst two of three back ends counted as unwell. The third got 0.84 to 0.94 of
// all new flows and shed them, and the pool seemed short of room, so that others were refused.
func TestLoadOnHealthyMinorityIsBounded(t *testing.T) {
	now := time.Now()
	for name, each := range map[string]struct {
		zones  map[string]int
		unwell int
	}{
		"a back end in each of three zones": {zones: map[string]int{"giza": 1, "maadi": 1, "nasr": 1}, unwell: 2},
		"three in one zone":                 {zones: map[string]int{"maadi": 3}, unwell: 2},
		"most of a hundred":                 {zones: map[string]int{"maadi": 100}, unwell: 80},
	} {
		t.Run(name, func(t *testing.T) {
			control := newServingControl(now, each.zones)
			all := 0
			for _, count := range each.zones {
				all += count
			}
			even := maxBackendFraction(t, control)
			require.True(t, control.observed.evaluateHealth(slowFindings(each.unwell), 1))
			control.rebuildTable(now)
			require.LessOrEqual(t, maxBackendFraction(t, control), 2*even+0.02, "twice what it has while all are well")
			require.GreaterOrEqual(t, control.slots(), float64(all), "half of the room is still room")
		})
	}
}

// Where the slots are in use, less is taken off than where they are free, and the table follows.
func TestHealthLimitFollowsDemand(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 10})
	require.True(t, control.observed.evaluateHealth(slowFindings(5), 1))
	control.rebuildTable(now)
	slow := incarnation.ID{Number: 1}
	idle := control.observed.healthWeight(slow)
	require.Less(t, idle, 0.05)
	control.demand.tree.SetOwn(demand.Aggregate{At: now, Balancers: 1, ZoneBalancers: map[demand.Zone]int{"maadi": 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone("maadi"): {InFlight: 40, RequestRate: 100}}}, demand.Position{})
	picture := control.demand.tree.Aggregate(now)
	control.demand.aggregate.Store(picture.WithCapacity(control.demand.capacity.slots))
	control.findings.local = slowFindings(5)
	require.True(t, control.updateHealth(now), "another table")
	control.rebuildTable(now)
	require.Greater(t, control.observed.healthWeight(slow), 0.5)
}

// BenchmarkCapacityWithUnhealthyBackends counts the room of a large fleet, with each new table, while some of
// its back ends are unwell.
func BenchmarkCapacityWithUnhealthyBackends(b *testing.B) {
	for _, unwell := range []int{0, 100} {
		b.Run(fmt.Sprint(unwell), func(b *testing.B) {
			now := time.Now()
			control := newSizedControl(140_000, 100, 0, now)
			control.observed.evaluateHealth(slowFindings(unwell), 1)
			for b.Loop() {
				control.measureCapacity(nil, now)
			}
		})
	}
}
