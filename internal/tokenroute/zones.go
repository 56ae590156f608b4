package tokenroute

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// silentZoneMisses is how many back ends of a zone must have left something unanswered,
	// with nothing sent since answered by any of the zone, for the zone to count as
	// silent.
	silentZoneMisses = 3
	// zoneAvoidTime is for how long new flows avoid a silent zone until one tries it again.
	zoneAvoidTime = time.Second
	// zoneMissAge is how long something unanswered speaks against its zone.
	zoneMissAge = 4 * time.Second
	// zoneLogInterval is how often the log is told of a zone: one that loses some packets goes
	// back and forth, 25 times in 120 s at few flows a second.
	zoneLogInterval = 10 * time.Second
)

// zoneMonitor tells zones out of reach from here by what their back ends leave unanswered:
// first packets, and requests that are repeated. It decides only where new flows go: a
// zone behind a cut and a zone that died look the same from here. What it costs when it is
// wrong is load: the other zones get the new flows of a zone that lives, for a second at a
// time. A balancer whose own link is full finds all zones silent; within a silent zone
// those that answered nothing themselves come last (Distrusted), so that the living are
// found as if no zone were.
// Each back end for itself is avoided after one flow was lost to it (Flows), and a cut
// zone has a hundred of them.
type zoneMonitor struct {
	disabled mechanism.Set
	zones    map[string]*zoneState
	// lastAvoidUntil is when the last zone is avoided. A new flow asks for each back end.
	lastAvoidUntil time.Time
	silentZones    []SilentZone
	// silentCount counts how often a zone was found silent.
	silentCount atomic.Uint64
}

// zoneState is what a zone left unanswered.
type zoneState struct {
	// respondedAt is when the latest packet was sent that a back end of the zone
	// answered without a repetition.
	respondedAt time.Time
	// misses are different back ends, the earliest first, each with the latest packet
	// that it left unanswered.
	misses     []zoneMiss
	avoidUntil time.Time
	// loggedAt is when the log was last told, and untold how often it was found silent since.
	loggedAt time.Time
	unlogged int
}

type zoneMiss struct {
	backend incarnation.ID
	sentAt  time.Time
}

// SilentZone is a zone that new flows avoid from now on, for the log.
type SilentZone struct {
	Zone string
	// Since is when the first packet was sent that was left unanswered.
	Since time.Time
	// Times is how often it was found silent since it was last told.
	Times int
}

func newZoneMonitor(off mechanism.Set) *zoneMonitor {
	return &zoneMonitor{disabled: off, zones: make(map[string]*zoneState)}
}

func (z *zoneMonitor) stateOf(zone string) *zoneState {
	known := z.zones[zone]
	if known == nil {
		known = &zoneState{}
		z.zones[zone] = known
	}
	return known
}

// recordResponse takes that a back end answered at once what was sent at a time.
func (z *zoneMonitor) recordResponse(backend *Backend, sentAt time.Time) {
	known := z.stateOf(backend.Zone)
	if !sentAt.After(known.respondedAt) {
		return
	}
	known.respondedAt = sentAt
	known.dropMisses(sentAt)
}

// recordOverdue takes that a back end left unanswered what was sent at a time.
func (z *zoneMonitor) recordMiss(backend *Backend, sentAt, now time.Time) {
	if z.disabled.Has(mechanism.SilentZones) {
		return
	}
	known := z.stateOf(backend.Zone)
	if !sentAt.After(known.respondedAt) {
		return
	}
	silent := known.isSilent()
	known.dropMisses(now.Add(-zoneMissAge))
	known.addMiss(zoneMiss{backend: backend.Incarnation(), sentAt: sentAt})
	if !known.isSilent() || now.Before(known.avoidUntil) {
		return
	}
	known.avoidUntil = now.Add(zoneAvoidTime)
	z.lastAvoidUntil = maxTime(z.lastAvoidUntil, known.avoidUntil)
	if !silent {
		z.silentCount.Add(1)
		z.report(backend.Zone, known, now)
	}
}

// report lets the log know that a zone was found silent, now and then.
func (z *zoneMonitor) report(zone string, known *zoneState, now time.Time) {
	known.unlogged++
	if !known.loggedAt.IsZero() && now.Sub(known.loggedAt) < zoneLogInterval {
		return
	}
	z.silentZones = append(z.silentZones, SilentZone{Zone: zone, Since: known.misses[0].sentAt, Times: known.unlogged})
	known.loggedAt, known.unlogged = now, 0
}

// avoids tells whether new flows avoid a zone.
func (z *zoneMonitor) avoids(zone string, now time.Time) bool {
	if !now.Before(z.lastAvoidUntil) {
		return false
	}
	known := z.zones[zone]
	return known != nil && known.isSilent() && now.Before(known.avoidUntil)
}

// recordProbe takes that a new flow goes to a zone: where it was silent, the flow tries it
// for the others.
func (z *zoneMonitor) recordProbe(zone string, now time.Time) {
	if known := z.zones[zone]; known != nil && known.isSilent() && !now.Before(known.avoidUntil) {
		known.avoidUntil = now.Add(ResponseTimeout)
		z.lastAvoidUntil = maxTime(z.lastAvoidUntil, known.avoidUntil)
	}
}

func (s *zoneState) isSilent() bool { return len(s.misses) >= silentZoneMisses }

// addMiss notes a miss; of a back end only the latest one counts.
func (s *zoneState) addMiss(miss zoneMiss) {
	s.misses = slices.DeleteFunc(s.misses, func(each zoneMiss) bool { return each.backend == miss.backend })
	s.misses = append(s.misses, miss)
	if len(s.misses) > silentZoneMisses {
		s.misses = slices.Delete(s.misses, 0, 1)
	}
}

// dropMisses drops the misses of what was sent up to a time.
func (s *zoneState) dropMisses(until time.Time) {
	s.misses = slices.DeleteFunc(s.misses, func(each zoneMiss) bool { return !each.sentAt.After(until) })
}

func maxTime(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
