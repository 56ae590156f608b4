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
func (f *Flows) Receive(statement evidence.Observation, table *Table, now time.Time) {
	if table == nil || f.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	backend := table.Backend(statement.BackendID())
	if backend == nil {
		return
	}
	switch heard := statement.(type) {
	case evidence.UnansweredRequest:
		f.failureDetector.receive(heard, backend, now)
	case evidence.Activity:
		f.failureDetector.recordActivity(backend, heard.At)
	}
}

// TakeObservations returns what this balancer has seen since the last call and others
// should know.
func (f *Flows) TakeObservations() []evidence.Observation {
	taken := f.failureDetector.observations
	f.failureDetector.observations = nil
	return taken
}

// EvaluatePending judges by the joined witnesses that nobody answered in time, and returns when
// the next ones will have waited long enough; the zero time is never.
func (f *Flows) EvaluatePending(now time.Time) time.Time {
	return f.failureDetector.evaluatePending(now)
}

// HasPending tells whether joined witnesses wait for an answer.
func (f *Flows) HasPending() bool { return len(f.failureDetector.pending) > 0 }

// receive takes a witness that another balancer tells of. It counts for those that reach
// the back end by the way that the other one does: from the same zone, or where the
// other one stands in the zone of the back end. A zone that is cut off thus accuses
// the others to itself only.
func (l *FailureDetector) receive(heard evidence.UnansweredRequest, backend *Backend, now time.Time) {
	if heard.Zone != l.zone && heard.Zone != backend.Zone {
		return
	}
	judged := l.healthOf(backend)
	if judged == nil || now.Sub(heard.SentAt) > remoteTTL {
		return
	}
	if !heard.SentAt.After(judged.activeAt) {
		l.reportActivity(backend, judged)
		return
	}
	client := clientAddressOf(heard.Client)
	known, found := judged.unanswered[client]
	if found && !known.remote() && known.othersAnswered {
		return
	}
	if !found || !known.remote() {
		known.receivedAt = now
	}
	known.sentAt, known.othersAnswered = heard.SentAt, true
	judged.unanswered[client] = known
	l.evaluate(judged, backend, now)
}

// evaluate judges by the witnesses of all balancers, once they have waited for an answer.
// A verdict that stands is prolonged.
func (l *FailureDetector) evaluate(judged *backendHealth, backend *Backend, now time.Time) {
	count, firstHeard := judged.countUnanswered(now)
	switch {
	case l.disabled.Has(mechanism.JoinedEvidence) || firstHeard.IsZero() || count < clientsToFail:
	case now.Before(judged.failedUntil) || now.Sub(firstHeard) >= pendingTime:
		l.markFailed(judged, backend, now)
	default:
		l.deferEvaluation(backend, firstHeard.Add(pendingTime))
	}
}

// countUnanswered is how many witnesses count, and when another balancer first told of one; the
// zero time is never.
func (j *backendHealth) countUnanswered(now time.Time) (count int, firstHeard time.Time) {
	for _, each := range j.unanswered {
		if !each.othersAnswered || each.remote() && now.Sub(each.receivedAt) > remoteTTL {
			continue
		}
		count++
		if each.remote() && (firstHeard.IsZero() || each.receivedAt.Before(firstHeard)) {
			firstHeard = each.receivedAt
		}
	}
	return count, firstHeard
}

func (l *FailureDetector) deferEvaluation(backend *Backend, until time.Time) {
	waits := func(each pendingEvaluation) bool { return each.backend.Incarnation() == backend.Incarnation() }
	if !slices.ContainsFunc(l.pending, waits) {
		l.pending = append(l.pending, pendingEvaluation{backend: backend, until: until})
	}
}

func (l *FailureDetector) evaluatePending(now time.Time) time.Time {
	waiting := l.pending
	l.pending = nil
	var next time.Time
	for _, each := range waiting {
		if !now.Before(each.until) {
			if judged := l.health[each.backend.Incarnation()]; judged != nil {
				l.evaluate(judged, each.backend, now)
			}
			continue
		}
		l.pending = append(l.pending, each)
		if next.IsZero() || each.until.Before(next) {
			next = each.until
		}
	}
	return next
}

// reportUnanswered lets the other balancers know of a client whose request stayed unanswered.
func (l *FailureDetector) reportUnanswered(backend *Backend, client clientAddress, sentAt time.Time) {
	l.queueObservation(evidence.UnansweredRequest{
		Backend: backend.Incarnation(),
		Client:  evidence.Client(binary.BigEndian.Uint32(client[:])),
		Zone:    l.zone,
		SentAt:  sentAt,
	})
}

// reportActivity lets the other balancers know that a back end lived later than they think.
func (l *FailureDetector) reportActivity(backend *Backend, judged *backendHealth) {
	l.queueObservation(evidence.Activity{Backend: backend.Incarnation(), At: judged.activeAt})
}

// queueObservation lets the other balancers know of a statement, as far as there is room.
func (l *FailureDetector) queueObservation(statement evidence.Observation) {
	if l.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	_, life := statement.(evidence.Activity)
	waiting := 0
	for _, each := range l.observations {
		if _, is := each.(evidence.Activity); is == life {
			waiting++
		}
	}
	if waiting < maxObservations {
		l.observations = append(l.observations, statement)
	}
}

func clientAddressOf(client evidence.Client) clientAddress {
	var address clientAddress
	binary.BigEndian.PutUint32(address[:], uint32(client))
	return address
}
