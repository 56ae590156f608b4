package evidence

import (
	"sync/atomic"
	"time"
)

const (
	// kept is how long a statement is passed on. Who asks later is served by its own
	// observations.
	kept = 2 * time.Second
	// sameWitness is by how much a client's later request must have been sent later to
	// be another one: times are translated on their way, each time some milliseconds
	// towards the past.
	sameWitness = 150 * time.Millisecond
	// sameLife is the same for signs of life; one that is hardly newer says nothing.
	sameLife = 100 * time.Millisecond
	// witnessesOfZone is how many witnesses from one zone against one back end are passed
	// on at a time. Two are enough for a verdict; one more outlasts an answered one.
	witnessesOfZone = 3
	// renewedAfter is when further witnesses are passed on, so that a verdict lasts.
	renewedAfter = time.Second
	// budget bounds the witnesses taken in a second. At some 30 bytes each, passed on
	// to 16 balancers, it is some 100 KB for the one passing on and 6 KB for the others.
	budget = 200
	// lifeBudget is the same for signs of life, in room of their own: many back ends that
	// fall silent at once leave none, just when one that lives has to be told.
	lifeBudget = 100
)

// posted is a statement on a board.
type posted struct {
	sequence  uint64
	statement Statement
	// from is the address of the balancer that told it, empty for this one.
	from string
	at   time.Time
}

// Board is what a balancer knows of statements and passes on, the oldest first. Its
// zero value is empty. It belongs to one goroutine.
type Board struct {
	sequence uint64
	posted   []posted
	// second, witnesses and lives count the statements of a second.
	second           time.Time
	witnesses, lives int
	// Refused counts the statements beyond the budget.
	Refused atomic.Uint64
}

// Add takes a statement of this balancer, whose from is empty, or of another one. It
// tells whether the statement is new and is passed on.
func (b *Board) Add(statement Statement, from string, now time.Time) bool {
	b.expire(now)
	if b.known(statement, now) || !b.afford(statement, now) {
		return false
	}
	b.sequence++
	b.posted = append(b.posted, posted{sequence: b.sequence, statement: statement, from: from, at: now})
	return true
}

// Latest is the sequence of the last statement.
func (b *Board) Latest() uint64 { return b.sequence }

// Since returns the statements after a sequence that did not come from a balancer
// itself.
func (b *Board) Since(after uint64, asking string, now time.Time) []Statement {
	b.expire(now)
	var found []Statement
	for _, each := range b.posted {
		if each.sequence > after && (each.from != asking || asking == "") {
			found = append(found, each.statement)
		}
	}
	return found
}

func (b *Board) expire(now time.Time) {
	old := 0
	for old < len(b.posted) && now.Sub(b.posted[old].at) >= kept {
		old++
	}
	b.posted = b.posted[:copy(b.posted, b.posted[old:])]
}

// known tells whether a statement says no more than those that are posted.
func (b *Board) known(statement Statement, now time.Time) bool {
	ofZone := 0
	for _, each := range b.posted {
		if each.statement.About() != statement.About() {
			continue
		}
		switch offered := statement.(type) {
		case SignOfLife:
			if life, is := each.statement.(SignOfLife); is && offered.At.Sub(life.At) < sameLife {
				return true
			}
		case Witness:
			known, is := each.statement.(Witness)
			if !is {
				continue
			}
			if known.Client == offered.Client && offered.SentAt.Sub(known.SentAt) < sameWitness {
				return true
			}
			if known.Zone == offered.Zone && now.Sub(each.at) < renewedAfter {
				ofZone++
			}
		}
	}
	return ofZone >= witnessesOfZone
}

// afford tells whether one more statement is within its budget.
func (b *Board) afford(statement Statement, now time.Time) bool {
	if now.Sub(b.second) >= time.Second {
		b.second, b.witnesses, b.lives = now, 0, 0
	}
	taken, limit := &b.witnesses, budget
	if _, is := statement.(SignOfLife); is {
		taken, limit = &b.lives, lifeBudget
	}
	if *taken >= limit {
		b.Refused.Add(1)
		return false
	}
	*taken++
	return true
}
