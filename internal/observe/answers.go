package observe

// Answers are those of one back end to one question. The latest ones are kept apart until two
// comparisons have passed, since a pool is known to be saturated a moment after it is: what
// a saturated pool answers tells of its queues, and is forgotten.
type Answers struct {
	settled, previous, latest Tally
}

// Latest is the tally in which answers are counted.
func (a *Answers) Latest() *Tally { return &a.latest }

// Known are all answers that are not forgotten.
func (a *Answers) Known() *Tally {
	known := a.settled
	known.add(&a.previous)
	known.add(&a.latest)
	return &known
}

// Settle ends the time between two comparisons, and keeps a part of every count that had
// settled before.
func (a *Answers) Settle(part float32) {
	a.settled.Fade(part)
	a.settled.add(&a.previous)
	a.previous, a.latest = a.latest, Tally{}
}

// Forget drops the answers that have not settled.
func (a *Answers) Forget() { a.previous, a.latest = Tally{}, Tally{} }
