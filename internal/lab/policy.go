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
func (sim *Simulation) startPolicy() {
	if !sim.settings.Reports.Enabled {
		return
	}
	damper := policy.NewDamper(nil)
	history := make(map[uint32][]int)
	var evaluate func()
	evaluate = func() {
		sim.runPolicy(damper, history)
		sim.Clock.After(reportInterval, evaluate)
	}
	sim.Clock.After(warmUpTime, evaluate)
}

// runPolicy evaluates the policy on the reports as the deciding node sees them.
func (sim *Simulation) runPolicy(damper *policy.Damper, history map[uint32][]int) {
	policyNode := sim.policyNode()
	if policyNode == nil || policyNode.core.Configuration() == nil {
		return
	}
	outcomes := make(map[uint32]policy.Outcome)
	for _, service := range sim.services {
		meanLoad := 0.0
		loads := make([]float64, len(service.backends))
		for backendIndex, backend := range service.backends {
			loads[backendIndex] = sim.reportedLoad(backend, backendIndex, history)
			meanLoad += loads[backendIndex] / float64(len(service.backends))
		}
		for backendIndex, backend := range service.backends {
			outcome, err := sim.settings.Reports.Policy.Evaluate(policy.Facts{
				Name: backend.name, Zone: backend.zone, MachineState: "live", Healthy: true,
				Load: loads[backendIndex], MeanLoad: meanLoad, ReportAge: sim.settings.Reports.Lag.Seconds(),
				UpSeconds: (sim.Clock.Now() - backend.startedAt).Seconds(),
			})
			if err != nil {
				panic(err)
			}
			outcomes[backend.id] = outcome
		}
	}
	now := time.Unix(0, 0).Add(sim.Clock.Now())
	weights, changed := damper.Update(now, outcomes)
	if !changed {
		return
	}
	sim.Result.WeightChanges++
	configuration := policyNode.core.Configuration()
	policyNode.core.SetDesired(policyNode.now(), configuration.GetRevision(),
		compile.Rules(configuration, weights), compile.ClearedMarks(configuration))
	policyNode.applyCoreOutput()
}

// policyNode is the running node of the lowest ID.
func (sim *Simulation) policyNode() *node {
	var first *node
	for _, node := range sim.nodes {
		if node.running() && (first == nil || node.id < first.id) {
			first = node
		}
	}
	return first
}

// reportedLoad is the load that a back end reports: late, or false.
func (sim *Simulation) reportedLoad(backend *backend, backendIndex int, history map[uint32][]int) float64 {
	settings := sim.settings.Reports
	history[backend.id] = append(history[backend.id], backend.openFlows)
	lagReports := int(settings.Lag / reportInterval)
	openCounts := history[backend.id]
	openFlows := openCounts[max(0, len(openCounts)-1-lagReports)]
	if backend.service.index == 0 && backendIndex < settings.MisreportingBackends {
		return 0
	}
	return min(1, float64(openFlows)/float64(settings.FullLoadFlows))
}
