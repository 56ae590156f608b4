package shares

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// After a burst two of three back ends counted as unwell and the third got nearly all new flows.
// However many are unwell, the others take no more than twice their share, a quarter more at
// most where that fills their slots, and no more than they have room for unless that is so.
func TestHealthLeavesTheWellNoMoreThanTheyBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 3, 14, 120, 10_000}).Draw(t, "backends")
		unwell := rapid.IntRange(0, count).Draw(t, "unwell")
		health := rapid.Float64Range(minimumHealthWeight, 1).Draw(t, "health")
		use := rapid.Float64Range(0, 5).Draw(t, "use")
		slots := 2 * float64(count)
		well := slots - 2*float64(unwell)*(1-health)
		limit := HealthLimit(slots, well, use*slots)
		weight := LimitedWeight(health, limit)
		kept := (2*float64(count-unwell) + 2*float64(unwell)*weight) / slots
		require.GreaterOrEqual(t, weight, health-1e-9, "no more is taken off than health says")
		require.LessOrEqual(t, weight, 1.0)
		require.GreaterOrEqual(t, kept, minimumRemainingWeight-1e-9)
		pressure := use / kept
		require.LessOrEqual(t, pressure, math.Max(targetUtilization, use/maximumRemainingWeight)+1e-9)
	})
}

// A few unwell back ends among many that have room lose what their health says.
func TestFewUnwellBackendsAreNotLimited(t *testing.T) {
	require.Equal(t, 1.0, HealthLimit(240, 240, 60), "none is unwell")
	require.Equal(t, 1.0, HealthLimit(240, 240-48*0.98, 96), "a fifth")
	require.Equal(t, 1.0, HealthLimit(240, 240-48*0.98, 2000), "a fifth, while room is short")
	require.Equal(t, 1.0, HealthLimit(6, 6-2*0.98, 0), "one of three, demand unknown")
	require.InDelta(t, 3/(4*0.98), HealthLimit(6, 6-4*0.98, 0), 1e-9, "two of three")
}
