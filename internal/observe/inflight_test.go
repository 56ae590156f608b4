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

func TestInFlightAverageIsTheMeanOverTime(t *testing.T) {
	var average InFlightAverage
	average.Add(1, at(0))
	average.Add(1, at(100))
	average.Add(-2, at(200))
	require.InDelta(t, 0.75, average.Mean(at(400)), 1e-9, "one for 100 ms, two for 100 ms, none for 200 ms")
	average.Add(3, at(500))
	require.InDelta(t, 1.5, average.Mean(at(600)), 1e-9, "each call of Mean starts a new interval")
	require.InDelta(t, 3, average.Mean(at(600)), 1e-9)
}
