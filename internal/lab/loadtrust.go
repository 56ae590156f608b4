package lab

import (
	"fmt"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

// TrustRow is the outcome of one experiment on load trust.
type TrustRow struct {
	Reports         string
	Trust           float64
	Variation       float64
	MaximumOverMean float64
	WeightChanges   int
	ControlMean     float64
	Broken          int
}

// reportCondition is how honest the back ends' reports are.
type reportCondition struct {
	name                 string
	lag                  time.Duration
	misreportingBackends int
	addBackendAt         time.Duration
}

// RunTrust measures what load trust does to imbalance under honest, lagging and
// lying reports, and when a back end starts cold.
func RunTrust(seed uint64, scale float64) ([]TrustRow, error) {
	kinds := []reportCondition{
		{name: "honest"},
		{name: "lagging 6 s", lag: 6 * time.Second},
		{name: "two of 14 report no load", misreportingBackends: 2},
		{name: "cold start at 60 s", addBackendAt: 60 * time.Second},
	}
	var rows []TrustRow
	for _, kind := range kinds {
		for _, trust := range []float64{0, 0.5, 1} {
			row, err := runTrust(seed, scale, kind, trust)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func runTrust(seed uint64, scale float64, kind reportCondition, trust float64) (TrustRow, error) {
	program, err := policy.Compile(&apiv1.Policy{
		Name:      "experiment",
		Weight:    "(up_seconds < 20.0 ? 0.4 : 1.0) * (1.0 - 0.8 * load)",
		LoadTrust: fmt.Sprintf("%.1f", trust),
	})
	if err != nil {
		return TrustRow{}, err
	}
	settings := KayalpathSettings(seed).ScaleFlows(scale)
	settings.Services[0].MeanFlowDuration = 2 * time.Minute
	settings.Services[0].ArrivalRate *= 5
	perBackend := settings.Services[0].ArrivalRate * settings.Services[0].MeanFlowDuration.Seconds() / float64(settings.Services[0].Backends)
	settings.Reports = ReportSettings{Enabled: true, Policy: program, Lag: kind.lag, MisreportingBackends: kind.misreportingBackends, FullLoadFlows: int(2 * perBackend)}
	world := New(settings)
	if kind.addBackendAt > 0 {
		world.Schedule(kind.addBackendAt, func() { world.AddBackend(0, 100) })
	}
	world.Clock.RunUntil(300 * time.Second)
	result := world.Finish()
	return TrustRow{Reports: kind.name, Trust: trust, Variation: result.MeanVariation(), MaximumOverMean: result.MeanMaximumOverMean(),
		WeightChanges: result.WeightChanges, ControlMean: result.ControlMean, Broken: result.TotalBroken()}, nil
}
