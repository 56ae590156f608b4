package evidence

import (
	"sync/atomic"
	"time"
)

const (
	// retention is how long an observation is passed on. A balancer that asks later has made
	// its own observations by then.
	retention = 2 * time.Second
	// duplicateRequestWindow is by how much later a client's request must have been sent to
	// count as another one. Times are translated between clocks on their way, which moves them
	// some milliseconds towards the past each time.
	duplicateRequestWindow = 150 * time.Millisecond
	// duplicateActivityWindow is the same for activity. One that is hardly newer adds no
	// information.
	duplicateActivityWindow = 100 * time.Millisecond
	// requestsPerZone is how many unanswered requests at one back end are passed on from one
	// zone at a time. Two are enough to detect a failure. With one more, two remain when
	// activity refutes one of them.
	requestsPerZone = 3
	// renewalInterval is the time after which further unanswered requests are passed on, so
	// that a detected failure stays detected.
	renewalInterval = time.Second
	// requestBudget is the maximum number of unanswered requests accepted in a second. At some
	// 30 bytes each, passed on to 16 balancers, that is some 100 KB for the one that passes
	// them on and 6 KB for the others.
	requestBudget = 200
	// activityBudget is the same for activity, which has a budget of its own: many back ends
	// that stop at once would use up a common budget, just when the activity of a live one
	// must be reported.
	activityBudget = 100
)

// entry is an observation in a buffer.
type entry struct {
	sequence    uint64
	observation Observation
	// from is the address of the balancer that reported the observation, or empty for this one.
	from string
	at   time.Time
}

// Buffer holds the observations that a balancer passes on, the oldest first. Its zero value
// is empty. All methods must be called from one goroutine.
type Buffer struct {
	sequence uint64
	entries  []entry
	// requests and activities count the observations of the second that starts at second.
	second               time.Time
	requests, activities int
	// Dropped counts the observations beyond the budgets. Any goroutine may read it.
	Dropped atomic.Uint64
}

// Add adds an observation of the balancer from, or of this one if from is empty. It reports
// whether the observation is new and will be passed on.
func (b *Buffer) Add(observation Observation, from string, now time.Time) bool {
	b.expire(now)
	if b.known(observation, now) || !b.withinBudget(observation, now) {
		return false
	}
	b.sequence++
	b.entries = append(b.entries, entry{sequence: b.sequence, observation: observation, from: from, at: now})
	return true
}

// LastSequence returns the sequence number of the last observation.
func (b *Buffer) LastSequence() uint64 { return b.sequence }

// Since returns the observations after a sequence number, except those that were reported by
// the balancer that they are for. An empty receiver gets all of them.
func (b *Buffer) Since(after uint64, receiver string, now time.Time) []Observation {
	b.expire(now)
	var found []Observation
	for _, each := range b.entries {
		if each.sequence > after && (each.from != receiver || receiver == "") {
			found = append(found, each.observation)
		}
	}
	return found
}

func (b *Buffer) expire(now time.Time) {
	old := 0
	for old < len(b.entries) && now.Sub(b.entries[old].at) >= retention {
		old++
	}
	b.entries = b.entries[:copy(b.entries, b.entries[old:])]
}

// known reports whether an observation adds nothing to those in the buffer.
func (b *Buffer) known(observation Observation, now time.Time) bool {
	ofZone := 0
	for _, each := range b.entries {
		if each.observation.BackendID() != observation.BackendID() {
			continue
		}
		switch added := observation.(type) {
		case Activity:
			if activity, ok := each.observation.(Activity); ok && added.At.Sub(activity.At) < duplicateActivityWindow {
				return true
			}
		case UnansweredRequest:
			known, ok := each.observation.(UnansweredRequest)
			if !ok {
				continue
			}
			if known.Client == added.Client && added.SentAt.Sub(known.SentAt) < duplicateRequestWindow {
				return true
			}
			if known.Zone == added.Zone && now.Sub(each.at) < renewalInterval {
				ofZone++
			}
		}
	}
	return ofZone >= requestsPerZone
}

// withinBudget reports whether one more observation is within its budget, and counts it.
func (b *Buffer) withinBudget(observation Observation, now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.requests, b.activities = now, 0, 0
	}
	count, limit := &b.requests, requestBudget
	if _, ok := observation.(Activity); ok {
		count, limit = &b.activities, activityBudget
	}
	if *count >= limit {
		b.Dropped.Add(1)
		return false
	}
	*count++
	return true
}
