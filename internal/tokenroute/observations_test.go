package tokenroute

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// twoZoneDirectory returns a directory with back ends 2 and 3 in zone maadi and 4 in zone giza, and
// with an idle timeout.
func twoZoneDirectory() *directory.Directory {
	table := routes(1, route(1, share("lending", 1)))
	table.GetRoutes().IdleMilliseconds = 15_000
	return newDirectory(table, inZone(backend(2, 2, "lending"), "maadi"), inZone(backend(2, 3, "lending"), "maadi"),
		inZone(backend(2, 4, "lending"), "giza"))
}

func unanswered(number uint64, client evidence.Client, zone string, sentAt int) evidence.UnansweredRequest {
	return evidence.UnansweredRequest{Backend: evidence.Backend{Number: number}, Client: client, Zone: zone, SentAt: at(sentAt)}
}

// countResets evaluates the pending reports and returns how many flows are reset.
func countResets(flows *Flows, now int) int {
	flows.EvaluatePending(at(now))
	return len(flows.TakeAbandonedFlows())
}

// exchange forwards a request of a client's flow and the acknowledgement of its answer.
func exchange(flows *Flows, table *Table, client byte, token Token, now int) {
	flows.Decide(table, request(client, token, uint32(now+1)), at(now))
	flows.Decide(table, acknowledgement(client, token, uint32(now+1)), at(now+20))
}

const pendingMillis = int(pendingTime / time.Millisecond)

// A balancer that has seen no request fail resets its flows because of the reports of two others,
// once nobody has contradicted them. The next request of its client opens a flow to another back
// end.
func TestRemoteReportsFailBackend(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(flows, table, 1, 2, 0)
	exchange(flows, table, 2, 3, 0)
	flows.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	require.False(t, flows.HasPending())
	flows.Receive(unanswered(2, 102, "maadi", 150), table, at(750))
	require.Equal(t, at(700+pendingMillis), flows.EvaluatePending(at(751)))
	require.Empty(t, flows.TakeAbandonedFlows(), "the reports may still be contradicted")
	require.Equal(t, Forward, flows.Decide(table, request(3, 2, 1), at(752)).Verdict)
	require.Equal(t, 2, countResets(flows, 700+pendingMillis), "clients 1 and 3")
	require.Equal(t, Refuse, flows.Decide(table, request(4, 2, 1), at(1000)).Verdict)
	require.Equal(t, Forward, flows.Decide(table, request(2, 3, 1), at(1000)).Verdict)
	require.Equal(t, uint64(1), flows.BackendFailures())
	failures := flows.TakeBackendFailures()
	require.Len(t, failures, 1)
	require.Equal(t, at(100), failures[0].SilentSince)
	require.Equal(t, 2, failures[0].Remote)
	require.Zero(t, failures[0].Local)
}

// Guards against resets of flows of a live back end by reports that were late on their way: two
// clients of other balancers sent requests while the back end was cut off, which it was for 600 ms
// after that at least. A failure that is based on them ends before the cut is 4 s ago, from when on
// no reset of its flows is tolerated, however late the reports came.
func TestLateReportsFailBackendNoLonger(t *testing.T) {
	for receivedAt := 700; receivedAt < 6000; receivedAt += 100 {
		table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
		for client := range evidence.Client(2) {
			flows.Receive(unanswered(2, 101+client, "maadi", 0), table, at(receivedAt))
		}
		for now := receivedAt; now < receivedAt+5000; now += 100 {
			flows.EvaluatePending(at(now))
			verdict := flows.Decide(table, request(byte(now/100%200), 2, 1), at(now)).Verdict
			require.False(t, verdict == Refuse && now >= 600+4000, "received at %d ms, reset at %d ms", receivedAt, now)
			require.False(t, receivedAt == 700 && now == 1000 && verdict == Forward, "reports in time do fail the back end")
		}
	}
}

func TestLocalAndRemoteReportsAreCombined(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	require.Equal(t, []Verdict{Forward}, sendUnanswered(flows, table, 2, []byte{1}, 0, 600))
	reports := flows.TakeObservations()
	require.Len(t, reports, 1)
	require.Equal(t, at(0), reports[0].When())
	flows.Receive(unanswered(2, 102, "", 10), table, at(650))
	require.Equal(t, 1, countResets(flows, 650+pendingMillis))
}

// The same client, seen by two balancers, counts once.
func TestClientReportedByTwoBalancersCountsOnce(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	sendUnanswered(flows, table, 2, []byte{1}, 0, 600)
	report := flows.TakeObservations()[0]
	flows.Receive(report, table, at(650))
	flows.Receive(report, table, at(660))
	require.Zero(t, countResets(flows, 1300))
}

