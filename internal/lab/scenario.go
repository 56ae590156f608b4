package lab

import (
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Scenario is a failure or a planned change, driven at set times.
type Scenario struct {
	Name string
	// Planned scenarios must break no flow.
	Planned bool
	// Length is the virtual time of the run.
	Length time.Duration
	// Prepare changes the settings; it may be nil.
	Prepare func(*Settings)
	// Play plans the events.
	Play func(*World)
}

// At runs an action at a virtual time.
func (world *World) At(at time.Duration, action func()) {
	world.Clock.After(at-world.Clock.Now(), action)
}

const seconds = time.Second

// Scenarios are the failures that the project drives.
func Scenarios() []Scenario {
	return append(plannedScenarios(), faultScenarios()...)
}

func plannedScenarios() []Scenario {
	return []Scenario{
		{Name: "quiet", Planned: true, Length: 120 * seconds, Play: func(*World) {}},
		{Name: "drain", Planned: true, Length: 120 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Drain(0, 3) })
		}},
		{Name: "drain-steady", Planned: true, Length: 300 * seconds, Play: func(world *World) {
			world.At(200*seconds, func() { world.Drain(0, 3) })
		}},
		{Name: "drain-and-undrain", Planned: true, Length: 150 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Drain(0, 3) })
			world.At(60*seconds, func() { world.Drain(0, 7) })
			world.At(80*seconds, func() { world.Undrain(0, 3) })
		}},
		{Name: "planned-stop", Planned: true, Length: 120 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Start(world.settings.Zones[0]) })
			world.At(41*seconds, func() { world.StopPlanned(world.Nodes()[0], 20*seconds) })
		}},
		{Name: "weights", Planned: true, Length: 150 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Reweigh(0, 1, 50) })
			world.At(60*seconds, func() { world.Reweigh(0, 5, 30) })
			world.At(80*seconds, func() { world.Reweigh(0, 1, 100) })
		}},
		{Name: "replace-all-nodes", Planned: true, Length: 240 * seconds, Prepare: func(settings *Settings) {
			settings.Services[0].MeanDuration = time.Hour
		}, Play: func(world *World) {
			for place, id := range world.Nodes() {
				at := time.Duration(40+25*place) * seconds
				world.At(at, func() { world.Start(world.byID[id].zone) })
				world.At(at+2*seconds, func() { world.StopPlanned(id, 20*seconds) })
			}
		}},
		{Name: "racing-operators", Planned: true, Length: 120 * seconds, Play: func(world *World) {
			for turn := range 10 {
				at := 40*seconds + time.Duration(turn)*300*time.Millisecond
				world.At(at, func() { world.Reweigh(0, 2, uint32(50+5*turn)) })
				world.At(at, func() { world.Reweigh(0, 2, uint32(100-5*turn)) })
			}
		}},
		{Name: "store-down-10-minutes", Planned: true, Length: 720 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.StoreOutage(true) })
			world.At(60*seconds, func() { world.DrainByMark(0, 3, world.Nodes()[1]) })
			world.At(120*seconds, func() { world.Start(world.settings.Zones[1]) })
			world.At(640*seconds, func() { world.StoreOutage(false) })
			world.At(650*seconds, func() { world.drainInStore(0, 3) })
		}},
		{Name: "store-answers-lost", Planned: true, Length: 150 * seconds, Prepare: func(settings *Settings) {
			settings.Store.LostAnswers = 0.5
		}, Play: func(world *World) {
			world.At(40*seconds, func() { world.Drain(0, 3) })
			world.At(60*seconds, func() { world.Reweigh(0, 5, 30) })
			world.At(80*seconds, func() { world.Drain(0, 8) })
		}},
		{Name: "address-moves", Planned: true, Length: 120 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Pause(world.Nodes()[2]) })
			world.At(41*seconds, world.MoveAddress)
			world.At(60*seconds, func() { world.Resume(world.Nodes()[2]) })
		}},
		{Name: "cold-start", Planned: true, Length: 180 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.AddBackend(0, 30) })
			world.At(70*seconds, func() { world.Reweigh(0, 14, 100) })
		}},
	}
}

func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "kill", Length: 120 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Kill(world.Nodes()[0]) })
			world.At(50*seconds, func() { world.Start(world.settings.Zones[0]) })
		}},
		{Name: "kill-during-drain", Length: 120 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.Drain(0, 3) })
			world.At(40*seconds+200*time.Millisecond, func() { world.Kill(world.Nodes()[0]) })
			world.At(60*seconds, func() { world.Start(world.settings.Zones[0]) })
		}},
		{Name: "pause", Length: 120 * seconds, Play: func(world *World) {
			id := world.Nodes()[2]
			world.At(40*seconds, func() { world.Pause(id) })
			world.At(45*seconds, func() { world.Drain(0, 3) })
			world.At(55*seconds, func() { world.Resume(id) })
		}},
		{Name: "zone-cut", Length: 180 * seconds, Play: func(world *World) {
			zone := world.settings.Zones[1]
			world.At(40*seconds, func() { world.CutZone(zone, true) })
			world.At(60*seconds, func() { world.Drain(0, 3) })
			world.At(100*seconds, func() { world.CutZone(zone, false) })
		}},
		{Name: "zone-lost", Length: 180 * seconds, Play: func(world *World) {
			zone := world.settings.Zones[1]
			world.At(40*seconds, func() {
				for _, id := range world.Nodes() {
					if world.byID[id].zone == zone {
						world.Kill(id)
					}
				}
			})
			world.At(60*seconds, func() { world.Drain(0, 3) })
			world.At(90*seconds, func() { world.Start(zone); world.Start(zone) })
		}},
		{Name: "kill-during-store-outage", Length: 180 * seconds, Play: func(world *World) {
			world.At(40*seconds, func() { world.StoreOutage(true) })
			world.At(50*seconds, func() { world.Kill(world.Nodes()[0]) })
			world.At(60*seconds, func() { world.DrainByMark(0, 3, world.Nodes()[1]) })
			world.At(100*seconds, func() { world.Start(world.settings.Zones[0]) })
			world.At(120*seconds, func() { world.StoreOutage(false) })
			world.At(122*seconds, func() { world.drainInStore(0, 3) })
		}},
		{Name: "pause-during-planned-stop", Length: 150 * seconds, Play: func(world *World) {
			stopped, paused := world.Nodes()[0], world.Nodes()[4]
			world.At(40*seconds, func() { world.Pause(paused) })
			world.At(40*seconds, func() { world.StopPlanned(stopped, 20*seconds) })
			world.At(52*seconds, func() { world.Resume(paused) })
		}},
	}
}

// drainInStore repeats a drain that was only a mark during an outage.
func (world *World) drainInStore(serviceIndex, place int) {
	world.change(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[place].Leaving = true
	})
}

// Run plays a scenario.
func (scenario Scenario) Run(settings Settings) Result {
	if scenario.Prepare != nil {
		scenario.Prepare(&settings)
	}
	world := New(settings)
	scenario.Play(world)
	for world.Clock.Now() < scenario.Length {
		world.Clock.RunUntil(world.Clock.Now() + 100*time.Millisecond)
		if err := world.Check(); err != nil && settings.Algorithm == AlgorithmEpochs {
			world.Result.Violation = err.Error()
			break
		}
	}
	return world.Finish()
}
