package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// zoneWitnesses is of how many different back ends of a zone requests must have
	// stayed unanswered, with nothing newer known of any of the zone, for all of them
	// to count as dead from here. Where a third of them is dead, it is by chance that no
	// other one was asked: one in 3^8, 6,561.
	zoneWitnesses = 8
	// zoneHold is how long these witnesses wait for an answer: longer than those against
	// one back end, since a balancer that is late with it would reset living flows.
	zoneHold = 300 * time.Millisecond
	// zonePrompts is how many back ends outside a zone must have answered promptly, at
	// least, before a balancer trusts its own link against the zone.
	zonePrompts = 3
)

// zoneVerdict says that a zone is dead or out of reach from here.
type zoneVerdict struct {
	// heldUntil is until when its witnesses wait for an answer.
	heldUntil time.Time
	// since is when the first unanswered request was sent, and until when the verdict
	// ends without a further witness.
	since, until time.Time
}

// zoneLife is when a zone is known to have lived.
type zoneLife struct {
	// at is the latest time at which one of its back ends sent something that passed
	// here, and backend is that one.
	at      time.Time
	backend *Backend
	// toldAt is the latest such time that all balancers were told.
	toldAt time.Time
}

// DeadZone is a zone whose back ends were all judged dead at once, for the log.
type DeadZone struct {
	Zone string
	// Backends are those with witnesses, and Flows how many were reset.
	Backends, Flows int
	SilentSince     time.Time
}

// weighZone judges a zone as a whole. Each back end for itself needs two clients that
// lose a request to it; where a zone dies or is cut off, a hundred of them do. The
// flows that wait for nothing yet are reset too, so that their clients' next requests
// go elsewhere within their aim. The zone may live behind a cut: its back ends then
// can't be reached from here, and clients whose flows it holds lose no more than the
// wait for their deadline.
func (l *Liveness) weighZone(zone string, now time.Time) {
	if zone == "" || l.off.Has(mechanism.ZoneVerdicts) {
		return
	}
	life := l.zoneLife(zone)
	count, since := l.zoneEvidence(zone, life.toldAt, now)
	if count < zoneWitnesses {
		return
	}
	if life.at.After(since) {
		// The others may know of nobody there that lives.
		life.toldAt = life.at
		l.state(evidence.SignOfLife{Backend: evidence.Backend(life.backend.Number), At: life.at})
		return
	}
	verdict := l.zoneVerdicts[zone]
	switch {
	case verdict == nil:
		l.zoneVerdicts[zone] = &zoneVerdict{heldUntil: now.Add(zoneHold), since: since}
	case now.Before(verdict.heldUntil):
	case now.Before(verdict.until):
		verdict.until = now.Add(verdictTime)
	default:
		verdict.since, verdict.until = since, now.Add(verdictTime)
		flows := l.abandonZone(zone, now)
		l.ZoneVerdicts.Add(1)
		l.deadZones = append(l.deadZones, DeadZone{Zone: zone, Backends: count, Flows: flows, SilentSince: since})
	}
}

// zoneLife returns when a zone is known to have lived.
func (l *Liveness) zoneLife(zone string) *zoneLife {
	known := l.zoneLives[zone]
	if known == nil {
		known = &zoneLife{}
		l.zoneLives[zone] = known
	}
	return known
}

// zoneEvidence counts the back ends of a zone whose requests stayed unanswered that were
// sent later than a time, and when the first of these was.
func (l *Liveness) zoneEvidence(zone string, livedAt, now time.Time) (count int, since time.Time) {
	for _, judged := range l.judged {
		if judged.zone != zone {
			continue
		}
		sentAt, found := judged.firstWitness(livedAt, now)
		if !found {
			continue
		}
		count++
		if since.IsZero() || sentAt.Before(since) {
			since = sentAt
		}
	}
	return count, since
}

// firstWitness is when the first request was sent that stayed unanswered and counts,
// of those sent after a time.
func (j *judgement) firstWitness(after, now time.Time) (sentAt time.Time, found bool) {
	for _, each := range j.witnesses {
		if !each.prompt || now.Sub(each.sentAt) > toldTime || !each.sentAt.After(after) {
			continue
		}
		if !found || each.sentAt.Before(sentAt) {
			sentAt, found = each.sentAt, true
		}
	}
	return sentAt, found
}

// settleZones judges the zones whose witnesses have waited for an answer, and returns
// when the next ones will have; the zero time is never.
func (l *Liveness) settleZones(now time.Time) time.Time {
	var next time.Time
	for zone, verdict := range l.zoneVerdicts {
		switch {
		case now.Before(verdict.heldUntil):
			if next.IsZero() || verdict.heldUntil.Before(next) {
				next = verdict.heldUntil
			}
		case verdict.until.IsZero():
			l.weighZone(zone, now)
			if verdict.until.IsZero() {
				delete(l.zoneVerdicts, zone)
			}
		case !now.Before(verdict.until):
			delete(l.zoneVerdicts, zone)
		}
	}
	return next
}

// holdsZones tells whether witnesses against a zone wait for an answer.
func (l *Liveness) holdsZones() bool {
	for _, verdict := range l.zoneVerdicts {
		if verdict.until.IsZero() {
			return true
		}
	}
	return false
}

// deadZone tells whether a back end's zone counts as dead.
func (l *Liveness) deadZone(backend *Backend, now time.Time) bool {
	verdict := l.zoneVerdicts[backend.Zone]
	return verdict != nil && now.Before(verdict.until)
}

// proveZone takes that a back end of a zone lived at a time, which ends a verdict on the
// whole of it. What another balancer tells, all are told.
func (l *Liveness) proveZone(backend *Backend, livedAt time.Time, told bool) {
	life := l.zoneLife(backend.Zone)
	switch {
	case told:
		life.toldAt = latest(life.toldAt, livedAt)
	case livedAt.After(life.at):
		life.at, life.backend = livedAt, backend
	}
	if verdict := l.zoneVerdicts[backend.Zone]; verdict != nil && livedAt.After(verdict.since) {
		delete(l.zoneVerdicts, backend.Zone)
	}
}

// abandonZone puts the flows of a zone's back ends that are remembered on the list of
// those to reset, and forgets them. It returns how many they are.
func (l *Liveness) abandonZone(zone string, now time.Time) int {
	if l.off.Has(mechanism.IdleResets) {
		return 0
	}
	before := len(l.abandoned)
	for _, backend := range l.usedOf(zone) {
		l.abandon(backend, now)
	}
	return len(l.abandoned) - before
}

// usedOf returns the back ends of a zone that have flows here.
func (l *Liveness) usedOf(zone string) map[uint64]*Backend {
	used := make(map[uint64]*Backend)
	for _, generation := range []map[flow.Key]*flowState{l.memory.current, l.memory.previous} {
		for _, state := range generation {
			if backend := state.track.backend; backend != nil && backend.Zone == zone {
				used[backend.Number] = backend
			}
		}
	}
	for number := range l.memory.rested {
		if l.table == nil {
			break
		}
		if backend := l.table.Backend(number); backend != nil && backend.Zone == zone {
			used[number] = backend
		}
	}
	return used
}

func latest(times ...time.Time) time.Time {
	found := times[0]
	for _, each := range times[1:] {
		if each.After(found) {
			found = each
		}
	}
	return found
}
