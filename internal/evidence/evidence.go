// Package evidence carries between balancers what they saw of back ends that may be
// dead. Each balancer sees a few flows of each back end; together they see enough to
// tell a dead one after the first two requests that it left unanswered, where each
// alone would lose a request of its own.
//
// What is passed on are observations, never verdicts: a Witness says that a request,
// sent at a time, stayed unanswered through its repetitions; a Activity says that a
// back end sent something at a time. A sign of life that is newer answers a witness,
// whoever saw it. Each balancer judges for itself (package tokenroute).
//
// Times never cross a link as such, since clocks differ and messages are late. They
// are translated so that every doubt counts for the back end: a witness arrives as
// old as it may be, a sign of life as young as it may be (Clock).
//
// A Board is what one balancer passes on, in a bounded number. The package does no
// I/O and starts no goroutine; time is an argument.
//
// # Usage
//
//	if board.Add(statement, from, now) { ... judge by it ... }
//	news, next := board.Since(after, follower, now)
package evidence

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Backend is one start of a back end. What is seen of another start says nothing of it.
type Backend = incarnation.ID

// Client is the address of a client, an IPv4 address.
type Client uint32

// Observation is what a balancer saw of a back end: a Witness or a Activity.
type Observation interface {
	// BackendID is the back end.
	BackendID() Backend
	// When is the time that the statement speaks of.
	When() time.Time
	isObservation()
}

// UnansweredRequest says that a client's request was repeated twice and not answered, while
// other back ends answered the balancer that saw it.
type UnansweredRequest struct {
	Backend Backend
	Client  Client
	// Zone is that of the balancer that saw it.
	Zone string
	// SentAt is when the request was first sent.
	SentAt time.Time
}

// Activity says that a back end sent something.
type Activity struct {
	Backend Backend
	At      time.Time
}

// BackendID implements Statement.
func (w UnansweredRequest) BackendID() Backend { return w.Backend }

// When implements Statement.
func (w UnansweredRequest) When() time.Time { return w.SentAt }

func (w UnansweredRequest) isObservation() {}

// BackendID implements Statement.
func (s Activity) BackendID() Backend { return s.Backend }

// When implements Statement.
func (s Activity) When() time.Time { return s.At }

func (s Activity) isObservation() {}
