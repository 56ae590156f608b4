package observe

import "slices"

// settleTimes is how many times between comparisons answers are kept apart. A pool is known to
// be saturated some time after it is, by a picture of up to so many seconds.
const settleTimes = 3

// Answers are those of one back end to one question. The latest ones are kept apart for
// settleTimes comparisons: what a saturated pool answers tells of its queues, and is forgotten.
type Answers struct {
	settled Tally
	// recent are those since each of the last comparisons, the latest first.
	recent [settleTimes]Tally
}

// Latest is the tally in which answers are counted.
func (a *Answers) Latest() *Tally { return &a.recent[0] }

// Known are all answers that are not forgotten.
func (a *Answers) Known() *Tally {
	known := a.settled
	for place := range a.recent {
		known.add(&a.recent[place])
	}
	return &known
}

// Empty tells whether next to nothing is counted any more.
func (a *Answers) Empty() bool {
	return a.settled.Empty() && !slices.ContainsFunc(a.recent[:], func(t Tally) bool { return !t.Empty() })
}

// Settle ends the time between two comparisons, and keeps a part of every count.
func (a *Answers) Settle(part float32) {
	a.settled.add(&a.recent[settleTimes-1])
	a.settled.Fade(part)
	for place := settleTimes - 1; place > 0; place-- {
		a.recent[place] = a.recent[place-1]
		a.recent[place].Fade(part)
	}
	a.recent[0] = Tally{}
}

// Forget drops the answers that have not settled.
func (a *Answers) Forget() { a.recent = [settleTimes]Tally{} }
