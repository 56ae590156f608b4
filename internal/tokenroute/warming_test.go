package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

func inZone(change *apiv1.DirectoryChange, zone string) *apiv1.DirectoryChange {
	change.GetBackend().Zone = zone
	return change
}

// twoZones has two back ends in each of two zones.
func twoZones() *directory.Directory {
	return newDirectory(routes(1, route(1, share("lending", 1))),
		inZone(backend(2, 11, "lending"), "maadi"), inZone(backend(2, 12, "lending"), "maadi"),
		inZone(backend(2, 21, "lending"), "giza"), inZone(backend(2, 22, "lending"), "giza"))
}

func evacuationOptions(zones ...string) Options {
	made := defaultOptions()
	made.Evacuated = make(map[string]uint64)
	for _, zone := range zones {
		made.Evacuated[zone] = 100
	}
	return made
}

func TestEvacuatedZonesGetNoNewFlows(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	table := NewTable(twoZones(), evacuationOptions("maadi"))
	for port := range 200 {
		decision := flows.Decide(table, firstPacket(port), start)
		require.Equal(t, Forward, decision.Verdict)
		require.Equal(t, "giza", decision.Backend.Zone)
	}
	decision := flows.Decide(table, laterPacket(1000, TokenOf(11)), start)
	require.Equal(t, Forward, decision.Verdict, "open flows go on")
	require.Equal(t, "maadi", decision.Backend.Zone)
}

// A first packet that is repeated after the order goes elsewhere, however often it
// was repeated before.
func TestRetransmittedFirstPacketsFollowEvacuation(t *testing.T) {
	before, after := NewTable(twoZones(), defaultOptions()), NewTable(twoZones(), evacuationOptions("maadi"))
	for copies := 1; copies <= maxAttempts; copies++ {
		flows := NewFlows(mechanism.Set{})
		for port := range 50 {
			for copy := range copies {
				flows.Decide(before, firstPacket(port), at(200*copy))
			}
			decision := flows.Decide(after, firstPacket(port), at(200*copies-190))
			require.Equal(t, Forward, decision.Verdict)
			require.Equal(t, "giza", decision.Backend.Zone)
		}
	}
}

func TestNewFlowsAreRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	table := NewTable(twoZones(), evacuationOptions("maadi", "giza"))
	decision := flows.Decide(table, firstPacket(1), start)
	require.Equal(t, Refuse, decision.Verdict)
	require.Equal(t, ReasonEvacuated, decision.Reason)
	require.Equal(t, uint64(100), table.Evacuated["giza"])
	require.Equal(t, Forward, flows.Decide(table, laterPacket(2, TokenOf(21)), start).Verdict, "open flows go on")
	empty := NewTable(newDirectory(routes(1, route(1, share("lending", 1)))), evacuationOptions("maadi"))
	require.Equal(t, ReasonNoBackend, flows.Decide(empty, firstPacket(3), start).Reason)
}

// coldZone takes the back ends of a zone for cold until a time.
func coldZone(zone string, until time.Time, allowance int, rated bool) Options {
	made := defaultOptions()
	made.WarmupOf = func(backend directory.BackendEntry) Warmup {
		if backend.GetZone() != zone {
			return Warmup{}
		}
		return Warmup{Until: until, FlowsPerSecond: allowance, LimitKnown: rated}
	}
	return made
}

func TestColdBackendsAreAvoidedWhileOthersAreWarm(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	table := NewTable(twoZones(), coldZone("maadi", at(2000), 5, false))
	for port := range 100 {
		require.Equal(t, "giza", flows.Decide(table, firstPacket(port), at(port)).Backend.Zone)
	}
	warm := 0
	for port := range 100 {
		if flows.Decide(table, firstPacket(1000+port), at(2000+port)).Backend.Zone == "maadi" {
			warm++
		}
	}
	require.Greater(t, warm, 50, "warm, and less in use than the others")
}

// Where it is known what cold back ends bear, they take it, and nothing beyond.
func TestColdBackendsTakeUpToTheirLimit(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	table := NewTable(twoZones(), coldZone("maadi", at(60_000), 3, true))
	sent := make(map[uint64][]int)
	for port := range 3000 {
		chosen := flows.Decide(table, firstPacket(port), at(port)).Backend
		if chosen.Zone == "maadi" {
			sent[chosen.Number] = append(sent[chosen.Number], port)
		}
	}
	require.Len(t, sent, 2)
	for _, times := range sent {
		require.GreaterOrEqual(t, len(times), 6)
		for place := 3; place < len(times); place++ {
			require.GreaterOrEqual(t, times[place]-times[place-3], 1000)
		}
	}
}

func TestFlowsAreRefusedWhenOnlyColdBackendsAreAtTheirLimit(t *testing.T) {
	for _, rated := range []bool{true, false} {
		flows := NewFlows(mechanism.Set{})
		changes := newDirectory(routes(1, route(1, share("lending", 1))), inZone(backend(2, 11, "lending"), "maadi"))
		table := NewTable(changes, coldZone("maadi", at(5000), 1, rated))
		require.Equal(t, Forward, flows.Decide(table, firstPacket(1), start).Verdict)
		decision := flows.Decide(table, firstPacket(2), at(10))
		require.Equal(t, Refuse, decision.Verdict, "it bears no more; the client is told at once")
		require.Equal(t, ReasonCold, decision.Reason)
		require.Equal(t, Forward, flows.Decide(table, firstPacket(3), at(1500)).Verdict)
		require.Equal(t, Forward, flows.Decide(table, firstPacket(4), at(5000)).Verdict, "warm")
	}
}
