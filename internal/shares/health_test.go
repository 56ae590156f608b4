package shares

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

func TestUnwellBackendsGetFewNewFlows(t *testing.T) {
	require.Equal(t, 1.0, HealthWeight(observe.Health{}))
	require.Less(t, HealthWeight(observe.Health{Failing: 0.25}), 0.15)
	require.Less(t, HealthWeight(observe.Health{Slow: 0.5}), 0.1)
	require.Equal(t, minimumHealthWeight, HealthWeight(observe.Health{Failing: 1, Slow: 1}), "enough to see when it is well again")
}
