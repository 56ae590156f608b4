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

// summarizeAt returns the demand in a summary made at a time, one second after the last one.
func summarizeAt(flows *Flows, now int) map[demand.PoolZone]demand.Load {
	flows.summarizedAt = at(now - 1000)
	return flows.Summarize(at(now)).Loads
}

// Offered requests count for the zone of the clients wherever they go. Requests in flight and
// responses count for the zone of the back end.
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
	loads := summarizeAt(flows, 1000)
	all := demand.Load{}
	for _, load := range loads {
		all = all.Plus(load)
	}
	require.Equal(t, 1.0, all.NewFlows, "a retransmission opens no flow")
	require.Equal(t, 3.0, all.Responses, "the third request is still in flight")
	require.Equal(t, 1.0, loads[lendingPoolZone("giza")].Refusals)
	require.Equal(t, 5.0, loads[lendingPoolZone("giza")].RequestRate, "three of one flow, one of another, and the refused one")
	require.Zero(t, loads[lendingPoolZone("maadi")].RequestRate, "no client of that zone sends requests here")
	require.Positive(t, loads[lendingPoolZone("maadi")].Responses)
	require.Zero(t, summarizeAt(flows, 2000)[lendingPoolZone("giza")].RequestRate, "each request counts once")
}

// Full back ends reset flows, which the packets of clients do not show. In bursts, 1,483 requests
// then seemed to be in flight to 40 slots, and 1,120 still did four seconds after the burst.
func TestUnansweredRequestsStopCountingAsInFlight(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(flows, table, 9, 2, 0)
	for client := range byte(8) {
		flows.Decide(table, request(client, 2, 1), at(1000))
	}
	flows.Decide(table, request(20, 2, 1), at(1000))
	summarizeAt(flows, 1400)
	require.Equal(t, 9, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	flows.Decide(table, request(20, 2, 1), at(1450)) // its client is still waiting
	summarizeAt(flows, 1700)
	require.Equal(t, 1, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	require.Equal(t, 2, flows.loads[incarnation.ID{Number: 2}].flows, "flows that were reset do not count")
	flows.Decide(table, request(1, 2, 2), at(1800))
	require.Equal(t, 2, flows.loads[incarnation.ID{Number: 2}].inFlightRequests, "a flow that continues counts again")
}

// Network round trips are not work of a back end.
func TestServiceTimeExcludesRoundTrip(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	summarizeAt(flows, 0)
	opened := flows.Decide(table, Packet{Key: clientKey(1), First: true}, at(0)).Backend
	for now, n := 30, uint32(1); now < 1000; now, n = now+100, n+1 {
		flows.Decide(table, request(1, opened.Token, n), at(now))
		flows.Decide(table, Packet{Key: clientKey(1), Token: opened.Token, Acknowledged: 5*n + 1}, at(now+60))
	}
	load := summarizeAt(flows, 1030)[lendingPoolZone(opened.Zone)]
	require.InDelta(t, 0.6*0.5, load.InFlight, 0.03, "60 ms in 100, half of them network round trip")
}

// A zone with a small weight gets its share of the new flows. Choosing the least used among back
// ends of several zones would hardly ever leave it any.
func TestByZoneSharesFollowWeights(t *testing.T) {
	dir := twoZoneDirectory()
	weightOf := func(zone string) uint32 {
		if zone == "giza" {
			return 200
		}
		return 1000
	}
	for _, byZone := range []bool{false, true} {
		opts := defaultOptions()
		opts.ZoneByWeight = func(pool string) bool { return byZone && pool == "lending" }
		opts.WeightOf = func(entry directory.BackendEntry) uint32 { return weightOf(entry.GetZone()) }
		table, flows := NewTable(dir, opts), NewFlows(mechanism.Set{}).WithZone("maadi")
		inGiza := 0
		for port := range 2200 {
			now := at(port)
			packet := Packet{Key: key(1000 + port), First: true}
			chosen := flows.Decide(table, packet, now).Backend
			if chosen.Zone == "giza" {
				inGiza++
			}
			packet.First, packet.Token, packet.Closing = false, chosen.Token, true
			flows.Decide(table, packet, now.Add(time.Millisecond))
		}
		if byZone {
			require.InDelta(t, 200, inGiza, 45, "0.2 of 2.2 of 2200")
		} else {
			require.Less(t, inGiza, 20)
		}
	}
}

// runSlowBackend keeps 8 clients waiting for responses that take responseTime milliseconds.
// Unless their requests are acknowledged, they retransmit them as clients do. It returns the mean
// number of requests in flight, the number of responses counted, and the number of summaries at
// which nothing seemed to be in flight.
func runSlowBackend(table *Table, flows *Flows, responseTime, rounds int, acknowledged bool) (inFlight, responses float64, idle int) {
	flows.Summarize(at(0))
	summaries := 0.0
	for now := 0; now <= rounds*responseTime; now += 50 {
		round, since := now/responseTime, now%responseTime
		for client := range byte(8) {
			if since == 0 && round > 0 {
				flows.Decide(table, Packet{Key: clientKey(client), Token: 2, Acknowledged: 5*uint32(round) + 1}, at(now))
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
			inFlight += load.InFlight
			responses += load.Responses * summaryInterval.Seconds()
		}
		if flows.loads[incarnation.ID{Number: 2}].inFlightRequests == 0 {
			idle++
		}
	}
	return inFlight / summaries, responses, idle
}

// Slow back ends must not look idle. Clients pause for up to 1.6 s between retransmissions, and
// with requests counted for only 0.5 s of that, none of 72 responses was counted, and half of the
// summaries found no request in flight. Requests that are retransmitted have reached no back end,
// however, and must not count as demand on the capacity of live ones.
func TestSlowRequestsStayInFlightWhileClientsRetransmit(t *testing.T) {
	for _, responseTime := range []int{1300, 2500, 4000} {
		for _, quickBefore := range []bool{false, true} {
			table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
			if quickBefore {
				exchange(flows, table, 9, 2, -3000)
			}
			inFlight, responses, idle := runSlowBackend(table, flows, responseTime, 10, false)
			t.Logf("took %d ms, quick before %v: in flight %.2f, responses %.0f, idle %d", responseTime, quickBefore, inFlight, responses, idle)
			require.InDelta(t, 8*200/float64(responseTime), inFlight, 0.2, "up to the first retransmission")
			require.InDelta(t, 80, responses, 2)
			require.Zero(t, idle, "they still count as in flight when a back end is chosen")
		}
	}
}

// Live back ends acknowledge a request while it is queued there, so nothing is retransmitted, and
// the request counts as demand as long as it is queued.
func TestAcknowledgedRequestsCountAsDemandUntilAnswered(t *testing.T) {
	for _, responseTime := range []int{400, 1300, 2500} {
		table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
		inFlight, responses, _ := runSlowBackend(table, flows, responseTime, 20, true)
		require.Greater(t, inFlight, 7.0, "took %d ms", responseTime)
		require.InDelta(t, 160, responses, 10)
	}
}

// A third of the back ends is dead. Requests to them must not make the pool look short of capacity
// that the others have.
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

// The answer to a request that was counted as lost shows how slow the back end is.
func TestLateResponsesUpdateResponseTime(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	flows.Decide(table, request(1, 2, 1), at(0))
	summarizeAt(flows, 1500)
	require.Zero(t, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
	flows.Decide(table, Packet{Key: clientKey(1), Token: 2, Acknowledged: 6}, at(2000))
	flows.Decide(table, Packet{Key: clientKey(1), Token: 2, Acknowledged: 1006}, at(2010))
	require.Equal(t, 1.0, summarizeAt(flows, 2500)[lendingPoolZone("maadi")].Responses)
	require.InDelta(t, 2, flows.loads[incarnation.ID{Number: 2}].poolDemand.responseTime, 1e-9)
	require.Zero(t, flows.loads[incarnation.ID{Number: 2}].inFlightRequests)
}

// The time that clients wait before their first request is not part of the round trip.
func TestClientThinkTimeIsNotRoundTripTime(t *testing.T) {
	opts := defaultOptions()
	opts.WeightOf = func(entry directory.BackendEntry) uint32 {
		if entry.GetZone() == "maadi" {
			return 1000
		}
		return 0
	}
	table, flows := NewTable(twoZoneDirectory(), opts), NewFlows(mechanism.Set{}).WithZone("maadi")
	summarizeAt(flows, 0)
	thinkTimes := []int{400, 20, 300, 400}
	tokens := make([]Token, len(thinkTimes))
	for now := 0; now < 1000; now += 10 {
		for client, thinkTime := range thinkTimes {
			key := clientKey(byte(client))
			n := uint32((now-thinkTime)/100) + 1
			switch {
			case now == 0:
				tokens[client] = flows.Decide(table, Packet{Key: key, First: true}, at(0)).Backend.Token
			case now < thinkTime:
			case (now-thinkTime)%100 == 0:
				flows.Decide(table, request(byte(client), tokens[client], n), at(now))
			case (now-thinkTime)%100 == 80:
				flows.Decide(table, Packet{Key: key, Token: tokens[client], Acknowledged: 5*n + 1}, at(now))
			}
		}
	}
	require.InDelta(t, 0.75, flows.poolZoneDemand("lending", "maadi").serviceFraction(), 0.01, "80 ms, of which 20 are network round trip")
}

// largeTwoZoneDirectory returns a directory with the given number of back ends in each of two
// zones. They are numbered from 1, and those of giza have the greater numbers.
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

// The first four back ends of the chosen zone in the flow's order are compared, and the least used
// of them is chosen.
func TestFourBackendsOfChosenZoneAreCompared(t *testing.T) {
	opts := defaultOptions()
	opts.ZoneByWeight = func(string) bool { return true }
	table := NewTable(largeTwoZoneDirectory(8), opts)
	preferAll := func(*Backend) Preference { return Preferred }
	zones := make(map[string]int)
	for port := range 400 {
		used := func(backend *Backend) int { return int(backend.Number*7+uint64(port)) % 17 }
		compared := make(map[uint64]*Backend)
		route := table.Route(key(port).Address())
		first := route.poolFor(key(port).Hash())
		var top [1]rule.RankedCandidate
		require.Equal(t, 1, first.topCandidates(key(port).Hash(), top[:], func(*Backend) bool { return false }))
		zone := first.backend(top[0]).Zone
		zones[zone]++
		chosen := route.Choose(key(port).Hash(), preferAll, func(backend *Backend) int {
			compared[backend.Number] = backend
			return used(backend)
		})
		require.Len(t, compared, 4)
		rank := 0
		group := first.poolZones[top[0].RuleIndex]
		for _, score := range group.rule.Score(key(port).Hash()) {
			backend := group.eligible[score.Backend-1]
			if rank < 4 {
				require.Contains(t, compared, backend.Number, "the first back ends in the flow's order")
				rank++
			}
		}
		for _, each := range compared {
			require.Equal(t, zone, each.Zone)
			require.LessOrEqual(t, used(chosen), used(each))
		}
	}
	require.Len(t, zones, 2, "both zones are chosen")
}

// An upload whose packets arrive slowly over a narrow link needs no slot until it is complete.
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
	require.InDelta(t, 1, load.InFlight, 0.05, "complete and not answered")
}
