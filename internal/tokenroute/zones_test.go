package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// twoLargeZones has back ends 1 to 20 in maadi and 101 to 120 in giza.
func twoLargeZones() *Table {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	for number := range uint64(20) {
		changes = append(changes, inZone(backend(2, number+1, "lending"), "maadi"), inZone(backend(2, number+101, "lending"), "giza"))
	}
	return NewTable(newDirectory(changes...), defaultOptions())
}

// flowOpener opens flows from new ports, one a pause, whose back ends answer if they do.
type flowOpener struct {
	flows    *Flows
	table    *Table
	responds func(*Backend) bool
	port     uint16
	now      int
	// pause is in milliseconds, 10 unless a test says otherwise.
	pause int
	// lost counts first packets to back ends that did not answer, by zone.
	lost map[string]int
}

func newOpener(off mechanism.Set, answers func(*Backend) bool) *flowOpener {
	return &flowOpener{flows: NewFlows(off).WithZone("maadi"), table: twoLargeZones(), responds: answers, pause: 10, lost: make(map[string]int)}
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

// A zone cut off has many back ends; each for itself would lose a flow before it is
// avoided.
func TestSilentZoneIsAvoided(t *testing.T) {
	off, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	alone, together := newOpener(off, inMaadi), newOpener(mechanism.Set{}, inMaadi)
	alone.open(90)
	together.open(90)
	require.Greater(t, alone.lost["giza"], 19, "each back end for itself")
	require.LessOrEqual(t, together.lost["giza"], 15, "those of 150 ms, until the first was due")
	require.EqualValues(t, 1, together.flows.SilentZoneCount())
	silent := together.flows.TakeSilentZones()
	require.Len(t, silent, 1)
	require.Equal(t, "giza", silent[0].Zone)
}

// One flow a while tries a silent zone, and its answer opens it for all.
func TestSilentZoneIsProbedAndRecovers(t *testing.T) {
	back := false
	fleet := newOpener(mechanism.Set{}, func(b *Backend) bool { return back || inMaadi(b) })
	fleet.open(90)
	before := fleet.lost["giza"]
	fleet.open(400)
	require.LessOrEqual(t, fleet.lost["giza"]-before, 5, "one a second")
	require.Greater(t, fleet.lost["giza"], before, "it is tried")
	back = true
	fleet.open(150)
	fleet.responds = func(*Backend) bool { return true }
	require.False(t, fleet.flows.zoneMonitor.avoids("giza", at(fleet.now)))
}

// A balancer whose own link is full, or an outage of everything, finds all zones
// silent: new flows go where they went.
func TestAllZonesSilentRefusesNothing(t *testing.T) {
	fleet := newOpener(mechanism.Set{}, func(*Backend) bool { return false })
	fleet.open(300)
	require.Greater(t, fleet.lost["maadi"], 50)
	require.Greater(t, fleet.lost["giza"], 50)
}

// Where all zones are silent, back ends that answered nothing themselves are still told
// from those that did: here nineteen of twenty are dead, in one zone, and the first packet
// to the one that lives would else be as rare as to each dead one.
func TestAllZonesSilentStillPrefersLiveBackends(t *testing.T) {
	off, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	lost := func(off mechanism.Set) int {
		fleet := newOpener(off, func(b *Backend) bool { return b.Number == 7 })
		changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
		for number := range uint64(20) {
			changes = append(changes, inZone(backend(2, number+1, "lending"), "maadi"))
		}
		fleet.table = NewTable(newDirectory(changes...), defaultOptions())
		fleet.pause = 100
		fleet.open(1000)
		return fleet.lost["maadi"]
	}
	alone, together := lost(off), lost(mechanism.Set{})
	t.Logf("first packets lost of 1,000: each back end for itself %d, with silent zones %d", alone, together)
	require.LessOrEqual(t, together, alone+alone/10)
}

// Back ends of a zone that answers otherwise are full or dead, each for itself.
func TestZoneWithSomeResponsesIsNotSilent(t *testing.T) {
	fleet := newOpener(mechanism.Set{}, func(b *Backend) bool { return inMaadi(b) || b.Number%2 == 0 })
	fleet.open(500)
	require.Zero(t, fleet.flows.SilentZoneCount())
}

func TestZoneMissesExpire(t *testing.T) {
	zones := newZoneMonitor(mechanism.Set{})
	miss := func(number uint64, now time.Time) {
		zones.recordMiss(&Backend{Number: number, Zone: "giza"}, now, now)
	}
	for number := range uint64(6) {
		miss(number, at(int(number)*int(zoneMissAge/time.Millisecond)/2))
	}
	require.Zero(t, zones.silentCount.Load(), "two within the time")
	miss(9, at(5*int(zoneMissAge/time.Millisecond)/2+1))
	miss(9, at(5*int(zoneMissAge/time.Millisecond)/2+2))
	require.EqualValues(t, 1, zones.silentCount.Load())
	zones.recordResponse(&Backend{Number: 9, Zone: "giza"}, at(1))
	require.True(t, zones.stateOf("giza").isSilent(), "what was sent before says nothing")
}

// A zone of which some answer and others do not goes back and forth; the log is told of it
// once in ten seconds. Switched off, nothing is counted or told.
func TestSilentZoneLoggingIsRateLimited(t *testing.T) {
	flap := func(off mechanism.Set) (told, times int, counted uint64) {
		zones := newZoneMonitor(off)
		for now := 0; now < 120_000; now += 100 {
			backend := &Backend{Number: uint64(now / 100 % 7), Zone: "giza"}
			zones.recordMiss(backend, at(now), at(now+1))
			if now%1000 == 0 {
				zones.recordResponse(backend, at(now))
			}
		}
		for _, each := range zones.silentZones {
			times += each.Times
		}
		return len(zones.silentZones), times, zones.silentCount.Load()
	}
	told, times, counted := flap(mechanism.Set{})
	require.Greater(t, counted, uint64(50))
	require.LessOrEqual(t, told, 12)
	require.GreaterOrEqual(t, told, 10)
	require.Greater(t, times, 50)
	off, err := mechanism.Parse([]string{string(mechanism.SilentZones)})
	require.NoError(t, err)
	told, _, counted = flap(off)
	require.Zero(t, told)
	require.Zero(t, counted)
}
