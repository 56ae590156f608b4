package tokenroute

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// holdTime is how long joined witnesses wait for an answer before they count: a
	// balancer that knows the back end to live is told of the first witness and
	// answers within that time, over three levels of balancers up and down.
	holdTime = 200 * time.Millisecond
	// toldTime is how long a witness that another balancer told counts.
	toldTime = 3 * time.Second
	// statementsLimit bounds the witnesses that wait to be told, and as many signs of
	// life: where many back ends fall silent at once, witnesses would crowd out what
	// speaks against them.
	statementsLimit = 256
)

// held is a back end whose joined witnesses wait for an answer.
type held struct {
	backend *Backend
	until   time.Time
}

// Hear takes what another balancer saw. Statements on back ends that the table does
// not have, or has another start of, are of no concern.
func (f *Flows) Hear(statement evidence.Observation, table *Table, now time.Time) {
	if table == nil || f.disabled.Has(mechanism.JoinedEvidence) {
		return
	}
	backend := table.Backend(statement.BackendID())
	if backend == nil {
		return
	}
	switch heard := statement.(type) {
	case evidence.UnansweredRequest:
		f.liveness.hear(heard, backend, now)
	case evidence.Activity:
		f.liveness.prove(backend, heard.At)
	}
}

// TakeStatements returns what this balancer has seen since the last call and others
// should know.
func (f *Flows) TakeStatements() []evidence.Observation {
	taken := f.liveness.statements
	f.liveness.statements = nil
	return taken
}

// Settle judges by the joined witnesses that nobody answered in time, and returns when
// the next ones will have waited long enough; the zero time is never.
func (f *Flows) Settle(now time.Time) time.Time { return f.liveness.settle(now) }

// Holds tells whether joined witnesses wait for an answer.
func (f *Flows) Holds() bool { return len(f.liveness.held) > 0 }

// hear takes a witness that another balancer tells of. It counts for those that reach
// the back end by the way that the other one does: from the same zone, or where the
// other one stands in the zone of the back end. A zone that is cut off thus accuses
// the others to itself only.
func (l *Liveness) hear(heard evidence.UnansweredRequest, backend *Backend, now time.Time) {
	if heard.Zone != l.zone && heard.Zone != backend.Zone {
		return
	}
	judged := l.judgementOf(backend)
	if judged == nil || now.Sub(heard.SentAt) > toldTime {
		return
	}
	if !heard.SentAt.After(judged.provenAt) {
		l.answer(backend, judged)
		return
	}
	client := addressOf(heard.Client)
	known, found := judged.witnesses[client]
	if found && !known.told() && known.prompt {
		return
	}
	if !found || !known.told() {
		known.heardAt = now
	}
	known.sentAt, known.prompt = heard.SentAt, true
	judged.witnesses[client] = known
	l.weigh(judged, backend, now)
}

// weigh judges by the witnesses of all balancers, once they have waited for an answer.
// A verdict that stands is prolonged.
func (l *Liveness) weigh(judged *judgement, backend *Backend, now time.Time) {
	count, firstHeard := judged.joined(now)
	switch {
	case l.off.Has(mechanism.JoinedEvidence) || firstHeard.IsZero() || count < witnessesNeeded:
	case now.Before(judged.deadUntil) || now.Sub(firstHeard) >= holdTime:
		l.condemn(judged, backend, now)
	default:
		l.hold(backend, firstHeard.Add(holdTime))
	}
}

// joined is how many witnesses count, and when another balancer first told of one; the
// zero time is never.
func (j *judgement) joined(now time.Time) (count int, firstHeard time.Time) {
	for _, each := range j.witnesses {
		if !each.prompt || each.told() && now.Sub(each.heardAt) > toldTime {
			continue
		}
		count++
		if each.told() && (firstHeard.IsZero() || each.heardAt.Before(firstHeard)) {
			firstHeard = each.heardAt
		}
	}
	return count, firstHeard
}

func (l *Liveness) hold(backend *Backend, until time.Time) {
	waits := func(each held) bool { return each.backend.Incarnation() == backend.Incarnation() }
	if !slices.ContainsFunc(l.held, waits) {
		l.held = append(l.held, held{backend: backend, until: until})
	}
}

func (l *Liveness) settle(now time.Time) time.Time {
	waiting := l.held
	l.held = nil
	var next time.Time
	for _, each := range waiting {
		if !now.Before(each.until) {
			if judged := l.judged[each.backend.Incarnation()]; judged != nil {
				l.weigh(judged, each.backend, now)
			}
			continue
		}
		l.held = append(l.held, each)
		if next.IsZero() || each.until.Before(next) {
			next = each.until
		}
	}
	return next
}

// testify lets the other balancers know of a client whose request stayed unanswered.
func (l *Liveness) testify(backend *Backend, client clientAddress, sentAt time.Time) {
	l.state(evidence.UnansweredRequest{
		Backend: backend.Incarnation(),
		Client:  evidence.Client(binary.BigEndian.Uint32(client[:])),
		Zone:    l.zone,
		SentAt:  sentAt,
	})
}

// answer lets the other balancers know that a back end lived later than they think.
func (l *Liveness) answer(backend *Backend, judged *judgement) {
	l.state(evidence.Activity{Backend: backend.Incarnation(), At: judged.provenAt})
}

// state lets the other balancers know of a statement, as far as there is room.
func (l *Liveness) state(statement evidence.Observation) {
	if l.off.Has(mechanism.JoinedEvidence) {
		return
	}
	_, life := statement.(evidence.Activity)
	waiting := 0
	for _, each := range l.statements {
		if _, is := each.(evidence.Activity); is == life {
			waiting++
		}
	}
	if waiting < statementsLimit {
		l.statements = append(l.statements, statement)
	}
}

func addressOf(client evidence.Client) clientAddress {
	var address clientAddress
	binary.BigEndian.PutUint32(address[:], uint32(client))
	return address
}
