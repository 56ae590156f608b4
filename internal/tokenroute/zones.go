package tokenroute

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	// silentZoneMisses is the number of back ends that must have left a packet unanswered for their
	// zone to count as silent, provided that no back end of the zone has answered anything sent
	// since.
	silentZoneMisses = 3
	// zoneAvoidTime is how long new flows avoid a silent zone until one of them probes it.
	zoneAvoidTime = time.Second
	// zoneMissAge is how long an unanswered packet counts against its zone.
	zoneMissAge = 4 * time.Second
	// zoneLogInterval is the minimum time between two log messages about a zone. A zone that loses
	// some packets alternates between silent and not silent, 25 times in 120 s at a few flows a
	// second.
	zoneLogInterval = 10 * time.Second
)

// zoneMonitor detects zones that can't be reached from here by what their back ends leave
// unanswered: first packets, and requests that are retransmitted. It only affects where new flows
// go, since a zone behind a network partition and a zone that has failed look the same from here. A
// wrong decision costs load: the other zones get the new flows of a live zone, for a second at a
// time.
//
// A balancer whose own link is congested finds all zones silent. Within a silent zone the back ends
// that have not answered themselves come last (Suspected), so that live ones are found as if no
// zone were silent.
//
// Without zoneMonitor, each back end is avoided only after one flow was lost to it (see backoff),
// and a partitioned zone may have a hundred back ends.
type zoneMonitor struct {
	disabled mechanism.Set
	zones    map[string]*zoneState
	// lastAvoidUntil is until when any zone is avoided. It saves the lookup that a new flow would
	// do for each back end.
	lastAvoidUntil time.Time
	silentZones    []SilentZone
	// silentCount counts how often a zone became silent.
	silentCount atomic.Uint64
}

// zoneState is what a zone has left unanswered.
type zoneState struct {
	// respondedAt is when the latest packet was sent that a back end of the zone answered without a
	// retransmission.
	respondedAt time.Time
	// misses are of different back ends, the earliest first, each with the latest packet that the
	// back end left unanswered.
	misses     []zoneMiss
	avoidUntil time.Time
	// loggedAt is when the zone was last logged, and unlogged how often it became silent since.
	loggedAt time.Time
	unlogged int
}

type zoneMiss struct {
	backend incarnation.ID
	sentAt  time.Time
}

// SilentZone is a zone that new flows avoid from now on, for logging.
type SilentZone struct {
	Zone string
	// Since is when the first unanswered packet was sent.
	Since time.Time
	// Times is how often the zone became silent since it was last logged.
	Times int
}

func newZoneMonitor(disabled mechanism.Set) *zoneMonitor {
	return &zoneMonitor{disabled: disabled, zones: make(map[string]*zoneState)}
}

func (m *zoneMonitor) stateOf(zone string) *zoneState {
	state := m.zones[zone]
	if state == nil {
		state = &zoneState{}
		m.zones[zone] = state
	}
	return state
}

// recordResponse records that a back end answered what was sent at a time without a retransmission.
func (m *zoneMonitor) recordResponse(backend *Backend, sentAt time.Time) {
	state := m.stateOf(backend.Zone)
	if !sentAt.After(state.respondedAt) {
		return
	}
	state.respondedAt = sentAt
	state.dropMisses(sentAt)
}

// recordMiss records that a back end left unanswered what was sent at a time.
func (m *zoneMonitor) recordMiss(backend *Backend, sentAt, now time.Time) {
	if m.disabled.Has(mechanism.SilentZones) {
		return
	}
	state := m.stateOf(backend.Zone)
	if !sentAt.After(state.respondedAt) {
		return
	}
	wasSilent := state.isSilent()
	state.dropMisses(now.Add(-zoneMissAge))
	state.addMiss(zoneMiss{backend: backend.Incarnation(), sentAt: sentAt})
	if !state.isSilent() || now.Before(state.avoidUntil) {
		return
	}
	state.avoidUntil = now.Add(zoneAvoidTime)
	m.lastAvoidUntil = maxTime(m.lastAvoidUntil, state.avoidUntil)
	if !wasSilent {
		m.silentCount.Add(1)
		m.report(backend.Zone, state, now)
	}
}

// report adds a silent zone to those to be logged, unless it was logged within zoneLogInterval.
func (m *zoneMonitor) report(zone string, state *zoneState, now time.Time) {
	state.unlogged++
	if !state.loggedAt.IsZero() && now.Sub(state.loggedAt) < zoneLogInterval {
		return
	}
	m.silentZones = append(m.silentZones, SilentZone{Zone: zone, Since: state.misses[0].sentAt, Times: state.unlogged})
	state.loggedAt, state.unlogged = now, 0
}

// avoids reports whether new flows avoid a zone.
func (m *zoneMonitor) avoids(zone string, now time.Time) bool {
	if !now.Before(m.lastAvoidUntil) {
		return false
	}
	state := m.zones[zone]
	return state != nil && state.isSilent() && now.Before(state.avoidUntil)
}

// recordProbe records that a new flow is sent to a zone. If the zone is silent, this flow probes it
// and others keep avoiding it meanwhile.
func (m *zoneMonitor) recordProbe(zone string, now time.Time) {
	if state := m.zones[zone]; state != nil && state.isSilent() && !now.Before(state.avoidUntil) {
		state.avoidUntil = now.Add(ResponseTimeout)
		m.lastAvoidUntil = maxTime(m.lastAvoidUntil, state.avoidUntil)
	}
}

func (s *zoneState) isSilent() bool { return len(s.misses) >= silentZoneMisses }

// addMiss adds a miss; only the latest one of each back end counts.
func (s *zoneState) addMiss(miss zoneMiss) {
	s.misses = slices.DeleteFunc(s.misses, func(each zoneMiss) bool { return each.backend == miss.backend })
	s.misses = append(s.misses, miss)
	if len(s.misses) > silentZoneMisses {
		s.misses = slices.Delete(s.misses, 0, 1)
	}
}

// dropMisses removes the misses of packets that were sent up to a time.
func (s *zoneState) dropMisses(until time.Time) {
	s.misses = slices.DeleteFunc(s.misses, func(each zoneMiss) bool { return !each.sentAt.After(until) })
}

func maxTime(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
