package tokenroute

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// zoneFixture holds flows of clients 1 to 10 with back ends 1 to 10 in maadi, the balancer's zone,
// and of clients 101 to 110 with back ends 101 to 110 in giza.
type zoneFixture struct {
	flows *Flows
	table *Table
}

// silentClients are the clients of most back ends of giza.
var silentClients = []byte{101, 102, 103, 104, 105, 106, 107, 108}

func newZoneFixture(disabled mechanism.Set) *zoneFixture {
	fixture := &zoneFixture{flows: NewFlows(disabled).WithZone("maadi"), table: twoLargeZones()}
	for number := range byte(10) {
		exchange(fixture.flows, fixture.table, number+1, Token(number+1), 0)
		exchange(fixture.flows, fixture.table, number+101, Token(number)+101, 0)
	}
	return fixture
}

// sendRequests makes clients send their request, or retransmit it.
func (z *zoneFixture) sendRequests(now int, clients ...byte) {
	for _, client := range clients {
		z.flows.Decide(z.table, request(client, Token(client), 5000), at(now))
	}
}

// answerRequests makes back ends of maadi answer requests sent at a time.
func (z *zoneFixture) answerRequests(now int, clients ...byte) {
	for _, client := range clients {
		exchange(z.flows, z.table, client, Token(client), now)
	}
}

// resetClients evaluates the pending reports and returns the clients whose flows are reset, in order.
func (z *zoneFixture) resetClients(now int) []byte {
	for earlier := now - 500; earlier <= now; earlier += 10 {
		z.flows.EvaluatePending(at(earlier))
	}
	var clients []byte
	for _, each := range z.flows.TakeAbandonedFlows() {
		clients = append(clients, each.Key.Source[3])
	}
	slices.Sort(clients)
	return clients
}

// leaveUnanswered leaves requests of clients in giza unanswered through two retransmissions, while
// back ends of maadi answer.
func (z *zoneFixture) leaveUnanswered(now int, clients ...byte) {
	z.sendRequests(now, clients...)
	z.answerRequests(now+50, 1, 2, 3, 4, 5, 6)
	z.sendRequests(now+200, clients...)
	z.sendRequests(now+600, clients...)
}

// reportUnanswered makes a balancer of a zone report an unanswered request to the back end of a
// client.
func (z *zoneFixture) reportUnanswered(zone string, client byte, sentAt int) {
	z.flows.Receive(unanswered(uint64(client), evidence.Client(client)+100, zone, sentAt), z.table, at(sentAt+650))
}

// Back ends that answer after 0.9 s are slow, even if they are all those of a zone: their clients
// have retransmitted the request twice.
func TestSlowZoneFlowsAreNotReset(t *testing.T) {
	for _, seenHere := range []bool{true, false} {
		z := newZoneFixture(mechanism.Set{})
		all := append(slices.Clone(silentClients), 109, 110)
		z.answerRequests(1, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20)
		z.sendRequests(1000, all...)
		for number := range byte(20) {
			z.answerRequests(1050, number+1)
		}
		z.sendRequests(1200, all...)
		z.sendRequests(1600, all...)
		require.Len(t, z.flows.TakeObservations(), len(all), "the link is trusted")
		for _, client := range all {
			z.reportUnanswered("nasr", client, 1000)
		}
		require.Empty(t, z.resetClients(1905))
		for _, client := range all {
			if seenHere {
				z.flows.Decide(z.table, acknowledgement(client, Token(client), 5000), at(1910))
			} else {
				z.flows.Receive(evidence.Activity{Backend: evidence.Backend{Number: uint64(client)}, At: at(1910)}, z.table, at(1910+pendingMillis-20))
			}
		}
		require.Empty(t, z.resetClients(2100))
		require.Empty(t, z.resetClients(3000))
		require.Equal(t, Forward, z.flows.Decide(z.table, request(101, 101, 6000), at(3000)).Verdict)
	}
}

// Forty of the fifty back ends of a zone fail while the other ten, whose flows are idle, get no
// requests. The flows of the ten must be kept, which the simulated fleet checks.
func TestIdleLiveBackendsOfFailedZoneKeepFlows(t *testing.T) {
	zone := func(number int) string {
		if number < 50 {
			return "giza"
		}
		return "maadi"
	}
	for _, balancers := range []int{8, 88} {
		fleet := newZonedSimulation(balancers, 150, 40, mechanism.Set{}, otherZone, zone)
		fleet.idleFrom = 40
		fleet.run(9000)
		require.NotEmpty(t, fleet.detectionTimes(), "the failed back ends are detected")
		kept := 0
		for _, each := range fleet.flows {
			if each.backend >= 40 && each.backend < 50 {
				kept++
			}
		}
		require.Equal(t, 270, kept)
	}
}

// otherZone distributes balancers over two zones other than giza.
func otherZone(index int) string { return []string{"maadi", "nasr"}[index%2] }

// A balancer whose packets to one zone are lost sees all other zones answer. It must not take this
// as evidence that a single back end there has failed, whether by the number of clients or by that
// of retransmissions.
func TestPacketLossToOneZoneFailsNoBackends(t *testing.T) {
	z := newZoneFixture(mechanism.Set{})
	z.leaveUnanswered(1000, append(slices.Clone(silentClients), 109, 110)...)
	for _, client := range silentClients {
		for _, now := range []int{1000, 1200, 1600} {
			z.flows.Decide(z.table, request(client+50, Token(client), 7000), at(now+5))
		}
	}
	z.sendRequests(2400, silentClients...)
	require.Empty(t, z.resetClients(3000))
	require.Zero(t, z.flows.BackendFailures())
	require.Empty(t, z.flows.TakeObservations())
}

// A balancer whose own link is congested loses what it sends to all zones.
func TestCongestedLinkFailsNoZone(t *testing.T) {
	z := newZoneFixture(mechanism.Set{})
	for _, now := range []int{1000, 1200, 1600} {
		z.sendRequests(now, append(silentClients, 1, 2, 3, 4)...)
		if now == 1000 {
			z.answerRequests(1050, 5, 6, 7)
		}
	}
	require.Empty(t, z.resetClients(2100))
	require.False(t, z.flows.HasPending())
}

// A third of the back ends of all zones fails at once, seen by many balancers of which each sees
// some of their flows. Only flows of the failed back ends may be reset, which the simulated fleet
// checks. Otherwise one in three balancers would consider a zone failed.
func TestThirdOfBackendsFailedInAllZonesResetsNoLiveFlows(t *testing.T) {
	zone := func(number int) string { return string(rune('a' + number%3)) }
	for _, balancers := range []int{8, 88} {
		fleet := newZonedSimulation(balancers, 150, 50, mechanism.Set{}, zone, zone)
		fleet.run(8000)
		require.NotEmpty(t, fleet.detectionTimes())
	}
}
