package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
)

func TestUrgenciesAreThoseOfThePoolsRoutes(t *testing.T) {
	made := newGate()
	share := func(pools ...string) (shares []*apiv1.PoolShare) {
		for _, pool := range pools {
			shares = append(shares, &apiv1.PoolShare{Pool: pool, Weight: 1})
		}
		return shares
	}
	made.takeRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{
		{Priority: 2, Pools: share("lending", "covers")}, {Priority: 1, Pools: share("lending")}, {Priority: 2, Pools: share("lending")}}})
	require.Equal(t, map[string][]admission.Priority{"lending": {2, 1}, "covers": {2}}, made.urgencies)
}

func TestRefusalsAreCountedByPoolAndUrgency(t *testing.T) {
	var counted refusals
	require.Empty(t, counted.all())
	for _, urgency := range []admission.Priority{2, 2, 1} {
		counted.count(&admission.Refusal{Pool: "lending", Priority: urgency})
	}
	require.Equal(t, map[refusedKind]uint64{{"lending", 2}: 2, {"lending", 1}: 1}, counted.all())
}

// A balancer that hears nothing of the others has no picture, whatever waits here.
func TestNobodyIsRefusedWithoutAPicture(t *testing.T) {
	now := time.Now()
	made := newGate()
	made.takeRoutes(&apiv1.RouteTable{Routes: []*apiv1.ServiceRoute{{Priority: 2, Pools: []*apiv1.PoolShare{{Pool: "lending"}}},
		{Priority: 1, Pools: []*apiv1.PoolShare{{Pool: "lending"}}}}})
	made.pressures = *seen(1000, now)
	var levels *admission.Refusals
	for step := range 40 {
		at := now.Add(time.Duration(step) * 250 * time.Millisecond)
		levels = made.core.Update([]admission.PoolState{{Pool: "lending", Priorities: made.urgencies["lending"],
			Pressure: made.pressures.on("lending", "maadi", nil, nil)}}, at)
	}
	require.Nil(t, levels)
}
