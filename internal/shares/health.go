package shares

import (
	"math"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// failingExponent says how fast the weight of a back end falls with the part of
	// its answers that fail. A failed request that must not be repeated is lost.
	failingExponent = 8
	// slowExponent is the same for late answers, which are worth less but not lost.
	slowExponent = 4
	// minimumHealthWeight is what remains, so that it is seen when a back end is well
	// again.
	minimumHealthWeight = 0.02
)

// HealthWeight returns the factor, minimumHealthWeight to 1, for the weight of a back
// end whose answers differ from those of the others.
func HealthWeight(health observe.Health) float64 {
	weight := math.Pow(1-health.Failing, failingExponent) * math.Pow(1-health.Slow, slowExponent)
	return math.Max(weight, minimumHealthWeight)
}
