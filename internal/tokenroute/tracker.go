package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// clientAddress is the IPv4 address of a client.
type clientAddress [4]byte

// requestTracker tracks the oldest unanswered data packet of a flow among those that passed this
// balancer.
type requestTracker struct {
	// backend is nil until a packet with data has passed.
	backend                *Backend
	sequence, acknowledged uint32
	// lastAck is the client's latest acknowledgement. The sequence number of a reset has to be near
	// it.
	lastAck uint32
	// passedAt is when a packet of the flow last passed, sentAt when the request first passed, and
	// retransmittedAt when its last counted retransmission did.
	passedAt, sentAt, retransmittedAt time.Time
	retransmissions                   int
	// ackCounted is set once the first acknowledgement of the response was counted.
	ackCounted bool
	// responseCounted is set once the response was counted for the link.
	responseCounted bool
}

// countResponseLength counts the length of the response to the last request of a flow, once the
// client has acknowledged all of it.
func (s *flowState) countResponseLength(address flow.Address, acknowledged uint32) {
	request := &s.tracker
	if s.load == nil || request.backend == nil {
		return
	}
	if length := acknowledged - request.acknowledged; length > 0 && length < maxResponseLength {
		s.load.responseCounts(address).AddLength(length)
	}
}

// maxResponseLength, in bytes, distinguishes a response from an acknowledgement that is older than
// the one before.
const maxResponseLength = 1 << 30

// AbandonedFlow is a flow whose back end no longer holds it.
type AbandonedFlow struct {
	Key     flow.Key
	Backend *Backend
	// Reason is ReasonDeadBackend or ReasonRestarted.
	Reason Reason
	// Sequence and Acknowledged are the client's latest numbers.
	Sequence, Acknowledged uint32
}
