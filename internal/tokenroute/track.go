package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// clientAddress is the address of a client.
type clientAddress [4]byte

// requestTracker is the oldest unanswered packet with data of one flow, as far as it
// passed here.
type requestTracker struct {
	// backend is nil until a packet with data has passed.
	backend                *Backend
	sequence, acknowledged uint32
	// lastAck is what the client acknowledged last: a reset has to stand near it.
	lastAck uint32
	// passedAt is when a packet of the flow last passed, sentAt when the
	// request did first, and retransmittedAt when its last counted copy did.
	passedAt, sentAt, retransmittedAt time.Time
	retransmissions                   int
	// ackCounted is set once the first acknowledgement of the answer was counted.
	ackCounted bool
	// responseCounted is set once the answer was counted for the link.
	responseCounted bool
}

// countResponseLength counts the length of the answer to the last request of a flow, once
// the client has acknowledged the last of it.
func (s *flowState) countResponseLength(address flow.Address, acknowledged uint32) {
	known := &s.tracker
	if s.load == nil || known.backend == nil {
		return
	}
	if length := acknowledged - known.acknowledged; length > 0 && length < maxResponseLength {
		s.load.responseCounts(address).AddLength(length)
	}
}

// maxResponseLength tells an answer, in bytes, from an acknowledgement that is older
// than the one before.
const maxResponseLength = 1 << 30

// AbandonedFlow is a flow whose back end no longer holds it.
type AbandonedFlow struct {
	Key     flow.Key
	Backend *Backend
	// Reason is ReasonDeadBackend or ReasonRestarted.
	Reason Reason
	// Acknowledged is what the client acknowledged last.
	Acknowledged uint32
}
