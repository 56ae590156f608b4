package evidence

import "time"

// RemoteClock relates the monotonic clock of another balancer to the local one, by one answer
// of the other. The zero value is an unknown clock.
type RemoteClock struct {
	// ID identifies the remote clock. A balancer that restarts has a new one.
	ID uint64
	// reading is what the remote clock showed when the answer left, and leftAfter and
	// leftBefore are bounds for the local time of that.
	reading               time.Duration
	leftAfter, leftBefore time.Time
}

// NewRemoteClock returns the relation to the clock of another balancer that showed reading
// when its answer left, between two local times.
func NewRemoteClock(id uint64, reading time.Duration, leftAfter, leftBefore time.Time) RemoteClock {
	return RemoteClock{ID: id, reading: reading, leftAfter: leftAfter, leftBefore: leftBefore}
}

// Known reports whether the remote clock is known.
func (c RemoteClock) Known() bool { return c.ID != 0 }

// Translate translates the time of an observation to the remote clock. The uncertainty counts
// in favour of the back end: activity is translated to the latest possible time, and an
// unanswered request to the earliest.
func (c RemoteClock) Translate(observation Observation) time.Duration {
	if _, activity := observation.(Activity); activity {
		return c.reading + observation.When().Sub(c.leftAfter)
	}
	return c.reading + observation.When().Sub(c.leftBefore)
}

// LowerBound translates a local time to the remote clock. The result is no later than what the
// remote clock shows at that time.
func (c RemoteClock) LowerBound(at time.Time) time.Duration { return c.reading + at.Sub(c.leftBefore) }
