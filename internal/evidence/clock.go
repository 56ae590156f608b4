package evidence

import "time"

// RemoteClock relates the steady clock of another balancer to the one here, by one answer
// of its. The zero value knows nothing.
type RemoteClock struct {
	// ID names the other's clock; one that starts again has another one.
	ID uint64
	// reading is what the other's clock showed when the answer left, and leftAfter and
	// leftBefore are the times here between which it did.
	reading               time.Duration
	leftAfter, leftBefore time.Time
}

// NewRemoteClock takes what another balancer's clock showed when its answer left. The
// answer left between two times here.
func NewRemoteClock(id uint64, shown time.Duration, leftAfter, leftBefore time.Time) RemoteClock {
	return RemoteClock{ID: id, reading: shown, leftAfter: leftAfter, leftBefore: leftBefore}
}

// Known tells whether the other's clock is known.
func (c RemoteClock) Known() bool { return c.ID != 0 }

// Translate translates the time of a statement to the other's clock, so that a doubt
// counts for the back end.
func (c RemoteClock) Translate(statement Observation) time.Duration {
	if _, alive := statement.(Activity); alive {
		return c.reading + statement.When().Sub(c.leftAfter)
	}
	return c.reading + statement.When().Sub(c.leftBefore)
}

// LowerBound translates a time to the other's clock: the latter shows it no later than
// the time itself.
func (c RemoteClock) LowerBound(at time.Time) time.Duration { return c.reading + at.Sub(c.leftBefore) }
