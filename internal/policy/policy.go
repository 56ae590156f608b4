// Package policy compiles and evaluates the policies that operators configure.
//
// A policy consists of three short expressions in the Common Expression Language
// (CEL), whose programs always terminate and whose cost is limited: weight, the
// distribution of new flows; leaving, whether a back end counts as leaving; and
// load_trust, how far its load reports are trusted. Policies are checked when they
// are applied, and evaluated when facts change, never per packet.
package policy

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/types"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Facts holds the inputs of a program for one back end.
type Facts struct {
	Name string
	Zone string
	// MachineState is "live", "leaving" or "unknown", from the platform's list of
	// machines.
	MachineState string
	// Healthy is the last health report. BadSeconds is for how long reports have
	// been negative or missing.
	Healthy    bool
	BadSeconds float64
	// Load is the reported load, 0 to 1, and ReportAge its age in seconds.
	Load      float64
	ReportAge float64
	// MeanLoad is the mean reported load of the service's back ends.
	MeanLoad float64
	// UpSeconds is how long ago the back end was first seen healthy.
	UpSeconds float64
	// Local is set when the back end is in the zone of the balancer that evaluates the policy.
	Local bool
	// Capacity is how many requests the back end processes at once; 0 is unknown.
	Capacity float64
	// WarmupSeconds is for how much longer the back end reports that it is slow.
	WarmupSeconds float64
	// Failing and Slow are the observed fractions of its responses, 0 to 1, that are
	// shorter, as errors are, or later than those of the others of its pool.
	Failing, Slow float64
	// Use is the fraction of the pool's slots in the balancer's zone that are in use.
	// Above 1, requests wait.
	Use float64
}

// Outcome is the result of a program for one back end.
type Outcome struct {
	// Weight is the relative share of new flows, 0 to 1.
	Weight  float64
	Leaving bool
	// LoadTrust is how far the load report was trusted, 0 to 1.
	LoadTrust float64
}

// Default returns the policy of a service that names none.
func Default() *apiv1.Policy {
	return &apiv1.Policy{
		Name:      "default",
		Weight:    "!healthy && bad_seconds > 5.0 ? 0.0 : (up_seconds < 20.0 ? 0.4 : 1.0) * (1.0 - 0.5 * load)",
		Leaving:   `machine_state == "leaving"`,
		LoadTrust: "report_age < 5.0 ? 0.3 : 0.0",
	}
}

// costLimit bounds the cost of one evaluation, in CEL's cost units.
const costLimit = 1000

// Program is a compiled policy. It is safe for use by many goroutines.
type Program struct {
	policy    *apiv1.Policy
	weight    cel.Program
	leaving   cel.Program
	loadTrust cel.Program
}

func environment() (*cel.Env, error) {
	return cel.NewEnv(
		cel.Variable("name", cel.StringType),
		cel.Variable("zone", cel.StringType),
		cel.Variable("machine_state", cel.StringType),
		cel.Variable("healthy", cel.BoolType),
		cel.Variable("bad_seconds", cel.DoubleType),
		cel.Variable("load", cel.DoubleType),
		cel.Variable("mean_load", cel.DoubleType),
		cel.Variable("report_age", cel.DoubleType),
		cel.Variable("up_seconds", cel.DoubleType),
		cel.Variable("local", cel.BoolType),
		cel.Variable("capacity", cel.DoubleType),
		cel.Variable("warmup_seconds", cel.DoubleType),
		cel.Variable("failing", cel.DoubleType),
		cel.Variable("slow", cel.DoubleType),
		cel.Variable("use", cel.DoubleType),
	)
}

// Compile compiles the expressions of a policy, checks their types and limits their
// cost. An empty expression is replaced by that of the default policy.
func Compile(policy *apiv1.Policy) (*Program, error) {
	env, err := environment()
	if err != nil {
		return nil, errors.Wrap(err, "policy: environment")
	}
	fallback := Default()
	program := &Program{policy: policy}
	expressions := []struct {
		field, text, fallback string
		kind                  *cel.Type
		target                *cel.Program
	}{
		{"weight", policy.GetWeight(), fallback.GetWeight(), cel.DoubleType, &program.weight},
		{"leaving", policy.GetLeaving(), fallback.GetLeaving(), cel.BoolType, &program.leaving},
		{"load_trust", policy.GetLoadTrust(), fallback.GetLoadTrust(), cel.DoubleType, &program.loadTrust},
	}
	for _, expression := range expressions {
		text := expression.text
		if text == "" {
			text = expression.fallback
		}
		*expression.target, err = compileExpression(env, text, expression.kind)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s, %s", policy.GetName(), expression.field)
		}
	}
	return program, nil
}