func TestNewerAnswerOverridesReports(t *testing.T) {
	table := NewTable(twoZoneDirectory(), defaultOptions())
	before := NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(before, table, 1, 2, 200)
	before.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	before.Receive(unanswered(2, 102, "maadi", 150), table, at(700))
	require.Zero(t, countResets(before, 700+pendingMillis), "the back end has answered since")
	require.Equal(t, []evidence.Observation{evidence.Activity{Backend: evidence.Backend{Number: 2}, At: at(220)}, evidence.Activity{Backend: evidence.Backend{Number: 2}, At: at(220)}},
		before.TakeObservations(), "the activity is reported to the others")

	during := NewFlows(mechanism.Set{}).WithZone("maadi")
	during.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	during.Receive(unanswered(2, 102, "maadi", 150), table, at(700))
	exchange(during, table, 1, 2, 750)
	require.Zero(t, countResets(during, 700+pendingMillis), "the back end answers while the reports are pending")
	require.Len(t, during.TakeObservations(), 1)

	corrected := NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(corrected, table, 1, 2, 0)
	corrected.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	corrected.Receive(unanswered(2, 102, "maadi", 150), table, at(700))
	corrected.Receive(evidence.Activity{Backend: evidence.Backend{Number: 2}, At: at(160)}, table, at(800))
	require.Zero(t, countResets(corrected, 700+pendingMillis), "another balancer saw an answer")
	corrected.Receive(unanswered(2, 103, "maadi", 155), table, at(900))
	require.Zero(t, countResets(corrected, 1500), "the report is older than that answer")
}

// When many back ends fall silent at the same time, unanswered requests fill the queue. That is
// just when the activity of a live back end has to be reported.
func TestActivityIsQueuedWhenReportsFillTheQueue(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	exchange(flows, table, 1, 2, 200)
	for client := range evidence.Client(2 * maxObservations) {
		flows.failureDetector.queueObservation(unanswered(3, client, "maadi", 100))
	}
	flows.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	queued := flows.TakeObservations()
	require.Len(t, queued, maxObservations+1)
	require.Equal(t, evidence.Activity{Backend: evidence.Backend{Number: 2}, At: at(220)}, queued[maxObservations])
}

// Activity that another balancer reports ends a failure too.
func TestActivityClearsFailure(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	flows.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	flows.Receive(unanswered(2, 102, "maadi", 150), table, at(700))
	countResets(flows, 700+pendingMillis)
	require.Equal(t, Refuse, flows.Decide(table, request(4, 2, 1), at(1000)).Verdict)
	flows.Receive(evidence.Activity{Backend: evidence.Backend{Number: 2}, At: at(1000)}, table, at(1050))
	require.Equal(t, Forward, flows.Decide(table, request(4, 2, 1), at(1060)).Verdict)
}

// An isolated zone finds all others silent. That counts for itself, but not for balancers that
// reach the other zones over a different path.
func TestReportsFromIsolatedZoneCountOnlyThere(t *testing.T) {
	table := NewTable(twoZoneDirectory(), defaultOptions())
	for zone, expected := range map[string]int{"giza": 1, "maadi": 0, "nasr": 0} {
		flows := NewFlows(mechanism.Set{}).WithZone(zone)
		exchange(flows, table, 1, 2, 0)
		flows.Receive(unanswered(2, 101, "giza", 100), table, at(700))
		flows.Receive(unanswered(2, 102, "giza", 150), table, at(700))
		require.Equal(t, expected, countResets(flows, 700+pendingMillis), zone)
	}
	flows := NewFlows(mechanism.Set{}).WithZone("nasr")
	exchange(flows, table, 1, 2, 0)
	flows.Receive(unanswered(2, 101, "maadi", 100), table, at(700))
	flows.Receive(unanswered(2, 102, "maadi", 150), table, at(700))
	require.Equal(t, 1, countResets(flows, 700+pendingMillis), "reports from the zone of the back end count everywhere")
}

// A balancer whose own link loses packets reports no unanswered requests.
func TestCongestedLinkSendsNoReports(t *testing.T) {
	table, flows := manyBackends(12), NewFlows(mechanism.Set{})
	for now := 0; now <= 1400; now += 100 {
		for token := 1; token <= 12; token++ {
			if now == 0 || slices.Contains(retransmitTimes, now) || token > 8 {
				n := uint32(1)
				if token > 8 {
					n = uint32(now + 1)
				}
				flows.Decide(table, request(byte(token), Token(token), n), at(now))
			}
		}
	}
	require.Empty(t, flows.TakeObservations(), "8 of 12 are silent")
}

// A back end that starts anew at an old address has a new number, and no evidence counts against
// it.
func TestNewBackendNumberIgnoresEarlierReports(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	before, after := manyBackends(3), NewTable(newDirectory(routes(1, route(1, share("lending", 1))), backend(3, 9, "lending")), defaultOptions())
	flows.Receive(unanswered(2, 101, "", 100), before, at(700))
	flows.Receive(unanswered(2, 102, "", 150), after, at(700))
	flows.Receive(unanswered(2, 103, "", 150), after, at(700))
	require.Zero(t, countResets(flows, 700+pendingMillis))
	require.Equal(t, Forward, flows.Decide(after, request(1, 9, 1), at(1000)).Verdict)
}

