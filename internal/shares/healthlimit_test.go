package shares

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an overload by the health weights: after a burst, two of three back ends
// counted as unhealthy, and the third got nearly all new flows. However many are unhealthy,
// the others take no more than twice their share, and no more than they have capacity for.
// Where their slots are full anyway, they take at most a quarter more than their share.
func TestHealthyBackendsAreNotOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 3, 14, 120, 10_000}).Draw(t, "backends")
		unhealthy := rapid.IntRange(0, count).Draw(t, "unwell")
		health := rapid.Float64Range(minimumHealthWeight, 1).Draw(t, "health")
		use := rapid.Float64Range(0, 5).Draw(t, "use")
		slots := 2 * float64(count)
		healthySlots := slots - 2*float64(unhealthy)*(1-health)
		limit := HealthLimit(slots, healthySlots, use*slots)
		weight := LimitedWeight(health, limit)
		remaining := (2*float64(count-unhealthy) + 2*float64(unhealthy)*weight) / slots
		require.GreaterOrEqual(t, weight, health-1e-9, "the reduction is no more than that by health")
		require.LessOrEqual(t, weight, 1.0)
		require.GreaterOrEqual(t, remaining, minimumRemainingWeight-1e-9)
		pressure := use / remaining
		require.LessOrEqual(t, pressure, math.Max(targetUtilization, use/maximumRemainingWeight)+1e-9)
	})
}

// The weights of a few unhealthy back ends among many with free capacity are reduced in full.
func TestReductionsOfFewBackendsAreNotLimited(t *testing.T) {
	require.Equal(t, 1.0, HealthLimit(240, 240, 60), "none is unhealthy")
	require.Equal(t, 1.0, HealthLimit(240, 240-48*0.98, 96), "a fifth")
	require.Equal(t, 1.0, HealthLimit(240, 240-48*0.98, 2000), "a fifth, while capacity is short")
	require.Equal(t, 1.0, HealthLimit(6, 6-2*0.98, 0), "one of three, demand unknown")
	require.InDelta(t, 3/(4*0.98), HealthLimit(6, 6-4*0.98, 0), 1e-9, "two of three")
}
