package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
