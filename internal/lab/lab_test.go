package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// TestLeavingMarkWithRetransmittedSYN checks that no flow reaches a second back end
// when back ends are marked as leaving during a store outage while many SYNs are
// retransmitted through other nodes.
func TestLeavingMarkWithRetransmittedSYN(t *testing.T) {
	for seed := range uint64(4) {
		settings := smallSettings(seed + 1)
		settings.Network.SYNACKLoss = 0.5
		settings.Services[0].ArrivalRate = 150
		settings.Trace = true
		sim := New(settings)
		sim.Schedule(25*time.Second, func() { sim.SetStoreOutage(true) })
		for backendIndex := range 3 {
			at := time.Duration(30+10*backendIndex) * time.Second
			sim.Schedule(at, func() { sim.DrainByMark(0, backendIndex, sim.Nodes()[backendIndex]) })
		}
		sim.Clock.RunUntil(70 * time.Second)
		require.NoError(t, sim.CheckInvariants())
		require.Zero(t, sim.Result.SecondBackend, "seed %d: %v", seed+1, sim.Result.Traces)
		require.Zero(t, sim.Result.TotalBroken(), "seed %d: %v", seed+1, sim.Result.Broken)
	}
}

func TestDrainAndKillBreakNoFlow(t *testing.T) {
	sim := New(DarAlWarraqSettings(1).Scale(0.15))
	sim.Clock.RunUntil(40 * time.Second)
	sim.Drain(0, 3)
	sim.Clock.RunUntil(80 * time.Second)
	sim.KillNode(sim.Nodes()[0])
	sim.StartNode("maadi")
	sim.Clock.RunUntil(120 * time.Second)
	result := sim.Finish()
	t.Logf("%+v", result.Broken)
	result.Imbalance = nil
	t.Logf("%+v", result)
	for _, node := range sim.nodes {
		t.Log(node.id, node.dead, node.core.Document().GetVersion(), node.core.Phase(), node.core.WaitingFor(), node.core.RecordCount(), node.router.Table().Len(), node.bytesByKind)
	}
	require.Zero(t, result.TotalBroken())
}

// TestWholeGroupReplaced checks that new nodes apply configurations after all
// nodes of the group were killed at once.
func TestWholeGroupReplaced(t *testing.T) {
	sim := New(smallSettings(1))
	sim.Clock.RunUntil(30 * time.Second)
	for _, id := range sim.Nodes() {
		sim.KillNode(id)
	}
	for range 2 {
		for _, zone := range sim.settings.Zones {
			sim.StartNode(zone)
		}
	}
	sim.Clock.RunUntil(100 * time.Second)
	sim.Drain(0, 1)
	sim.Clock.RunUntil(130 * time.Second)
	require.NoError(t, sim.CheckInvariants())
	for _, node := range sim.nodes {
		if node.running() {
			require.Equal(t, uint64(2), node.activeRevision(), describe(node))
		}
	}
}

// TestRefusedWatchersDoNotDelayChanges guards against leaving back ends that keep new flows for
// minutes: the store refuses the three nodes that watch it for all others, and the others
// left the store to them, whether or not they could read it.
func TestRefusedWatchersDoNotDelayChanges(t *testing.T) {
	for refusals := 1; refusals <= 2; refusals++ {
		sim := New(smallSettings(1))
		for _, zone := range sim.settings.Zones {
			sim.StartNode(zone)
		}
		sim.Clock.RunUntil(30 * time.Second)
		for refusal := range refusals {
			sim.RefuseStoreWatchers()
			require.Len(t, sim.store.refused, (refusal+1)*maxStoreWatchers)
			sim.Clock.RunUntil(time.Duration(32+2*refusal) * time.Second)
		}
		drainedAt := sim.Clock.Now()
		sim.Drain(0, 1)
		sim.Clock.RunUntil(drainedAt + 11*time.Second)
		require.NoError(t, sim.CheckInvariants())
		for _, node := range sim.nodes {
			require.Equal(t, uint64(2), node.activeRevision(), describe(node))
		}
	}
}

