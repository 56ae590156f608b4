package observe

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Now()

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestUseIsTheMeanOverTime(t *testing.T) {
	var use InFlightAverage
	use.Add(1, at(0))
	use.Add(1, at(100))
	use.Add(-2, at(200))
	require.InDelta(t, 0.75, use.Mean(at(400)), 1e-9, "one for 100 ms, two for 100 ms, none for 200 ms")
	use.Add(3, at(500))
	require.InDelta(t, 1.5, use.Mean(at(600)), 1e-9, "each mean begins anew")
	require.InDelta(t, 3, use.Mean(at(600)), 1e-9)
}
