package tokenroute

import (
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// Thresholds and times of failure detection.
const (
	// minRetransmitInterval is the minimum time between two forwarded copies of a packet for the
	// later one to count as a retransmission. A stalled balancer that reads several copies at once
	// thus counts one.
	minRetransmitInterval = 150 * time.Millisecond
	// retransmitsToReport is how often a request must have been retransmitted before it counts as
	// unanswered. Clients retransmit after 200 and 600 ms, and a healthy back end answers the first
	// retransmission at the latest.
	retransmitsToReport = 2
	// retransmitsToFail is how often a request must have been retransmitted for a single client to
	// prove that the back end has failed. Where many balancers share the flows of many back ends,
	// each balancer sees at most one flow of a back end.
	retransmitsToFail = 3
	// clientsToFail is how many clients must have unanswered requests before a back end is detected
	// as failed. The removal of its directory entry doesn't count as one of them, since back ends
	// keep serving without an entry.
	clientsToFail = 2
	// minPromptRatio is how many back ends must have answered promptly for each other one that did
	// not, before a balancer trusts its own link.
	minPromptRatio = 2
	// failureTTL is how long a failure lasts without another unanswered request. It is well below
	// the time after a disruption in which resets of flows are tolerated.
	failureTTL = 2 * time.Second
	// maxBackendHealth bounds the number of back ends whose health is tracked at a time.
	maxBackendHealth = 32768
)

// FailureDetector detects failed back ends passively, from the packets of their clients. The
// balancer sees no answers, since back ends send them directly to the clients. But a client
// retransmits what was not acknowledged, and acknowledges what it received. If two
// clients have each retransmitted a request twice, or one client has done so three times, and no
// client has acknowledged anything newer, the back end has failed.
//
// A flow to a failed back end can only wait for its client's deadline, so resetting it at once is
// better for the client. When the failure is detected, the flows that passed recently are reset,
// including those with no request outstanding, so that the next request opens a flow to a live back
// end. After that, flows are reset when they send a request.
//
// A reset that hits a live back end breaks a flow, so uncertain evidence counts in favor of the
// back end: any acknowledgement newer than the unanswered requests discards them, copies that did
// not pass this balancer are not counted, and a failure expires by itself. A balancer whose own link is congested loses the requests to all
// its back ends. So no failure is detected unless other back ends answered promptly in the
// meantime, at least minPromptRatio times as many as did not, and unless answers after a
// retransmission are so rare that packet loss on the link is an unlikely explanation (see linkMonitor).
//
// Balancers exchange unanswered requests (observations.go), so that each learns of a failed back
// end before it loses a request of its own to it.
//
// A FailureDetector is used by a single traffic goroutine.
type FailureDetector struct {
	disabled mechanism.Set
	// zone is the zone of this balancer.
	zone        string
	flowCache   *flowCache
	zoneMonitor *zoneMonitor
	health      map[incarnation.ID]*backendHealth
	// link estimates the packet loss on the balancer's own link from the answers.
	link      linkMonitor
	abandoned []AbandonedFlow
	failures  []BackendFailure
	// observations holds what has yet to be sent to the other balancers.
	observations []evidence.Observation
	// pending lists the back ends whose combined reports wait for contradicting activity.
	pending []pendingEvaluation
	// FailureCount counts the detected failures of back ends.
	FailureCount atomic.Uint64
}

// newFailureDetector returns a detector for the back ends of the flows in a flow cache, without any
// evidence.
func newFailureDetector(cache *flowCache, zones *zoneMonitor, disabled mechanism.Set) *FailureDetector {
	return &FailureDetector{disabled: disabled, flowCache: cache, zoneMonitor: zones, health: make(map[incarnation.ID]*backendHealth)}
}

// Observe handles a packet of an open flow to a back end and reports whether the back end counts as
// failed for it. It returns true only for packets with data, since the others ask for nothing. The
// state of the flow may be nil for packets without data.
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

// observeAcknowledgement handles a packet without data. The client sends such a packet as soon as
// it has received something.
func (d *FailureDetector) observeAcknowledgement(packet Packet, state *flowState, backend *Backend, now time.Time) {
	d.recordActivity(backend, now)
	if state == nil || state.tracker.backend == nil {
		return
	}
	state.tracker.lastAck = packet.Acknowledged
	if state.tracker.acknowledged != packet.Acknowledged {
		d.recordAnswer(packet.Key, state, backend, now)
	}
}

// observeData tracks the oldest unanswered packet of a flow. A packet that acknowledges more than
// the one before it proves that the back end was alive at least when that earlier packet passed.
func (d *FailureDetector) observeData(packet Packet, state *flowState, backend *Backend, now time.Time) {
	tracked := &state.tracker
	switch {
	case tracked.backend == nil:
		d.trackRequest(packet, state, backend, now)
	case tracked.acknowledged != packet.Acknowledged:
		d.recordActivity(backend, tracked.passedAt)
		d.recordAnswer(packet.Key, state, backend, now)
		state.countResponseLength(packet.Key.Address(), packet.Acknowledged)
		d.trackRequest(packet, state, backend, now)
	case tracked.sequence == packet.Sequence && tracked.backend.Incarnation() != backend.Incarnation():
		// A request that an earlier start left unanswered is no evidence against this one.
		d.trackRequest(packet, state, backend, now)
	case tracked.sequence == packet.Sequence:
		tracked.backend, tracked.passedAt = backend, now
		state.resumeRequest(now)
		d.recordRetransmission(tracked, packet, now)
		if tracked.retransmissions > 0 {
			state.markUndelivered(now)
		}
	default:
		tracked.passedAt = now
		state.markSending(now)
	}
}

// trackRequest starts tracking a new request of a flow in place of the previous one.
func (d *FailureDetector) trackRequest(packet Packet, state *flowState, backend *Backend, now time.Time) {
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

// recordRetransmission counts a copy of an unanswered packet. After enough copies, the request
// counts as unanswered.
func (d *FailureDetector) recordRetransmission(tracked *requestTracker, packet Packet, now time.Time) {
	if now.Sub(tracked.retransmittedAt) < minRetransmitInterval {
		return
	}
	tracked.retransmissions++
	tracked.retransmittedAt = now
	d.zoneMonitor.recordMiss(tracked.backend, tracked.sentAt, now)
	if health := d.healthOf(tracked.backend); health != nil {
		health.retransmittedAt = now
	}
	if tracked.retransmissions >= retransmitsToReport {
		d.recordUnanswered(tracked, clientAddress(packet.Key.Source), now)
	}
}

// recordAnswer records that the oldest request of a flow was answered.
func (d *FailureDetector) recordAnswer(key flow.Key, state *flowState, backend *Backend, now time.Time) {
	state.setInFlight(false, now)
	tracked := &state.tracker
	health := d.healthOf(backend)
	if state.load != nil && tracked.retransmissions == 0 && !tracked.ackCounted {
		tracked.ackCounted = true
		state.load.responseCounts(key.Address()).AddTime(now.Sub(tracked.sentAt))
	}
	if !tracked.responseCounted {
		tracked.responseCounted = true
		d.link.countResponse(tracked.retransmissions > 0, now)
	}
	if tracked.retransmissions == 0 {
		d.zoneMonitor.recordResponse(backend, tracked.sentAt)
	}
	if health != nil && tracked.retransmissions == 0 && tracked.sentAt.After(health.promptSentAt) {
		health.promptSentAt = tracked.sentAt
	}
}

// healthOf returns the health record of a back end, or nil if too many are tracked.
func (d *FailureDetector) healthOf(backend *Backend) *backendHealth {
	health := d.health[backend.Incarnation()]
	if health == nil && len(d.health) < maxBackendHealth {
		health = &backendHealth{unanswered: make(map[clientAddress]unansweredRequest)}
		d.health[backend.Incarnation()] = health
	}
	return health
}

// recordUnanswered records an unanswered request of a client and marks the back end as failed if
// there is enough evidence.
func (d *FailureDetector) recordUnanswered(tracked *requestTracker, client clientAddress, now time.Time) {
	backend := tracked.backend
	health := d.healthOf(backend)
	if health == nil || !tracked.sentAt.After(health.activeAt) {
		return
	}
	othersAnswered := d.othersResponsive(health, tracked.sentAt) && d.link.expectedLinkLoss(tracked.retransmissions, tracked.sentAt, now) <= maxLinkLossForReport
	health.unanswered[client] = unansweredRequest{sentAt: tracked.sentAt, othersAnswered: othersAnswered, retransmissions: tracked.retransmissions}
	if !othersAnswered || d.disabled.Has(mechanism.Verdicts) {
		return
	}
	d.reportUnanswered(backend, client, tracked.sentAt)
	enough := tracked.retransmissions >= retransmitsToFail || health.localClients() >= clientsToFail
	if enough && d.link.expectedLinkLoss(health.lostRetransmissions(), tracked.sentAt, now) <= maxLinkLossForFailure {
		d.markFailed(health, backend, now)
		return
	}
	d.evaluate(health, backend, now)
}

// markFailed marks a back end as failed for failureTTL.
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

// abandonFlows adds the cached flows of a failed back end to the flows to be reset, and removes
// them from the cache.
func (d *FailureDetector) abandonFlows(backend *Backend, now time.Time) {
	for _, generation := range []map[flow.Key]*flowState{d.flowCache.current, d.flowCache.previous} {
		for key, state := range generation {
			tracked := &state.tracker
			if tracked.backend == nil || tracked.backend.Incarnation() != backend.Incarnation() || state.numbers.Ended() {
				continue
			}
			d.abandoned = append(d.abandoned, AbandonedFlow{Key: key, Backend: backend, Reason: ReasonDeadBackend,
				Sequence: state.numbers.Next(), Acknowledged: tracked.lastAck})
			d.flowCache.remove(key, state, now)
		}
	}
	for _, idle := range d.flowCache.takeIdle(backend.Incarnation()) {
		d.abandoned = append(d.abandoned, AbandonedFlow{Key: idle.key, Backend: backend, Reason: ReasonDeadBackend,
			Sequence: idle.numbers.Next(), Acknowledged: idle.lastAck})
	}
}

// recordActivity records that a back end was alive at the given time. Requests sent up to then no
// longer count as unanswered, and a failure that is based on them alone ends.
func (d *FailureDetector) recordActivity(backend *Backend, livedAt time.Time) {
	health := d.healthOf(backend)
	if health == nil {
		return
	}
	if !livedAt.After(health.activeAt) {
		return
	}
	health.activeAt = livedAt
	contradictsRemote := false
	for client, each := range health.unanswered {
		if !each.sentAt.After(livedAt) {
			contradictsRemote = contradictsRemote || each.remote()
			delete(health.unanswered, client)
		}
	}
	if contradictsRemote {
		d.reportActivity(backend, health)
	}
	if len(health.unanswered) == 0 {
		health.failedUntil = time.Time{}
	}
}

// Failed reports whether a back end counts as failed. A failure expires even if the directory entry
// is gone, since a back end that leaves may serve without an entry, and a request that is reset cannot
// show that it lives.
func (d *FailureDetector) Failed(backend *Backend, now time.Time) bool {
	health := d.health[backend.Incarnation()]
	return health != nil && now.Before(health.failedUntil)
}
