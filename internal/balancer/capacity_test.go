package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// newSizedControl returns a balancer that knows the given numbers of back ends and balancers in 10
// zones; the first cold back ends are cold for a minute.
func newSizedControl(backends, balancers, cold int, now time.Time) *control {
	control := newTestControl()
	settings := testSettings()
	settings.Zone, settings.WarmupOvershoot, settings.WarmupSlack = "zone-0", 1.5, 5
	control.balancer.settings.Store(settings)
	batch := routesBatch(9)
	for n := range backends {
		entry := &apiv1.PoolBackend{Id: fmt.Sprintf("i-%d", n), Number: uint64(n + 1), Pool: fmt.Sprintf("pool-%d", n%8),
			Zone: fmt.Sprintf("zone-%d", n%10), Address: uint32(n + 1), Port: 80, Capacity: 2}
		if n < cold {
			entry.WarmupMilliseconds = 60_000
		}
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 2, Entry: &apiv1.DirectoryChange_Backend{Backend: entry}})
	}
	for n := range balancers {
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 3, Entry: &apiv1.DirectoryChange_Balancer{
			Balancer: &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", n), Zone: fmt.Sprintf("zone-%d", n%10), PeerAddress: "10.0.0.1:1"}}})
	}
	control.replica.Apply(batch, now)
	return control
}

// slots returns the slots of all pool zones.
func (control *control) slots() float64 {
	all := 0.0
	for _, slots := range control.demand.capacity.slots {
		all += slots
	}
	return all
}

// Back ends that have warmed up are added at the next check without counting all back ends again.
// Counting 140,000 took 226 ms, up to once a second while some warm up.
func TestCapacityGrowsAsBackendsWarmUp(t *testing.T) {
	now := time.Now()
	control := newSizedControl(400, 10, 40, now)
	control.measureCapacity(nil, now)
	require.InDelta(t, 720, control.slots(), 1e-9)
	before := control.demand.capacity.slots
	control.demand.capacity.addWarmed(now.Add(59 * time.Second))
	require.InDelta(t, 720, control.slots(), 1e-9)
	control.demand.capacity.addWarmed(now.Add(61 * time.Second))
	require.InDelta(t, 800, control.slots(), 1e-9)
	require.NotEqual(t, before, control.demand.capacity.slots, "slots that were handed out do not change")
	control.measureCapacity(nil, now)
	require.Less(t, testing.AllocsPerRun(1, func() { control.demand.capacity.addWarmed(now.Add(time.Hour)) }), 100.0)
}

// A zone whose back ends have failed has no capacity, even while the directory still lists them:
// the other zones would send it more than it can handle.
func TestFailedBackendsAreNoCapacity(t *testing.T) {
	now := time.Now()
	control := newServingControl(now, map[string]int{"maadi": 4, "giza": 4})
	control.balancer.traffic = &traffic{}
	slotsWithFailed := func(failed ...uint64) float64 {
		ids := make([]incarnation.ID, len(failed))
		for index, number := range failed {
			ids[index].Number = number
		}
		control.balancer.traffic.latestSummary.Store(&observe.Summary{At: now, Dead: ids})
		control.updateDemand(now)
		return control.balancer.DemandAggregate().Capacity[lendingPoolZone("giza")]
	}
	require.Equal(t, 8.0, slotsWithFailed())
	require.Equal(t, 4.0, slotsWithFailed(1, 2, 99), "giza has back ends 1 to 4, and none has number 99")
	control.rebuildTable(now)
	require.Equal(t, 4.0, slotsWithFailed(), "the back ends stay without capacity after the detection ends")
	now = now.Add(failedHold)
	require.Equal(t, 8.0, slotsWithFailed())
}

func BenchmarkCapacity(b *testing.B) {
	now := time.Now()
	for _, cold := range []int{0, 1400} {
		control := newSizedControl(140_000, 12_000, cold, now)
		b.Run(fmt.Sprintf("table/cold=%d", cold), func(b *testing.B) {
			for b.Loop() {
				control.newWeights(nil, now)
			}
		})
		b.Run(fmt.Sprintf("look/cold=%d", cold), func(b *testing.B) {
			control.measureCapacity(nil, now)
			for b.Loop() {
				control.demand.capacity.addWarmed(now.Add(time.Second))
			}
		})
	}
}