// Flows that have been idle for less than the idle timeout are reset with the others. Flows that
// are closed or have expired are not.
func TestIdleFlowsAreReset(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{}).WithZone("maadi")
	for client := byte(1); client <= 4; client++ {
		exchange(flows, table, client, 2, 0)
	}
	for now := 0; now <= 12_000; now += 500 {
		exchange(flows, table, 50, 3, now)
	}
	closing := request(2, 2, 9)
	closing.Closing, closing.Length = true, 0
	flows.Decide(table, closing, at(12_000))
	exchange(flows, table, 3, 2, 12_010)
	flows.Receive(unanswered(2, 101, "maadi", 12_100), table, at(12_700))
	flows.Receive(unanswered(2, 102, "maadi", 12_100), table, at(12_700))
	flows.EvaluatePending(at(12_700 + pendingMillis))
	found := make(map[byte]uint32)
	for _, abandoned := range flows.TakeAbandonedFlows() {
		found[abandoned.Key.Source[3]] = abandoned.Acknowledged
	}
	require.Equal(t, map[byte]uint32{1: 9, 3: 60_059, 4: 9}, found)
	require.Empty(t, flows.flowCache.idleBackends)
}

func TestIdleFlowsExpire(t *testing.T) {
	table, flows := NewTable(twoZoneDirectory(), defaultOptions()), NewFlows(mechanism.Set{})
	exchange(flows, table, 1, 2, 0)
	for now := 0; now <= 19_000; now += 500 {
		exchange(flows, table, 50, 3, now)
	}
	require.Empty(t, flows.flowCache.idleBackends)
	require.Empty(t, flows.flowCache.idle)
	for port := range 200_000 {
		packet := request(1, 2, 1)
		packet.Key = key(port)
		packet.Key.Source[1] = byte(port >> 16)
		flows.Decide(table, packet, at(20_000+port/20))
	}
	require.LessOrEqual(t, len(flows.flowCache.idleBackends), maxIdleFlows)
}

// No balancer resets a flow of a back end that answers within 140 ms, whatever the clients do,
// however long balancers stall and however late messages between them are, with one copy or answer
// of each request lost.
func TestRemoteReportsNeverResetFlowsOfLiveBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := manyBackends(3)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		group := newBalancerGroup(rapid.IntRange(2, 5).Draw(t, "balancers"), random)
		clients := make([]modelClient, rapid.IntRange(1, 8).Draw(t, "clients"))
		longestThink := rapid.IntRange(1, 3000).Draw(t, "longest pause")
		stalls := rapid.IntRange(0, 3).Draw(t, "stalls a second")
		latest := rapid.IntRange(1, 4000).Draw(t, "latest message")
		for now := 0; now < 10_000; now += 10 {
			group.stall(now, stalls)
			for index := range clients {
				if clients[index].send(now, random.IntN(longestThink)) {
					receiver := &group.members[index%len(group.members)]
					receiver.queue = append(receiver.queue, index)
				}
			}
			for position := range group.members {
				member := &group.members[position]
				if now < member.stalledUntil {
					continue
				}
				for _, index := range member.queue {
					client := &clients[index]
					packet := request(byte(index+1), 2, client.n)
					require.Equal(t, Forward, member.flows.Decide(table, packet, at(now)).Verdict, "at %d ms", now)
					if client.lossLeft && random.IntN(10) == 0 {
						client.lossLeft = false
						continue
					}
					client.answerAt = min(client.answerAt, now+random.IntN(140))
				}
				member.queue = member.queue[:0]
				exchange(member.flows, table, 200+byte(position), 3, now)
				group.deliver(member, table, now)
				member.flows.EvaluatePending(at(now))
				require.Empty(t, member.flows.TakeAbandonedFlows(), "at %d ms", now)
				group.broadcast(position, now, latest)
			}
		}
	})
}

// balancerGroup is a group of balancers that exchange observations with delays.
type balancerGroup struct {
	random  *rand.Rand
	members []groupMember
}

type groupMember struct {
	flows        *Flows
	stalledUntil int
	queue        []int
	inbox        []delayedObservation
}

// delayedObservation is an observation in transit.
type delayedObservation struct {
	observation evidence.Observation
	arrivesAt   int
}

func newBalancerGroup(size int, random *rand.Rand) *balancerGroup {
	built := &balancerGroup{random: random}
	for range size {
		built.members = append(built.members, groupMember{flows: NewFlows(mechanism.Set{})})
	}
	return built
}

func (g *balancerGroup) stall(now, stalls int) {
	for position := range g.members {
		if g.random.IntN(100) < stalls {
			g.members[position].stalledUntil = max(g.members[position].stalledUntil, now+g.random.IntN(3000))
		}
	}
}

func (g *balancerGroup) broadcast(from, now, latest int) {
	for _, observation := range g.members[from].flows.TakeObservations() {
		for position := range g.members {
			if position != from {
				g.members[position].inbox = append(g.members[position].inbox, delayedObservation{observation, now + g.random.IntN(latest)})
			}
		}
	}
}

func (g *balancerGroup) deliver(m *groupMember, table *Table, now int) {
	kept := m.inbox[:0]
	for _, each := range m.inbox {
		if each.arrivesAt > now {
			kept = append(kept, each)
			continue
		}
		m.flows.Receive(each.observation, table, at(now))
	}
	m.inbox = kept
}
