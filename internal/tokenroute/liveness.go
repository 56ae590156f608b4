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
	memory *memory
	zones  *zones
	health map[incarnation.ID]*backendHealth
	// link is what the answers tell of the balancer's own link.
	link      link
	abandoned []Abandoned
	failures  []BackendFailure
	// observations are what other balancers have yet to be told.
	observations []evidence.Statement
	// pending are the back ends whose joined witnesses wait for an answer.
	pending []pendingEvaluation
	// FailureCount counts the verdicts that back ends are dead.
	FailureCount atomic.Uint64
}

// newFailureDetector makes a judge of the back ends of the flows in a memory, against
// whom nothing speaks yet.
func newFailureDetector(memory *memory, zones *zones, off mechanism.Set) *FailureDetector {
	return &FailureDetector{disabled: off, memory: memory, zones: zones, health: make(map[incarnation.ID]*backendHealth)}
}

// Observe takes a later packet of a flow that goes to a back end, and tells
// whether the back end counts as dead for it. Only packets with data are ever
// answered with true: the others ask for nothing. The state of the flow may be
// nil for packets without data.
func (d *FailureDetector) Observe(packet Packet, state *flowState, backend *Backend, now time.Time) bool {
	if packet.Closing {
		return false
	}
	if packet.Length == 0 {
		d.observeAcknowledgement(packet, state, backend, now)
		return false
	}
	d.observeData(packet, state, backend, now)
	return d.Failed(backend, now)
}

// observeAcknowledgement follows a packet without data: the client sends it at
// once when it has received something.
func (d *FailureDetector) observeAcknowledgement(packet Packet, state *flowState, backend *Backend, now time.Time) {
	d.recordActivity(backend, now)
	if state == nil || state.track.backend == nil {
		return
	}
	state.track.expected = packet.Acknowledged
	if state.track.acknowledged != packet.Acknowledged {
		d.recordAnswer(packet.Key, state, backend, now)
	}
}

// observeData follows the oldest unanswered packet of a flow. A packet that
// acknowledges more than the one before proves that the back end lived when
// that one passed, at least.
func (d *FailureDetector) observeData(packet Packet, state *flowState, backend *Backend, now time.Time) {
	tracked := &state.track
	switch {
	case tracked.backend == nil:
		d.trackRequest(packet, state, backend, now)
	case tracked.acknowledged != packet.Acknowledged:
		d.recordActivity(backend, tracked.passedAt)
		d.recordAnswer(packet.Key, state, backend, now)
		state.ended(packet.Key.Address(), packet.Acknowledged)
		d.trackRequest(packet, state, backend, now)
	case tracked.sequence == packet.Sequence && tracked.backend.Incarnation() != backend.Incarnation():
		// What an earlier start left unanswered says nothing of this one.
		d.trackRequest(packet, state, backend, now)
	case tracked.sequence == packet.Sequence:
		tracked.backend, tracked.passedAt = backend, now
		state.waitsStill(now)
		d.recordRetransmission(tracked, packet, now)
		if tracked.repeats > 0 {
			state.unreach(now)
		}
	default:
		tracked.passedAt = now
		state.sendsOn(now)
	}
}

func (d *FailureDetector) trackRequest(packet Packet, state *flowState, backend *Backend, now time.Time) {
	state.setWaiting(true, now)
	if state.seenAt.IsZero() {
		state.seenAt = now
	}
	state.track = track{
		backend:  backend,
		sequence: packet.Sequence, acknowledged: packet.Acknowledged, expected: packet.Acknowledged,
		passedAt: now, sentAt: now, repeatedAt: now,
	}
}

// recordRetransmission counts a copy of an unanswered packet and lets its client speak
// against the back end when there were enough.
func (d *FailureDetector) recordRetransmission(tracked *track, packet Packet, now time.Time) {
	if now.Sub(tracked.repeatedAt) < minRetransmitInterval {
		return
	}
	tracked.repeats++
	tracked.repeatedAt = now
	d.zones.missed(tracked.backend, tracked.sentAt, now)
	if health := d.healthOf(tracked.backend); health != nil {
		health.retransmittedAt = now
	}
	if tracked.repeats >= retransmitsToReport {
		d.recordUnanswered(tracked, clientAddress(packet.Key.Source), now)
	}
}

