package lab

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

// ReportSettings describe the load reports of the back ends.
type ReportSettings struct {
	// Enabled lets the node of the first rank run the policy.
	Enabled bool
	Policy  *policy.Program
	// Lag is how old the reports are.
	Lag time.Duration
	// MisreportingBackends is how many back ends of the first service report no load at all.
	MisreportingBackends int
	// FullLoadFlows is the number of open flows that counts as a load of 1.
	FullLoadFlows int
}

const reportInterval = 2 * time.Second

// startPolicy runs the policy as a node's report goroutine does.
func (world *Simulation) startPolicy() {
	if !world.settings.Reports.Enabled {
		return
	}
	damper := policy.NewDamper(nil)
	history := make(map[uint32][]int)
	var poll func()
	poll = func() {
		world.runPolicy(damper, history)
		world.Clock.After(reportInterval, poll)
	}
	world.Clock.After(warmUpTime, poll)
}

// runPolicy evaluates the policy on the reports as the deciding node sees them.
func (world *Simulation) runPolicy(damper *policy.Damper, history map[uint32][]int) {
	decider := world.policyNode()
	if decider == nil || decider.core.Configuration() == nil {
		return
	}
	outcomes := make(map[uint32]policy.Outcome)
	for _, service := range world.services {
		mean := 0.0
		reported := make([]float64, len(service.backends))
		for place, backend := range service.backends {
			reported[place] = world.reportedLoad(backend, place, history)
			mean += reported[place] / float64(len(service.backends))
		}
		for place, backend := range service.backends {
			outcome, err := world.settings.Reports.Policy.Evaluate(policy.Facts{
				Name: backend.name, Zone: backend.zone, MachineState: "live", Healthy: true,
				Load: reported[place], MeanLoad: mean, ReportAge: world.settings.Reports.Lag.Seconds(),
				UpSeconds: (world.Clock.Now() - backend.startedAt).Seconds(),
			})
			if err != nil {
				panic(err)
			}
			outcomes[backend.id] = outcome
		}
	}
	now := time.Unix(0, 0).Add(world.Clock.Now())
	weights, changed := damper.Update(now, outcomes)
	if !changed {
		return
	}
	world.Result.WeightChanges++
	configuration := decider.core.Configuration()
	decider.core.SetDesired(decider.now(), configuration.GetRevision(),
		compile.Rules(configuration, weights), compile.ClearedMarks(configuration))
	decider.applyCoreOutput()
}

// policyNode is the running node of the lowest ID.
func (world *Simulation) policyNode() *node {
	var first *node
	for _, node := range world.nodes {
		if node.running() && (first == nil || node.id < first.id) {
			first = node
		}
	}
	return first
}

// reportedLoad is the load that a back end reports: late, or false.
func (world *Simulation) reportedLoad(backend *backend, place int, history map[uint32][]int) float64 {
	settings := world.settings.Reports
	history[backend.id] = append(history[backend.id], backend.openFlows)
	late := int(settings.Lag / reportInterval)
	past := history[backend.id]
	open := past[max(0, len(past)-1-late)]
	if backend.service.index == 0 && place < settings.MisreportingBackends {
		return 0
	}
	return min(1, float64(open)/float64(settings.FullLoadFlows))
}
