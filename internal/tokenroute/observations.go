package tokenroute

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// pendingTime is how long combined reports of unanswered requests wait for contradicting
	// activity before they count. A balancer that knows the back end to be alive learns of the
	// first report and replies within that time, over three levels of balancers up and down.
	pendingTime = 200 * time.Millisecond
	// remoteTTL is how long after it was sent an unanswered request reported by another balancer
	// counts, and how long a failure that is based on it lasts. A report that was late on its way
	// thus does not outlive the time after a disruption in which resets of flows are tolerated.
	remoteTTL = 3 * time.Second
	// maxObservations bounds the queued unanswered requests and, separately, the queued activity.
	// When many back ends fall silent at once, reports of unanswered requests would otherwise crowd
	// out the activity that contradicts them.
	maxObservations = 256
)

// pendingEvaluation is a back end whose combined reports wait for contradicting activity.
type pendingEvaluation struct {
	backend *Backend
	until   time.Time
}

// Receive handles an observation of another balancer. It ignores observations of back ends that the
// table doesn't have, or of which it has another start.
func (f *Flows) Receive(observation evidence.Observation, table *Table, now time.Time) {
	if table == nil || f.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	backend := table.Backend(observation.BackendID())
	if backend == nil {
		return
	}
	switch received := observation.(type) {
	case evidence.UnansweredRequest:
		f.failureDetector.receive(received, backend, now)
	case evidence.Activity:
		f.failureDetector.recordActivity(backend, received.At)
	}
}

// TakeObservations returns and removes the observations to be sent to other balancers.
func (f *Flows) TakeObservations() []evidence.Observation {
	taken := f.failureDetector.observations
	f.failureDetector.observations = nil
	return taken
}

// EvaluatePending evaluates the combined reports that nobody has contradicted in time. It returns
// when the next ones will have waited long enough, or the zero time if none are waiting.
func (f *Flows) EvaluatePending(now time.Time) time.Time {
	return f.failureDetector.evaluatePending(now)
}

// HasPending reports whether combined reports wait for contradicting activity.
func (f *Flows) HasPending() bool { return len(f.failureDetector.pending) > 0 }

// receive handles an unanswered request that another balancer reports. The report counts only if
// this balancer reaches the back end over the same path as the other one: if both are in the same
// zone, or if the other one is in the zone of the back end. Reports from an isolated zone about
// back ends in other zones therefore count only in the isolated zone.
func (d *FailureDetector) receive(request evidence.UnansweredRequest, backend *Backend, now time.Time) {
	if request.Zone != d.zone && request.Zone != backend.Zone {
		return
	}
	health := d.healthOf(backend)
	if health == nil || now.Sub(request.SentAt) > remoteTTL {
		return
	}
	if !request.SentAt.After(health.activeAt) {
		d.reportActivity(backend, health)
		return
	}
	client := clientAddressOf(request.Client)
	existing, found := health.unanswered[client]
	if found && !existing.remote() && existing.othersAnswered {
		return
	}
	if !found || !existing.remote() {
		existing.receivedAt = now
	}
	existing.sentAt, existing.othersAnswered = request.SentAt, true
	health.unanswered[client] = existing
	d.evaluate(health, backend, now)
}

// evaluate decides by the unanswered requests of all balancers whether a back end has failed, once
// the reports have waited for contradicting activity. If the back end already counts as failed, its
// failure is prolonged.
func (d *FailureDetector) evaluate(health *backendHealth, backend *Backend, now time.Time) {
	count, firstReceived, lastSent := health.countUnanswered(now)
	switch {
	case d.disabled.Has(mechanism.JoinedEvidence) || firstReceived.IsZero() || count < clientsToFail:
	case now.Before(health.failedUntil) || now.Sub(firstReceived) >= pendingTime:
		before := health.failedUntil
		d.markFailed(health, backend, now)
		if until := lastSent.Add(remoteTTL); until.Before(health.failedUntil) {
			health.failedUntil = maxTime(before, until)
		}
	default:
		d.deferEvaluation(backend, firstReceived.Add(pendingTime))
	}
}

// countUnanswered returns how many unanswered requests count, when the first of those from
// another balancer was received, and when the last of all was sent. The first time is zero if all
// of them are local.
func (h *backendHealth) countUnanswered(now time.Time) (count int, firstReceived, lastSent time.Time) {
	for _, each := range h.unanswered {
		if !each.othersAnswered || each.remote() && now.Sub(each.sentAt) > remoteTTL {
			continue
		}
		count++
		lastSent = maxTime(lastSent, each.sentAt)
		if each.remote() && (firstReceived.IsZero() || each.receivedAt.Before(firstReceived)) {
			firstReceived = each.receivedAt
		}
	}
	return count, firstReceived, lastSent
}

func (d *FailureDetector) deferEvaluation(backend *Backend, until time.Time) {
	isPending := func(each pendingEvaluation) bool { return each.backend.Incarnation() == backend.Incarnation() }
	if !slices.ContainsFunc(d.pending, isPending) {
		d.pending = append(d.pending, pendingEvaluation{backend: backend, until: until})
	}
}

func (d *FailureDetector) evaluatePending(now time.Time) time.Time {
	pending := d.pending
	d.pending = nil
	var next time.Time
	for _, each := range pending {
		if !now.Before(each.until) {
			if health := d.health[each.backend.Incarnation()]; health != nil {
				d.evaluate(health, each.backend, now)
			}
			continue
		}
		d.pending = append(d.pending, each)
		if next.IsZero() || each.until.Before(next) {
			next = each.until
		}
	}
	return next
}

// reportUnanswered queues an observation that a client's request was not answered.
func (d *FailureDetector) reportUnanswered(backend *Backend, client clientAddress, sentAt time.Time) {
	d.queueObservation(evidence.UnansweredRequest{
		Backend: backend.Incarnation(),
		Client:  evidence.Client(binary.BigEndian.Uint32(client[:])),
		Zone:    d.zone,
		SentAt:  sentAt,
	})
}

// reportActivity queues an observation of when the back end was last known to be alive, for
// balancers that have only older knowledge.
func (d *FailureDetector) reportActivity(backend *Backend, health *backendHealth) {
	d.queueObservation(evidence.Activity{Backend: backend.Incarnation(), At: health.activeAt})
}

// queueObservation queues an observation for the other balancers, and drops it if the queue is
// full.
func (d *FailureDetector) queueObservation(observation evidence.Observation) {
	if d.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	_, isActivity := observation.(evidence.Activity)
	queued := 0
	for _, each := range d.observations {
		if _, ok := each.(evidence.Activity); ok == isActivity {
			queued++
		}
	}
	if queued < maxObservations {
		d.observations = append(d.observations, observation)
	}
}

func clientAddressOf(client evidence.Client) clientAddress {
	var address clientAddress
	binary.BigEndian.PutUint32(address[:], uint32(client))
	return address
}
