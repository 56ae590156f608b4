package lab

import (
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Scenario is a run with faults or planned changes at fixed times.
type Scenario struct {
	Name string
	// Planned is set for scenarios that must not break any flow.
	Planned bool
	// SimulatedTime is the length of the run in virtual time.
	SimulatedTime time.Duration
	// Prepare changes the settings before the run; it may be nil.
	Prepare func(*Settings)
	// ScheduleEvents schedules the scenario's events.
	ScheduleEvents func(*Simulation)
}

// Schedule schedules an action to run at a virtual time.
func (sim *Simulation) Schedule(at time.Duration, action func()) {
	sim.Clock.After(at-sim.Clock.Now(), action)
}

const seconds = time.Second

// Scenarios returns all predefined scenarios, the planned ones first.
func Scenarios() []Scenario {
	return append(plannedScenarios(), faultScenarios()...)
}

func plannedScenarios() []Scenario {
	return []Scenario{
		{Name: "quiet", Planned: true, SimulatedTime: 120 * seconds, ScheduleEvents: func(*Simulation) {}},
		{Name: "drain", Planned: true, SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.Drain(0, 3) })
		}},
		{Name: "drain-steady", Planned: true, SimulatedTime: 300 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(200*seconds, func() { sim.Drain(0, 3) })
		}},
		{Name: "drain-and-undrain", Planned: true, SimulatedTime: 150 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(60*seconds, func() { sim.Drain(0, 7) })
			sim.Schedule(80*seconds, func() { sim.Undrain(0, 3) })
		}},
		{Name: "planned-stop", Planned: true, SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.StartNode(sim.settings.Zones[0]) })
			sim.Schedule(41*seconds, func() { sim.StopNodeGracefully(sim.Nodes()[0], 20*seconds) })
		}},
		{Name: "weights", Planned: true, SimulatedTime: 150 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.SetWeight(0, 1, 50) })
			sim.Schedule(60*seconds, func() { sim.SetWeight(0, 5, 30) })
			sim.Schedule(80*seconds, func() { sim.SetWeight(0, 1, 100) })
		}},
		{Name: "replace-all-nodes", Planned: true, SimulatedTime: 240 * seconds, Prepare: func(settings *Settings) {
			settings.Services[0].MeanFlowDuration = time.Hour
		}, ScheduleEvents: func(sim *Simulation) {
			for index, id := range sim.Nodes() {
				at := time.Duration(40+25*index) * seconds
				sim.Schedule(at, func() { sim.StartNode(sim.nodesByID[id].zone) })
				sim.Schedule(at+2*seconds, func() { sim.StopNodeGracefully(id, 20*seconds) })
			}
		}},
		{Name: "racing-operators", Planned: true, SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			for attempt := range 10 {
				at := 40*seconds + time.Duration(attempt)*300*time.Millisecond
				sim.Schedule(at, func() { sim.SetWeight(0, 2, uint32(50+5*attempt)) })
				sim.Schedule(at, func() { sim.SetWeight(0, 2, uint32(100-5*attempt)) })
			}
		}},
		{Name: "store-down-10-minutes", Planned: true, SimulatedTime: 720 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.SetStoreOutage(true) })
			sim.Schedule(60*seconds, func() { sim.DrainByMark(0, 3, sim.Nodes()[1]) })
			sim.Schedule(120*seconds, func() { sim.StartNode(sim.settings.Zones[1]) })
			sim.Schedule(640*seconds, func() { sim.SetStoreOutage(false) })
			sim.Schedule(650*seconds, func() { sim.drainInStore(0, 3) })
		}},
		{Name: "store-answers-lost", Planned: true, SimulatedTime: 150 * seconds, Prepare: func(settings *Settings) {
			settings.Store.ResponseLoss = 0.5
		}, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(60*seconds, func() { sim.SetWeight(0, 5, 30) })
			sim.Schedule(80*seconds, func() { sim.Drain(0, 8) })
		}},
		{Name: "address-moves", Planned: true, SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.PauseNode(sim.Nodes()[2]) })
			sim.Schedule(41*seconds, sim.MoveAddress)
			sim.Schedule(60*seconds, func() { sim.ResumeNode(sim.Nodes()[2]) })
		}},
		{Name: "cold-start", Planned: true, SimulatedTime: 180 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.AddBackend(0, 30) })
			sim.Schedule(70*seconds, func() { sim.SetWeight(0, 14, 100) })
		}},
	}
}

