package balancer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// newServingControl returns a balancer in zone maadi with a table, where the lending pool has back
// ends in the given zones.
func newServingControl(now time.Time, backends map[string]int) *control {
	control := newTestControl()
	batch := routesBatch(5)
	batch.Changes[0].GetRoutes().Routes = []*apiv1.ServiceRoute{{Name: "loans", Address: 1, Port: 443,
		Pools: []*apiv1.PoolShare{{Pool: "lending", Weight: 1000}}}}
	number := uint64(0)
	for _, zone := range slices.Sorted(maps.Keys(backends)) {
		for range backends[zone] {
			number++
			batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 5, Entry: &apiv1.DirectoryChange_Backend{
				Backend: &apiv1.PoolBackend{Id: fmt.Sprintf("%s-%d", zone, number), Number: number, Pool: "lending", Zone: zone,
					Address: uint32(number), Port: 80, Capacity: 2}}})
		}
	}
	control.handleNews(&apiv1.DirectoryNews{Batch: batch, AsOfNanoseconds: control.sinceStart(now)}, now)
	control.firstRoutesAt = now.Add(-time.Hour)
	control.rebuildTable(now)
	return control
}

// planWithDemand gives a balancer an aggregate with requests from clients of its zone, and plans
// shares from it.
func (control *control) planWithDemand(now time.Time) bool {
	control.demand.tree.SetOwn(demandOf("maadi", 5, 5, now), demand.Position{})
	aggregate := control.demand.tree.Aggregate(now)
	control.demand.aggregate.Store(aggregate.WithCapacity(control.demand.capacity.slots))
	return control.planZoneShares(now)
}

// The aggregate still contains a pool for seconds after its last entry was removed. Its back ends
// still take new flows then, by the grace period for empty pools.
func TestPlannedPoolMayDisappear(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
	require.True(t, control.planWithDemand(now))
	control.rebuildTable(now)
	gone := &apiv1.DirectoryBatch{Revision: 6}
	for _, backend := range control.replica.Backends() {
		gone.Changes = append(gone.Changes, &apiv1.DirectoryChange{Revision: 6, Gone: true,
			Entry: &apiv1.DirectoryChange_Backend{Backend: backend.PoolBackend}})
	}
	now = now.Add(100 * time.Millisecond)
	control.handleNews(&apiv1.DirectoryNews{Batch: gone, AsOfNanoseconds: control.sinceStart(now)}, now)
	require.NotNil(t, control.weightInputs.plannedShares)
	require.NotPanics(t, func() { control.rebuildTable(now) })
}

// localFraction returns the fraction of new flows that stay in the zone while its back ends are in
// use and all others are idle.
func localFraction(t *testing.T, control *control) float64 {
	table := control.balancer.table.Load()
	route := table.Route(flow.Address{IP: [4]byte{0, 0, 0, 1}, Port: 443, Protocol: flow.ProtocolTCP})
	require.NotNil(t, route)
	local := 0
	const flows = 500
	for hash := range uint64(flows) {
		chosen := route.Choose(hash*0x9e3779b97f4a7c15, func(*tokenroute.Backend) tokenroute.Preference { return tokenroute.Preferred },
			func(backend *tokenroute.Backend) int {
				if backend.Zone == "maadi" {
					return 1000
				}
				return 0
			})
		if chosen.Zone == "maadi" {
			local++
		}
	}
	return float64(local) / flows
}

// The weights choose the zone only if they follow planned shares. Otherwise the least used back end
// of all zones is chosen, as without an aggregate.
func TestWeightsChooseZoneOnlyWithPlannedShares(t *testing.T) {
	now := time.Now()
	planned := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
	planned.planWithDemand(now)
	planned.rebuildTable(now)
	require.Greater(t, localFraction(t, planned), 0.9)

	t.Run("few in the zone", func(t *testing.T) {
		few := newServingControl(now, map[string]int{"maadi": minLocalBackends - 1, "giza": 6})
		few.planWithDemand(now)
		require.NotNil(t, few.weightInputs.plannedShares)
		few.rebuildTable(now)
		require.Zero(t, localFraction(t, few))
	})
	t.Run("policy of its own", func(t *testing.T) {
		own := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
		own.replica.Apply(policyBatch(6, "lending", "1.0"), now)
		own.planWithDemand(now)
		own.rebuildTable(now)
		require.Less(t, localFraction(t, own), 0.1)
	})
	t.Run("spread after a start", func(t *testing.T) {
		started := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
		started.firstRoutesAt = now
		started.planWithDemand(now)
		started.rebuildTable(now)
		require.Less(t, localFraction(t, started), 0.1)
	})
	t.Run("no plan of this pool", func(t *testing.T) {
		other := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
		other.weightInputs.plannedShares = map[demand.Pool]map[demand.Zone]float64{"covers": {"maadi": 1}}
		other.rebuildTable(now)
		require.Zero(t, localFraction(t, other)-localFraction(t, newServingControl(now, map[string]int{"maadi": 4, "giza": 4})))
	})
}

