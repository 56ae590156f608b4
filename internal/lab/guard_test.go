package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// newGuardSimulation is a run that meets every guard: drains, new weights, replaced
// nodes, resent SYNs and lost messages.
func newGuardSimulation(seed uint64, without core.Guard) *Simulation {
	return New(guardSettings(seed, without))
}

func guardSettings(seed uint64, without core.Guard) Settings {
	settings := smallSettings(seed)
	settings.Network.SYNACKLoss = 0.3
	settings.Core.Disabled = without
	settings.Trace = true
	return settings
}

// schedulePlannedChanges must break no flow with all guards in place.
func schedulePlannedChanges(world *Simulation) {
	world.Schedule(30*seconds, func() { world.Drain(0, 1) })
	world.Schedule(40*seconds, func() { world.SetWeight(0, 2, 40) })
	world.Schedule(50*seconds, func() { world.StartNode("maadi") })
	world.Schedule(54*seconds, func() { world.StopNodeGracefully(world.Nodes()[0], 15*seconds) })
	world.Schedule(70*seconds, func() { world.Undrain(0, 1) })
	world.Schedule(80*seconds, func() { world.SetWeight(0, 3, 20) })
	world.Schedule(92*seconds, func() { world.StartNode("nasr") })
}

// scheduleKeeperLoss loses one keeper right after a change; the other has a copy.
func scheduleKeeperLoss(world *Simulation) {
	world.Schedule(30*seconds, func() { world.SetStoreOutage(true) })
	world.Schedule(31*seconds, func() { world.DrainByMark(0, 1, world.Nodes()[0]) })
	world.Schedule(45*seconds, func() { world.KillNode(world.Nodes()[2]) })
	world.Schedule(47*seconds, func() { world.StartNode("giza") })
}

// schedulePause lets a node sleep while the rule changes twice.
func schedulePause(world *Simulation) {
	id := world.Nodes()[3]
	world.Schedule(30*seconds, func() { world.PauseNode(id) })
	world.Schedule(31*seconds, func() { world.SetWeight(0, 1, 20) })
	world.Schedule(42*seconds, func() { world.SetWeight(0, 2, 20) })
	world.Schedule(52*seconds, func() { world.ResumeNode(id) })
}

// schedulePartition cuts a zone off while the rule changes.
func schedulePartition(world *Simulation) {
	world.Schedule(30*seconds, func() { world.SetZonePartitioned("nasr", true) })
	world.Schedule(36*seconds, func() { world.SetWeight(0, 1, 20) })
	world.Schedule(70*seconds, func() { world.SetZonePartitioned("nasr", false) })
}

func runUntilViolation(world *Simulation, play func(*Simulation)) error {
	play(world)
	var violation error
	for world.Clock.Now() < 110*time.Second {
		world.Clock.RunUntil(world.Clock.Now() + 50*time.Millisecond)
		if violation = world.CheckInvariants(); violation != nil {
			break
		}
	}
	return violation
}

func countViolations(t *testing.T, play func(*Simulation), without core.Guard) int {
	total := 0
	for seed := range uint64(3) {
		world := newGuardSimulation(seed+1, without)
		if err := runUntilViolation(world, play); err != nil {
			t.Logf("seed %d: %v", seed+1, err)
			total++
		}
		total += world.Result.TotalBroken() + world.Result.SecondBackend
		if without == 0 && total > 0 {
			t.Logf("seed %d: broken %v, second %d, traces %v", seed+1, world.Result.Broken, world.Result.SecondBackend, world.Result.Traces)
		}
	}
	return total
}

// TestRemovingGuardBreaksFlows is the red and the green run of each promise: with all
// guards a run breaks nothing, and with one removed it does.
func TestRemovingGuardBreaksFlows(t *testing.T) {
	runs := []struct {
		name   string
		play   func(*Simulation)
		guards map[string]core.Guard
	}{
		{"planned changes", schedulePlannedChanges, map[string]core.Guard{
			"wait": core.GuardWait, "bind": core.GuardBind, "embryonic": core.GuardEmbryonic,
			"record": core.GuardRecord, "filter": core.GuardFilter,
		}},
		{"keeper lost", scheduleKeeperLoss, map[string]core.Guard{"replicate": core.GuardReplicate}},
		{"pause", schedulePause, map[string]core.Guard{"contact": core.GuardContact}},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) {
			require.Zero(t, countViolations(t, run.play, 0), "with all guards")
			for name, guard := range run.guards {
				found := countViolations(t, run.play, guard)
				t.Logf("without %s: %d violations", name, found)
				require.Positive(t, found, "without %s", name)
			}
		})
	}
}

// TestRejoinGuardLimitsBrokenFlows: a cut may break flows when it heals, but far fewer with the
// guard than without it.
func TestRejoinGuardLimitsBrokenFlows(t *testing.T) {
	whole := countViolations(t, schedulePartition, 0)
	found := countViolations(t, schedulePartition, core.GuardRejoin)
	t.Logf("with all guards %d, without rejoin %d violations", whole, found)
	require.Greater(t, found, 2*whole)
}

// TestPublishGuardPreventsCompetingWriters: with the store in reach of both sides of a cut, only the
// guard keeps the sides from publishing against each other.
func TestPublishGuardPreventsCompetingWriters(t *testing.T) {
	versions := make(map[core.Guard]uint64)
	for _, without := range []core.Guard{0, core.GuardPublish} {
		settings := guardSettings(1, without)
		settings.Store.ReachableWhenPartitioned = true
		world := New(settings)
		_ = runUntilViolation(world, schedulePartition)
		versions[without] = world.store.document.GetVersion()
	}
	t.Logf("document version %d with the guard, %d without", versions[0], versions[core.GuardPublish])
	require.Less(t, versions[0], uint64(15))
	require.Greater(t, versions[core.GuardPublish], uint64(60))
}
