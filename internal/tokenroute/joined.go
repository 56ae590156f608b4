package tokenroute

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// pendingTime is how long joined witnesses wait for an answer before they count: a
	// balancer that knows the back end to live is told of the first witness and
	// answers within that time, over three levels of balancers up and down.
	pendingTime = 200 * time.Millisecond
	// remoteTTL is how long a witness that another balancer told counts.
	remoteTTL = 3 * time.Second
	// maxObservations bounds the witnesses that wait to be told, and as many signs of
	// life: where many back ends fall silent at once, witnesses would crowd out what
	// speaks against them.
	maxObservations = 256
)

// pendingEvaluation is a back end whose joined witnesses wait for an answer.
type pendingEvaluation struct {
	backend *Backend
	until   time.Time
}

// Receive takes what another balancer saw. Statements on back ends that the table does
// not have, or has another start of, are of no concern.
func (f *Flows) Receive(observation evidence.Statement, table *Table, now time.Time) {
	if table == nil || f.off.Has(mechanism.JoinedEvidence) {
		return
	}
	backend := table.Backend(observation.About())
	if backend == nil {
		return
	}
	switch received := observation.(type) {
	case evidence.Witness:
		f.liveness.receive(received, backend, now)
	case evidence.SignOfLife:
		f.liveness.recordActivity(backend, received.At)
	}
}

// TakeObservations returns what this balancer has seen since the last call and others
// should know.
func (f *Flows) TakeObservations() []evidence.Statement {
	taken := f.liveness.observations
	f.liveness.observations = nil
	return taken
}

// EvaluatePending judges by the joined witnesses that nobody answered in time, and returns when
// the next ones will have waited long enough; the zero time is never.
func (f *Flows) EvaluatePending(now time.Time) time.Time { return f.liveness.evaluatePending(now) }

// HasPending tells whether joined witnesses wait for an answer.
func (f *Flows) HasPending() bool { return len(f.liveness.pending) > 0 }

// receive takes a witness that another balancer tells of. It counts for those that reach
// the back end by the way that the other one does: from the same zone, or where the
// other one stands in the zone of the back end. A zone that is cut off thus accuses
// the others to itself only.
func (d *FailureDetector) receive(request evidence.Witness, backend *Backend, now time.Time) {
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

// evaluate judges by the witnesses of all balancers, once they have waited for an answer.
// A verdict that stands is prolonged.
func (d *FailureDetector) evaluate(health *backendHealth, backend *Backend, now time.Time) {
	count, firstReceived := health.countUnanswered(now)
	switch {
	case d.disabled.Has(mechanism.JoinedEvidence) || firstReceived.IsZero() || count < clientsToFail:
	case now.Before(health.failedUntil) || now.Sub(firstReceived) >= pendingTime:
		d.markFailed(health, backend, now)
	default:
		d.deferEvaluation(backend, firstReceived.Add(pendingTime))
	}
}

// countUnanswered is how many witnesses count, and when another balancer first told of one; the
// zero time is never.
func (h *backendHealth) countUnanswered(now time.Time) (count int, firstReceived time.Time) {
	for _, each := range h.unanswered {
		if !each.othersAnswered || each.remote() && now.Sub(each.receivedAt) > remoteTTL {
			continue
		}
		count++
		if each.remote() && (firstReceived.IsZero() || each.receivedAt.Before(firstReceived)) {
			firstReceived = each.receivedAt
		}
	}
	return count, firstReceived
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

// reportUnanswered lets the other balancers know of a client whose request stayed unanswered.
func (d *FailureDetector) reportUnanswered(backend *Backend, client clientAddress, sentAt time.Time) {
	d.queueObservation(evidence.Witness{
		Backend: backend.Incarnation(),
		Client:  evidence.Client(binary.BigEndian.Uint32(client[:])),
		Zone:    d.zone,
		SentAt:  sentAt,
	})
}

// reportActivity lets the other balancers know that a back end lived later than they think.
func (d *FailureDetector) reportActivity(backend *Backend, health *backendHealth) {
	d.queueObservation(evidence.SignOfLife{Backend: backend.Incarnation(), At: health.activeAt})
}

// queueObservation lets the other balancers know of a statement, as far as there is room.
func (d *FailureDetector) queueObservation(observation evidence.Statement) {
	if d.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	_, isActivity := observation.(evidence.SignOfLife)
	queued := 0
	for _, each := range d.observations {
		if _, ok := each.(evidence.SignOfLife); ok == isActivity {
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
