package tokenroute

import "time"

// Timeouts and limits for new flows.
const (
	// ResponseTimeout is the time within which a healthy back end has answered the first packet of
	// a flow and the client has continued. It is shorter than the time to the first retransmission
	// by clients, 200 ms.
	ResponseTimeout = 150 * time.Millisecond
	// maxAttempts is the number of back ends that one new flow is sent to.
	maxAttempts = 3
	// copyTimeout is the time within which the copies of a first packet pass. Clients send the last
	// one after 600 ms.
	copyTimeout = 2 * time.Second
	// inFlightWeight is the number of open flows that count as much as one request in flight. A
	// request in flight occupies a slot or a place in a queue now, while an open flow may stay idle
	// for long. A weight of 1 lowered the fraction served in bursts by 0.003 in each of two fleets
	// that were short of capacity.
	inFlightWeight = 8
	// The time for which a back end that did not answer is avoided doubles from minAvoidTime to
	// maxAvoidTime.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
)

// flowOpening is the opening of a flow whose first packet passed here.
type flowOpening struct {
	attempts [maxAttempts]*Backend
	count    int
	// startedAt is when the first packet was first sent to a back end.
	startedAt time.Time
	// sentAt is when the first packet was last sent to a back end.
	sentAt time.Time
	// openedBy is the back end whose answer the client accepted.
	openedBy *Backend
}

// copiesEnded reports whether a first packet that passes now is no copy of the flow's own.
func (o *flowOpening) copiesEnded(now time.Time) bool {
	return o.count > 0 && now.Sub(o.startedAt) >= copyTimeout
}

func (o *flowOpening) last() *Backend { return o.attempts[o.count-1] }

func (o *flowOpening) wasTried(backend *Backend) bool {
	for _, tried := range o.attempts[:o.count] {
		if tried.Number == backend.Number {
			return true
		}
	}
	return false
}

// pendingOpening is an attempt to open a flow. Attempts are queued in the order in which their
// answers are due.
type pendingOpening struct {
	opening *flowOpening
	backend *Backend
	sentAt  time.Time
}

// backoff counts the openings that a back end did not answer. It is removed with the first answer.
type backoff struct {
	misses     int
	avoidUntil time.Time
}
