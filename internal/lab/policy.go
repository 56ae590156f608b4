package lab

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

// ReportSettings describes the load reports of the back ends and the policy that
// computes weights from them.
type ReportSettings struct {
	// Enabled makes the running node with the lowest ID run the policy.
	Enabled bool
	Policy  *policy.Program
	// Lag is the age of the reports.
	Lag time.Duration
	// MisreportingBackends is the number of back ends of the first service that
	// always report a load of 0.
	MisreportingBackends int
	// FullLoadFlows is the number of open flows that counts as a load of 1.
	FullLoadFlows int
}

const reportInterval = 2 * time.Second

// startPolicy runs the policy every reportInterval once traffic has started, as
// the report goroutine of a real node does.
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

// runPolicy evaluates the policy on the reports that the policy node has, and
// passes the weights to that node's core if they changed.
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

// policyNode returns the running node with the lowest ID, or nil if no node runs.
func (sim *Simulation) policyNode() *node {
	var first *node
	for _, node := range sim.nodes {
		if node.running() && (first == nil || node.id < first.id) {
			first = node
		}
	}
	return first
}

// reportedLoad returns the load that a back end reports: that of Lag ago, or 0 for
// a misreporting back end.
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
