package capacity

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLimitsHold checks the arithmetic of docs/CAPACITY.md: every quantity with
// a limit is within it, at both sizes.
func TestLimitsHold(t *testing.T) {
	slopes, err := Measured()
	require.NoError(t, err)
	rows := append(Work(slopes, TwoYears(), TwoYearLimits()), Work(slopes, Today(), TodayLimits())...)
	for _, row := range rows {
		require.True(t, row.Holds(), "%s, %s: %.2f %s above %.2f", row.Role, row.Quantity, row.Value, row.Unit, row.Limit)
	}
	var out bytes.Buffer
	require.NoError(t, Print(&out, "rows", rows))
	require.Contains(t, out.String(), "memory for control")
}

func TestFit(t *testing.T) {
	line := fit("B", []Point{{1, 12}, {2, 14}, {4, 18}})
	require.InDelta(t, 10, line.Base, 1e-9)
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 0, line.WorstError, 1e-9)
}

// TestMeasured checks that each slope rests on three sizes or more.
func TestMeasured(t *testing.T) {
	slopes, err := Measured()
	require.NoError(t, err)
	for _, line := range []Line{slopes.HeartbeatBytes, slopes.ControlCPU, slopes.ChangeBytes, slopes.ChangeCPU,
		slopes.SettleSeconds, slopes.FlowMemory, slopes.StateBytes, slopes.ViewMemory, slopes.NodeMemory, slopes.InForceSeconds} {
		require.GreaterOrEqual(t, len(line.Points), 3, line.Unit)
	}
	require.Positive(t, slopes.Hollow.Nodes)
}
