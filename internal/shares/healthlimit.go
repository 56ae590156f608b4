package shares

import "math"

const (
	// minimumRemainingWeight is the fraction of the total weight of a group of back ends that
	// remains however many of them are unhealthy: the healthy ones take no more than twice
	// their share.
	minimumRemainingWeight = 0.5
	// maximumRemainingWeight is the most that has to remain, for a group whose healthy back
	// ends have no capacity left. A fifth may be taken off even then: a request that fails may
	// be lost, while one that is shed is not.
	maximumRemainingWeight = 0.8
)

// HealthLimit returns the fraction, 0 to 1, of the weight reductions by health that may be
// applied to a group of back ends, so that the others can carry the demand. The argument slots
// is how many requests all of them process at once, healthySlots is what remains of that after
// the reductions by health, and demand is the number of requests in flight at them, or 0 if
// that is unknown.
func HealthLimit(slots, healthySlots, demand float64) float64 {
	if healthySlots >= slots {
		return 1
	}
	remaining := math.Min(math.Max(demand/(targetUtilization*slots), minimumRemainingWeight), maximumRemainingWeight)
	return math.Min(1, (1-remaining)*slots/(slots-healthySlots))
}

// LimitedWeight returns the factor for the weight of a back end whose reduction by health is
// applied up to a limit, a fraction as returned by HealthLimit.
func LimitedWeight(healthWeight, limit float64) float64 { return 1 - limit*(1-healthWeight) }
