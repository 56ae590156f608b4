package shares

import (
	"math"

	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// failingExponent sets how fast the weight of a back end falls with the fraction of
	// its responses that are failures. A failed request that must not be repeated is lost.
	failingExponent = 8
	// slowExponent is the same for late responses, which are worth less but not lost.
	slowExponent = 4
	// minimumHealthWeight is the least factor. It leaves an unhealthy back end enough
	// flows to detect its recovery.
	minimumHealthWeight = 0.02
)

// HealthWeight returns the factor, minimumHealthWeight to 1, for the weight of a
// back end whose responses differ from those of the other back ends.
func HealthWeight(health observe.Health) float64 {
	weight := math.Pow(1-health.Failing, failingExponent) * math.Pow(1-health.Slow, slowExponent)
	return math.Max(weight, minimumHealthWeight)
}
