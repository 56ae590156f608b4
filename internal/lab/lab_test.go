package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// TestLeavingMarkWithRetransmittedSYN: a back end is marked during a store outage while many
// SYNs come again through other nodes.
func TestLeavingMarkWithRetransmittedSYN(t *testing.T) {
	for seed := range uint64(4) {
		settings := smallSettings(seed + 1)
		settings.Network.SYNACKLoss = 0.5
		settings.Services[0].ArrivalRate = 150
		settings.Trace = true
		world := New(settings)
		world.Schedule(25*time.Second, func() { world.SetStoreOutage(true) })
		for place := range 3 {
			at := time.Duration(30+10*place) * time.Second
			world.Schedule(at, func() { world.DrainByMark(0, place, world.Nodes()[place]) })
		}
		world.Clock.RunUntil(70 * time.Second)
		require.NoError(t, world.CheckInvariants())
		require.Zero(t, world.Result.SecondBackend, "seed %d: %v", seed+1, world.Result.Traces)
		require.Zero(t, world.Result.TotalBroken(), "seed %d: %v", seed+1, world.Result.Broken)
	}
}

func TestDrainAndKillBreakNoFlow(t *testing.T) {
	world := New(DarAlWarraqSettings(1).ScaleFlows(0.15))
	world.Clock.RunUntil(40 * time.Second)
	world.Drain(0, 3)
	world.Clock.RunUntil(80 * time.Second)
	world.KillNode(world.Nodes()[0])
	world.StartNode("maadi")
	world.Clock.RunUntil(120 * time.Second)
	result := world.Finish()
	t.Logf("%+v", result.Broken)
	result.Imbalance = nil
	t.Logf("%+v", result)
	for _, node := range world.nodes {
		t.Log(node.id, node.dead, node.core.Document().GetVersion(), node.core.Phase(), node.core.WaitingFor(), node.core.RecordCount(), node.router.Table().Len(), node.bytesByKind)
	}
	require.Zero(t, result.TotalBroken())
}

// TestWholeGroupReplaced: all nodes die at once and others take their place.
func TestWholeGroupReplaced(t *testing.T) {
	world := New(smallSettings(1))
	world.Clock.RunUntil(30 * time.Second)
	for _, id := range world.Nodes() {
		world.KillNode(id)
	}
	for range 2 {
		for _, zone := range world.settings.Zones {
			world.StartNode(zone)
		}
	}
	world.Clock.RunUntil(100 * time.Second)
	world.Drain(0, 1)
	world.Clock.RunUntil(130 * time.Second)
	require.NoError(t, world.CheckInvariants())
	for _, node := range world.nodes {
		if node.running() {
			require.Equal(t, uint64(2), node.activeRevision(), describe(node))
		}
	}
}

// TestLongPartitionHeals: a zone that is cut off longer than the others remember its
// nodes is taken back.
func TestLongPartitionHeals(t *testing.T) {
	world := New(smallSettings(1))
	world.Schedule(30*time.Second, func() { world.SetZonePartitioned("nasr", true) })
	world.Schedule(40*time.Second, func() { world.SetWeight(0, 1, 40) })
	world.Schedule(90*time.Second, func() { world.SetZonePartitioned("nasr", false) })
	world.Clock.RunUntil(115 * time.Second)
	require.NoError(t, world.CheckInvariants())
	for _, node := range world.nodes {
		require.Equal(t, "fresh", node.core.Contact(), describe(node))
		require.Equal(t, uint64(2), node.activeRevision(), describe(node))
		require.Len(t, node.core.Document().GetSettled().GetMembers(), 6)
	}
}

// TestKillDuringDrain: a keeper that dies while a back end leaves takes no
// record with it, since the other keeper has a copy.
func TestKillDuringDrain(t *testing.T) {
	for seed := range uint64(6) {
		settings := smallSettings(seed + 1)
		settings.Trace = true
		settings.Services[0].InitialFlows = 1500
		settings.Services[0].MeanFlowDuration = time.Minute
		world := New(settings)
		world.Schedule(30*time.Second, func() { world.Drain(0, 1) })
		world.Schedule(30*time.Second+200*time.Millisecond, func() { world.KillNode(world.Nodes()[0]) })
		world.Schedule(45*time.Second, func() { world.StartNode("maadi") })
		world.Clock.RunUntil(70 * time.Second)
		require.NoError(t, world.CheckInvariants())
		require.Zero(t, world.Result.TotalBroken(), "seed %d: %v", seed+1, world.Result.Traces)
	}
}

// runAddressMove lets an address go to another service while a node sleeps.
func runAddressMove(without core.Guard) *Simulation {
	settings := smallSettings(1)
	settings.Services[1].ArrivalRate = 60
	settings.Core.Disabled = without
	world := New(settings)
	world.Schedule(30*time.Second, func() { world.PauseNode(world.Nodes()[2]) })
	world.Schedule(31*time.Second, world.MoveAddress)
	world.Schedule(50*time.Second, func() { world.ResumeNode(world.Nodes()[2]) })
	world.Clock.RunUntil(90 * time.Second)
	return world
}

// TestAddressReuse: no packet for the new service reaches a back end of the old
// one, and it does when a node that slept trusts its old view.
func TestAddressReuse(t *testing.T) {
	world := runAddressMove(0)
	require.NoError(t, world.CheckInvariants())
	require.Zero(t, world.Result.WrongService)
	require.Greater(t, world.services[2].backends[0].acceptedFlows, 50, "the new service must be served")
	require.Positive(t, runAddressMove(core.GuardContact).Result.WrongService, "without contact")
}

// TestNewNodeAppliesLeavingMarks: a node that starts during an outage of the store sends
// no new flow to a back end that has been leaving for long.
func TestNewNodeAppliesLeavingMarks(t *testing.T) {
	settings := smallSettings(1)
	settings.Services[0].ArrivalRate = 200
	world := New(settings)
	world.Schedule(25*time.Second, func() { world.SetStoreOutage(true) })
	world.Schedule(26*time.Second, func() { world.KillNode(world.Nodes()[3]) })
	world.Schedule(30*time.Second, func() { world.DrainByMark(0, 1, world.Nodes()[0]) })
	world.Schedule(40*time.Second, func() { world.StartNode("giza") })
	world.Schedule(50*time.Second, func() { world.StartNode("nasr") })
	world.Clock.RunUntil(60 * time.Second)
	require.NoError(t, world.CheckInvariants())
	require.Zero(t, world.Result.TotalBroken())
	require.Less(t, Percentile(world.Result.LeavingDelays, 100), 3*time.Second)
}
