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
	// reportSpacing bounds the rate of reports: 20 a second.
	reportSpacing     = 50 * time.Millisecond
	reportTimeout     = 500 * time.Millisecond
	reportConcurrency = 16
)

// facts is what is known of the back ends from their reports and from the
// platform. It is safe for use by many goroutines.
type facts struct {
	mutex         sync.Mutex
	configuration *apiv1.Configuration
	reports       map[uint32]*reportState
	why           map[uint32]string
}

// reportState is the history of one back end's reports.
type reportState struct {
	firstGood  time.Time
	lastGood   time.Time
	lastReport time.Time
	load       float64
	state      string
}

// Report is the body of a back end's report endpoint.
type Report struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
	State   string  `json:"state"`
}

func newFacts() *facts {
	return &facts{reports: make(map[uint32]*reportState), why: make(map[uint32]string)}
}

func (facts *facts) setConfiguration(configuration *apiv1.Configuration) {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	facts.configuration = configuration
}

func (facts *facts) copyReasons() map[uint32]string {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	copied := make(map[uint32]string, len(facts.why))
	for backend, reason := range facts.why {
		copied[backend] = reason
	}
	return copied
}

// pollReports reads the back ends' reports and runs the policies, on the node
// of the group's first rank only: one decider keeps the weights from flapping
// between nodes that have seen different reports.
func (node *Node) pollReports(ctx context.Context) error {
	var damper *policy.Damper
	for ctx.Err() == nil {
		sleep(ctx, jitter(node.facts.pollInterval()))
		first, inForce := false, map[uint32]uint32(nil)
		if err := node.query(ctx, func(control *core.Core) {
			first = control.GroupRank() == 0
			inForce = compile.EpochWeights(control.Document().GetSettled())
		}); err != nil {
			return nil
		}
		if !first {
			damper = nil
			continue
		}
		if damper == nil {
			damper = policy.NewDamper(inForce)
		}
		node.readReports(ctx)
		if err := node.runPolicies(damper); err != nil {
			node.logger.Error("Policy failed.", "part", "policy", "error", err)
		}
	}
	return nil
}

// pollInterval is the time between two rounds of reports.
func (facts *facts) pollInterval() time.Duration {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	count := 0
	for _, service := range facts.configuration.GetServices() {
		count += len(service.GetBackends())
	}
	return max(minimumPollInterval, time.Duration(count)*reportSpacing)
}

// readReports asks all back ends that have a report address.
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

func (facts *facts) recordReport(backend uint32, report Report, err error) {
	facts.mutex.Lock()
	defer facts.mutex.Unlock()
	known := facts.reports[backend]
	if known == nil {
		known = &reportState{lastGood: time.Now()}
		facts.reports[backend] = known
	}
	if err != nil {
		return
	}
	now := time.Now()
	known.lastReport = now
	known.load = min(1, max(0, report.Load))
	known.state = report.State
	if !report.Healthy {
		return
	}
	if known.firstGood.IsZero() {
		known.firstGood = now
	}
	known.lastGood = now
}

// runPolicies evaluates the policies on the newest facts. Leaving becomes a
// mark; weights go to the control goroutine when they have changed.
func (node *Node) runPolicies(damper *policy.Damper) error {
	period := node.facts.pollInterval()
	node.facts.mutex.Lock()
	defer node.facts.mutex.Unlock()
	configuration := node.facts.configuration
	outcomes := make(map[uint32]policy.Outcome)
	for _, service := range configuration.GetServices() {
		program, err := compilePolicy(configuration, service)
		if err != nil {
			return err
		}
		if err := node.runPolicy(program, service, period, outcomes); err != nil {
			return err
		}
	}
	weights, changed := damper.Update(time.Now(), outcomes)
	if !changed {
		return nil
	}
	return node.bus.Publish(events.Event{Kind: events.KindRules, Body: epochFromWeights(weights)})
}

