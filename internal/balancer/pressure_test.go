package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// newLoadedEstimator returns an estimator that was fed summaries with the same number of waiting
// requests.
func newLoadedEstimator(waiting float64, from time.Time) *pressureEstimator {
	estimator := &pressureEstimator{smoothedInFlight: newSmoothedInFlight()}
	for step := range 20 {
		estimator.addSummary(&observe.Summary{At: from.Add(time.Duration(step) * 250 * time.Millisecond),
			InFlight: map[string]float64{"lending": waiting}})
	}
	return estimator
}

// unevenAggregate returns an aggregate of two zones: three balancers whose clients send a quarter
// of the requests, and one whose clients send the rest.
func unevenAggregate(at time.Time) *demand.Aggregate {
	maadi, giza := demand.PoolZone{Pool: "lending", Zone: "maadi"}, demand.PoolZone{Pool: "lending", Zone: "giza"}
	aggregate := demand.Aggregate{At: at, Balancers: 4, ZoneBalancers: map[demand.Zone]int{"maadi": 3, "giza": 1},
		Loads: map[demand.PoolZone]demand.Load{maadi: {RequestRate: 100, InFlight: 40}, giza: {RequestRate: 300, InFlight: 40}}}
	return aggregate.WithCapacity(map[demand.PoolZone]float64{maadi: 10, giza: 10})
}

// Balancers of zones with uneven demand see different fractions of it, and must estimate the same
// pressure: when equal fractions were assumed, more flows of one zone's clients were refused.
func TestPressureIsEqualInAllZones(t *testing.T) {
	now, listed := time.Now(), map[demand.Zone]int{"maadi": 3, "giza": 1}
	// Of 80 waiting requests, 20 come from maadi.
	inMaadi := newLoadedEstimator(20.0/3, now).estimate("lending", "maadi", unevenAggregate(now), listed)
	inGiza := newLoadedEstimator(60, now).estimate("lending", "giza", unevenAggregate(now), listed)
	require.InDelta(t, 4, inMaadi.RequestsPerSlot, 0.05)
	require.InDelta(t, 4, inGiza.RequestsPerSlot, 0.05)
	require.Equal(t, now, inMaadi.SeenAt)
}

func TestPressureIsUnknownWithoutMajorityAggregate(t *testing.T) {
	now := time.Now()
	estimator := newLoadedEstimator(20, now)
	require.Zero(t, estimator.estimate("lending", "maadi", nil, map[demand.Zone]int{"maadi": 3}))
	few := map[demand.Zone]int{"maadi": 3, "giza": 6}
	require.Zero(t, estimator.estimate("lending", "maadi", unevenAggregate(now), few), "the aggregate covers four of nine balancers")
	all := map[demand.Zone]int{"maadi": 3, "giza": 1}
	require.Zero(t, estimator.estimate("covers", "maadi", unevenAggregate(now), all), "the capacity of the pool is not known")
	require.Zero(t, estimator.estimate("lending", "elsewhere", unevenAggregate(now), all), "the aggregate does not contain the zone")
}

// A balancer that no longer sees packets does not keep using its old observations.
func TestPressureAges(t *testing.T) {
	now := time.Now()
	estimator := newLoadedEstimator(20, now.Add(-time.Minute))
	pressure := estimator.estimate("lending", "maadi", unevenAggregate(now), map[demand.Zone]int{"maadi": 3, "giza": 1})
	require.Greater(t, pressure.Age(now), 50*time.Second)
}

// While machines are restarted in turn, their traffic passes through the remaining balancers.
// Assuming as much traffic for the listed balancers as for the remaining ones gave a pressure of
// 4.5 instead of 4.
func TestDepartedBalancersAreNotCounted(t *testing.T) {
	now, listed := time.Now(), map[demand.Zone]int{"maadi": 3, "giza": 1}
	rolled := unevenAggregate(now)
	rolled.Balancers, rolled.ZoneBalancers = 3, map[demand.Zone]int{"maadi": 2, "giza": 1}
	require.InDelta(t, 4, newLoadedEstimator(20.0/2, now).estimate("lending", "maadi", rolled, listed).RequestsPerSlot, 0.05)
	require.InDelta(t, 4, newLoadedEstimator(60, now).estimate("lending", "giza", rolled, listed).RequestsPerSlot, 0.05)
}

// What one balancer sees is scaled up to the whole pool, so noise, or a request fraction close to 0
// in an aggregate from before the first traffic, must not cause refusals while the balancers
// together count free slots.
func TestPressureIsZeroWhileAggregateShowsFreeSlots(t *testing.T) {
	now, listed := time.Now(), map[demand.Zone]int{"maadi": 3, "giza": 1}
	quiet := unevenAggregate(now)
	quiet.Loads = map[demand.PoolZone]demand.Load{
		{Pool: "lending", Zone: "maadi"}: {RequestRate: 1e-9, InFlight: 1e-9},
		{Pool: "lending", Zone: "giza"}:  {RequestRate: 100, InFlight: 15},
	}
	pressure := newLoadedEstimator(20, now).estimate("lending", "maadi", quiet, listed)
	require.Zero(t, pressure.RequestsPerSlot)
	require.Equal(t, now, pressure.SeenAt)
}

// A balancer that handles few of a pool's requests uses the count in the aggregate.
func TestPressureOfFewLocalRequestsComesFromAggregate(t *testing.T) {
	now, listed := time.Now(), map[demand.Zone]int{"maadi": 3, "giza": 1}
	few := unevenAggregate(now)
	few.Loads = map[demand.PoolZone]demand.Load{
		{Pool: "lending", Zone: "maadi"}: {RequestRate: 1, InFlight: 0},
		{Pool: "lending", Zone: "giza"}:  {RequestRate: 300, InFlight: 40},
	}
	require.InDelta(t, 2, newLoadedEstimator(1, now).estimate("lending", "maadi", few, listed).RequestsPerSlot, 1e-9, "the pressure of the aggregate, not 45")
}

