package evidence

import "time"

// Clock relates the steady clock of another balancer to the one here, by one answer
// of its. The zero value knows nothing.
type Clock struct {
	// ID names the other's clock; one that starts again has another one.
	ID uint64
	// shown is what the other's clock showed when the answer left, and leftAfter and
	// leftBefore are the times here between which it did.
	shown                 time.Duration
	leftAfter, leftBefore time.Time
}

// NewClock takes what another balancer's clock showed when its answer left. The
// answer left between two times here.
func NewClock(id uint64, shown time.Duration, leftAfter, leftBefore time.Time) Clock {
	return Clock{ID: id, shown: shown, leftAfter: leftAfter, leftBefore: leftBefore}
}

// Known tells whether the other's clock is known.
func (c Clock) Known() bool { return c.ID != 0 }

// There translates the time of a statement to the other's clock, so that a doubt
// counts for the back end.
func (c Clock) There(statement Statement) time.Duration {
	if _, alive := statement.(SignOfLife); alive {
		return c.shown + statement.When().Sub(c.leftAfter)
	}
	return c.shown + statement.When().Sub(c.leftBefore)
}

// Earliest translates a time to the other's clock: the latter shows it no later than
// the time itself.
func (c Clock) Earliest(at time.Time) time.Duration { return c.shown + at.Sub(c.leftBefore) }
