package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// clientAddress is the address of a client.
type clientAddress [4]byte

// track is the oldest unanswered packet with data of one flow, as far as it
// passed here.
type track struct {
	// backend is nil until a packet with data has passed.
	backend                *Backend
	sequence, acknowledged uint32
	// expected is what the client acknowledged last: a reset has to stand near it.
	expected uint32
	// passedAt is when a packet of the flow last passed, sentAt when the
	// request did first, and repeatedAt when its last counted copy did.
	passedAt, sentAt, repeatedAt time.Time
	repeats                      int
	// timed is set once the first acknowledgement of the answer was counted.
	timed bool
	// counted is set once the answer was counted for the link.
	counted bool
}

// ended counts the length of the answer to the last request of a flow, once
// the client has acknowledged the last of it.
func (s *flowState) ended(address flow.Address, acknowledged uint32) {
	known := &s.track
	if s.load == nil || known.backend == nil {
		return
	}
	if length := acknowledged - known.acknowledged; length > 0 && length < longestAnswer {
		s.load.answersTo(address).AddLength(length)
	}
}

// longestAnswer tells an answer, in bytes, from an acknowledgement that is older
// than the one before.
const longestAnswer = 1 << 30

// Abandoned is a flow whose back end no longer holds it.
type Abandoned struct {
	Key     flow.Key
	Backend *Backend
	// Reason is ReasonDeadBackend or ReasonRestarted.
	Reason Reason
	// Acknowledged is what the client acknowledged last.
	Acknowledged uint32
}
