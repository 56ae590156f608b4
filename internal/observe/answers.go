package observe

import "slices"

// recentIntervals is how many times between comparisons answers are kept apart. A pool is known to
// be saturated some time after it is, by a picture of up to so many seconds.
const recentIntervals = 3

// ResponseHistory are those of one back end to one question. The latest ones are kept apart for
// recentIntervals comparisons: what a saturated pool answers tells of its queues, and is forgotten.
type ResponseHistory struct {
	settled ResponseCounts
	// recent are those since each of the last comparisons, the latest first.
	recent [recentIntervals]ResponseCounts
}

// Current is the tally in which answers are counted.
func (a *ResponseHistory) Current() *ResponseCounts { return &a.recent[0] }

// Total are all answers that are not forgotten.
func (a *ResponseHistory) Total() *ResponseCounts {
	known := a.settled
	for place := range a.recent {
		known.merge(&a.recent[place])
	}
	return &known
}

// Empty tells whether next to nothing is counted any more.
func (a *ResponseHistory) Empty() bool {
	return a.settled.Empty() && !slices.ContainsFunc(a.recent[:], func(t ResponseCounts) bool { return !t.Empty() })
}

// Advance ends the time between two comparisons, and keeps a part of every count.
func (a *ResponseHistory) Advance(part float32) {
	a.settled.merge(&a.recent[recentIntervals-1])
	a.settled.Decay(part)
	for place := recentIntervals - 1; place > 0; place-- {
		a.recent[place] = a.recent[place-1]
		a.recent[place].Decay(part)
	}
	a.recent[0] = ResponseCounts{}
}

// DiscardRecent drops the answers that have not settled.
func (a *ResponseHistory) DiscardRecent() { a.recent = [recentIntervals]ResponseCounts{} }
