package incarnation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A flow of the current start must never be taken for one of an earlier start, although
// the clocks of machines differ.
func TestPrecededByAllowsForClockSkew(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	start := Start(now.Add(-2 * time.Second).UnixMilli())
	for _, test := range []struct {
		name  string
		start Start
		age   time.Duration
		want  bool
	}{
		{"opened after the start", start, time.Second, false},
		{"opened before, by less than the clock skew margin", start, 6 * time.Second, false},
		{"opened long before", start, 8 * time.Second, true},
		{"no start reported", 0, time.Hour, false},
		{"a start in the future", Start(now.Add(time.Second).UnixMilli()), time.Hour, false},
	} {
		require.Equal(t, test.want, test.start.PrecededBy(test.age, now), test.name)
	}
}
