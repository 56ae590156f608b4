package lab

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// newGuardSimulation returns a simulation with the settings of guardSettings.
func newGuardSimulation(seed uint64, disabled core.Guard) *Simulation {
	return New(guardSettings(seed, disabled))
}

// guardSettings returns small settings in which 30% of the SYN-ACKs are lost, so that
// many SYNs are retransmitted, and in which some messages between nodes are lost.
func guardSettings(seed uint64, disabled core.Guard) Settings {
	settings := smallSettings(seed)
	settings.Network.SYNACKLoss = 0.3
	settings.Core.Disabled = disabled
	settings.Trace = true
	return settings
}

// schedulePlannedChanges schedules drains, new weights and replaced nodes. Together
// with the retransmitted SYNs and lost messages of guardSettings they exercise the
// guards; no flow may break while all guards are enabled.
func schedulePlannedChanges(sim *Simulation) {
	sim.Schedule(30*seconds, func() { sim.Drain(0, 1) })
	sim.Schedule(40*seconds, func() { sim.SetWeight(0, 2, 40) })
	sim.Schedule(50*seconds, func() { sim.StartNode("maadi") })
	sim.Schedule(54*seconds, func() { sim.StopNodeGracefully(sim.Nodes()[0], 15*seconds) })
	sim.Schedule(70*seconds, func() { sim.Undrain(0, 1) })
	sim.Schedule(80*seconds, func() { sim.SetWeight(0, 3, 20) })
	sim.Schedule(92*seconds, func() { sim.StartNode("nasr") })
}

// scheduleKeeperLoss drains a back end with a mark during a store outage and kills
// one keeper 14 seconds later; the other keeper has a copy of its records.
func scheduleKeeperLoss(sim *Simulation) {
	sim.Schedule(30*seconds, func() { sim.SetStoreOutage(true) })
	sim.Schedule(31*seconds, func() { sim.DrainByMark(0, 1, sim.Nodes()[0]) })
	sim.Schedule(45*seconds, func() { sim.KillNode(sim.Nodes()[2]) })
	sim.Schedule(47*seconds, func() { sim.StartNode("giza") })
}

// schedulePause pauses a node while the rule changes twice.
func schedulePause(sim *Simulation) {
	id := sim.Nodes()[3]
	sim.Schedule(30*seconds, func() { sim.PauseNode(id) })
	sim.Schedule(31*seconds, func() { sim.SetWeight(0, 1, 20) })
	sim.Schedule(42*seconds, func() { sim.SetWeight(0, 2, 20) })
	sim.Schedule(52*seconds, func() { sim.ResumeNode(id) })
}

// schedulePartition partitions a zone while the rule changes.
func schedulePartition(sim *Simulation) {
	sim.Schedule(30*seconds, func() { sim.SetZonePartitioned("nasr", true) })
	sim.Schedule(36*seconds, func() { sim.SetWeight(0, 1, 20) })
	sim.Schedule(70*seconds, func() { sim.SetZonePartitioned("nasr", false) })
}

// runUntilViolation runs 110 seconds of virtual time, or until an invariant is
// violated, and returns the violation.
func runUntilViolation(sim *Simulation, scheduleEvents func(*Simulation)) error {
	scheduleEvents(sim)
	var violation error
	for sim.Clock.Now() < 110*time.Second {
		sim.Clock.RunUntil(sim.Clock.Now() + 50*time.Millisecond)
		if violation = sim.CheckInvariants(); violation != nil {
			break
		}
	}
	return violation
}

// countViolations runs the events with three seeds. It returns the number of violated
// invariants, broken flows, and SYNs at a second back end.
func countViolations(t *testing.T, scheduleEvents func(*Simulation), disabled core.Guard) int {
	total := 0
	for seed := range uint64(3) {
		sim := newGuardSimulation(seed+1, disabled)
		if err := runUntilViolation(sim, scheduleEvents); err != nil {
			t.Logf("seed %d: %v", seed+1, err)
			total++
		}
		total += sim.Result.TotalBroken() + sim.Result.SecondBackend
		if disabled == 0 && total > 0 {
			t.Logf("seed %d: broken %v, second %d, traces %v", seed+1, sim.Result.Broken, sim.Result.SecondBackend, sim.Result.Traces)
		}
	}
	return total
}

// TestRemovingGuardBreaksFlows checks that a run has no broken flow and no
// violation with all guards enabled, and has some with any one of the guards listed
// for it disabled.
func TestRemovingGuardBreaksFlows(t *testing.T) {
	runs := []struct {
		name           string
		scheduleEvents func(*Simulation)
		guards         map[string]core.Guard
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
			require.Zero(t, countViolations(t, run.scheduleEvents, 0), "with all guards")
			for name, guard := range run.guards {
				found := countViolations(t, run.scheduleEvents, guard)
				t.Logf("without %s: %d violations", name, found)
				require.Positive(t, found, "without %s", name)
			}
		})
	}
}

// TestRejoinGuardLimitsBrokenFlows checks that the end of a partition, which may
// break flows, breaks fewer than half as many with the guard as without it.
func TestRejoinGuardLimitsBrokenFlows(t *testing.T) {
	withGuards := countViolations(t, schedulePartition, 0)
	found := countViolations(t, schedulePartition, core.GuardRejoin)
	t.Logf("with all guards %d, without rejoin %d violations", withGuards, found)
	require.Greater(t, found, 2*withGuards)
}

// TestPublishGuardPreventsCompetingWriters checks a partition whose two sides both
// reach the store: only the guard keeps the sides from publishing against each other.
// Without it, both keep publishing documents that replace those of the other side.
func TestPublishGuardPreventsCompetingWriters(t *testing.T) {
	versions := make(map[core.Guard]uint64)
	for _, disabled := range []core.Guard{0, core.GuardPublish} {
		settings := guardSettings(1, disabled)
		settings.Store.ReachableWhenPartitioned = true
		sim := New(settings)
		_ = runUntilViolation(sim, schedulePartition)
		versions[disabled] = sim.store.document.GetVersion()
	}
	t.Logf("document version %d with the guard, %d without", versions[0], versions[core.GuardPublish])
	require.Less(t, versions[0], uint64(15))
	require.Greater(t, versions[core.GuardPublish], uint64(60))
}