func compilePolicy(configuration *apiv1.Configuration, service *apiv1.Service) (*policy.Program, error) {
	wanted := change.FindPolicy(configuration, service.GetPolicy())
	if wanted == nil {
		wanted = policy.Default()
	}
	return policy.Compile(wanted)
}

func (node *Node) runPolicy(program *policy.Program, service *apiv1.Service, period time.Duration, outcomes map[uint32]policy.Outcome) error {
	mean := node.facts.meanLoad(service)
	for _, backend := range service.GetBackends() {
		if backend.GetReportAddress() == "" {
			outcomes[backend.GetId()] = policy.Outcome{Weight: 1}
			continue
		}
		outcome, err := program.Evaluate(node.facts.policyFacts(backend, mean, period))
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

func (facts *facts) meanLoad(service *apiv1.Service) float64 {
	total, count := 0.0, 0
	for _, backend := range service.GetBackends() {
		if known := facts.reports[backend.GetId()]; known != nil && !known.lastReport.IsZero() {
			total += known.load
			count++
		}
	}
	return total / float64(max(count, 1))
}

// policyFacts gathers the facts of one back end.
func (facts *facts) policyFacts(backend *apiv1.Backend, mean float64, period time.Duration) policy.Facts {
	gathered := policy.Facts{Name: backend.GetName(), Zone: backend.GetZone(), MachineState: "unknown", MeanLoad: mean, Load: mean}
	known := facts.reports[backend.GetId()]
	if known == nil {
		return gathered
	}
	now := time.Now()
	gathered.MachineState = known.state
	gathered.BadSeconds = now.Sub(known.lastGood).Seconds()
	gathered.Healthy = gathered.BadSeconds < 2*period.Seconds()
	if !known.lastReport.IsZero() {
		gathered.Load = known.load
		gathered.ReportAge = now.Sub(known.lastReport).Seconds()
	}
	if !known.firstGood.IsZero() {
		gathered.UpSeconds = now.Sub(known.firstGood).Seconds()
	}
	return gathered
}

func (facts *facts) setReason(backend uint32, outcome policy.Outcome) {
	text, err := json.Marshal(outcome)
	if err == nil {
		facts.why[backend] = "policy outcome " + string(text)
	}
}

// Facts implements admin.Node.
func (node *Node) Facts(ctx context.Context) (*apiv1.FactsReport, error) {
	report := &apiv1.FactsReport{Node: node.self.GetId()}
	var weights map[uint32]uint32
	if err := node.query(ctx, func(control *core.Core) { weights = compile.NewestWeights(control.Document()) }); err != nil {
		return nil, err
	}
	period := node.facts.pollInterval()
	node.facts.mutex.Lock()
	defer node.facts.mutex.Unlock()
	for _, service := range node.facts.configuration.GetServices() {
		mean := node.facts.meanLoad(service)
		for _, backend := range service.GetBackends() {
			if node.facts.reports[backend.GetId()] == nil {
				continue
			}
			known := node.facts.policyFacts(backend, mean, period)
			report.Backends = append(report.Backends, &apiv1.BackendFacts{
				Service: service.GetName(), Backend: known.Name, Zone: known.Zone, MachineState: known.MachineState,
				Healthy: known.Healthy, BadSeconds: known.BadSeconds, Load: known.Load, MeanLoad: known.MeanLoad,
				ReportAge: known.ReportAge, UpSeconds: known.UpSeconds, Weight: weights[backend.GetId()], Policy: service.GetPolicy()})
		}
	}
	return report, nil
}

// epochFromWeights carries weights in an event.
func epochFromWeights(weights map[uint32]uint32) *apiv1.Epoch {
	service := &apiv1.ServiceRule{}
	for backend, weight := range weights {
		service.Candidates = append(service.Candidates, &apiv1.Candidate{Backend: backend, Weight: weight})
	}
	return &apiv1.Epoch{Services: []*apiv1.ServiceRule{service}}
}