// A burst is known locally before the aggregate shows it, and for a moment after it has ended.
func TestPoolIsSaturatedWhileItHasNoFreeSlot(t *testing.T) {
	now := time.Now()
	idle := unevenAggregate(now)
	idle.Loads = map[demand.PoolZone]demand.Load{
		{Pool: "lending", Zone: "maadi"}: {RequestRate: 100, InFlight: 5},
		{Pool: "lending", Zone: "giza"}:  {RequestRate: 300, InFlight: 5},
	}
	require.False(t, newLoadedEstimator(0, now).saturated("lending", "maadi", nil), "no aggregate")
	require.False(t, newLoadedEstimator(0.5, now).saturated("lending", "maadi", idle))
	require.True(t, newLoadedEstimator(0, now).saturated("lending", "maadi", unevenAggregate(now)), "the aggregate shows it")
	require.True(t, newLoadedEstimator(3, now).saturated("lending", "maadi", idle), "36 of 20 slots, estimated from the requests waiting here")
	require.False(t, newLoadedEstimator(2, now).saturated("lending", "maadi", idle), "an estimate of 24 of 20 slots is too uncertain")
	single := unevenAggregate(now)
	single.Loads = map[demand.PoolZone]demand.Load{{Pool: "lending", Zone: "maadi"}: {RequestRate: 1, InFlight: 0.1},
		{Pool: "lending", Zone: "giza"}: {RequestRate: 300, InFlight: 5}}
	require.False(t, newLoadedEstimator(0.9, now).saturated("lending", "maadi", single), "one request here is not enough for an estimate")
	require.False(t, newLoadedEstimator(50, now).saturated("covers", "maadi", idle), "the capacity of the pool is not known")
	state := newAdmissionState()
	state.pressureEstimator = *newLoadedEstimator(3, now)
	require.True(t, state.saturatedPools("maadi", idle, now)["lending"])
	state.pressureEstimator = *newLoadedEstimator(0, now)
	require.True(t, state.saturatedPools("maadi", idle, now.Add(saturationHold))["lending"])
	require.False(t, state.saturatedPools("maadi", idle, now.Add(saturationHold+time.Millisecond))["lending"])
}

// Between 2 and 10 s after bursts, flows were refused at pressures of 4 and 16, because of
// aggregates 2.4 and 3.3 s old. The other balancer of the zone had just stopped, so all requests of
// the zone's clients passed through this one, where the aggregate counted half of them; or this one
// had just started.
func TestPressureCorrectsForGrownLocalFraction(t *testing.T) {
	start, listed := time.Now(), map[demand.Zone]int{"maadi": 2, "giza": 1}
	maadi, giza := demand.PoolZone{Pool: "lending", Zone: "maadi"}, demand.PoolZone{Pool: "lending", Zone: "giza"}
	for name, first := range map[string]int{"the other balancer has stopped": 0, "this balancer has started": 20} {
		t.Run(name, func(t *testing.T) {
			estimator := &pressureEstimator{smoothedInFlight: newSmoothedInFlight()}
			for step := first; step < 30; step++ {
				rate, waiting := 15.0, 1.0
				if step >= 20 {
					rate, waiting = 30, 2
				}
				estimator.addSummary(&observe.Summary{At: start.Add(time.Duration(step) * 250 * time.Millisecond),
					InFlight: map[string]float64{"lending": waiting}, Loads: map[demand.PoolZone]demand.Load{maadi: {RequestRate: rate}}})
			}
			aggregate := demand.Aggregate{At: start.Add(19 * 250 * time.Millisecond), Balancers: 3, ZoneBalancers: map[demand.Zone]int{"maadi": 2, "giza": 1},
				Loads: map[demand.PoolZone]demand.Load{maadi: {RequestRate: 30, InFlight: 4}, giza: {RequestRate: 90, InFlight: 4}}}
			pressure := estimator.estimate("lending", "maadi", aggregate.WithCapacity(map[demand.PoolZone]float64{maadi: 3, giza: 3}), listed)
			require.LessOrEqual(t, pressure.RequestsPerSlot, 8/6.0*1.1, "not 16 of 6 slots")
		})
	}
}

// In a soak test with 60 balancers, flows were refused 2.0 to 2.5 s after bursts at pressures of
// 3.3 to 4.2, because of aggregates up to 2.8 s old, while hardly a request waited here. A balancer
// that handles few requests uses the number of waiting requests in the aggregate.
func TestFewRequestsHereRefuseNobodyTwoSecondsAfterABurst(t *testing.T) {
	now, listed := time.Now(), map[demand.Zone]int{"maadi": 20, "giza": 40}
	maadi, giza := demand.PoolZone{Pool: "lending", Zone: "maadi"}, demand.PoolZone{Pool: "lending", Zone: "giza"}
	burst := demand.Aggregate{At: now.Add(-2500 * time.Millisecond), Balancers: 60, ZoneBalancers: map[demand.Zone]int{"maadi": 20, "giza": 40},
		Loads: map[demand.PoolZone]demand.Load{maadi: {RequestRate: 100, InFlight: 8}, giza: {RequestRate: 200, InFlight: 16}}}
	aggregate := burst.WithCapacity(map[demand.PoolZone]float64{maadi: 2, giza: 4})
	estimator := newLoadedEstimator(0.1, now.Add(-5*time.Second))
	require.Less(t, estimator.estimate("lending", "maadi", aggregate, listed).RequestsPerSlot, 3.0, "flows of the lowest priority are refused from 3 on")
}
