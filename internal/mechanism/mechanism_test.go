package mechanism

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	off, err := Parse([]string{"least_used", "health"})
	require.NoError(t, err)
	require.True(t, off.Has(LeastUsed))
	require.True(t, off.Has(Health))
	require.False(t, off.Has(Verdicts))
	_, err = Parse([]string{"luck"})
	require.ErrorContains(t, err, `"luck" is no mechanism; there are local_zone`)
	none, err := Parse(nil)
	require.NoError(t, err)
	for _, name := range All {
		require.False(t, none.Has(name))
	}
}
