package policy

import "time"

const (
	// weightStep is the quantum of weights, of 100.
	weightStep = 10
	// minimumWeightChange is the least change of a weight that is worth an epoch. Each
	// change costs records for the flows it displaces.
	minimumWeightChange = 20
	// MinimumInterval is the least time between two changes for load alone.
	MinimumInterval = 15 * time.Second
	fullWeight      = 100
)

// Damper turns outcomes into quantised weights that do not flap: a weight moves
// only when it is off by the threshold, and only at intervals; a fall to or a
// rise from 0 passes at once.
type Damper struct {
	weights   map[uint32]uint32
	changedAt time.Time
}

// NewDamper makes a damper that starts from the weights in force.
func NewDamper(inForce map[uint32]uint32) *Damper {
	damper := &Damper{weights: make(map[uint32]uint32)}
	for backend, weight := range inForce {
		damper.weights[backend] = weight
	}
	return damper
}

// Update takes the newest outcomes and returns the weights to use and whether
// they differ from the last ones.
func (damper *Damper) Update(now time.Time, outcomes map[uint32]Outcome) (map[uint32]uint32, bool) {
	next := make(map[uint32]uint32, len(outcomes))
	urgent, wanted := false, false
	for backend, outcome := range outcomes {
		weight := quantise(outcome.Weight)
		old, known := damper.weights[backend]
		switch {
		case !known || (old == 0) != (weight == 0):
			urgent = true
		case absoluteDifference(old, weight) >= minimumWeightChange:
			wanted = true
		default:
			weight = old
		}
		next[backend] = weight
	}
	if !urgent && (!wanted || now.Sub(damper.changedAt) < MinimumInterval) {
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
