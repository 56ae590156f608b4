package evidence

import (
	"sync/atomic"
	"time"
)

const (
	// retention is how long a statement is passed on. Who asks later is served by its own
	// observations.
	retention = 2 * time.Second
	// duplicateRequestWindow is by how much a client's later request must have been sent later to
	// be another one: times are translated on their way, each time some milliseconds
	// towards the past.
	duplicateRequestWindow = 150 * time.Millisecond
	// duplicateActivityWindow is the same for signs of life; one that is hardly newer says nothing.
	duplicateActivityWindow = 100 * time.Millisecond
	// requestsPerZone is how many witnesses from one zone against one back end are passed
	// on at a time. Two are enough for a verdict; one more outlasts an answered one.
	requestsPerZone = 3
	// renewalInterval is when further witnesses are passed on, so that a verdict lasts.
	renewalInterval = time.Second
	// requestBudget bounds the witnesses taken in a second. At some 30 bytes each, passed on
	// to 16 balancers, it is some 100 KB for the one passing on and 6 KB for the others.
	requestBudget = 200
	// activityBudget is the same for signs of life, in room of their own: many back ends that
	// fall silent at once leave none, just when one that lives has to be told.
	activityBudget = 100
)

// entry is a statement on a board.
type entry struct {
	sequence    uint64
	observation Observation
	// from is the address of the balancer that told it, empty for this one.
	from string
	at   time.Time
}

// Buffer is what a balancer knows of statements and passes on, the oldest first. Its
// zero value is empty. It belongs to one goroutine.
type Buffer struct {
	sequence uint64
	entries  []entry
	// second, witnesses and lives count the statements of a second.
	second               time.Time
	requests, activities int
	// Dropped counts the statements beyond the budget.
	Dropped atomic.Uint64
}

// Add takes a statement of this balancer, whose from is empty, or of another one. It
// tells whether the statement is new and is passed on.
func (b *Buffer) Add(statement Observation, from string, now time.Time) bool {
	b.expire(now)
	if b.known(statement, now) || !b.withinBudget(statement, now) {
		return false
	}
	b.sequence++
	b.entries = append(b.entries, entry{sequence: b.sequence, observation: statement, from: from, at: now})
	return true
}

// LastSequence is the sequence of the last statement.
func (b *Buffer) LastSequence() uint64 { return b.sequence }

// Since returns the statements after a sequence that did not come from a balancer
// itself.
func (b *Buffer) Since(after uint64, asking string, now time.Time) []Observation {
	b.expire(now)
	var found []Observation
	for _, each := range b.entries {
		if each.sequence > after && (each.from != asking || asking == "") {
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

// known tells whether a statement says no more than those that are posted.
func (b *Buffer) known(statement Observation, now time.Time) bool {
	ofZone := 0
	for _, each := range b.entries {
		if each.observation.BackendID() != statement.BackendID() {
			continue
		}
		switch offered := statement.(type) {
		case Activity:
			if life, is := each.observation.(Activity); is && offered.At.Sub(life.At) < duplicateActivityWindow {
				return true
			}
		case UnansweredRequest:
			known, is := each.observation.(UnansweredRequest)
			if !is {
				continue
			}
			if known.Client == offered.Client && offered.SentAt.Sub(known.SentAt) < duplicateRequestWindow {
				return true
			}
			if known.Zone == offered.Zone && now.Sub(each.at) < renewalInterval {
				ofZone++
			}
		}
	}
	return ofZone >= requestsPerZone
}

// withinBudget tells whether one more statement is within its budget.
func (b *Buffer) withinBudget(statement Observation, now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.requests, b.activities = now, 0, 0
	}
	taken, limit := &b.requests, requestBudget
	if _, is := statement.(Activity); is {
		taken, limit = &b.activities, activityBudget
	}
	if *taken >= limit {
		b.Dropped.Add(1)
		return false
	}
	*taken++
	return true
}
