package replication

import "time"

// Timing is how often the store is read and how old knowledge may grow. All of it
// is derived in one place from two settings, so that what one part waits for
// never outlasts what another one takes for too old.
type Timing struct {
	// PollInterval is the time between two reads of a store of one page, and between two
	// looks at the table of routes of a larger one.
	PollInterval time.Duration
	// StaleAge is the age from which knowledge is no longer relied on.
	StaleAge time.Duration
	// ChangesWait is how long a call waits at the store for changes. Its answer confirms
	// what was known when the call began, so knowledge grows as old as two calls.
	ChangesWait time.Duration
	// ChangesDelay lets changes gather between two calls that wait for them.
	ChangesDelay time.Duration
	// MinAdvance is how much younger a confirmation must be to be passed on.
	MinAdvance time.Duration
	// StandbyDelay is how much later each balancer of the order reads a store that those
	// before it should have read.
	StandbyDelay time.Duration
}

const (
	// waitsPerPoll and delaysPerPoll are such that two waits, a pause and
	// treeLevels confirmations that are passed on take less than minStalePolls.
	waitsPerPoll  = 3
	delaysPerPoll = 8
	// advancesPerPoll and advanceLimit bound how much age a level of the tree
	// adds, against how often a quiet fleet talks.
	advancesPerPoll = 20
	advanceLimit    = 100 * time.Millisecond
	// standbyDelaysPerPoll gives the standby balancers their turns within half a poll.
	standbyDelaysPerPoll = 16
	// minStalePolls is the least age, in polls, that may count as stale.
	minStalePolls = 1.4
	// treeLevels is how deep the tree gets: heads of zones below the reader, then
	// 1,200 balancers in a zone at 16 to 32 below each.
	treeLevels = 4
)

// NewTiming derives the pace from the time between two reads and the age that
// counts as stale, which must be at least MinStaleAge of the former.
func NewTiming(poll, stale time.Duration) Timing {
	return Timing{
		PollInterval: poll,
		StaleAge:     stale,
		ChangesWait:  poll / waitsPerPoll,
		ChangesDelay: poll / delaysPerPoll,
		MinAdvance:   min(advanceLimit, poll/advancesPerPoll),
		StandbyDelay: poll / standbyDelaysPerPoll,
	}
}

// MinStaleAge is the least age that may count as stale at a pace of reading.
func MinStaleAge(poll time.Duration) time.Duration {
	return time.Duration(float64(poll) * minStalePolls)
}

// MaxAge is how old knowledge gets at the last level of the tree while nothing
// fails and each call takes the given time beyond what it waits.
func (p Timing) MaxAge(call time.Duration) time.Duration {
	byChanges := 2*(p.ChangesWait+call) + p.ChangesDelay
	byPages := p.PollInterval + call
	return max(byChanges, byPages) + treeLevels*(p.MinAdvance+call)
}
