package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

func lendingPoolZone(zone string) demand.PoolZone {
	return demand.PoolZone{Pool: "lending", Zone: demand.Zone(zone)}
}

// summarizeAt lets a summary be made at a time, one second after the last.
func summarizeAt(flows *Flows, now int) map[demand.PoolZone]demand.Load {
	flows.summarizedAt = at(now - 1000)
	return flows.Summarize(at(now)).Loads
}

// What is asked counts for the zone of the clients, wherever it goes; what waits and is
// answered for that of the back end.
func TestDemandIsCountedByPoolZone(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("giza")
	summarizeAt(flows, -1000)
	summarizeAt(flows, 0)
	opened := flows.Decide(table, Packet{Key: clientKey(1), First: true}, at(0)).Backend
	require.NotNil(t, opened)
	flows.Decide(table, Packet{Key: clientKey(1), First: true}, at(100))
	for n := range uint32(3) {
		flows.Decide(table, request(1, opened.Token, n+1), at(200+int(n)*100))
	}
	exchange(flows, table, 2, 2, 400)
	flows.CountRefusal("lending")
	places := summarizeAt(flows, 1000)
	all := demand.Load{}
	for _, load := range places {
		all = all.Plus(load)
	}
	require.Equal(t, 1.0, all.NewFlows, "a copy opens nothing")
	require.Equal(t, 3.0, all.Responses, "the third request still waits")
	require.Equal(t, 1.0, places[lendingPoolZone("giza")].Refusals)
	require.Equal(t, 5.0, places[lendingPoolZone("giza")].RequestRate, "three of one flow, one of another, and the refused one")
	require.Zero(t, places[lendingPoolZone("maadi")].RequestRate, "no client of that zone asks here")
	require.Positive(t, places[lendingPoolZone("maadi")].Responses)
	require.Zero(t, summarizeAt(flows, 2000)[lendingPoolZone("giza")].RequestRate, "each counts once")
}