// The planned remote share is the share that actually goes to the other zone, even if a zone has
// few back ends and the others have a hundred times as many.
func TestShareWeightsArePreciseForManyBackends(t *testing.T) {
	for _, remoteBackends := range []int{14, 1400, 14_000} {
		for _, share := range []float64{0, 0.01, 0.1, 0.5} {
			control := newTestControl()
			control.demand.capacity.backends = map[demand.PoolZone]int{lendingPoolZone("maadi"): 14, lendingPoolZone("giza"): remoteBackends}
			shares := map[demand.Zone]float64{"maadi": 1 - share, "giza": share}
			taken := func(zone string, backends int) float64 {
				weight := math.Ceil(control.shareWeight(shares, lendingPoolZone(zone)) * rule.MaximumWeight)
				return weight * float64(backends)
			}
			local, remote := taken("maadi", 14), taken("giza", remoteBackends)
			require.InDelta(t, share, remote/(local+remote), 0.002, "%d back ends in the other zone", remoteBackends)
		}
	}
}

// A zone that the new plan no longer contains had a share before, and the change counts.
func TestZonesDroppedFromPlanAreCompared(t *testing.T) {
	var w weightInputs
	shares := func(zones map[demand.Zone]float64) map[demand.Pool]map[demand.Zone]float64 {
		return map[demand.Pool]map[demand.Zone]float64{"lending": zones}
	}
	w.appliedShares = shares(map[demand.Zone]float64{"maadi": 0.68, "giza": 0.28, "fayum": 0.04})
	require.False(t, w.setPlannedShares(shares(map[demand.Zone]float64{"maadi": 0.7, "giza": 0.3})))
	w.appliedShares = shares(map[demand.Zone]float64{"maadi": 0.66, "giza": 0.26, "fayum": 0.08})
	require.True(t, w.setPlannedShares(shares(map[demand.Zone]float64{"maadi": 0.7, "giza": 0.3})))
}

// Pools with planned shares get no new table because of what one zone observes alone.
func TestPlannedPoolsIgnoreLocalLoadChanges(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
	require.True(t, control.planWithDemand(now))
	control.rebuildTable(now)
	require.False(t, control.observeWaiting("lending", 12, now))
	control.weightInputs.plannedShares = nil
	control.rebuildTable(now)
	require.True(t, control.observeWaiting("lending", 3, now.Add(10*time.Second)), "without planned shares a new table is needed")
}

// An aggregate that alternates between fresh and stale because reports are late would build a table
// each time. After it was stale, it is used for planning only once it has been fresh for
// recoveryDelay.
func TestIntermittentlyStaleAggregatePlansNoShares(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
	require.True(t, control.planWithDemand(now))
	control.rebuildTable(now)
	tables := 0
	for step := range 40 {
		now = now.Add(500 * time.Millisecond)
		aggregate := *control.demand.aggregate.Load()
		aggregate.At = now
		if step%4 == 0 {
			aggregate.At = now.Add(-demand.MaximumAge - time.Second)
		}
		control.demand.aggregate.Store(&aggregate)
		if control.planZoneShares(now) {
			tables++
			control.rebuildTable(now)
		}
	}
	require.Equal(t, 1, tables, "only one new table, when the aggregate becomes stale")
	for range 8 {
		now = now.Add(500 * time.Millisecond)
		control.planWithDemand(now)
	}
	require.NotNil(t, control.weightInputs.plannedShares)
}
