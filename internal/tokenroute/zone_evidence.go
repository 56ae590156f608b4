package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
)

// zonePool is the back ends of one pool in one zone. A service that has died there says
// nothing of another one.
type zonePool struct{ zone, pool string }

func zonePoolOf(backend *Backend) zonePool { return zonePool{zone: backend.Zone, pool: backend.Pool} }

// unanswered is when requests to one back end were sent that stayed unanswered: the first
// one that still counts, and the last.
type unanswered struct{ first, last time.Time }

// accusations are the back ends of a pool in a zone that left requests unanswered, by the
// zone of the balancers that saw it.
type accusations map[string]map[uint64]unanswered

// accuseZone notes a request that stayed unanswered, as seen by a balancer of a zone.
func (l *Liveness) accuseZone(backend *Backend, seenIn string, sentAt, now time.Time) {
	if !l.judgesZones(backend.Zone) || l.judgementOf(backend) == nil {
		return
	}
	accused := zonePoolOf(backend)
	if l.accusations[accused] == nil {
		l.accusations[accused] = make(accusations)
	}
	if l.accusations[accused][seenIn] == nil {
		l.accusations[accused][seenIn] = make(map[uint64]unanswered)
	}
	known := l.accusations[accused][seenIn][backend.Number]
	if !l.speaks(backend.Number, known.first, l.zoneLife(backend.Zone), now) || sentAt.Before(known.first) {
		known.first = sentAt
	}
	known.last = latest(known.last, sentAt)
	l.accusations[accused][seenIn][backend.Number] = known
	l.weighZone(accused, now)
}

// speaks tells whether a request sent to a back end at a time speaks against it: neither
// the back end nor its zone, as all know, have lived since.
func (l *Liveness) speaks(number uint64, sentAt time.Time, life *zoneLife, now time.Time) bool {
	judged := l.judged[number]
	return judged != nil && sentAt.After(judged.provenAt) && sentAt.After(life.toldAt) && now.Sub(sentAt) <= toldTime
}

// silentBackend is what speaks against one back end.
type silentBackend struct {
	// here is when the first request was sent that counts, by the ways that this balancer
	// has to the back end; the zero time is none.
	here time.Time
	// beside is set when balancers of its own zone saw it, and zones is of how many zones
	// balancers did.
	beside bool
	zones  int
}

// confirmed tells whether it is more than a link between two zones that is full.
func (s *silentBackend) confirmed() bool { return s.beside || s.zones >= 2 }

// zoneEvidence is what speaks against a pool in a zone.
type zoneEvidence struct {
	backends map[uint64]*silentBackend
	// here counts those that are silent by the ways that this balancer has to them.
	here int
	// confirmed counts those that others see silent too.
	confirmed int
	// since is when the first request was sent that counts.
	since time.Time
}

func (l *Liveness) zoneEvidence(accused zonePool, now time.Time) zoneEvidence {
	found, life := zoneEvidence{backends: make(map[uint64]*silentBackend)}, l.zoneLife(accused.zone)
	for seenIn, backends := range l.accusations[accused] {
		for number, known := range backends {
			sentAt := known.first
			if !l.speaks(number, sentAt, life, now) {
				sentAt = known.last
			}
			if l.speaks(number, sentAt, life, now) {
				found.add(number, sentAt, seenIn == accused.zone, seenIn == l.zone)
			}
		}
	}
	for _, silent := range found.backends {
		if !silent.here.IsZero() {
			found.here++
		}
		if silent.confirmed() {
			found.confirmed++
		}
	}
	return found
}

func (e *zoneEvidence) add(number uint64, sentAt time.Time, beside, here bool) {
	silent := e.backends[number]
	if silent == nil {
		silent = &silentBackend{}
		e.backends[number] = silent
	}
	silent.zones++
	silent.beside = silent.beside || beside
	if beside || here {
		silent.here = earliest(silent.here, sentAt)
	}
	e.since = earliest(e.since, sentAt)
}

// forgetAccusations drops those that are too old to count.
func (l *Liveness) forgetAccusations(now time.Time) {
	for accused, seen := range l.accusations {
		for zone, backends := range seen {
			for number, known := range backends {
				if now.Sub(known.last) > toldTime {
					delete(backends, number)
				}
			}
			if len(backends) == 0 {
				delete(seen, zone)
			}
		}
		if len(seen) == 0 {
			delete(l.accusations, accused)
		}
	}
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

// zoneLife returns when a zone is known to have lived.
func (l *Liveness) zoneLife(zone string) *zoneLife {
	known := l.zoneLives[zone]
	if known == nil {
		known = &zoneLife{}
		l.zoneLives[zone] = known
	}
	return known
}

// tellZoneLife lets all balancers know that a zone lives: they may know of nobody there
// that does. While there is no room for it, it is told with the next witness.
func (l *Liveness) tellZoneLife(life *zoneLife) {
	if l.state(evidence.SignOfLife{Backend: evidence.Backend(life.backend.Number), At: life.at}) {
		life.toldAt = life.at
	}
}

// proveZone takes that a back end of a zone lived at a time, which ends the verdicts on
// the zone. What another balancer tells, all are told.
func (l *Liveness) proveZone(backend *Backend, livedAt time.Time, told bool) {
	life := l.zoneLife(backend.Zone)
	switch {
	case told:
		life.toldAt = latest(life.toldAt, livedAt)
	case livedAt.After(life.at):
		life.at, life.backend = livedAt, backend
	}
	for accused, verdict := range l.zoneVerdicts {
		if accused.zone == backend.Zone && livedAt.After(verdict.since) {
			delete(l.zoneVerdicts, accused)
		}
	}
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

// earliest is the earlier of two times, of which the zero time is none.
func earliest(one, other time.Time) time.Time {
	if one.IsZero() || other.Before(one) {
		return other
	}
	return one
}
