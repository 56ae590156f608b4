package observe

import "slices"

// recentIntervals is for how many intervals between comparisons, of a second each, responses
// are kept separate. That a pool is saturated becomes known with a delay, from an aggregate
// that may be as many seconds old.
const recentIntervals = 3

// ResponseHistory counts the responses of one back end for one service. The latest ones are
// kept separate for recentIntervals comparisons: the response times of a saturated pool
// reflect its queues, and are discarded.
type ResponseHistory struct {
	settled ResponseCounts
	// recent has the counts of the latest intervals between comparisons, the newest first.
	recent [recentIntervals]ResponseCounts
}

// Current returns the counts of the current interval, to which new responses are added.
func (h *ResponseHistory) Current() *ResponseCounts { return &h.recent[0] }

// Total returns the counts of all responses that are not discarded.
func (h *ResponseHistory) Total() *ResponseCounts {
	total := h.settled
	for index := range h.recent {
		total.merge(&h.recent[index])
	}
	return &total
}

// Empty reports whether the counts have decayed to almost nothing.
func (h *ResponseHistory) Empty() bool {
	return h.settled.Empty() && !slices.ContainsFunc(h.recent[:], func(c ResponseCounts) bool { return !c.Empty() })
}

// Advance ends the current interval between two comparisons, and multiplies every count by
// factor.
func (h *ResponseHistory) Advance(factor float32) {
	h.settled.merge(&h.recent[recentIntervals-1])
	h.settled.Decay(factor)
	for index := recentIntervals - 1; index > 0; index-- {
		h.recent[index] = h.recent[index-1]
		h.recent[index].Decay(factor)
	}
	h.recent[0] = ResponseCounts{}
}

// DiscardRecent discards the responses of the recent intervals.
func (h *ResponseHistory) DiscardRecent() { h.recent = [recentIntervals]ResponseCounts{} }
