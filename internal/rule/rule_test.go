package rule

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

func ruleWithEqualWeights(count int, weight uint32) *Rule {
	var candidates []Candidate
	for number := range count {
		candidates = append(candidates, Candidate{Backend: uint32(number + 1), Weight: weight})
	}
	return New("lending", flow.Address{}, 7, candidates)
}

func TestNegativeLogarithmIsClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64Min(1).Draw(t, "hash")
		want := 64 - math.Log2(float64(hash))
		require.InDelta(t, want, float64(negativeLogarithm(hash))/(1<<fractionBits), 1e-6)
	})
}

// TestPickIsFixed guards against changes of the hash function, which would move
// every flow.
func TestPickIsFixed(t *testing.T) {
	rule := ruleWithEqualWeights(14, 100)
	key, err := flow.Parse("10.64.0.5:40000-10.200.0.1:80")
	require.NoError(t, err)
	require.Equal(t, uint64(0x4deffcec754cddd9), key.Hash())
	require.Equal(t, uint32(3), rule.Pick(key.Hash()))
}

func TestSharesFollowWeights(t *testing.T) {
	rule := New("lending", flow.Address{}, 7, []Candidate{{Backend: 1, Weight: 100}, {Backend: 2, Weight: 300}, {Backend: 3, Weight: 0}})
	counts := make(map[uint32]int)
	for number := range 40_000 {
		counts[rule.Pick(mix(uint64(number)))]++
	}
	require.InDelta(t, 0.25, float64(counts[1])/40_000, 0.01)
	require.Zero(t, counts[3])
}

// TestWithoutMovesOnlyItsFlows: flows of the remaining back ends do not move.
func TestWithoutMovesOnlyItsFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := ruleWithEqualWeights(rapid.IntRange(2, 20).Draw(t, "count"), 100)
		excluded := uint32(rapid.IntRange(1, 2).Draw(t, "gone"))
		without := rule.Without(map[uint32]bool{excluded: true})
		hash := rapid.Uint64().Draw(t, "hash")
		if before := rule.Pick(hash); before != excluded {
			require.Equal(t, before, without.Pick(hash))
		}
		require.NotEqual(t, excluded, without.Pick(hash))
	})
}

func TestWithoutAll(t *testing.T) {
	rule := ruleWithEqualWeights(2, 100).Without(map[uint32]bool{1: true, 2: true})
	require.Equal(t, uint32(NoBackend), rule.Pick(12345))
}

func BenchmarkPick14(b *testing.B) {
	rule := ruleWithEqualWeights(14, 100)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		rule.Pick(uint64(number) * 0x9e3779b97f4a7c15)
	}
}
