package revision

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRevisionsAreOrderedByEraThenNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras, numbers := rapid.Uint64Range(0, maxEra), rapid.Uint64Range(0, maxNumber)
		era, other := Era(eras.Draw(t, "era")), Era(eras.Draw(t, "other era"))
		number, second := numbers.Draw(t, "number"), numbers.Draw(t, "other number")
		joined, err := Join(era, number)
		require.NoError(t, err)
		require.Equal(t, era, EraOf(joined))
		require.Equal(t, number, NumberOf(joined))
		compared, err := Join(other, second)
		require.NoError(t, err)
		require.Equal(t, era < other || era == other && number < second, joined < compared)
	})
}

func TestJoinRejectsValuesOutOfRange(t *testing.T) {
	_, err := Join(maxEra+1, 0)
	require.ErrorContains(t, err, "era 1048576 is above 1048575")
	_, err = Join(0, maxNumber+1)
	require.ErrorContains(t, err, "revision 17592186044416 is above 17592186044415")
}

func TestFormat(t *testing.T) {
	joined, err := Join(3, 52)
	require.NoError(t, err)
	require.Equal(t, "3:52", Format(joined))
	require.Equal(t, "52", Format(52))
}
