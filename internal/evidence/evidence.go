// Package evidence exchanges between balancers what they observed of back ends that may have
// failed. Each balancer sees a few flows of each back end. Together they see enough to detect
// a failed one after the first two requests that it left unanswered, where each alone would
// lose a request of its own.
//
// Only observations are passed on, never conclusions. An UnansweredRequest says that a
// request, sent at a given time, stayed unanswered through its retransmissions. An Activity
// says that a back end sent something at a given time. Activity that is newer than an
// unanswered request refutes it, whichever balancer saw it. Each balancer detects failures for
// itself (package tokenroute).
//
// Times are never transferred as such, since clocks differ and messages are delayed. They are
// translated so that the uncertainty counts in favour of the back end: an unanswered request
// arrives with the earliest possible time, an activity with the latest (RemoteClock).
//
// A Buffer holds what one balancer passes on, in a bounded number. The package does no I/O
// and starts no goroutine; time is an argument.
//
// # Usage
//
//	if buffer.Add(observation, from, now) { ... update the state of the back end ... }
//	observations := buffer.Since(after, follower, now)
package evidence

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Backend identifies one run of a back end. Observations of one run say nothing about another.
type Backend = incarnation.ID

// Client is the IPv4 address of a client.
type Client uint32

// Observation is what a balancer saw of a back end: an UnansweredRequest or an Activity.
type Observation interface {
	// BackendID returns the back end that was observed.
	BackendID() Backend
	// When returns the time that the observation refers to.
	When() time.Time
	isObservation()
}

// UnansweredRequest says that a client's request was retransmitted twice and not answered,
// while other back ends answered the balancer that saw it.
type UnansweredRequest struct {
	Backend Backend
	Client  Client
	// Zone is the zone of the balancer that saw it.
	Zone string
	// SentAt is when the request was first sent.
	SentAt time.Time
}

// Activity says that a back end sent something.
type Activity struct {
	Backend Backend
	At      time.Time
}

// BackendID implements Observation.
func (r UnansweredRequest) BackendID() Backend { return r.Backend }

// When implements Observation.
func (r UnansweredRequest) When() time.Time { return r.SentAt }

func (r UnansweredRequest) isObservation() {}

// BackendID implements Observation.
func (a Activity) BackendID() Backend { return a.Backend }

// When implements Observation.
func (a Activity) When() time.Time { return a.At }

func (a Activity) isObservation() {}
