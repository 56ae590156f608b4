package replication

import "time"

// Timing sets how often the store is read and how old data may become. All values are
// derived in one place from three settings, so that no wait in one part exceeds the age
// that another part considers too old.
type Timing struct {
	// PollInterval is the time between two reads of a store of one page, and between
	// two reads of the route table of a larger store.
	PollInterval time.Duration
	// StaleAge is the age from which data is no longer relied on.
	StaleAge time.Duration
	// ChangesWait is how long a call waits at the store for changes. Its reply confirms
	// the data as of the start of the call, so the age of the data reaches the time of
	// two calls.
	ChangesWait time.Duration
	// ChangesDelay is the pause between two calls that wait for changes, in which
	// changes accumulate.
	ChangesDelay time.Duration
	// MinAdvance is the least advance of the confirmation time that is passed on.
	MinAdvance time.Duration
	// StandbyDelay is how much later each balancer of the order reads a store that
	// those before it should have read.
	StandbyDelay time.Duration
	// Deadline is the time within which a change in the store must take effect here.
	Deadline time.Duration
	// ReadAge is the age by which every balancer tries to read the store itself,
	// however many others should have read it. The rest of the deadline is for the
	// call, for a table build that is in progress, and for a control goroutine that runs
	// late.
	ReadAge time.Duration
	// RetryDelay is the longest pause between two tries of a balancer that the store
	// does not serve. With a try that times out and a read, it stays within the
	// deadline, so that a balancer that the store serves again is up to date by then.
	RetryDelay time.Duration
}

const (
	// waitsPerPoll and delaysPerPoll are such that two waits, one delay, and treeLevels
	// confirmations that are passed on take less than minStalePolls.
	waitsPerPoll  = 3
	delaysPerPoll = 8
	// advancesPerPoll and advanceLimit bound the age that a level of the tree adds. With
	// lower bounds, balancers would call each other more often while nothing changes.
	advancesPerPoll = 20
	advanceLimit    = 100 * time.Millisecond
	// standbyDelaysPerPoll lets the standby balancers try the store within half a poll
	// interval.
	standbyDelaysPerPoll = 16
	// minStalePolls is the least age, in poll intervals, that may count as stale.
	minStalePolls = 1.4
	// treeLevels is the depth of the tree: the heads of zones below the reader, and
	// then 1,200 balancers in a zone with 16 to 32 followers each.
	treeLevels = 4
	// readAgePart is the part of the deadline that ReadAge takes, and
	// retriesPerDeadline how many times RetryDelay fits into the deadline.
	readAgePart        = 0.75
	retriesPerDeadline = 3
	// spreadsPerPoll is such that the tries are spread over at least this part of a poll
	// interval.
	spreadsPerPoll = 4
	// maxLateness is how late the control goroutine may run once while data is read,
	// and readTime is the time for a ping, a read and a table build.
	maxLateness = time.Second
	readTime    = 250 * time.Millisecond
)

// NewTiming derives the timing from the poll interval, the age that counts as stale,
// which must be at least MinStaleAge of the poll interval, and the time within which
// changes must take effect.
func NewTiming(poll, stale, deadline time.Duration) Timing {
	return Timing{
		PollInterval: poll,
		StaleAge:     stale,
		ChangesWait:  poll / waitsPerPoll,
		ChangesDelay: poll / delaysPerPoll,
		MinAdvance:   min(advanceLimit, poll/advancesPerPoll),
		StandbyDelay: poll / standbyDelaysPerPoll,
		Deadline:     deadline,
		ReadAge:      readAge(poll, stale, deadline),
		RetryDelay:   deadline / retriesPerDeadline,
	}
}

// readAge returns the age by which every balancer tries to read the store. If the
// deadline is too short for a control goroutine that runs late, part of a poll interval
// remains in which the tries are spread.
func readAge(poll, stale, deadline time.Duration) time.Duration {
	inTime := max(deadline-maxLateness-readTime, stale+poll/spreadsPerPoll)
	return max(stale, min(time.Duration(float64(deadline)*readAgePart), inTime))
}

// MinStaleAge returns the least age that may count as stale for a poll interval.
func MinStaleAge(poll time.Duration) time.Duration {
	return time.Duration(float64(poll) * minStalePolls)
}

// MaxAge returns the age that data reaches at the last level of the tree while nothing
// fails and each call takes the given time in addition to its wait.
func (t Timing) MaxAge(call time.Duration) time.Duration {
	byChanges := 2*(t.ChangesWait+call) + t.ChangesDelay
	byPages := t.PollInterval + call
	return max(byChanges, byPages) + treeLevels*(t.MinAdvance+call)
}
