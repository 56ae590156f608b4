package lab

import "time"

// Plan describes one run of a scenario.
type Plan struct {
	Scenario  Scenario
	User      string
	Algorithm Algorithm
	Seed      uint64
	// Scale is the factor by which the user's flows are multiplied.
	Scale float64
}

// Row holds the results of one run, as the JSON lines and the report show them.
type Row struct {
	Scenario  string    `json:"scenario"`
	Planned   bool      `json:"planned"`
	User      string    `json:"user"`
	Algorithm Algorithm `json:"algorithm"`
	Seed      uint64    `json:"seed"`
	Scale     float64   `json:"scale"`

	Flows         int            `json:"flows"`
	TotalBroken   int            `json:"total_broken"`
	Weighted      int            `json:"broken_weighted"`
	Broken        map[string]int `json:"broken"`
	SecondBackend int            `json:"second_backend"`
	Refused       int            `json:"refused"`
	Unopened      int            `json:"unopened"`
	Violation     string         `json:"violation"`
	Paths         map[string]int `json:"paths"`

	MaximumOverMean float64           `json:"maximum_over_mean"`
	Variation       float64           `json:"variation"`
	LeavingP99      time.Duration     `json:"leaving_p99"`
	InForceP99      time.Duration     `json:"in_force_p99"`
	ControlMean     float64           `json:"control_mean"`
	ControlPeak     float64           `json:"control_peak"`
	ControlSecond   float64           `json:"control_second"`
	BytesByKind     map[string]uint64 `json:"bytes_by_kind"`
	WeightChanges   int               `json:"weight_changes"`
	Imbalance       []Imbalance       `json:"imbalance"`
	LeavingDelays   []time.Duration   `json:"leaving_delays"`
}

// Settings returns the settings of the plan's user, algorithm, seed and scale.
func (plan Plan) Settings() Settings {
	settings := DarAlWarraqSettings(plan.Seed)
	if plan.User == "kayal" {
		settings = KayalpathSettings(plan.Seed)
	}
	settings.Algorithm = plan.Algorithm
	return settings.Scale(plan.Scale)
}

// Run runs the scenario and returns its results.
func (plan Plan) Run() Row {
	result := plan.Scenario.Run(plan.Settings())
	paths := make(map[string]int)
	for path, count := range result.Paths {
		paths[pathName(path)] = count
	}
	return Row{
		Scenario: plan.Scenario.Name, Planned: plan.Scenario.Planned, User: plan.User,
		Algorithm: plan.Algorithm, Seed: plan.Seed, Scale: plan.Scale,
		Flows: result.Flows, TotalBroken: result.TotalBroken(), Weighted: result.BrokenWeighted,
		Broken: result.Broken, SecondBackend: result.SecondBackend, Refused: result.Refused,
		Unopened: result.Unopened, Violation: result.Violation, Paths: paths,
		MaximumOverMean: result.MeanMaximumOverMean(), Variation: result.MeanVariation(),
		LeavingP99: Percentile(result.LeavingDelays, 99), InForceP99: Percentile(result.ActivationDelays, 99),
		ControlMean: result.ControlMean, ControlPeak: result.ControlPeak, ControlSecond: result.ControlSecond, BytesByKind: result.BytesByKind,
		WeightChanges: result.WeightChanges, Imbalance: result.Imbalance, LeavingDelays: result.LeavingDelays,
	}
}