// TestLongPartitionHeals checks that the nodes of a zone rejoin the group after a
// partition that lasts longer than the other nodes remember them.
func TestLongPartitionHeals(t *testing.T) {
	sim := New(smallSettings(1))
	sim.Schedule(30*time.Second, func() { sim.SetZonePartitioned("nasr", true) })
	sim.Schedule(40*time.Second, func() { sim.SetWeight(0, 1, 40) })
	sim.Schedule(90*time.Second, func() { sim.SetZonePartitioned("nasr", false) })
	sim.Clock.RunUntil(115 * time.Second)
	require.NoError(t, sim.CheckInvariants())
	for _, node := range sim.nodes {
		require.Equal(t, "fresh", node.core.Contact(), describe(node))
		require.Equal(t, uint64(2), node.activeRevision(), describe(node))
		require.Len(t, node.core.Document().GetSettled().GetMembers(), 6)
	}
}

// TestKillDuringDrain checks that no record is lost when a keeper is killed while a
// back end leaves, since the other keeper has a copy.
func TestKillDuringDrain(t *testing.T) {
	for seed := range uint64(6) {
		settings := smallSettings(seed + 1)
		settings.Trace = true
		settings.Services[0].InitialFlows = 1500
		settings.Services[0].MeanFlowDuration = time.Minute
		sim := New(settings)
		sim.Schedule(30*time.Second, func() { sim.Drain(0, 1) })
		sim.Schedule(30*time.Second+200*time.Millisecond, func() { sim.KillNode(sim.Nodes()[0]) })
		sim.Schedule(45*time.Second, func() { sim.StartNode("maadi") })
		sim.Clock.RunUntil(70 * time.Second)
		require.NoError(t, sim.CheckInvariants())
		require.Zero(t, sim.Result.TotalBroken(), "seed %d: %v", seed+1, sim.Result.Traces)
	}
}

// runAddressMove assigns the address of a service to another service while a node
// is paused.
func runAddressMove(disabled core.Guard) *Simulation {
	settings := smallSettings(1)
	settings.Services[1].ArrivalRate = 60
	settings.Core.Disabled = disabled
	sim := New(settings)
	sim.Schedule(30*time.Second, func() { sim.PauseNode(sim.Nodes()[2]) })
	sim.Schedule(31*time.Second, sim.MoveAddress)
	sim.Schedule(50*time.Second, func() { sim.ResumeNode(sim.Nodes()[2]) })
	sim.Clock.RunUntil(90 * time.Second)
	return sim
}

// TestAddressReuse checks that no packet for the new service reaches a back end of
// the old one. Without the contact guard, a resumed node trusts its old view and
// sends packets there.
func TestAddressReuse(t *testing.T) {
	sim := runAddressMove(0)
	require.NoError(t, sim.CheckInvariants())
	require.Zero(t, sim.Result.WrongService)
	require.Greater(t, sim.services[2].backends[0].acceptedFlows, 50, "the new service must be served")
	require.Positive(t, runAddressMove(core.GuardContact).Result.WrongService, "without contact")
}

// TestNewNodeAppliesLeavingMarks checks that a node that starts during a store
// outage sends no new flow to a back end that has long been leaving.
func TestNewNodeAppliesLeavingMarks(t *testing.T) {
	settings := smallSettings(1)
	settings.Services[0].ArrivalRate = 200
	sim := New(settings)
	sim.Schedule(25*time.Second, func() { sim.SetStoreOutage(true) })
	sim.Schedule(26*time.Second, func() { sim.KillNode(sim.Nodes()[3]) })
	sim.Schedule(30*time.Second, func() { sim.DrainByMark(0, 1, sim.Nodes()[0]) })
	sim.Schedule(40*time.Second, func() { sim.StartNode("giza") })
	sim.Schedule(50*time.Second, func() { sim.StartNode("nasr") })
	sim.Clock.RunUntil(60 * time.Second)
	require.NoError(t, sim.CheckInvariants())
	require.Zero(t, sim.Result.TotalBroken())
	require.Less(t, Percentile(sim.Result.LeavingDelays, 100), 3*time.Second)
}
