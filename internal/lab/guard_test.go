package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// guardWorld is a run that meets every guard: drains, new weights, replaced
// nodes, resent SYNs and lost messages.
func guardWorld(seed uint64, without core.Guard) *World {
	return New(guardSettings(seed, without))
}

func guardSettings(seed uint64, without core.Guard) Settings {
	settings := small(seed)
	settings.Network.AnswerLoss = 0.3
	settings.Core.Disabled = without
	settings.Trace = true
	return settings
}

// plannedGuardRun must break no flow with all guards in place.
func plannedGuardRun(world *World) {
	world.At(30*seconds, func() { world.Drain(0, 1) })
	world.At(40*seconds, func() { world.Reweigh(0, 2, 40) })
	world.At(50*seconds, func() { world.Start("maadi") })
	world.At(54*seconds, func() { world.StopPlanned(world.Nodes()[0], 15*seconds) })
	world.At(70*seconds, func() { world.Undrain(0, 1) })
	world.At(80*seconds, func() { world.Reweigh(0, 3, 20) })
	world.At(92*seconds, func() { world.Start("nasr") })
}

// keeperLossRun loses one keeper right after a change; the other has a copy.
func keeperLossRun(world *World) {
	world.At(30*seconds, func() { world.StoreOutage(true) })
	world.At(31*seconds, func() { world.DrainByMark(0, 1, world.Nodes()[0]) })
	world.At(45*seconds, func() { world.Kill(world.Nodes()[2]) })
	world.At(47*seconds, func() { world.Start("giza") })
}

// pauseRun lets a node sleep while the rule changes twice.
func pauseRun(world *World) {
	id := world.Nodes()[3]
	world.At(30*seconds, func() { world.Pause(id) })
	world.At(31*seconds, func() { world.Reweigh(0, 1, 20) })
	world.At(42*seconds, func() { world.Reweigh(0, 2, 20) })
	world.At(52*seconds, func() { world.Resume(id) })
}

// cutRun cuts a zone off while the rule changes.
func cutRun(world *World) {
	world.At(30*seconds, func() { world.CutZone("nasr", true) })
	world.At(36*seconds, func() { world.Reweigh(0, 1, 20) })
	world.At(70*seconds, func() { world.CutZone("nasr", false) })
}

func runGuarded(world *World, play func(*World)) error {
	play(world)
	var violation error
	for world.Clock.Now() < 110*time.Second {
		world.Clock.RunUntil(world.Clock.Now() + 50*time.Millisecond)
		if violation = world.Check(); violation != nil {
			break
		}
	}
	return violation
}

func violations(t *testing.T, play func(*World), without core.Guard) int {
	total := 0
	for seed := range uint64(3) {
		world := guardWorld(seed+1, without)
		if err := runGuarded(world, play); err != nil {
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

// TestGuardsMatter is the red and the green run of each promise: with all
// guards a run breaks nothing, and with one removed it does.
func TestGuardsMatter(t *testing.T) {
	runs := []struct {
		name   string
		play   func(*World)
		guards map[string]core.Guard
	}{
		{"planned changes", plannedGuardRun, map[string]core.Guard{
			"wait": core.GuardWait, "bind": core.GuardBind, "embryonic": core.GuardEmbryonic,
			"record": core.GuardRecord, "filter": core.GuardFilter,
		}},
		{"keeper lost", keeperLossRun, map[string]core.Guard{"replicate": core.GuardReplicate}},
		{"pause", pauseRun, map[string]core.Guard{"contact": core.GuardContact}},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) {
			require.Zero(t, violations(t, run.play, 0), "with all guards")
			for name, guard := range run.guards {
				found := violations(t, run.play, guard)
				t.Logf("without %s: %d violations", name, found)
				require.Positive(t, found, "without %s", name)
			}
		})
	}
}

// TestRejoinGuard: a cut may break flows when it heals, but far fewer with the
// guard than without it.
func TestRejoinGuard(t *testing.T) {
	whole := violations(t, cutRun, 0)
	found := violations(t, cutRun, core.GuardRejoin)
	t.Logf("with all guards %d, without rejoin %d violations", whole, found)
	require.Greater(t, found, 2*whole)
}

// TestPublishGuard: with the store in reach of both sides of a cut, only the
// guard keeps the sides from publishing against each other.
func TestPublishGuard(t *testing.T) {
	versions := make(map[core.Guard]uint64)
	for _, without := range []core.Guard{0, core.GuardPublish} {
		settings := guardSettings(1, without)
		settings.Store.ReachedFromCuts = true
		world := New(settings)
		_ = runGuarded(world, cutRun)
		versions[without] = world.store.document.GetVersion()
	}
	t.Logf("document version %d with the guard, %d without", versions[0], versions[core.GuardPublish])
	require.Less(t, versions[0], uint64(15))
	require.Greater(t, versions[core.GuardPublish], uint64(60))
}
