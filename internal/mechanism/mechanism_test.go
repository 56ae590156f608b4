package mechanism

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	disabled, err := Parse([]string{"least_used", "health"})
	require.NoError(t, err)
	require.True(t, disabled.Has(LeastUsed))
	require.True(t, disabled.Has(Health))
	require.False(t, disabled.Has(Verdicts))
	_, err = Parse([]string{"luck"})
	require.ErrorContains(t, err, `"luck" is not a mechanism; use one of local_zone`)
	none, err := Parse(nil)
	require.NoError(t, err)
	for _, name := range All {
		require.False(t, none.Has(name))
	}
}
