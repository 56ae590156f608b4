package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/change"
	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/core"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

const (
	minimumPollInterval = 2 * time.Second
	// reportSpacing limits the rate at which reports are read to 20 a second.
	reportSpacing     = 50 * time.Millisecond
	reportTimeout     = 500 * time.Millisecond
	reportConcurrency = 16
)

// facts holds what the node has learned of the back ends from their reports and
// from the platform. It is safe for concurrent use.
type facts struct {
	mutex         sync.Mutex
	configuration *apiv1.Configuration
	reports       map[uint32]*reportState
	// reasons holds the latest policy outcome of each back end as text.
	reasons map[uint32]string
}

// reportState summarizes the reports of one back end.
type reportState struct {
	firstGood  time.Time
	lastGood   time.Time
	lastReport time.Time
	load       float64
	state      string
}

// Report is the response body of the report endpoint of a back end.
type Report struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
	State   string  `json:"state"`
}

func newFacts() *facts {
	return &facts{reports: make(map[uint32]*reportState), reasons: make(map[uint32]string)}
}

func (facts *facts) setConfiguration(configuration *apiv1.Configuration) {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	facts.configuration = configuration
}

// copyReasons returns a copy of the reasons.
func (facts *facts) copyReasons() map[uint32]string {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	copied := make(map[uint32]string, len(facts.reasons))
	for backend, reason := range facts.reasons {
		copied[backend] = reason
	}
	return copied
}

// pollReports polls the reports of the back ends and runs the policies, on the
// node with group rank 0 only. If several nodes decided, the weights would flap
// between nodes that have seen different reports.
func (node *Node) pollReports(ctx context.Context) error {
	var damper *policy.Damper
	for ctx.Err() == nil {
		sleep(ctx, jitter(node.facts.pollInterval()))
		leads, inForce := false, map[uint32]uint32(nil)
		if err := node.query(ctx, func(control *core.Core) {
			leads = control.GroupRank() == 0
			inForce = compile.EpochWeights(control.Document().GetSettled())
		}); err != nil {
			return nil
		}
		if !leads {
			damper = nil
			continue
		}
		if damper == nil {
			damper = policy.NewDamper(inForce)
		}
		node.readReports(ctx)
		if err := node.runPolicies(damper); err != nil {
			node.logger.Error("Policies: evaluation failed.", "part", "policy", "error", err)
		}
	}
	return nil
}

// pollInterval returns the time between two polls of all reports. It grows with
// the number of back ends, to keep reportSpacing.
func (facts *facts) pollInterval() time.Duration {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	count := 0
	for _, service := range facts.configuration.GetServices() {
		count += len(service.GetBackends())
	}
	return max(minimumPollInterval, time.Duration(count)*reportSpacing)
}

// readReports reads the reports of all back ends that have a report address, at
// most reportConcurrency at a time.
func (node *Node) readReports(ctx context.Context) {
	node.facts.mutex.Lock()
	configuration := node.facts.configuration
	node.facts.mutex.Unlock()
	slots := make(chan struct{}, reportConcurrency)
	var group sync.WaitGroup
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetReportAddress() == "" {
				continue
			}
			group.Add(1)
			slots <- struct{}{}
			go func() {
				defer group.Done()
				defer func() { <-slots }()
				report, err := readReport(ctx, backend.GetReportAddress())
				node.facts.recordReport(backend.GetId(), report, err)
			}()
		}
	}
	group.Wait()
}

