package incarnation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A flow of the new start must never be taken for one of an earlier start, and clocks
// differ.
func TestPrecededByAllowsForClockSkew(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	start := Start(now.Add(-2 * time.Second).UnixMilli())
	for _, each := range []struct {
		name  string
		start Start
		age   time.Duration
		want  bool
	}{
		{"opened since", start, time.Second, false},
		{"opened before, by less than clocks differ", start, 6 * time.Second, false},
		{"opened long before", start, 8 * time.Second, true},
		{"a start that is not told", 0, time.Hour, false},
		{"a start ahead of this clock", Start(now.Add(time.Second).UnixMilli()), time.Hour, false},
	} {
		require.Equal(t, each.want, each.start.PrecededBy(each.age, now), each.name)
	}
}
