package shares

import "math"

const (
	// minimumRemainingWeight is the part of the weight of a number of back ends that is kept, however
	// many of them are unwell: those that are well take no more than twice their share.
	minimumRemainingWeight = 0.5
	// maximumRemainingWeight is the same where the well ones have no room for more. A fifth may be
	// taken off all the same: a request that fails may be lost, one that is shed is not.
	maximumRemainingWeight = 0.8
)

// HealthLimit returns the part, 0 to 1, of what health takes off the weights of a number of back
// ends that may be taken off, so that the others can bear what is asked of them. Slots are
// how many requests all of them handle at once, well those that remain by their health, and
// demand is how many requests are at them at a time, or 0 where that is not known.
func HealthLimit(slots, well, demand float64) float64 {
	if well >= slots {
		return 1
	}
	kept := math.Min(math.Max(demand/(targetUtilization*slots), minimumRemainingWeight), maximumRemainingWeight)
	return math.Min(1, (1-kept)*slots/(slots-well))
}

// LimitedWeight is the factor for the weight of a back end by its health, of which a part
// may be taken off.
func LimitedWeight(healthWeight, limit float64) float64 { return 1 - limit*(1-healthWeight) }
