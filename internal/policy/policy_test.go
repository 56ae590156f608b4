package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func TestDefaultPolicy(t *testing.T) {
	require.NoError(t, Check(Default()))
	program, err := Compile(Default())
	require.NoError(t, err)
	cases := map[string]struct {
		facts Facts
		want  Outcome
	}{
		"well":    {Samples()[0], Outcome{Weight: 0.75, LoadTrust: 0.3}},
		"cold":    {Facts{Healthy: true, UpSeconds: 1}, Outcome{Weight: 0.4, LoadTrust: 0.3}},
		"sick":    {Facts{BadSeconds: 60, UpSeconds: 100}, Outcome{Weight: 0, LoadTrust: 0.3}},
		"leaving": {Facts{MachineState: "leaving", Healthy: true, UpSeconds: 100}, Outcome{Weight: 1, Leaving: true, LoadTrust: 0.3}},
		"stale":   {Facts{Healthy: true, UpSeconds: 100, Load: 1, ReportAge: 60}, Outcome{Weight: 1}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			outcome, err := program.Evaluate(test.facts)
			require.NoError(t, err)
			require.InDelta(t, test.want.Weight, outcome.Weight, 1e-9)
			require.Equal(t, test.want.Leaving, outcome.Leaving)
			require.InDelta(t, test.want.LoadTrust, outcome.LoadTrust, 1e-9)
		})
	}
}

func TestCheckRejects(t *testing.T) {
	cases := map[string]struct{ policy, want string }{
		"syntax":       {"1.0 +", "Syntax error"},
		"unknown name": {"lod", "undeclared reference to 'lod'"},
		"wrong type":   {"true", "yields bool; write one that yields double"},
		"out of range": {"2.0", "it must be between 0 and 1"},
		"excludes all": {"0.0", "it would exclude all"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			require.ErrorContains(t, Check(&apiv1.Policy{Name: "p", Weight: test.policy}), test.want)
		})
	}
}

// TestFalseReportChangesWeightOnlyByTrust: a false load report changes the weight by
// no more than the trust times the slope of the weight.
func TestFalseReportChangesWeightOnlyByTrust(t *testing.T) {
	program, err := Compile(&apiv1.Policy{Weight: "1.0 - 0.5 * load", LoadTrust: "0.2"})
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		mean := rapid.Float64Range(0, 1).Draw(t, "mean")
		honest, err := program.Evaluate(Facts{Load: mean, MeanLoad: mean})
		require.NoError(t, err)
		dishonest, err := program.Evaluate(Facts{Load: rapid.Float64Range(0, 1).Draw(t, "lie"), MeanLoad: mean})
		require.NoError(t, err)
		require.InDelta(t, honest.Weight, dishonest.Weight, 0.1+1e-9)
	})
}

// TestDamperDoesNotFlap: whatever is reported, weights change because of load alone
// no more often than the interval allows.
func TestDamperDoesNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		damper := NewDamper(map[uint32]uint32{1: 100, 2: 100})
		now := time.Unix(1000, 0)
		changes := 0
		for range 60 {
			now = now.Add(2 * time.Second)
			outcomes := map[uint32]Outcome{
				1: {Weight: rapid.Float64Range(0.1, 1).Draw(t, "one")},
				2: {Weight: rapid.Float64Range(0.1, 1).Draw(t, "two")},
			}
			if _, changed := damper.Update(now, outcomes); changed {
				changes++
			}
		}
		require.LessOrEqual(t, changes, int(120*time.Second/MinimumInterval)+1)
	})
}

func TestDamperPassesFailuresAtOnce(t *testing.T) {
	damper := NewDamper(map[uint32]uint32{1: 100})
	weights, changed := damper.Update(time.Unix(1, 0), map[uint32]Outcome{1: {Weight: 0}})
	require.True(t, changed)
	require.Zero(t, weights[1])
	weights, changed = damper.Update(time.Unix(2, 0), map[uint32]Outcome{1: {Weight: 1}})
	require.True(t, changed)
	require.Equal(t, uint32(100), weights[1])
}
