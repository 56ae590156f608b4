package tokenroute

import "time"

// The pace of a new flow.
const (
	// ResponseTimeout is the time within which a back end that is well has answered
	// the first packet of a flow and the client has gone on. It stays below the
	// first repetition by clients, 200 ms.
	ResponseTimeout = 150 * time.Millisecond
	// maxAttempts is how many back ends one new flow is offered to.
	maxAttempts = 3
	// inFlightWeight is how many open flows count as much as one request that waits: what
	// waits fills a slot or a queue now, an open flow may rest for long. With 1 the bursts
	// of two short fleets were served 0.003 worse, alike on both.
	inFlightWeight = 8
	// The time for which a back end that did not answer is avoided doubles from
	// the shortest to the longest.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
)

// flowOpening is a flow whose first packet passed here.
type flowOpening struct {
	attempts [maxAttempts]*Backend
	count    int
	// sentAt is when the first packet last went to a back end.
	sentAt time.Time
	// openedBy is the back end whose answer the client went on with.
	openedBy *Backend
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

// pendingOpening is an opening in the order in which answers fall due.
type pendingOpening struct {
	opening *flowOpening
	backend *Backend
	sentAt  time.Time
}

// backoff counts how a back end failed to answer. It ends with the first answer.
type backoff struct {
	misses     int
	avoidUntil time.Time
}
