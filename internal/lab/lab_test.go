package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// TestMarkAndResentSyn: a back end is marked during a store outage while many
// SYNs come again through other nodes.
func TestMarkAndResentSyn(t *testing.T) {
	for seed := range uint64(4) {
		settings := small(seed + 1)
		settings.Network.AnswerLoss = 0.5
		settings.Services[0].Arrivals = 150
		settings.Trace = true
		world := New(settings)
		world.At(25*time.Second, func() { world.StoreOutage(true) })
		for place := range 3 {
			at := time.Duration(30+10*place) * time.Second
			world.At(at, func() { world.DrainByMark(0, place, world.Nodes()[place]) })
		}
		world.Clock.RunUntil(70 * time.Second)
		require.NoError(t, world.Check())
		require.Zero(t, world.Result.SecondBackend, "seed %d: %v", seed+1, world.Result.Traces)
		require.Zero(t, world.Result.TotalBroken(), "seed %d: %v", seed+1, world.Result.Broken)
	}
}

func TestQuietRun(t *testing.T) {
	world := New(DarAlWarraq(1).Scale(0.15))
	world.Clock.RunUntil(40 * time.Second)
	world.Drain(0, 3)
	world.Clock.RunUntil(80 * time.Second)
	world.Kill(world.Nodes()[0])
	world.Start("maadi")
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
	world := New(small(1))
	world.Clock.RunUntil(30 * time.Second)
	for _, id := range world.Nodes() {
		world.Kill(id)
	}
	for range 2 {
		for _, zone := range world.settings.Zones {
			world.Start(zone)
		}
	}
	world.Clock.RunUntil(100 * time.Second)
	world.Drain(0, 1)
	world.Clock.RunUntil(130 * time.Second)
	require.NoError(t, world.Check())
	for _, node := range world.nodes {
		if node.running() {
			require.Equal(t, uint64(2), node.inForce(), describe(node))
		}
	}
}

// TestLongCutHeals: a zone that is cut off longer than the others remember its
// nodes is taken back.
func TestLongCutHeals(t *testing.T) {
	world := New(small(1))
	world.At(30*time.Second, func() { world.CutZone("nasr", true) })
	world.At(40*time.Second, func() { world.Reweigh(0, 1, 40) })
	world.At(90*time.Second, func() { world.CutZone("nasr", false) })
	world.Clock.RunUntil(115 * time.Second)
	require.NoError(t, world.Check())
	for _, node := range world.nodes {
		require.Equal(t, "fresh", node.core.Contact(), describe(node))
		require.Equal(t, uint64(2), node.inForce(), describe(node))
		require.Len(t, node.core.Document().GetSettled().GetMembers(), 6)
	}
}

// TestKillDuringDrain: a keeper that dies while a back end leaves takes no
// record with it, since the other keeper has a copy.
func TestKillDuringDrain(t *testing.T) {
	for seed := range uint64(6) {
		settings := small(seed + 1)
		settings.Trace = true
		settings.Services[0].WarmFlows = 1500
		settings.Services[0].MeanDuration = time.Minute
		world := New(settings)
		world.At(30*time.Second, func() { world.Drain(0, 1) })
		world.At(30*time.Second+200*time.Millisecond, func() { world.Kill(world.Nodes()[0]) })
		world.At(45*time.Second, func() { world.Start("maadi") })
		world.Clock.RunUntil(70 * time.Second)
		require.NoError(t, world.Check())
		require.Zero(t, world.Result.TotalBroken(), "seed %d: %v", seed+1, world.Result.Traces)
	}
}

// addressMove lets an address go to another service while a node sleeps.
func addressMove(without core.Guard) *World {
	settings := small(1)
	settings.Services[1].Arrivals = 60
	settings.Core.Disabled = without
	world := New(settings)
	world.At(30*time.Second, func() { world.Pause(world.Nodes()[2]) })
	world.At(31*time.Second, world.MoveAddress)
	world.At(50*time.Second, func() { world.Resume(world.Nodes()[2]) })
	world.Clock.RunUntil(90 * time.Second)
	return world
}

// TestAddressMoves: no packet for the new service reaches a back end of the old
// one, and it does when a node that slept trusts its old view.
func TestAddressMoves(t *testing.T) {
	world := addressMove(0)
	require.NoError(t, world.Check())
	require.Zero(t, world.Result.WrongService)
	require.Greater(t, world.services[2].backends[0].opened, 50, "the new service must be served")
	require.Positive(t, addressMove(core.GuardContact).Result.WrongService, "without contact")
}

// TestNewNodeHeedsMarks: a node that starts during an outage of the store sends
// no new flow to a back end that has been leaving for long.
func TestNewNodeHeedsMarks(t *testing.T) {
	settings := small(1)
	settings.Services[0].Arrivals = 200
	world := New(settings)
	world.At(25*time.Second, func() { world.StoreOutage(true) })
	world.At(26*time.Second, func() { world.Kill(world.Nodes()[3]) })
	world.At(30*time.Second, func() { world.DrainByMark(0, 1, world.Nodes()[0]) })
	world.At(40*time.Second, func() { world.Start("giza") })
	world.At(50*time.Second, func() { world.Start("nasr") })
	world.Clock.RunUntil(60 * time.Second)
	require.NoError(t, world.Check())
	require.Zero(t, world.Result.TotalBroken())
	require.Less(t, Percentile(world.Result.LeavingDelays, 100), 3*time.Second)
}
