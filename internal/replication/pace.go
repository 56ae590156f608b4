package replication

import "time"

// Pace is how often the store is read and how old knowledge may grow. All of it
// is derived in one place from two settings, so that what one part waits for
// never outlasts what another one takes for too old.
type Pace struct {
	// Poll is the time between two reads of a store of one page, and between two
	// looks at the table of routes of a larger one.
	Poll time.Duration
	// Stale is the age from which knowledge is no longer relied on.
	Stale time.Duration
	// Wait is how long a call waits at the store for changes. Its answer confirms
	// what was known when the call began, so knowledge grows as old as two calls.
	Wait time.Duration
	// Gather lets changes gather between two calls that wait for them.
	Gather time.Duration
	// Younger is how much younger a confirmation must be to be passed on.
	Younger time.Duration
	// Turn is how much later each balancer of the order reads a store that those
	// before it should have read.
	Turn time.Duration
}

const (
	// waitsInPoll and gathersInPoll are such that two waits, a pause and
	// treeLevels confirmations that are passed on take less than stalePolls.
	waitsInPoll   = 3
	gathersInPoll = 8
	// youngersInPoll and youngerLongest bound how much age a level of the tree
	// adds, against how often a quiet fleet talks.
	youngersInPoll = 20
	youngerLongest = 100 * time.Millisecond
	// turnsInPoll gives the standby balancers their turns within half a poll.
	turnsInPoll = 16
	// stalePolls is the least age, in polls, that may count as stale.
	stalePolls = 1.4
	// treeLevels is how deep the tree gets: heads of zones below the reader, then
	// 1,200 balancers in a zone at 16 to 32 below each.
	treeLevels = 4
)

// NewPace derives the pace from the time between two reads and the age that
// counts as stale, which must be at least LeastStale of the former.
func NewPace(poll, stale time.Duration) Pace {
	return Pace{
		Poll:    poll,
		Stale:   stale,
		Wait:    poll / waitsInPoll,
		Gather:  poll / gathersInPoll,
		Younger: min(youngerLongest, poll/youngersInPoll),
		Turn:    poll / turnsInPoll,
	}
}

// LeastStale is the least age that may count as stale at a pace of reading.
func LeastStale(poll time.Duration) time.Duration {
	return time.Duration(float64(poll) * stalePolls)
}

// Oldest is how old knowledge gets at the last level of the tree while nothing
// fails and each call takes the given time beyond what it waits.
func (p Pace) Oldest(call time.Duration) time.Duration {
	byChanges := 2*(p.Wait+call) + p.Gather
	byPages := p.Poll + call
	return max(byChanges, byPages) + treeLevels*(p.Younger+call)
}
