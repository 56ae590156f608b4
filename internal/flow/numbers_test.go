package flow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever packets of a flow are seen, in any order and across the end of the number space, they
// belong to it while what passes elsewhere moves it by no more than MaxDistance. Those of another
// flow don't if one of its numbers is further away.
func TestNumbersContainTheirFlowOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		syn, opposite := rapid.Uint32().Draw(t, "client's number"), rapid.Uint32().Draw(t, "back end's number")
		var numbers Numbers
		if rapid.Bool().Draw(t, "SYN seen") {
			numbers.Add(Segment{SYN: true, Sequence: syn})
		}
		sequence, acknowledged := syn+1, opposite+1
		for range rapid.IntRange(1, 10).Draw(t, "packets") {
			late := rapid.Uint32Range(0, MaxDistance/2).Draw(t, "late by")
			packet := Segment{Sequence: sequence - min(late, sequence-syn-1), Acknowledged: acknowledged - min(late, acknowledged-opposite-1),
				Length: rapid.Uint32Range(0, 1200).Draw(t, "length")}
			require.True(t, numbers.Contains(packet))
			numbers.Add(packet)
			sequence += rapid.Uint32Range(0, MaxDistance/2-1200).Draw(t, "moved")
			acknowledged += rapid.Uint32Range(0, MaxDistance/2).Draw(t, "moved back")
		}
		require.True(t, numbers.Contains(Segment{Sequence: sequence, Acknowledged: acknowledged}))
		distant := rapid.Uint32Range(4*MaxDistance, 1<<32-20*MaxDistance).Draw(t, "distance")
		require.False(t, numbers.Contains(Segment{Sequence: sequence, Acknowledged: acknowledged + distant}))
		require.False(t, numbers.Contains(Segment{Sequence: sequence + distant, Acknowledged: acknowledged}))
		numbers.Add(Segment{Closes: true, Sequence: sequence, Acknowledged: acknowledged, Length: 10})
		require.True(t, numbers.Contains(Segment{Sequence: sequence + 11, Acknowledged: acknowledged + 1}), "the last acknowledgement")
		require.False(t, numbers.Contains(Segment{Sequence: sequence + 12, Acknowledged: acknowledged}), "beyond the end")
	})
}

// A SYN is part of a flow only as a copy of the flow's own.
func TestSYNBelongsToItsFlowOnly(t *testing.T) {
	var numbers Numbers
	require.True(t, numbers.Contains(Segment{SYN: true, Sequence: 9}), "of an unknown flow")
	numbers.Add(Segment{SYN: true, Sequence: 9})
	require.True(t, numbers.Contains(Segment{SYN: true, Sequence: 9, Acknowledged: 2}))
	require.False(t, numbers.Contains(Segment{SYN: true, Sequence: 10}))
	require.True(t, numbers.Contains(Segment{Sequence: 10, Acknowledged: 4_000_000_000}))
	require.False(t, numbers.Contains(Segment{Sequence: 10 + MaxDistance, Acknowledged: 4_000_000_000}))
	var midway Numbers
	midway.Add(Segment{Sequence: 10, Acknowledged: 70})
	require.True(t, midway.Contains(Segment{SYN: true, Sequence: 9}), "a copy of a SYN that passed elsewhere")
	require.False(t, midway.Contains(Segment{SYN: true, Sequence: 10}), "the next flow")
	require.False(t, midway.Contains(Segment{SYN: true, Sequence: 1 << 31}), "the next flow")
}