func faultScenarios() []Scenario {
	return []Scenario{
		{Name: "kill", SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.KillNode(sim.Nodes()[0]) })
			sim.Schedule(50*seconds, func() { sim.StartNode(sim.settings.Zones[0]) })
		}},
		{Name: "kill-during-drain", SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(40*seconds+200*time.Millisecond, func() { sim.KillNode(sim.Nodes()[0]) })
			sim.Schedule(60*seconds, func() { sim.StartNode(sim.settings.Zones[0]) })
		}},
		{Name: "pause", SimulatedTime: 120 * seconds, ScheduleEvents: func(sim *Simulation) {
			id := sim.Nodes()[2]
			sim.Schedule(40*seconds, func() { sim.PauseNode(id) })
			sim.Schedule(45*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(55*seconds, func() { sim.ResumeNode(id) })
		}},
		{Name: "zone-cut", SimulatedTime: 180 * seconds, ScheduleEvents: func(sim *Simulation) {
			zone := sim.settings.Zones[1]
			sim.Schedule(40*seconds, func() { sim.SetZonePartitioned(zone, true) })
			sim.Schedule(60*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(100*seconds, func() { sim.SetZonePartitioned(zone, false) })
		}},
		{Name: "zone-lost", SimulatedTime: 180 * seconds, ScheduleEvents: func(sim *Simulation) {
			zone := sim.settings.Zones[1]
			sim.Schedule(40*seconds, func() {
				for _, id := range sim.Nodes() {
					if sim.nodesByID[id].zone == zone {
						sim.KillNode(id)
					}
				}
			})
			sim.Schedule(60*seconds, func() { sim.Drain(0, 3) })
			sim.Schedule(90*seconds, func() { sim.StartNode(zone); sim.StartNode(zone) })
		}},
		{Name: "kill-during-store-outage", SimulatedTime: 180 * seconds, ScheduleEvents: func(sim *Simulation) {
			sim.Schedule(40*seconds, func() { sim.SetStoreOutage(true) })
			sim.Schedule(50*seconds, func() { sim.KillNode(sim.Nodes()[0]) })
			sim.Schedule(60*seconds, func() { sim.DrainByMark(0, 3, sim.Nodes()[1]) })
			sim.Schedule(100*seconds, func() { sim.StartNode(sim.settings.Zones[0]) })
			sim.Schedule(120*seconds, func() { sim.SetStoreOutage(false) })
			sim.Schedule(122*seconds, func() { sim.drainInStore(0, 3) })
		}},
		{Name: "pause-during-planned-stop", SimulatedTime: 150 * seconds, ScheduleEvents: func(sim *Simulation) {
			stopped, paused := sim.Nodes()[0], sim.Nodes()[4]
			sim.Schedule(40*seconds, func() { sim.PauseNode(paused) })
			sim.Schedule(40*seconds, func() { sim.StopNodeGracefully(stopped, 20*seconds) })
			sim.Schedule(52*seconds, func() { sim.ResumeNode(paused) })
		}},
	}
}

// drainInStore marks a back end as leaving in the configuration after DrainByMark
// has drained it during a store outage. It leaves the start of the drain
// unchanged.
func (sim *Simulation) drainInStore(serviceIndex, backendIndex int) {
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[backendIndex].Leaving = true
	})
}

// Run runs the scenario and returns the results. With the epochs algorithm it
// checks the invariants every 100 ms and stops at the first violation.
func (scenario Scenario) Run(settings Settings) Result {
	if scenario.Prepare != nil {
		scenario.Prepare(&settings)
	}
	sim := New(settings)
	scenario.ScheduleEvents(sim)
	for sim.Clock.Now() < scenario.SimulatedTime {
		sim.Clock.RunUntil(sim.Clock.Now() + 100*time.Millisecond)
		if err := sim.CheckInvariants(); err != nil && settings.Algorithm == AlgorithmEpochs {
			sim.Result.Violation = err.Error()
			break
		}
	}
	return sim.Finish()
}
