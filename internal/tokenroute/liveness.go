package tokenroute

import (
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// The pace of the judgement on back ends.
const (
	// minRetransmitInterval is how far apart two copies of a packet must have been
	// forwarded for the later one to count as a repetition. A stalled balancer
	// that reads several copies at once thus counts one.
	minRetransmitInterval = 150 * time.Millisecond
	// retransmitsToReport is how often a request must have been repeated for its
	// flow to speak against the back end: clients repeat after 200 and 600 ms,
	// and a back end that is well answers the first repetition at the latest.
	retransmitsToReport = 2
	// retransmitsToFail is how often a request must have been repeated for its
	// flow alone to prove that the back end is dead. Where many balancers share
	// the flows of many back ends, each sees one or none of a back end's.
	retransmitsToFail = 3
	// clientsToFail is how many clients must speak against a back end. An entry that is
	// gone is no further witness: back ends serve on without one.
	clientsToFail = 2
	// minPromptRatio is how many back ends must have answered promptly for each
	// other one that did not, before a balancer trusts its own link.
	minPromptRatio = 2
	// failureTTL is how long a verdict lasts without a new witness. It stays
	// well below the time for which a disruption excuses a reset.
	failureTTL = 2 * time.Second
	// maxBackendHealth bounds the back ends judged at a time.
	maxBackendHealth = 32768
)

// FailureDetector tells back ends that have fallen silent by the packets of their
// clients. The balancer sees no answers, since back ends send them straight to
// the clients; but a client repeats what was not acknowledged, and acknowledges
// what it received. A request that was repeated twice, from two clients, or three
// times from one, while no client acknowledged anything newer, means that the
// back end is gone.
//
// A flow of such a back end can only wait for its client's deadline, so the
// client is better told at once: with the verdict on the flows that passed here
// lately, even those that wait for nothing yet, so that their next request opens
// a flow to a living back end; later on the flows that ask.
//
// Since a reset that hits a living back end breaks a flow, every doubt counts for
// the back end: any acknowledgement that is newer than the unanswered requests
// drops them, copies that did not pass through this balancer do not count, and a
// verdict ends by itself unless the directory too says that the back end is gone.
// A balancer whose own link is full loses the requests to all its back ends; so
// there is no verdict unless others answered promptly meanwhile, minPromptRatio
// times as many as did not, and unless repetitions are so seldom what brings an answer
// that a lost packet would be a poor explanation (link).
//
// Balancers join their witnesses (joined.go), so that each learns of a dead back end
// before a request of its own is lost to it.
//
// It belongs to one traffic goroutine.
type FailureDetector struct {
	disabled mechanism.Set
	// zone is that of this balancer.
	zone   string
	memory *flowCache
	zones  *zoneMonitor
	health map[incarnation.ID]*backendHealth
	// link is what the answers tell of the balancer's own link.
	link      linkMonitor
	abandoned []AbandonedFlow
	failures  []BackendFailure
	// observations are what other balancers have yet to be told.
	observations []evidence.Observation
	// pending are the back ends whose joined witnesses wait for an answer.
	pending []pendingEvaluation
	// FailureCount counts the verdicts that back ends are dead.
	FailureCount atomic.Uint64
}

// newFailureDetector makes a judge of the back ends of the flows in a memory, against
// whom nothing speaks yet.
func newFailureDetector(memory *flowCache, zones *zoneMonitor, off mechanism.Set) *FailureDetector {
	return &FailureDetector{disabled: off, memory: memory, zones: zones, health: make(map[incarnation.ID]*backendHealth)}
}

// Observe takes a later packet of a flow that goes to a back end, and tells
// whether the back end counts as dead for it. Only packets with data are ever
// answered with true: the others ask for nothing. The state of the flow may be
// nil for packets without data.
func (l *FailureDetector) Observe(packet Packet, state *flowState, backend *Backend, now time.Time) bool {
	if packet.Closing {
		return false
	}
	if packet.Length == 0 {
		l.observeAcknowledgement(packet, state, backend, now)
		return false
	}
	l.observeData(packet, state, backend, now)
	return l.Failed(backend, now)
}

// observeAcknowledgement follows a packet without data: the client sends it at
// once when it has received something.
func (l *FailureDetector) observeAcknowledgement(packet Packet, state *flowState, backend *Backend, now time.Time) {
	l.recordActivity(backend, now)
	if state == nil || state.tracker.backend == nil {
		return
	}
	state.tracker.lastAck = packet.Acknowledged
	if state.tracker.acknowledged != packet.Acknowledged {
		l.recordAnswer(packet.Key, state, backend, now)
	}
}

// observeData follows the oldest unanswered packet of a flow. A packet that
// acknowledges more than the one before proves that the back end lived when
// that one passed, at least.
func (l *FailureDetector) observeData(packet Packet, state *flowState, backend *Backend, now time.Time) {
	known := &state.tracker
	switch {
	case known.backend == nil:
		l.trackRequest(packet, state, backend, now)
	case known.acknowledged != packet.Acknowledged:
		l.recordActivity(backend, known.passedAt)
		l.recordAnswer(packet.Key, state, backend, now)
		state.countResponseLength(packet.Key.Address(), packet.Acknowledged)
		l.trackRequest(packet, state, backend, now)
	case known.sequence == packet.Sequence && known.backend.Incarnation() != backend.Incarnation():
		// What an earlier start left unanswered says nothing of this one.
		l.trackRequest(packet, state, backend, now)
	case known.sequence == packet.Sequence:
		known.backend, known.passedAt = backend, now
		state.resumeRequest(now)
		l.recordRetransmission(known, packet, now)
		if known.retransmissions > 0 {
			state.markUndelivered(now)
		}
	default:
		known.passedAt = now
		state.markSending(now)
	}
}

func (l *FailureDetector) trackRequest(packet Packet, state *flowState, backend *Backend, now time.Time) {
	state.setInFlight(true, now)
	if state.firstRequestAt.IsZero() {
		state.firstRequestAt = now
	}
	state.tracker = requestTracker{
		backend:  backend,
		sequence: packet.Sequence, acknowledged: packet.Acknowledged, lastAck: packet.Acknowledged,
		passedAt: now, sentAt: now, retransmittedAt: now,
	}
}

// recordRetransmission counts a copy of an unanswered packet and lets its client speak
// against the back end when there were enough.
func (l *FailureDetector) recordRetransmission(known *requestTracker, packet Packet, now time.Time) {
	if now.Sub(known.retransmittedAt) < minRetransmitInterval {
		return
	}
	known.retransmissions++
	known.retransmittedAt = now
	l.zones.recordMiss(known.backend, known.sentAt, now)
	if judged := l.healthOf(known.backend); judged != nil {
		judged.retransmittedAt = now
	}
	if known.retransmissions >= retransmitsToReport {
		l.recordUnanswered(known, clientAddress(packet.Key.Source), now)
	}
}

// recordAnswer takes that the oldest request of a flow was answered.
func (l *FailureDetector) recordAnswer(key flow.Key, state *flowState, backend *Backend, now time.Time) {
	state.setInFlight(false, now)
	known := &state.tracker
	judged := l.healthOf(backend)
	if state.load != nil && known.retransmissions == 0 && !known.ackCounted {
		known.ackCounted = true
		state.load.responseCounts(key.Address()).AddTime(now.Sub(known.sentAt))
	}
	if !known.responseCounted {
		known.responseCounted = true
		l.link.countResponse(known.retransmissions > 0, now)
	}
	if known.retransmissions == 0 {
		l.zones.recordResponse(backend, known.sentAt)
	}
	if judged != nil && known.retransmissions == 0 && known.sentAt.After(judged.promptSentAt) {
		judged.promptSentAt = known.sentAt
	}
}

// healthOf returns the judgement of a back end, or nil when there are too
// many.
func (l *FailureDetector) healthOf(backend *Backend) *backendHealth {
	judged := l.health[backend.Incarnation()]
	if judged == nil && len(l.health) < maxBackendHealth {
		judged = &backendHealth{unanswered: make(map[clientAddress]unansweredRequest)}
		l.health[backend.Incarnation()] = judged
	}
	return judged
}

// recordUnanswered lets a client speak against the back end of its flow.
func (l *FailureDetector) recordUnanswered(known *requestTracker, client clientAddress, now time.Time) {
	backend := known.backend
	judged := l.healthOf(backend)
	if judged == nil || !known.sentAt.After(judged.activeAt) {
		return
	}
	prompt := l.othersResponsive(judged, known.sentAt) && l.link.expectedLinkLoss(known.retransmissions, known.sentAt, now) <= maxLinkLossForReport
	judged.unanswered[client] = unansweredRequest{sentAt: known.sentAt, othersAnswered: prompt, copies: known.retransmissions}
	if !prompt || l.disabled.Has(mechanism.Verdicts) {
		return
	}
	l.reportUnanswered(backend, client, known.sentAt)
	enough := known.retransmissions >= retransmitsToFail || judged.localClients() >= clientsToFail
	if enough && l.link.expectedLinkLoss(judged.lostCopies(), known.sentAt, now) <= maxLinkLossForFailure {
		l.markFailed(judged, backend, now)
		return
	}
	l.evaluate(judged, backend, now)
}

// markFailed judges a back end dead for a while.
func (l *FailureDetector) markFailed(judged *backendHealth, backend *Backend, now time.Time) {
	if !now.Before(judged.failedUntil) {
		l.FailureCount.Add(1)
		l.failures = append(l.failures, judged.failure(backend))
		if !l.disabled.Has(mechanism.IdleResets) {
			l.abandonFlows(backend, now)
		}
	}
	judged.failedUntil = now.Add(failureTTL)
}

// abandonFlows puts the flows of a dead back end that are remembered on the list of
// those to reset, and forgets them.
func (l *FailureDetector) abandonFlows(backend *Backend, now time.Time) {
	for _, generation := range []map[flow.Key]*flowState{l.memory.current, l.memory.previous} {
		for key, state := range generation {
			known := &state.tracker
			if known.backend == nil || known.backend.Incarnation() != backend.Incarnation() {
				continue
			}
			l.abandoned = append(l.abandoned, AbandonedFlow{Key: key, Backend: backend, Reason: ReasonDeadBackend, Acknowledged: known.lastAck})
			l.memory.forget(key, state, now)
		}
	}
	for _, rested := range l.memory.takeIdle(backend.Incarnation()) {
		l.abandoned = append(l.abandoned, AbandonedFlow{Key: rested.key, Backend: backend, Reason: ReasonDeadBackend, Acknowledged: rested.lastAck})
	}
}

// recordActivity takes that a back end lived at a time. Requests sent until then no
// longer speak against it, and a verdict that rests on them ends.
func (l *FailureDetector) recordActivity(backend *Backend, livedAt time.Time) {
	judged := l.healthOf(backend)
	if judged == nil {
		return
	}
	if !livedAt.After(judged.activeAt) {
		return
	}
	judged.activeAt = livedAt
	answers := false
	for client, each := range judged.unanswered {
		if !each.sentAt.After(livedAt) {
			answers = answers || each.remote()
			delete(judged.unanswered, client)
		}
	}
	if answers {
		l.reportActivity(backend, judged)
	}
	if len(judged.unanswered) == 0 {
		judged.failedUntil = time.Time{}
	}
}

// Failed tells whether a back end counts as dead. The verdict on one whose entry
// is gone stays until something proves the opposite.
func (l *FailureDetector) Failed(backend *Backend, now time.Time) bool {
	judged := l.health[backend.Incarnation()]
	if judged == nil || judged.failedUntil.IsZero() {
		return false
	}
	return backend.Gone || now.Before(judged.failedUntil)
}
