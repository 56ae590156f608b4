package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

func TestPrioritiesOfPoolComeFromItsRoutes(t *testing.T) {
	made := newAdmissionState()
	share := func(pools ...string) (shares []*apiv1.PoolShare) {
		for _, pool := range pools {
			shares = append(shares, &apiv1.PoolShare{Pool: pool, Weight: 1})
		}
		return shares
	}
	made.updateRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{
		{Priority: 2, Pools: share("lending", "covers")}, {Priority: 1, Pools: share("lending")}, {Priority: 2, Pools: share("lending")}}})
	require.Equal(t, map[string][]admission.Urgency{"lending": {2, 1}, "covers": {2}}, made.priorities)
}

func TestRefusalsAreCountedByPoolAndPriority(t *testing.T) {
	var counted refusalCounters
	require.Empty(t, counted.snapshot())
	for _, urgency := range []admission.Urgency{2, 2, 1} {
		counted.increment(&admission.Level{Pool: "lending", Urgency: urgency})
	}
	require.Equal(t, map[refusalKey]uint64{{"lending", 2}: 2, {"lending", 1}: 1}, counted.snapshot())
}

// A balancer that hears nothing of the others has no picture, whatever waits here.
func TestNoFlowIsRefusedWithoutAggregate(t *testing.T) {
	now := time.Now()
	made := newAdmissionState()
	made.updateRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{{Priority: 2, Pools: []*apiv1.PoolShare{{Pool: "lending"}}},
		{Priority: 1, Pools: []*apiv1.PoolShare{{Pool: "lending"}}}}})
	made.pressures = *newLoadedEstimator(1000, now)
	var levels *admission.Levels
	for step := range 40 {
		at := now.Add(time.Duration(step) * 250 * time.Millisecond)
		levels = made.controller.Step([]admission.Demand{{Pool: "lending", Urgencies: made.priorities["lending"],
			Pressure: made.pressures.estimate("lending", "maadi", nil, nil)}}, at)
	}
	require.Nil(t, levels)
}
