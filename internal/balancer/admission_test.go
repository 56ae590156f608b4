package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

func TestPrioritiesOfPoolComeFromItsRoutes(t *testing.T) {
	state := newAdmissionState()
	share := func(pools ...string) (shares []*apiv1.PoolShare) {
		for _, pool := range pools {
			shares = append(shares, &apiv1.PoolShare{Pool: pool, Weight: 1})
		}
		return shares
	}
	state.updateRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{
		{Priority: 2, Pools: share("lending", "covers")}, {Priority: 1, Pools: share("lending")}, {Priority: 2, Pools: share("lending")}}})
	require.Equal(t, map[string][]admission.Priority{"lending": {2, 1}, "covers": {2}}, state.priorities)
}

func TestRefusalsAreCountedByPoolAndPriority(t *testing.T) {
	var counters refusalCounters
	require.Empty(t, counters.snapshot())
	for _, priority := range []admission.Priority{2, 2, 1} {
		counters.increment(&admission.Refusal{Pool: "lending", Priority: priority})
	}
	require.Equal(t, map[refusalKey]uint64{{"lending", 2}: 2, {"lending", 1}: 1}, counters.snapshot())
}

// A balancer without reports from the others has no aggregate and refuses no flows, however many
// requests wait here.
func TestNoFlowIsRefusedWithoutAggregate(t *testing.T) {
	now := time.Now()
	state := newAdmissionState()
	state.updateRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{{Priority: 2, Pools: []*apiv1.PoolShare{{Pool: "lending"}}},
		{Priority: 1, Pools: []*apiv1.PoolShare{{Pool: "lending"}}}}})
	state.pressureEstimator = *newLoadedEstimator(1000, now)
	var refusals *admission.Refusals
	for step := range 40 {
		at := now.Add(time.Duration(step) * 250 * time.Millisecond)
		refusals = state.controller.Update([]admission.PoolState{{Pool: "lending", Priorities: state.priorities["lending"],
			Pressure: state.pressureEstimator.estimate("lending", "maadi", nil, nil)}}, at)
	}
	require.Nil(t, refusals)
}