// recordAnswer takes that the oldest request of a flow was answered.
func (d *FailureDetector) recordAnswer(key flow.Key, state *flowState, backend *Backend, now time.Time) {
	state.setWaiting(false, now)
	tracked := &state.track
	health := d.healthOf(backend)
	if state.load != nil && tracked.repeats == 0 && !tracked.timed {
		tracked.timed = true
		state.load.answersTo(key.Address()).Time(now.Sub(tracked.sentAt))
	}
	if !tracked.counted {
		tracked.counted = true
		d.link.answered(tracked.repeats > 0, now)
	}
	if tracked.repeats == 0 {
		d.zones.answered(backend, tracked.sentAt)
	}
	if health != nil && tracked.repeats == 0 && tracked.sentAt.After(health.promptSentAt) {
		health.promptSentAt = tracked.sentAt
	}
}

// healthOf returns the judgement of a back end, or nil when there are too
// many.
func (d *FailureDetector) healthOf(backend *Backend) *backendHealth {
	health := d.health[backend.Incarnation()]
	if health == nil && len(d.health) < maxBackendHealth {
		health = &backendHealth{unanswered: make(map[clientAddress]unansweredRequest)}
		d.health[backend.Incarnation()] = health
	}
	return health
}

// recordUnanswered lets a client speak against the back end of its flow.
func (d *FailureDetector) recordUnanswered(tracked *track, client clientAddress, now time.Time) {
	backend := tracked.backend
	health := d.healthOf(backend)
	if health == nil || !tracked.sentAt.After(health.activeAt) {
		return
	}
	othersAnswered := d.othersResponsive(health, tracked.sentAt) && d.link.doubt(tracked.repeats, tracked.sentAt, now) <= doubtOfWitness
	health.unanswered[client] = unansweredRequest{sentAt: tracked.sentAt, othersAnswered: othersAnswered, copies: tracked.repeats}
	if !othersAnswered || d.disabled.Has(mechanism.Verdicts) {
		return
	}
	d.reportUnanswered(backend, client, tracked.sentAt)
	enough := tracked.repeats >= retransmitsToFail || health.localClients() >= clientsToFail
	if enough && d.link.doubt(health.lostCopies(), tracked.sentAt, now) <= doubtOfVerdict {
		d.markFailed(health, backend, now)
		return
	}
	d.evaluate(health, backend, now)
}

// markFailed judges a back end dead for a while.
func (d *FailureDetector) markFailed(health *backendHealth, backend *Backend, now time.Time) {
	if !now.Before(health.failedUntil) {
		d.FailureCount.Add(1)
		d.failures = append(d.failures, health.failure(backend))
		if !d.disabled.Has(mechanism.IdleResets) {
			d.abandonFlows(backend, now)
		}
	}
	health.failedUntil = now.Add(failureTTL)
}

// abandonFlows puts the flows of a dead back end that are remembered on the list of
// those to reset, and forgets them.
func (d *FailureDetector) abandonFlows(backend *Backend, now time.Time) {
	for _, generation := range []map[flow.Key]*flowState{d.memory.current, d.memory.previous} {
		for key, state := range generation {
			tracked := &state.track
			if tracked.backend == nil || tracked.backend.Incarnation() != backend.Incarnation() {
				continue
			}
			d.abandoned = append(d.abandoned, Abandoned{Key: key, Backend: backend, Reason: ReasonDeadBackend, Acknowledged: tracked.expected})
			d.memory.forget(key, state, now)
		}
	}
	for _, idle := range d.memory.takeRested(backend.Incarnation()) {
		d.abandoned = append(d.abandoned, Abandoned{Key: idle.key, Backend: backend, Reason: ReasonDeadBackend, Acknowledged: idle.expected})
	}
}

// recordActivity takes that a back end lived at a time. Requests sent until then no
// longer speak against it, and a verdict that rests on them ends.
func (d *FailureDetector) recordActivity(backend *Backend, livedAt time.Time) {
	health := d.healthOf(backend)
	if health == nil {
		return
	}
	if !livedAt.After(health.activeAt) {
		return
	}
	health.activeAt = livedAt
	answers := false
	for client, each := range health.unanswered {
		if !each.sentAt.After(livedAt) {
			answers = answers || each.remote()
			delete(health.unanswered, client)
		}
	}
	if answers {
		d.reportActivity(backend, health)
	}
	if len(health.unanswered) == 0 {
		health.failedUntil = time.Time{}
	}
}

// Failed tells whether a back end counts as dead. The verdict on one whose entry
// is gone stays until something proves the opposite.
func (d *FailureDetector) Failed(backend *Backend, now time.Time) bool {
	health := d.health[backend.Incarnation()]
	if health == nil || health.failedUntil.IsZero() {
		return false
	}
	return backend.Gone || now.Before(health.failedUntil)
}
