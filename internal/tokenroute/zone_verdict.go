package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// zoneWitnesses is of how many different back ends of a pool in a zone requests must
	// have stayed unanswered, with nothing newer known of any of the zone, for the zone to
	// count as dead from here. Where a third of them is dead, it is by chance that no
	// other one was asked: one in 3^8, 6,561.
	zoneWitnesses = 8
	// zoneConfirms is of how many of them balancers of the accused zone, or of two others,
	// must have seen it. A link between two zones that is full or loses packets is seen
	// from one.
	zoneConfirms = 3
	// zoneHold is how long these witnesses wait for an answer: longer than those against
	// one back end, since a balancer that is late with it would reset living flows.
	zoneHold = 300 * time.Millisecond
	// zoneSilentFor is for how long a back end of a silent zone must itself have left a
	// request unanswered for its flows to be reset: a slow one answers within 0.9 s, and
	// who sees that tells it within holdTime.
	zoneSilentFor = 900*time.Millisecond + holdTime
	// zonePrompts is how many back ends outside a zone must have answered promptly, at
	// least, before a balancer trusts its own link against the zone.
	zonePrompts = 3
)

// zoneVerdict says that a pool in a zone is dead or out of reach from here.
type zoneVerdict struct {
	// heldUntil is until when its witnesses wait for an answer.
	heldUntil time.Time
	// since is when the first unanswered request was sent, and until when the verdict
	// ends without a further witness.
	since, until time.Time
	// dead are the back ends that have themselves been silent for long enough.
	dead map[uint64]bool
	// nextAt is when the next one will have been; the zero time is never.
	nextAt time.Time
}

func (v *zoneVerdict) stands(now time.Time) bool { return now.Before(v.until) }

// DeadZone is a pool in a zone that was judged dead, for the log.
type DeadZone struct {
	Zone, Pool string
	// Backends are those with witnesses, and Flows how many were reset at once.
	Backends, Flows int
	SilentSince     time.Time
}

// judgesZones tells whether balancers judge a zone as a whole. Without what others tell
// nobody answers for its living back ends.
func (l *Liveness) judgesZones(zone string) bool {
	return zone != "" && !l.off.Has(mechanism.ZoneVerdicts) && !l.off.Has(mechanism.JoinedEvidence) && !l.off.Has(mechanism.Verdicts)
}

// weighZone judges a pool in a zone as a whole. Each back end for itself needs two clients
// that lose a request to it; where a zone dies or is cut off, a hundred of them do. New
// flows then avoid all of them, but only flows of those are reset that have themselves
// left a request unanswered, as others see too: another one may live and be idle, or
// behind a link that is full.
func (l *Liveness) weighZone(accused zonePool, now time.Time) {
	life, found := l.zoneLife(accused.zone), l.zoneEvidence(accused, now)
	if len(found.backends) < zoneWitnesses {
		return
	}
	if life.at.After(found.since) {
		l.tellZoneLife(life)
		return
	}
	if found.here < zoneWitnesses || found.confirmed < zoneConfirms {
		return
	}
	verdict := l.zoneVerdicts[accused]
	switch {
	case verdict == nil || !verdict.until.IsZero() && !verdict.stands(now):
		l.zoneVerdicts[accused] = &zoneVerdict{heldUntil: now.Add(zoneHold), since: found.since, dead: make(map[uint64]bool)}
	case now.Before(verdict.heldUntil):
	case verdict.stands(now):
		verdict.until = now.Add(verdictTime)
		l.abandonSilent(verdict, found, now)
	default:
		verdict.since, verdict.until = found.since, now.Add(verdictTime)
		flows := l.abandonSilent(verdict, found, now)
		l.ZoneVerdicts.Add(1)
		l.deadZones = append(l.deadZones, DeadZone{Zone: accused.zone, Pool: accused.pool, Backends: found.here,
			Flows: flows, SilentSince: found.since})
	}
}

// abandonSilent resets the flows of the back ends that have been silent for long enough,
// as far as they are remembered. It returns how many they are.
func (l *Liveness) abandonSilent(verdict *zoneVerdict, found zoneEvidence, now time.Time) int {
	before := len(l.abandoned)
	verdict.nextAt = time.Time{}
	for number, silent := range found.backends {
		due := silent.here.Add(zoneSilentFor)
		switch {
		case verdict.dead[number] || silent.here.IsZero() || !silent.confirmed():
		case now.Before(due):
			verdict.nextAt = earliest(verdict.nextAt, due)
		default:
			verdict.dead[number] = true
			if !l.off.Has(mechanism.IdleResets) {
				l.abandon(l.judged[number].backend, now)
			}
		}
	}
	return len(l.abandoned) - before
}

// settleZones judges the zones whose witnesses have waited for an answer, and back ends
// that have been silent for long enough. It returns when the next ones will have; the
// zero time is never.
func (l *Liveness) settleZones(now time.Time) time.Time {
	var next time.Time
	for accused := range l.zoneVerdicts {
		if due := l.settleZone(accused, now); !due.IsZero() {
			next = earliest(next, due)
		}
	}
	return next
}

func (l *Liveness) settleZone(accused zonePool, now time.Time) time.Time {
	verdict := l.zoneVerdicts[accused]
	if now.Before(verdict.heldUntil) {
		return verdict.heldUntil
	}
	if verdict.until.IsZero() {
		l.weighZone(accused, now)
	}
	if !verdict.stands(now) {
		delete(l.zoneVerdicts, accused)
		return time.Time{}
	}
	if !verdict.nextAt.IsZero() && !now.Before(verdict.nextAt) {
		l.abandonSilent(verdict, l.zoneEvidence(accused, now), now)
	}
	return verdict.nextAt
}

// holdsZones tells whether something waits for settleZones.
func (l *Liveness) holdsZones() bool {
	for _, verdict := range l.zoneVerdicts {
		if verdict.until.IsZero() || !verdict.nextAt.IsZero() {
			return true
		}
	}
	return false
}

// zoneDead tells whether the pool of a back end counts as dead in its zone: new flows
// avoid it. Silent tells whether the back end itself does.
func (l *Liveness) zoneDead(backend *Backend, now time.Time) (dead, silent bool) {
	verdict := l.zoneVerdicts[zonePoolOf(backend)]
	if verdict == nil || !verdict.stands(now) {
		return false, false
	}
	return true, verdict.dead[backend.Number]
}