func compileExpression(env *cel.Env, text string, kind *cel.Type) (cel.Program, error) {
	compiled, issues := env.Compile(text)
	if issues.Err() != nil {
		return nil, errors.Newf("%q: %s", text, issues.Err())
	}
	if !compiled.OutputType().IsExactType(kind) {
		return nil, errors.Newf("%q yields %s; write one that yields %s", text, compiled.OutputType(), kind)
	}
	program, err := env.Program(compiled, cel.CostLimit(costLimit), cel.EvalOptions(cel.OptOptimize))
	return program, errors.Wrapf(err, "%q", text)
}

// Evaluate runs the program on facts. It returns an error if the weight or the trust
// is outside 0 to 1.
func (program *Program) Evaluate(facts Facts) (Outcome, error) {
	values := map[string]any{
		"name":          facts.Name,
		"zone":          facts.Zone,
		"machine_state": facts.MachineState,
		"healthy":       facts.Healthy,
		"bad_seconds":   facts.BadSeconds,
		"load":          facts.Load,
		"mean_load":     facts.MeanLoad,
		"report_age":    facts.ReportAge,
		"up_seconds":    facts.UpSeconds,

		"local":          facts.Local,
		"capacity":       facts.Capacity,
		"warmup_seconds": facts.WarmupSeconds,
		"failing":        facts.Failing,
		"slow":           facts.Slow,
		"use":            facts.Use,
	}
	trust, err := evaluateNumber(program.loadTrust, values, "load_trust")
	if err != nil {
		return Outcome{}, err
	}
	// The part of the report that is not trusted is replaced by the mean, so that a
	// back end with false load reports changes its share only in proportion to the
	// trust.
	values["load"] = facts.MeanLoad + trust*(facts.Load-facts.MeanLoad)
	weight, err := evaluateNumber(program.weight, values, "weight")
	if err != nil {
		return Outcome{}, err
	}
	leaving, _, err := program.leaving.Eval(values)
	if err != nil {
		return Outcome{}, errors.Wrap(err, "leaving")
	}
	return Outcome{Weight: weight, Leaving: leaving == types.True, LoadTrust: trust}, nil
}

func evaluateNumber(program cel.Program, values map[string]any, field string) (float64, error) {
	result, _, err := program.Eval(values)
	if err != nil {
		return 0, errors.Wrap(err, field)
	}
	number, isNumber := result.Value().(float64)
	if !isNumber || math.IsNaN(number) || number < 0 || number > 1 {
		return 0, errors.Newf("%s is %v; it must be between 0 and 1", field, result.Value())
	}
	return number, nil
}

// Samples returns the facts that a policy is tested with when it is applied: those
// of a healthy, a loaded, a newly started and an unhealthy back end, and of one
// without a recent report.
func Samples() []Facts {
	healthy := Facts{Name: "sample", Zone: "zone", MachineState: "live", Healthy: true, Load: 0.5, MeanLoad: 0.5, ReportAge: 1, UpSeconds: 3600, Local: true, Capacity: 2}
	loaded, starting, unhealthy, unreported := healthy, healthy, healthy, healthy
	loaded.Load = 1
	starting.UpSeconds, starting.Load = 1, 0
	unhealthy.Healthy, unhealthy.BadSeconds = false, 60
	unreported.ReportAge, unreported.MachineState = 3600, "unknown"
	return []Facts{healthy, loaded, starting, unhealthy, unreported}
}

// Check compiles a policy and evaluates it on the samples. It rejects a policy that
// excludes a healthy back end, since that would exclude all of them.
func Check(policy *apiv1.Policy) error {
	program, err := Compile(policy)
	if err != nil {
		return err
	}
	for index, sample := range Samples() {
		outcome, err := program.Evaluate(sample)
		if err != nil {
			return errors.Wrapf(err, "policy %s, sample %d", policy.GetName(), index+1)
		}
		if index == 0 && (outcome.Weight == 0 || outcome.Leaving) {
			return errors.Newf("policy %s excludes a live, healthy, half loaded back end; it would exclude all",
				policy.GetName())
		}
	}
	return nil
}