// Back ends that are full reset flows, which clients don't tell: in bursts, 1,483
// requests seemed to wait for 40 slots, and 1,120 did four seconds after its end.
func TestUnansweredRequestsStopCountingAsInFlight(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(flows, table, 9, 2, 0)
	for client := range byte(8) {
		flows.Decide(table, request(client, 2, 1), at(1000))
	}
	flows.Decide(table, request(20, 2, 1), at(1000))
	summarizeAt(flows, 1400)
	require.Equal(t, 9, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	flows.Decide(table, request(20, 2, 1), at(1450)) // its client still waits
	summarizeAt(flows, 1700)
	require.Equal(t, 1, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	require.Equal(t, 2, flows.loads[incarnation.ID{Number: 2}].flows, "flows that were reset are none")
	flows.Decide(table, request(1, 2, 2), at(1800))
	require.Equal(t, 2, flows.loads[incarnation.ID{Number: 2}].inFlightRequests, "one that goes on counts again")
}

// The time on the way is no work of a back end.
func TestServiceTimeExcludesRoundTrip(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	summarizeAt(flows, 0)
	opened := flows.Decide(table, Packet{Key: clientKey(1), First: true}, at(0)).Backend
	for now, n := 30, uint32(1); now < 1000; now, n = now+100, n+1 {
		flows.Decide(table, request(1, opened.Token, n), at(now))
		flows.Decide(table, Packet{Key: clientKey(1), Token: opened.Token, Acknowledged: 5000*n + 1}, at(now+60))
	}
	place := summarizeAt(flows, 1030)[lendingPoolZone(opened.Zone)]
	require.InDelta(t, 0.6*0.5, place.InFlight, 0.03, "60 ms in 100, half of them on the way")
}

// A zone of a small weight takes its part, which the least used among the back ends of
// several zones would hardly ever leave it.
func TestByZoneSharesFollowWeights(t *testing.T) {
	known := twoZoneDirectory()
	weigh := func(zone string) uint32 {
		if zone == "giza" {
			return 200
		}
		return 1000
	}
	for _, byZone := range []bool{false, true} {
		made := defaultOptions()
		made.ZoneByWeight = func(pool string) bool { return byZone && pool == "lending" }
		made.WeightOf = func(entry directory.BackendEntry) uint32 { return weigh(entry.GetZone()) }
		table, flows := NewTable(known, made), NewFlows(mechanism.Set{}).WithZone("maadi")
		there := 0
		for port := range 2200 {
			now := at(port)
			packet := Packet{Key: key(1000 + port), First: true}
			chosen := flows.Decide(table, packet, now).Backend
			if chosen.Zone == "giza" {
				there++
			}
			packet.First, packet.Token, packet.Closing = false, chosen.Token, true
			flows.Decide(table, packet, now.Add(time.Millisecond))
		}
		if byZone {
			require.InDelta(t, 200, there, 45, "0.2 of 2.2 of 2200")
		} else {
			require.Less(t, there, 20)
		}
	}
}

// runSlowBackend lets 8 clients always wait for answers that take so long; those whose requests are
// not acknowledged repeat them as clients do. It returns what waits on average, how many
// answers were counted, and how often nothing seemed to wait at a summary.
func runSlowBackend(table *Table, flows *Flows, took, rounds int, acknowledged bool) (waiting, answers float64, idle int) {
	flows.Summarize(at(0))
	summaries := 0.0
	for now := 0; now <= rounds*took; now += 50 {
		round, since := now/took, now%took
		for client := range byte(8) {
			if since == 0 && round > 0 {
				flows.Decide(table, Packet{Key: clientKey(client), Token: 2, Acknowledged: 5000*uint32(round) + 1}, at(now))
			}
			switch since {
			case 200, 600, 1400, 3000:
				if acknowledged {
					continue
				}
				fallthrough
			case 0:
				flows.Decide(table, request(client, 2, uint32(round+1)), at(now))
			}
		}
		summary := flows.Summarize(at(now))
		if summary == nil || now == 0 {
			continue
		}
		summaries++
		for _, load := range summary.Loads {
			waiting += load.InFlight
			answers += load.Responses * summaryInterval.Seconds()
		}
		if flows.loads[incarnation.ID{Number: 2}].inFlightRequests == 0 {
			idle++
		}
	}
	return waiting / summaries, answers, idle
}

// Slow back ends are no idle ones. Clients that wait pause for up to 1.6 s, and their
// requests counted no longer after 0.5 s of that: none of 72 answers was counted, and half of
// the looks found nobody waiting. But requests that are repeated have reached nobody, and are
// no demand on the room of those that live.
func TestSlowRequestsStayInFlightWhileClientsRetransmit(t *testing.T) {
	for _, took := range []int{1300, 2500, 4000} {
		for _, quickBefore := range []bool{false, true} {
			table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
			if quickBefore {
				exchange(flows, table, 9, 2, -3000)
			}
			waiting, answers, idle := runSlowBackend(table, flows, took, 10, false)
			t.Logf("took %d ms, quick before %v: waiting %.2f, answers %.0f, idle %d", took, quickBefore, waiting, answers, idle)
			require.InDelta(t, 8*200/float64(took), waiting, 0.2, "up to the first repetition")
			require.InDelta(t, 80, answers, 2)
			require.Zero(t, idle, "in the choice of a back end they count on")
		}
	}
}

// Back ends that live acknowledge a request while it waits in their queue, so nothing is
// repeated, and it is a demand as long as it waits there.
func TestAcknowledgedRequestsCountAsDemandUntilAnswered(t *testing.T) {
	for _, took := range []int{400, 1300, 2500} {
		table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
		waiting, answers, _ := runSlowBackend(table, flows, took, 20, true)
		require.Greater(t, waiting, 7.0, "took %d ms", took)
		require.InDelta(t, 160, answers, 10)
	}
}

// A third of the back ends is dead: requests to them must not make the pool look short of
// room that the others have.
func TestRequestsToDeadBackendsAreNotDemand(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	for client := range byte(50) {
		for _, since := range []int{0, 200, 600} {
			flows.Decide(table, request(client, 2, 1), at(1000+since))
		}
	}
	flows.Summarize(at(1650))
	load := summarizeAt(flows, 2000)[lendingPoolZone("maadi")]
	require.Zero(t, load.InFlight)
}

// The answer to a request that was taken for lost tells how slow the back end is.
func TestLateResponsesUpdateResponseTime(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	flows.Decide(table, request(1, 2, 1), at(0))
	summarizeAt(flows, 1500)
	require.Zero(t, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	flows.Decide(table, Packet{Key: clientKey(1), Token: 2, Acknowledged: 5001}, at(2000))
	flows.Decide(table, Packet{Key: clientKey(1), Token: 2, Acknowledged: 6001}, at(2010))
	require.Equal(t, 1.0, summarizeAt(flows, 2500)[lendingPoolZone("maadi")].Responses)
	require.InDelta(t, 2, flows.loads[incarnation.ID{Number: 2}].poolDemand.responseTime, 1e-9)
	require.Zero(t, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
}

// What clients think before their first request is no way.
func TestClientThinkTimeIsNotRoundTripTime(t *testing.T) {
	made := defaultOptions()
	made.WeightOf = func(entry directory.BackendEntry) uint32 {
		if entry.GetZone() == "maadi" {
			return 1000
		}
		return 0
	}
	table, flows := NewTable(twoZoneDirectory(), made), NewFlows(mechanism.Set{}).WithZone("maadi")
	summarizeAt(flows, 0)
	thinks := []int{400, 20, 300, 400}
	tokens := make([]Token, len(thinks))
	for now := 0; now < 1000; now += 10 {
		for client, think := range thinks {
			key := clientKey(byte(client))
			n := uint32((now-think)/100) + 1
			switch {
			case now == 0:
				tokens[client] = flows.Decide(table, Packet{Key: key, First: true}, at(0)).Backend.Token
			case now < think:
			case (now-think)%100 == 0:
				flows.Decide(table, request(byte(client), tokens[client], n), at(now))
			case (now-think)%100 == 80:
				flows.Decide(table, Packet{Key: key, Token: tokens[client], Acknowledged: 5000*n + 1}, at(now))
			}
		}
	}
	require.InDelta(t, 0.75, flows.poolZoneDemand("lending", "maadi").serviceFraction(), 0.01, "80 ms, of those 20 on the way")
}

// largeTwoZoneDirectory has so many back ends in each of two zones, named from 1 on; those of giza have
// the greater numbers.
func largeTwoZoneDirectory(each int) *directory.Directory {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	for number := 1; number <= 2*each; number++ {
		zone := "maadi"
		if number > each {
			zone = "giza"
		}
		changes = append(changes, inZone(backend(2, uint64(number), "lending"), zone))
	}
	return newDirectory(changes...)
}

// Four back ends of the chosen zone are compared, the first four in the flow's order, and
// the least used of them is taken.
func TestFourBackendsOfChosenZoneAreCompared(t *testing.T) {
	made := defaultOptions()
	made.ZoneByWeight = func(string) bool { return true }
	table := NewTable(largeTwoZoneDirectory(8), made)
	none := func(*Backend) Preference { return Preferred }
	zones := make(map[string]int)
	for port := range 400 {
		used := func(backend *Backend) int { return int(backend.Number*7+uint64(port)) % 17 }
		compared := make(map[uint64]*Backend)
		route := table.Route(key(port).Address())
		first := route.poolFor(key(port).Hash())
		var leader [1]rule.RankedCandidate
		require.Equal(t, 1, first.topCandidates(key(port).Hash(), leader[:], func(*Backend) bool { return false }))
		zone := first.backend(leader[0]).Zone
		zones[zone]++
		chosen := route.Choose(key(port).Hash(), none, func(backend *Backend) int {
			compared[backend.Number] = backend
			return used(backend)
		})
		require.Len(t, compared, 4)
		ahead := 0
		of := first.poolZones[leader[0].RuleIndex]
		for _, score := range of.rule.Score(key(port).Hash()) {
			backend := of.eligible[score.Backend-1]
			if ahead < 4 {
				require.Contains(t, compared, backend.Number, "the first in the flow's order")
				ahead++
			}
		}
		for _, each := range compared {
			require.Equal(t, zone, each.Zone)
			require.LessOrEqual(t, used(chosen), used(each))
		}
	}
	require.Len(t, zones, 2, "both zones are chosen")
}

// An upload whose packets come slowly over a narrow link waits for no slot until it is whole.
func TestUploadsCountAsDemandOnceComplete(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	for sequence := range 20 {
		packet := request(1, 2, 1)
		packet.Sequence += 1200 * uint32(sequence)
		flows.Decide(table, packet, at(1000+40*sequence))
	}
	load := summarizeAt(flows, 1780)[lendingPoolZone("maadi")]
	require.Less(t, load.InFlight, 0.1)
	flows.Summarize(at(2040))
	load = summarizeAt(flows, 2300)[lendingPoolZone("maadi")]
	require.InDelta(t, 1, load.InFlight, 0.05, "whole, and not answered")
}
