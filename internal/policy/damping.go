package policy

import "time"

const (
	// weightStep is the unit that weights are rounded to; the full weight is 100.
	weightStep = 10
	// minimumWeightChange is the least change of a weight that causes a new epoch. Each
	// change costs records for the flows that it moves to another back end.
	minimumWeightChange = 20
	// MinimumInterval is the least time between two changes that are due to load alone.
	MinimumInterval = 15 * time.Second
	// fullWeight is the integer weight for an outcome's weight of 1.
	fullWeight = 100
)

// Damper turns outcomes into quantised weights that do not flap. A weight changes
// only if it differs by minimumWeightChange, and at most every MinimumInterval; a
// new back end, a fall to 0 or a rise from 0 takes effect at once.
type Damper struct {
	weights   map[uint32]uint32
	changedAt time.Time
}

// NewDamper returns a damper that starts from the weights in force.
func NewDamper(inForce map[uint32]uint32) *Damper {
	damper := &Damper{weights: make(map[uint32]uint32)}
	for backend, weight := range inForce {
		damper.weights[backend] = weight
	}
	return damper
}

// Update takes the latest outcomes and returns the weights to use, and whether
// they changed.
func (damper *Damper) Update(now time.Time, outcomes map[uint32]Outcome) (map[uint32]uint32, bool) {
	next := make(map[uint32]uint32, len(outcomes))
	urgent, needed := false, false
	for backend, outcome := range outcomes {
		weight := quantise(outcome.Weight)
		old, known := damper.weights[backend]
		switch {
		case !known || (old == 0) != (weight == 0):
			urgent = true
		case absoluteDifference(old, weight) >= minimumWeightChange:
			needed = true
		default:
			weight = old
		}
		next[backend] = weight
	}
	if !urgent && (!needed || now.Sub(damper.changedAt) < MinimumInterval) {
		return damper.weights, false
	}
	damper.weights = next
	damper.changedAt = now
	return next, true
}

func quantise(weight float64) uint32 {
	rounded := uint32(weight*fullWeight/weightStep+0.5) * weightStep
	if rounded == 0 && weight > 0 {
		return weightStep
	}
	return rounded
}

func absoluteDifference(left, right uint32) uint32 {
	return max(left, right) - min(left, right)
}
