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
	// Duration is the virtual time of the run.
	Duration time.Duration
	// Prepare changes the settings; it may be nil.
	Prepare func(*Settings)
	// ScheduleEvents plans the events.
	ScheduleEvents func(*Simulation)
}

// Schedule runs an action at a virtual time.
func (world *Simulation) Schedule(at time.Duration, action func()) {
	world.Clock.After(at-world.Clock.Now(), action)
}

const seconds = time.Second

// Scenarios are the failures that the project drives.
func Scenarios() []Scenario {
	return append(plannedScenarios(), faultScenarios()...)
}

func plannedScenarios() []Scenario {
	return []Scenario{
		{Name: "quiet", Planned: true, Duration: 120 * seconds, ScheduleEvents: func(*Simulation) {}},
		{Name: "drain", Planned: true, Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.Drain(0, 3) })
		}},
		{Name: "drain-steady", Planned: true, Duration: 300 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(200*seconds, func() { world.Drain(0, 3) })
		}},
		{Name: "drain-and-undrain", Planned: true, Duration: 150 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.Drain(0, 3) })
			world.Schedule(60*seconds, func() { world.Drain(0, 7) })
			world.Schedule(80*seconds, func() { world.Undrain(0, 3) })
		}},
		{Name: "planned-stop", Planned: true, Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.StartNode(world.settings.Zones[0]) })
			world.Schedule(41*seconds, func() { world.StopNodeGracefully(world.Nodes()[0], 20*seconds) })
		}},
		{Name: "weights", Planned: true, Duration: 150 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.SetWeight(0, 1, 50) })
			world.Schedule(60*seconds, func() { world.SetWeight(0, 5, 30) })
			world.Schedule(80*seconds, func() { world.SetWeight(0, 1, 100) })
		}},
		{Name: "replace-all-nodes", Planned: true, Duration: 240 * seconds, Prepare: func(settings *Settings) {
			settings.Services[0].MeanFlowDuration = time.Hour
		}, ScheduleEvents: func(world *Simulation) {
			for place, id := range world.Nodes() {
				at := time.Duration(40+25*place) * seconds
				world.Schedule(at, func() { world.StartNode(world.nodesByID[id].zone) })
				world.Schedule(at+2*seconds, func() { world.StopNodeGracefully(id, 20*seconds) })
			}
		}},
		{Name: "racing-operators", Planned: true, Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			for turn := range 10 {
				at := 40*seconds + time.Duration(turn)*300*time.Millisecond
				world.Schedule(at, func() { world.SetWeight(0, 2, uint32(50+5*turn)) })
				world.Schedule(at, func() { world.SetWeight(0, 2, uint32(100-5*turn)) })
			}
		}},
		{Name: "store-down-10-minutes", Planned: true, Duration: 720 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.SetStoreOutage(true) })
			world.Schedule(60*seconds, func() { world.DrainByMark(0, 3, world.Nodes()[1]) })
			world.Schedule(120*seconds, func() { world.StartNode(world.settings.Zones[1]) })
			world.Schedule(640*seconds, func() { world.SetStoreOutage(false) })
			world.Schedule(650*seconds, func() { world.drainInStore(0, 3) })
		}},
		{Name: "store-answers-lost", Planned: true, Duration: 150 * seconds, Prepare: func(settings *Settings) {
			settings.Store.ResponseLoss = 0.5
		}, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.Drain(0, 3) })
			world.Schedule(60*seconds, func() { world.SetWeight(0, 5, 30) })
			world.Schedule(80*seconds, func() { world.Drain(0, 8) })
		}},
		{Name: "address-moves", Planned: true, Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.PauseNode(world.Nodes()[2]) })
			world.Schedule(41*seconds, world.MoveAddress)
			world.Schedule(60*seconds, func() { world.ResumeNode(world.Nodes()[2]) })
		}},
		{Name: "cold-start", Planned: true, Duration: 180 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.AddBackend(0, 30) })
			world.Schedule(70*seconds, func() { world.SetWeight(0, 14, 100) })
		}},
	}
}

func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "kill", Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.KillNode(world.Nodes()[0]) })
			world.Schedule(50*seconds, func() { world.StartNode(world.settings.Zones[0]) })
		}},
		{Name: "kill-during-drain", Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.Drain(0, 3) })
			world.Schedule(40*seconds+200*time.Millisecond, func() { world.KillNode(world.Nodes()[0]) })
			world.Schedule(60*seconds, func() { world.StartNode(world.settings.Zones[0]) })
		}},
		{Name: "pause", Duration: 120 * seconds, ScheduleEvents: func(world *Simulation) {
			id := world.Nodes()[2]
			world.Schedule(40*seconds, func() { world.PauseNode(id) })
			world.Schedule(45*seconds, func() { world.Drain(0, 3) })
			world.Schedule(55*seconds, func() { world.ResumeNode(id) })
		}},
		{Name: "zone-cut", Duration: 180 * seconds, ScheduleEvents: func(world *Simulation) {
			zone := world.settings.Zones[1]
			world.Schedule(40*seconds, func() { world.SetZonePartitioned(zone, true) })
			world.Schedule(60*seconds, func() { world.Drain(0, 3) })
			world.Schedule(100*seconds, func() { world.SetZonePartitioned(zone, false) })
		}},
		{Name: "zone-lost", Duration: 180 * seconds, ScheduleEvents: func(world *Simulation) {
			zone := world.settings.Zones[1]
			world.Schedule(40*seconds, func() {
				for _, id := range world.Nodes() {
					if world.nodesByID[id].zone == zone {
						world.KillNode(id)
					}
				}
			})
			world.Schedule(60*seconds, func() { world.Drain(0, 3) })
			world.Schedule(90*seconds, func() { world.StartNode(zone); world.StartNode(zone) })
		}},
		{Name: "kill-during-store-outage", Duration: 180 * seconds, ScheduleEvents: func(world *Simulation) {
			world.Schedule(40*seconds, func() { world.SetStoreOutage(true) })
			world.Schedule(50*seconds, func() { world.KillNode(world.Nodes()[0]) })
			world.Schedule(60*seconds, func() { world.DrainByMark(0, 3, world.Nodes()[1]) })
			world.Schedule(100*seconds, func() { world.StartNode(world.settings.Zones[0]) })
			world.Schedule(120*seconds, func() { world.SetStoreOutage(false) })
			world.Schedule(122*seconds, func() { world.drainInStore(0, 3) })
		}},
		{Name: "pause-during-planned-stop", Duration: 150 * seconds, ScheduleEvents: func(world *Simulation) {
			stopped, paused := world.Nodes()[0], world.Nodes()[4]
			world.Schedule(40*seconds, func() { world.PauseNode(paused) })
			world.Schedule(40*seconds, func() { world.StopNodeGracefully(stopped, 20*seconds) })
			world.Schedule(52*seconds, func() { world.ResumeNode(paused) })
		}},
	}
}

// drainInStore repeats a drain that was only a mark during an outage.
func (world *Simulation) drainInStore(serviceIndex, place int) {
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[place].Leaving = true
	})
}

// Run plays a scenario.
func (scenario Scenario) Run(settings Settings) Result {
	if scenario.Prepare != nil {
		scenario.Prepare(&settings)
	}
	world := New(settings)
	scenario.ScheduleEvents(world)
	for world.Clock.Now() < scenario.Duration {
		world.Clock.RunUntil(world.Clock.Now() + 100*time.Millisecond)
		if err := world.CheckInvariants(); err != nil && settings.Algorithm == AlgorithmEpochs {
			world.Result.Violation = err.Error()
			break
		}
	}
	return world.Finish()
}
