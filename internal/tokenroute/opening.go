package tokenroute

import "time"

// The pace of a new flow.
const (
	// AnswerTime is the time within which a back end that is well has answered
	// the first packet of a flow and the client has gone on. It stays below the
	// first repetition by clients, 200 ms.
	AnswerTime = 150 * time.Millisecond
	// maximumTried is how many back ends one new flow is offered to.
	maximumTried = 3
	// waitingWeight is how many open flows count as much as one request that waits: what
	// waits fills a slot or a queue now, an open flow may rest for long. With 1 the bursts
	// of two short fleets were served 0.003 worse, alike on both.
	waitingWeight = 8
	// The time for which a back end that did not answer is avoided doubles from
	// the shortest to the longest.
	avoidShortest = time.Second
	avoidLongest  = 8 * time.Second
)

// opening is a flow whose first packet passed here.
type opening struct {
	tried [maximumTried]*Backend
	count int
	// sentAt is when the first packet last went to a back end.
	sentAt time.Time
	// opened is the back end whose answer the client went on with.
	opened *Backend
}

func (o *opening) last() *Backend { return o.tried[o.count-1] }

func (o *opening) wasTried(backend *Backend) bool {
	for _, tried := range o.tried[:o.count] {
		if tried.Number == backend.Number {
			return true
		}
	}
	return false
}

// waiting is an opening in the order in which answers fall due.
type waiting struct {
	opening *opening
	backend *Backend
	sentAt  time.Time
}

// silence counts how a back end failed to answer. It ends with the first answer.
type silence struct {
	misses     int
	avoidUntil time.Time
}
