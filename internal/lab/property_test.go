package lab

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// small is a world in which a hundred virtual seconds take a moment.
func small(seed uint64) Settings {
	settings := DarAlWarraq(seed)
	settings.Services = []ServiceSettings{
		{Name: "lending", Backends: 5, Arrivals: 20, MeanDuration: 30 * time.Second, PacketInterval: 700 * time.Millisecond, WarmFlows: 200},
		{Name: "covers", Backends: 3, Arrivals: 5, MeanDuration: 10 * time.Second, PacketInterval: 700 * time.Millisecond, WarmFlows: 30},
	}
	settings.Network.Loss = 0.01
	settings.Network.Duplicate = 0.01
	settings.FlowCapacity = 1 << 16
	return settings
}

// driver draws actions and applies those that are possible.
type driver struct {
	t       *rapid.T
	world   *World
	leaving map[[2]int]bool
	paused  string
	cut     string
}

func (driver *driver) advance() {
	step := time.Duration(rapid.IntRange(50, 6000).Draw(driver.t, "milliseconds")) * time.Millisecond
	end := driver.world.Clock.Now() + step
	for driver.world.Clock.Now() < end {
		driver.world.Clock.RunUntil(min(end, driver.world.Clock.Now()+20*time.Millisecond))
		require.NoError(driver.t, driver.world.Check())
	}
}

func (driver *driver) pick() string {
	return rapid.SampledFrom(driver.world.Nodes()).Draw(driver.t, "node")
}

func (driver *driver) drain() {
	place := [2]int{0, rapid.IntRange(0, 4).Draw(driver.t, "backend")}
	switch {
	case driver.leaving[place]:
		driver.world.Undrain(place[0], place[1])
		delete(driver.leaving, place)
	case len(driver.leaving) < 3:
		driver.world.Drain(place[0], place[1])
		driver.leaving[place] = true
	}
}

func (driver *driver) reweigh() {
	place := rapid.IntRange(0, 4).Draw(driver.t, "backend")
	driver.world.Reweigh(0, place, uint32(rapid.IntRange(1, 10).Draw(driver.t, "weight"))*10)
}

func (driver *driver) replace() {
	if len(driver.world.Nodes()) < 6 {
		return
	}
	id := driver.pick()
	driver.world.Start(driver.world.byID[id].zone)
	driver.world.StopPlanned(id, 20*time.Second)
}

func (driver *driver) kill() {
	if len(driver.world.Nodes()) < 5 || driver.paused != "" || driver.cut != "" {
		return
	}
	driver.world.Kill(driver.pick())
}

func (driver *driver) start() {
	if len(driver.world.Nodes()) < 9 {
		driver.world.Start(rapid.SampledFrom(driver.world.settings.Zones).Draw(driver.t, "zone"))
	}
}

func (driver *driver) pause() {
	if driver.paused != "" {
		if !driver.world.byID[driver.paused].dead {
			driver.world.Resume(driver.paused)
		}
		driver.paused = ""
		return
	}
	driver.paused = driver.pick()
	driver.world.Pause(driver.paused)
}

func (driver *driver) cutZone() {
	if driver.cut != "" {
		driver.world.CutZone(driver.cut, false)
		driver.cut = ""
		return
	}
	driver.cut = rapid.SampledFrom(driver.world.settings.Zones).Draw(driver.t, "zone")
	driver.world.CutZone(driver.cut, true)
}

func (driver *driver) outage() { driver.world.StoreOutage(!driver.world.store.down) }

func newDriver(t *rapid.T) *driver {
	settings := small(rapid.Uint64().Draw(t, "seed"))
	settings.Store.LostAnswers = 0.3
	made := &driver{t: t, world: New(settings), leaving: make(map[[2]int]bool)}
	made.world.Clock.RunUntil(25 * time.Second)
	return made
}

// settle ends all faults and lets the group come to rest.
func (driver *driver) settle() {
	if driver.paused != "" && !driver.world.byID[driver.paused].dead {
		driver.world.Resume(driver.paused)
	}
	if driver.cut != "" {
		driver.world.CutZone(driver.cut, false)
	}
	driver.world.StoreOutage(false)
	driver.world.Clock.RunUntil(driver.world.Clock.Now() + 90*time.Second)
	require.NoError(driver.t, driver.world.Check())
	revision := driver.world.store.configuration.GetRevision()
	for _, node := range driver.world.nodes {
		if node.running() {
			require.Equal(driver.t, revision, node.inForce(), "node %s: accepted configuration is not in force: %s", node.id, describe(node))
		}
	}
}

// checks is the number of cases in CI; rapid's own flag sets it otherwise.
func checks(t *testing.T, count int) {
	if os.Getenv("INDIGOBARROW_LONG") == "" {
		require.NoError(t, setRapid("checks", count))
		require.NoError(t, setRapid("seed", 1))
	}
}

func TestPlannedChangesBreakNoFlow(t *testing.T) {
	checks(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		driver := newDriver(t)
		actions := []func(){driver.drain, driver.reweigh, driver.replace, driver.start, driver.outage}
		for range rapid.IntRange(4, 16).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			driver.advance()
		}
		driver.settle()
		require.Zero(t, driver.world.Result.TotalBroken(), "broken: %v", driver.world.Result.Broken)
		require.Zero(t, driver.world.Result.SecondBackend)
	})
}

func TestFaultsKeepThePromises(t *testing.T) {
	checks(t, 16)
	broken, flows := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		driver := newDriver(t)
		actions := []func(){driver.drain, driver.reweigh, driver.replace, driver.start, driver.outage,
			driver.kill, driver.pause, driver.cutZone}
		for range rapid.IntRange(4, 16).Draw(t, "actions") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			driver.advance()
		}
		driver.settle()
		broken += driver.world.Result.TotalBroken()
		flows += driver.world.Result.Flows
	})
	t.Logf("broken %d of %d flows", broken, flows)
}
