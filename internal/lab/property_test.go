package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// smallSettings returns settings small enough that a hundred seconds of virtual
// time take a moment to simulate.
func smallSettings(seed uint64) Settings {
	settings := DarAlWarraqSettings(seed)
	settings.Services = []ServiceSettings{
		{Name: "lending", Backends: 5, ArrivalRate: 20, MeanFlowDuration: 30 * time.Second, MeanPacketInterval: 700 * time.Millisecond, InitialFlows: 200},
		{Name: "covers", Backends: 3, ArrivalRate: 5, MeanFlowDuration: 10 * time.Second, MeanPacketInterval: 700 * time.Millisecond, InitialFlows: 30},
	}
	settings.Network.MessageLoss = 0.01
	settings.Network.MessageDuplication = 0.01
	settings.FlowCapacity = 1 << 16
	return settings
}

// driver applies random actions to a simulation, skipping those that are not
// possible in its state.
type driver struct {
	t               *rapid.T
	sim             *Simulation
	drained         map[[2]int]bool
	pausedNode      string
	partitionedZone string
}

func (driver *driver) advance() {
	duration := time.Duration(rapid.IntRange(50, 6000).Draw(driver.t, "milliseconds")) * time.Millisecond
	end := driver.sim.Clock.Now() + duration
	for driver.sim.Clock.Now() < end {
		driver.sim.Clock.RunUntil(min(end, driver.sim.Clock.Now()+20*time.Millisecond))
		require.NoError(driver.t, driver.sim.CheckInvariants())
	}
}

func (driver *driver) drawNode() string {
	return rapid.SampledFrom(driver.sim.Nodes()).Draw(driver.t, "node")
}

func (driver *driver) toggleDrain() {
	backend := [2]int{0, rapid.IntRange(0, 4).Draw(driver.t, "backend")}
	switch {
	case driver.drained[backend]:
		driver.sim.Undrain(backend[0], backend[1])
		delete(driver.drained, backend)
	case len(driver.drained) < 3:
		driver.sim.Drain(backend[0], backend[1])
		driver.drained[backend] = true
	}
}

func (driver *driver) setWeight() {
	backend := rapid.IntRange(0, 4).Draw(driver.t, "backend")
	driver.sim.SetWeight(0, backend, uint32(rapid.IntRange(1, 10).Draw(driver.t, "weight"))*10)
}

func (driver *driver) replaceNode() {
	if len(driver.sim.Nodes()) < 6 {
		return
	}
	id := driver.drawNode()
	driver.sim.StartNode(driver.sim.nodesByID[id].zone)
	driver.sim.StopNodeGracefully(id, 20*time.Second)
}

func (driver *driver) killNode() {
	if len(driver.sim.Nodes()) < 5 || driver.pausedNode != "" || driver.partitionedZone != "" {
		return
	}
	driver.sim.KillNode(driver.drawNode())
}

func (driver *driver) startNode() {
	if len(driver.sim.Nodes()) < 9 {
		driver.sim.StartNode(rapid.SampledFrom(driver.sim.settings.Zones).Draw(driver.t, "zone"))
	}
}

func (driver *driver) togglePause() {
	if driver.pausedNode != "" {
		if !driver.sim.nodesByID[driver.pausedNode].dead {
			driver.sim.ResumeNode(driver.pausedNode)
		}
		driver.pausedNode = ""
		return
	}
	driver.pausedNode = driver.drawNode()
	driver.sim.PauseNode(driver.pausedNode)
}

func (driver *driver) togglePartition() {
	if driver.partitionedZone != "" {
		driver.sim.SetZonePartitioned(driver.partitionedZone, false)
		driver.partitionedZone = ""
		return
	}
	driver.partitionedZone = rapid.SampledFrom(driver.sim.settings.Zones).Draw(driver.t, "zone")
	driver.sim.SetZonePartitioned(driver.partitionedZone, true)
}

func (driver *driver) toggleStoreOutage() {
	driver.sim.SetStoreOutage(!driver.sim.store.down)
}

func newDriver(t *rapid.T) *driver {
	settings := smallSettings(rapid.Uint64().Draw(t, "seed"))
	settings.Store.ResponseLoss = 0.3
	d := &driver{t: t, sim: New(settings), drained: make(map[[2]int]bool)}
	d.sim.Clock.RunUntil(25 * time.Second)
	return d
}

// healAndConverge ends all faults, lets the group converge, and checks that the
// accepted configuration is in force on all running nodes.
func (driver *driver) healAndConverge() {
	if driver.pausedNode != "" && !driver.sim.nodesByID[driver.pausedNode].dead {
		driver.sim.ResumeNode(driver.pausedNode)
	}
	if driver.partitionedZone != "" {
		driver.sim.SetZonePartitioned(driver.partitionedZone, false)
	}
	driver.sim.SetStoreOutage(false)
	driver.sim.Clock.RunUntil(driver.sim.Clock.Now() + 90*time.Second)
	require.NoError(driver.t, driver.sim.CheckInvariants())
	revision := driver.sim.store.configuration.GetRevision()
	for _, node := range driver.sim.nodes {
		if node.running() {
			require.Equal(driver.t, revision, node.activeRevision(), "node %s: accepted configuration is not in force: %s", node.id, describe(node))
		}
	}
}

// setRapidChecks sets the number of cases and a fixed seed, as in CI. With
// INDIGOBARROW_LONG set, rapid's own flags apply.
func setRapidChecks(t *testing.T, count int) {
	if os.Getenv("INDIGOBARROW_LONG") == "" {
		require.NoError(t, setRapidFlag("checks", count))
		require.NoError(t, setRapidFlag("seed", 1))
	}
}

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	setRapidChecks(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		driver := newDriver(t)
		actions := []func(){driver.toggleDrain, driver.setWeight, driver.replaceNode, driver.startNode, driver.toggleStoreOutage}
		for range rapid.IntRange(4, 16).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			driver.advance()
		}
		driver.healAndConverge()
		require.Zero(t, driver.sim.Result.TotalBroken(), "broken: %v", driver.sim.Result.Broken)
		require.Zero(t, driver.sim.Result.SecondBackend)
	})
}

func TestFaultsPreserveInvariants(t *testing.T) {
	setRapidChecks(t, 16)
	broken, flows := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		driver := newDriver(t)
		actions := []func(){driver.toggleDrain, driver.setWeight, driver.replaceNode, driver.startNode, driver.toggleStoreOutage,
			driver.killNode, driver.togglePause, driver.togglePartition}
		for range rapid.IntRange(4, 16).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			driver.advance()
		}
		driver.healAndConverge()
		broken += driver.sim.Result.TotalBroken()
		flows += driver.sim.Result.Flows
	})
	t.Logf("broken %d of %d flows", broken, flows)
}
