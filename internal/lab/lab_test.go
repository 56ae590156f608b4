package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
		t.Log(node.id, node.dead, node.core.Document().GetVersion(), node.core.Phase(), node.core.WaitingFor(), node.core.Kept(), node.router.Table().Len(), node.bytesByKind)
	}
	require.Zero(t, result.TotalBroken())
}
