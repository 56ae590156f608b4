package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// twoLargeZones returns a table with back ends 1 to 20 in maadi and 101 to 120 in giza.
func twoLargeZones() *Table {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	for number := range uint64(20) {
		changes = append(changes, inZone(backend(2, number+1, "lending"), "maadi"), inZone(backend(2, number+101, "lending"), "giza"))
	}
	return NewTable(newDirectory(changes...), defaultOptions())
}

// flowOpener opens flows from new ports, one per pause, and answers for those back ends that
// respond.
type flowOpener struct {
	flows    *Flows
	table    *Table
	responds func(*Backend) bool
	port     uint16
	now      int
	// pause is in milliseconds, 10 unless a test sets it.
	pause int
	// lost counts first packets to back ends that did not answer, by zone.
	lost map[string]int
}

func newOpener(disabled mechanism.Set, responds func(*Backend) bool) *flowOpener {
	return &flowOpener{flows: NewFlows(disabled).WithZone("maadi"), table: twoLargeZones(), responds: responds, pause: 10, lost: make(map[string]int)}
}

func (o *flowOpener) open(count int) {
	for range count {
		o.now += o.pause
		o.port++
		packet := firstPacket(1)
		packet.Key.SourcePort = o.port
		chosen := o.flows.Decide(o.table, packet, at(o.now)).Backend
		if !o.responds(chosen) {
			o.lost[chosen.Zone]++
			continue
		}
		packet.First, packet.Token, packet.Acknowledged, packet.Length = false, Token(chosen.Number), 1, 1
		o.flows.Decide(o.table, packet, at(o.now+1))
		packet.Acknowledged, packet.Length = 300, 0
		o.flows.Decide(o.table, packet, at(o.now+2))
	}
}

func inMaadi(b *Backend) bool { return b.Zone == "maadi" }

// A partitioned zone has many back ends. If each were avoided only for its own silence, every one of
// them would lose a flow first.
func TestSilentZoneIsAvoided(t *testing.T) {
	silentZonesDisabled, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	disabled, enabled := newOpener(silentZonesDisabled, inMaadi), newOpener(mechanism.Set{}, inMaadi)
	disabled.open(90)
	enabled.open(90)
	require.Greater(t, disabled.lost["giza"], 19, "each back end is avoided only for its own silence")
	require.LessOrEqual(t, enabled.lost["giza"], 15, "only those within 150 ms, before the first answer was due")
	require.EqualValues(t, 1, enabled.flows.SilentZoneCount())
	silent := enabled.flows.TakeSilentZones()
	require.Len(t, silent, 1)
	require.Equal(t, "giza", silent[0].Zone)
}

// From time to time one flow probes a silent zone, and its answer reopens the zone for all.
func TestSilentZoneIsProbedAndRecovers(t *testing.T) {
	recovered := false
	opener := newOpener(mechanism.Set{}, func(b *Backend) bool { return recovered || inMaadi(b) })
	opener.open(90)
	before := opener.lost["giza"]
	opener.open(400)
	require.LessOrEqual(t, opener.lost["giza"]-before, 5, "one probe a second")
	require.Greater(t, opener.lost["giza"], before, "the zone is probed")
	recovered = true
	opener.open(150)
	opener.responds = func(*Backend) bool { return true }
	require.False(t, opener.flows.zoneMonitor.avoids("giza", at(opener.now)))
}

// A balancer whose own link is congested, or during a complete outage, finds all zones silent. New
// flows then go where they went before.
func TestAllZonesSilentRefusesNothing(t *testing.T) {
	opener := newOpener(mechanism.Set{}, func(*Backend) bool { return false })
	opener.open(300)
	require.Greater(t, opener.lost["maadi"], 50)
	require.Greater(t, opener.lost["giza"], 50)
}

// Where all zones are silent, back ends that have not answered themselves are still distinguished
// from those that have. Here nineteen of twenty are dead, in one zone. Without the distinction a
// first packet would reach the live one as rarely as each dead one.
func TestAllZonesSilentStillPrefersLiveBackends(t *testing.T) {
	silentZonesDisabled, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	lost := func(set mechanism.Set) int {
		opener := newOpener(set, func(b *Backend) bool { return b.Number == 7 })
		changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
		for number := range uint64(20) {
			changes = append(changes, inZone(backend(2, number+1, "lending"), "maadi"))
		}
		opener.table = NewTable(newDirectory(changes...), defaultOptions())
		opener.pause = 100
		opener.open(1000)
		return opener.lost["maadi"]
	}
	disabled, enabled := lost(silentZonesDisabled), lost(mechanism.Set{})
	t.Logf("first packets lost of 1,000: each back end by itself %d, with silent zones %d", disabled, enabled)
	require.LessOrEqual(t, enabled, disabled+disabled/10)
}

// If other back ends of a zone answer, those that do not are full or dead individually, which is no
// reason to avoid the zone.
func TestZoneWithSomeResponsesIsNotSilent(t *testing.T) {
	opener := newOpener(mechanism.Set{}, func(b *Backend) bool { return inMaadi(b) || b.Number%2 == 0 })
	opener.open(500)
	require.Zero(t, opener.flows.SilentZoneCount())
}

func TestZoneMissesExpire(t *testing.T) {
	monitor := newZoneMonitor(mechanism.Set{})
	miss := func(number uint64, now time.Time) {
		monitor.recordMiss(&Backend{Number: number, Zone: "giza"}, now, now)
	}
	for number := range uint64(6) {
		miss(number, at(int(number)*int(zoneMissAge/time.Millisecond)/2))
	}
	require.Zero(t, monitor.silentCount.Load(), "only two misses within zoneMissAge")
	miss(9, at(5*int(zoneMissAge/time.Millisecond)/2+1))
	miss(9, at(5*int(zoneMissAge/time.Millisecond)/2+2))
	require.EqualValues(t, 1, monitor.silentCount.Load())
	monitor.recordResponse(&Backend{Number: 9, Zone: "giza"}, at(1))
	require.True(t, monitor.stateOf("giza").isSilent(), "an answer to an earlier packet does not end the silence")
}

// A zone of which some back ends answer and others do not alternates between silent and not, and is
// logged once in ten seconds. With the mechanism disabled, nothing is counted or logged.
func TestSilentZoneLoggingIsRateLimited(t *testing.T) {
	alternate := func(disabled mechanism.Set) (logged, times int, counted uint64) {
		monitor := newZoneMonitor(disabled)
		for now := 0; now < 120_000; now += 100 {
			backend := &Backend{Number: uint64(now / 100 % 7), Zone: "giza"}
			monitor.recordMiss(backend, at(now), at(now+1))
			if now%1000 == 0 {
				monitor.recordResponse(backend, at(now))
			}
		}
		for _, each := range monitor.silentZones {
			times += each.Times
		}
		return len(monitor.silentZones), times, monitor.silentCount.Load()
	}
	logged, times, counted := alternate(mechanism.Set{})
	require.Greater(t, counted, uint64(50))
	require.LessOrEqual(t, logged, 12)
	require.GreaterOrEqual(t, logged, 10)
	require.Greater(t, times, 50)
	silentZonesDisabled, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	logged, _, counted = alternate(silentZonesDisabled)
	require.Zero(t, logged)
	require.Zero(t, counted)
}
