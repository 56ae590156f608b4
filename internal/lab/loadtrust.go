package lab

import (
	"fmt"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

// LoadTrustRow holds the results of one experiment on load trust.
type LoadTrustRow struct {
	Reports         string
	Trust           float64
	Variation       float64
	MaximumOverMean float64
	WeightChanges   int
	ControlMean     float64
	Broken          int
}

// reportCondition describes how accurate and recent the back ends' reports are,
// and when a new back end is added, if at all.
type reportCondition struct {
	name                 string
	lag                  time.Duration
	misreportingBackends int
	addBackendAt         time.Duration
}

// RunLoadTrust measures the effect of load trust on imbalance with correct, lagging
// and false reports, and when a newly started back end is added.
func RunLoadTrust(seed uint64, scale float64) ([]LoadTrustRow, error) {
	conditions := []reportCondition{
		{name: "honest"},
		{name: "lagging 6 s", lag: 6 * time.Second},
		{name: "two of 14 report no load", misreportingBackends: 2},
		{name: "cold start at 60 s", addBackendAt: 60 * time.Second},
	}
	var rows []LoadTrustRow
	for _, condition := range conditions {
		for _, trust := range []float64{0, 0.5, 1} {
			row, err := runLoadTrust(seed, scale, condition, trust)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func runLoadTrust(seed uint64, scale float64, condition reportCondition, trust float64) (LoadTrustRow, error) {
	program, err := policy.Compile(&apiv1.Policy{
		Name:      "experiment",
		Weight:    "(up_seconds < 20.0 ? 0.4 : 1.0) * (1.0 - 0.8 * load)",
		LoadTrust: fmt.Sprintf("%.1f", trust),
	})
	if err != nil {
		return LoadTrustRow{}, err
	}
	settings := KayalpathSettings(seed).Scale(scale)
	settings.Services[0].MeanFlowDuration = 2 * time.Minute
	settings.Services[0].ArrivalRate *= 5
	flowsPerBackend := settings.Services[0].ArrivalRate * settings.Services[0].MeanFlowDuration.Seconds() / float64(settings.Services[0].Backends)
	settings.Reports = ReportSettings{Enabled: true, Policy: program, Lag: condition.lag, MisreportingBackends: condition.misreportingBackends, FullLoadFlows: int(2 * flowsPerBackend)}
	sim := New(settings)
	if condition.addBackendAt > 0 {
		sim.Schedule(condition.addBackendAt, func() { sim.AddBackend(0, 100) })
	}
	sim.Clock.RunUntil(300 * time.Second)
	result := sim.Finish()
	return LoadTrustRow{Reports: condition.name, Trust: trust, Variation: result.MeanVariation(), MaximumOverMean: result.MeanMaximumOverMean(),
		WeightChanges: result.WeightChanges, ControlMean: result.ControlMean, Broken: result.TotalBroken()}, nil
}