// readReport reads the report at an address.
func readReport(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/report", nil)
	if err != nil {
		return Report{}, errors.Wrapf(err, "report %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Report{}, errors.Wrapf(err, "report %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var report Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, errors.Wrapf(err, "report %s: decode", address)
}

// recordReport records a report of a back end, or the attempt to read it if err is
// not nil.
func (facts *facts) recordReport(backend uint32, report Report, err error) {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	history := facts.reports[backend]
	if history == nil {
		history = &reportState{lastGood: time.Now()}
		facts.reports[backend] = history
	}
	if err != nil {
		return
	}
	now := time.Now()
	history.lastReport = now
	history.load = min(1, max(0, report.Load))
	history.state = report.State
	if !report.Healthy {
		return
	}
	if history.firstGood.IsZero() {
		history.firstGood = now
	}
	history.lastGood = now
}

// runPolicies evaluates the policies on the latest facts. A back end that a policy
// declares as leaving gets a leaving mark, and changed weights are published to the
// control goroutine.
func (node *Node) runPolicies(damper *policy.Damper) error {
	pollInterval := node.facts.pollInterval()
	node.facts.mutex.Lock()
	defer node.facts.mutex.Unlock()
	configuration := node.facts.configuration
	outcomes := make(map[uint32]policy.Outcome)
	for _, service := range configuration.GetServices() {
		program, err := compilePolicy(configuration, service)
		if err != nil {
			return err
		}
		if err := node.runPolicy(program, service, pollInterval, outcomes); err != nil {
			return err
		}
	}
	weights, changed := damper.Update(time.Now(), outcomes)
	if !changed {
		return nil
	}
	return node.bus.Publish(events.Event{Kind: events.KindRules, Body: epochFromWeights(weights)})
}

// compilePolicy compiles the policy of a service, or the default policy if the
// configuration has no policy of that name.
func compilePolicy(configuration *apiv1.Configuration, service *apiv1.Service) (*policy.Program, error) {
	selected := change.FindPolicy(configuration, service.GetPolicy())
	if selected == nil {
		selected = policy.Default()
	}
	return policy.Compile(selected)
}

// runPolicy evaluates the policy of one service for each of its back ends.
func (node *Node) runPolicy(program *policy.Program, service *apiv1.Service, pollInterval time.Duration, outcomes map[uint32]policy.Outcome) error {
	mean := node.facts.meanLoad(service)
	for _, backend := range service.GetBackends() {
		if backend.GetReportAddress() == "" {
			outcomes[backend.GetId()] = policy.Outcome{Weight: 1}
			continue
		}
		outcome, err := program.Evaluate(node.facts.policyFacts(backend, mean, pollInterval))
		if err != nil {
			return errors.Wrapf(err, "service %s, back end %s", service.GetName(), backend.GetName())
		}
		outcomes[backend.GetId()] = outcome
		node.facts.setReason(backend.GetId(), outcome)
		if outcome.Leaving {
			mark := &apiv1.LeavingMark{Backend: backend.GetId(), Reason: "the policy counts it as leaving"}
			if err := node.bus.Publish(events.Event{Kind: events.KindLeavingMark, Body: mark}); err != nil {
				return err
			}
		}
	}
	return nil
}

// meanLoad returns the mean load of the back ends of a service that have reported.
func (facts *facts) meanLoad(service *apiv1.Service) float64 {
	total, count := 0.0, 0
	for _, backend := range service.GetBackends() {
		if history := facts.reports[backend.GetId()]; history != nil && !history.lastReport.IsZero() {
			total += history.load
			count++
		}
	}
	return total / float64(max(count, 1))
}

// policyFacts returns the facts of one back end that a policy evaluates. A back end
// counts as healthy if its last good report, or its first poll if there is none, is
// less than two polls old. Without a report, its load is the mean.
func (facts *facts) policyFacts(backend *apiv1.Backend, mean float64, pollInterval time.Duration) policy.Facts {
	values := policy.Facts{Name: backend.GetName(), Zone: backend.GetZone(), MachineState: "unknown", MeanLoad: mean, Load: mean}
	history := facts.reports[backend.GetId()]
	if history == nil {
		return values
	}
	now := time.Now()
	values.MachineState = history.state
	values.BadSeconds = now.Sub(history.lastGood).Seconds()
	values.Healthy = values.BadSeconds < 2*pollInterval.Seconds()
	if !history.lastReport.IsZero() {
		values.Load = history.load
		values.ReportAge = now.Sub(history.lastReport).Seconds()
	}
	if !history.firstGood.IsZero() {
		values.UpSeconds = now.Sub(history.firstGood).Seconds()
	}
	return values
}

// setReason sets the reason of a back end to a policy outcome.
func (facts *facts) setReason(backend uint32, outcome policy.Outcome) {
	text, err := json.Marshal(outcome)
	if err == nil {
		facts.reasons[backend] = "policy outcome " + string(text)
	}
}

// Facts implements admin.Node. It returns the facts of all back ends that have
// been polled by this node.
func (node *Node) Facts(ctx context.Context) (*apiv1.FactsReport, error) {
	report := &apiv1.FactsReport{Node: node.self.GetId()}
	var weights map[uint32]uint32
	if err := node.query(ctx, func(control *core.Core) { weights = compile.NewestWeights(control.Document()) }); err != nil {
		return nil, err
	}
	pollInterval := node.facts.pollInterval()
	node.facts.mutex.Lock()
	defer node.facts.mutex.Unlock()
	for _, service := range node.facts.configuration.GetServices() {
		mean := node.facts.meanLoad(service)
		for _, backend := range service.GetBackends() {
			if node.facts.reports[backend.GetId()] == nil {
				continue
			}
			values := node.facts.policyFacts(backend, mean, pollInterval)
			report.Backends = append(report.Backends, &apiv1.BackendFacts{
				Service: service.GetName(), Backend: values.Name, Zone: values.Zone, MachineState: values.MachineState,
				Healthy: values.Healthy, BadSeconds: values.BadSeconds, Load: values.Load, MeanLoad: values.MeanLoad,
				ReportAge: values.ReportAge, UpSeconds: values.UpSeconds, Weight: weights[backend.GetId()], Policy: service.GetPolicy()})
		}
	}
	return report, nil
}

// epochFromWeights returns an epoch that holds only weights, to publish them as the
// body of an event.
func epochFromWeights(weights map[uint32]uint32) *apiv1.Epoch {
	service := &apiv1.ServiceRule{}
	for backend, weight := range weights {
		service.Candidates = append(service.Candidates, &apiv1.Candidate{Backend: backend, Weight: weight})
	}
	return &apiv1.Epoch{Services: []*apiv1.ServiceRule{service}}
}
