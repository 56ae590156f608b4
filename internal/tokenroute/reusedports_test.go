package tokenroute

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// portUse is one flow of a client's port, with the sequence numbers of its packets.
type portUse struct {
	port int
	// synSequence and backendSequence are the initial numbers of the client and of the back end that
	// opened the flow.
	synSequence, backendSequence uint32
	sent, received               uint32
}

func (u *portUse) syn(copies int) Packet {
	return Packet{Key: key(u.port), First: true, Retransmission: copies > 0, Sequence: u.synSequence, Acknowledged: uint32(copies)}
}

// acknowledgement returns a packet without data that acknowledges all that the client has received.
func (u *portUse) acknowledgement(token Token) Packet {
	return Packet{Key: key(u.port), Token: token, Sequence: u.synSequence + 1 + u.sent, Acknowledged: u.backendSequence + 1 + u.received}
}

const (
	requestLength  = 100
	responseLength = 1000
)

// request returns the next request, which is sent again by further calls until it is answered.
func (u *portUse) request(token Token) Packet {
	packet := u.acknowledgement(token)
	packet.Length = requestLength
	return packet
}

// answered returns the acknowledgement of the response to the last request.
func (u *portUse) answered(token Token) Packet {
	u.sent += requestLength
	u.received += responseLength
	return u.acknowledgement(token)
}

func (u *portUse) end(token Token) Packet {
	packet := u.acknowledgement(token)
	packet.Closing = true
	return packet
}

// twoUses returns an earlier and a later flow of a port. They are told apart by the numbers of both
// ends, or only by those of the back ends, if the client draws its own from a clock of 4 µs and uses
// the port again after 0.3 s.
func twoUses(byClock bool) (earlier, later *portUse) {
	earlier = &portUse{port: 1, synSequence: 4_294_960_000, backendSequence: 700_000_000}
	later = &portUse{port: 1, synSequence: 1_500_000_000, backendSequence: 2_900_000_000}
	if byClock {
		later.synSequence = earlier.synSequence + 75_000
	}
	return earlier, later
}

// synTimes are when clients send a SYN and its copies, in milliseconds.
var synTimes = []int{0, 200, 600}

// tryThrough sends the first packets of a flow through a balancer until the wanted number of back
// ends was tried.
func (u *portUse) tryThrough(flows *Flows, table *Table, attempts int) (tried []*Backend) {
	for copies := range attempts {
		tried = append(tried, flows.Decide(table, u.syn(copies), at(synTimes[copies])).Backend)
	}
	return tried
}

// openThrough does the same, and lets the first of the back ends open the flow.
func (u *portUse) openThrough(flows *Flows, table *Table, attempts int) (tried []*Backend) {
	tried = u.tryThrough(flows, table, attempts)
	flows.Decide(table, u.acknowledgement(tried[0].Token), at(synTimes[attempts-1]+5))
	return tried
}

// otherThan returns a back end of the table that is none of the given ones.
func otherThan(table *Table, excluded ...*Backend) *Backend {
	for token := Token(1); ; token++ {
		backend := table.tokens.backends(token)[0]
		if !containsBackend(excluded, backend) {
			return backend
		}
	}
}

func containsBackend(backends []*Backend, wanted *Backend) bool {
	for _, each := range backends {
		if each.Number == wanted.Number {
			return true
		}
	}
	return false
}

// A balancer remembers which back end opened a flow. It once sent the packets of a later flow from
// the same port there, which had been opened elsewhere at another back end, whatever its token said.
func TestOpenerOfEarlierFlowDoesNotOverruleToken(t *testing.T) {
	for _, byClock := range []bool{false, true} {
		for _, attempts := range []int{1, 2} {
			table, flows := manyBackends(5), NewFlows(mechanism.Set{})
			earlier, later := twoUses(byClock)
			tried := earlier.openThrough(flows, table, attempts)
			want := tried[attempts-1]
			if attempts == 1 {
				want = otherThan(table, tried...)
			}
			for _, packet := range []Packet{later.acknowledgement(want.Token), later.request(want.Token), later.answered(want.Token), later.end(want.Token)} {
				decision := flows.Decide(table, packet, at(1000))
				require.Equal(t, Decision{Verdict: Forward, Reason: ReasonToken, Backend: want}, decision, "%d attempts, by clock %t", attempts, byClock)
			}
		}
	}
}

// Packets of the earlier flow that come late don't end what is known of the later one.
func TestLatePacketOfEarlierFlowLeavesLaterOne(t *testing.T) {
	table, flows := manyBackends(5), NewFlows(mechanism.Set{})
	earlier, later := twoUses(false)
	first := earlier.openThrough(flows, table, 1)[0]
	flows.Decide(table, earlier.request(first.Token), at(10))
	second := otherThan(table, first)
	flows.Decide(table, later.request(second.Token), at(1000))
	for _, stray := range []Packet{earlier.request(first.Token), earlier.end(first.Token)} {
		require.Equal(t, first, flows.Decide(table, stray, at(1010)).Backend)
	}
	require.Equal(t, 1, flows.loadFor(second).inFlightRequests)
	require.Zero(t, flows.loadFor(first).inFlightRequests)
}

// resetCase is where a balancer still knows an earlier flow of a port when its back end is found
// dead or restarted, and what passes of the later one.
type resetCase struct {
	name string
	// idle is set if the earlier flow has rested for so long that it is no longer cached.
	idle bool
	// later returns the packets of the later flow that pass here.
	later func(earlier, later *portUse, living *Backend) []Packet
	// attempts is the number of back ends that the earlier flow's SYN was sent to.
	attempts int
}

func laterSYN(_, later *portUse, _ *Backend) []Packet { return []Packet{later.syn(0)} }

func laterHandshake(_, later *portUse, living *Backend) []Packet {
	return []Packet{later.acknowledgement(living.Token)}
}

func laterRequest(_, later *portUse, living *Backend) []Packet {
	return []Packet{later.request(living.Token)}
}

func earlierEnd(earlier, _ *portUse, _ *Backend) []Packet {
	return []Packet{earlier.end(earlierToken)}
}

const earlierToken = 2

var resetCases = []resetCase{
	{name: "cached, SYN", later: laterSYN},
	{name: "cached, handshake of a SYN that passed elsewhere", later: laterHandshake},
	{name: "cached, request", later: laterRequest},
	{name: "cached, ended", later: earlierEnd},
	{name: "cached, ended after three attempts", later: earlierEnd, attempts: 3},
	{name: "idle, SYN", idle: true, later: laterSYN},
	{name: "idle, handshake of a SYN that passed elsewhere", idle: true, later: laterHandshake},
	{name: "idle, request", idle: true, later: laterRequest},
	{name: "idle, ended", idle: true, later: earlierEnd},
	{name: "idle, ended after three attempts", idle: true, later: earlierEnd, attempts: 3},
}

// play lets an earlier flow of a port pass at the second of three back ends, and then the packets of
// the later one, until the given time. Another client keeps the other back ends responsive.
func (c resetCase) play(flows *Flows, table *Table, until int) {
	earlier, later := twoUses(true)
	if c.attempts > 0 {
		earlier.tryThrough(flows, table, c.attempts)
		flows.Decide(table, earlier.acknowledgement(earlierToken), at(650))
	}
	flows.Decide(table, earlier.request(earlierToken), at(700))
	flows.Decide(table, earlier.answered(earlierToken), at(720))
	laterAt := 1000
	if c.idle {
		laterAt = until - 100
	}
	for now := 800; now < until; now += 100 {
		if now >= laterAt && now < laterAt+100 {
			for _, packet := range c.later(earlier, later, table.tokens.backends(3)[0]) {
				flows.Decide(table, packet, at(now))
			}
		}
		exchange(flows, table, 50, 3, now)
	}
	flows.TakeAbandonedFlows()
}

// The client of a flow that has ended may use its port again, and while the next flow is not open it
// accepts any reset. When a back end is found dead, only flows that may still be open there are reset.
func TestResetsOfDeadBackendSpareLaterFlowOfPort(t *testing.T) {
	for _, each := range resetCases {
		table, flows := threeIdlingBackends(), NewFlows(mechanism.Set{}).WithZone("maadi")
		each.play(flows, table, 9000)
		for client := range 2 {
			flows.Receive(unanswered(2, evidence.Client(100+client), "maadi", 9100), table, at(9200))
		}
		flows.EvaluatePending(at(9200 + pendingMillis))
		require.True(t, flows.failureDetector.Failed(table.tokens.backends(2)[0], at(9200+pendingMillis)))
		require.Empty(t, flows.TakeAbandonedFlows(), each.name)
	}
}

// The same when a back end has restarted.
func TestResetsOfRestartedBackendSpareLaterFlowOfPort(t *testing.T) {
	for _, each := range resetCases {
		restarting, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
		each.play(flows, restarting.table(), 9000)
		flows.SetTable(restarting.restart(8990, 9010), at(9020))
		require.Empty(t, flows.TakeAbandonedFlows(), each.name)
	}
}

// A later flow of a port at the same back end is no older than its own first request, so a start of
// the back end before that does not end it.
func TestLaterFlowIsNotAsOldAsTheIdleOneBefore(t *testing.T) {
	restarting, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
	table := restarting.table()
	earlier, later := twoUses(true)
	flows.Decide(table, earlier.request(earlierToken), at(0))
	flows.Decide(table, earlier.answered(earlierToken), at(20))
	for now := 100; now < 9000; now += 100 {
		exchange(flows, table, 50, 3, now)
	}
	flows.Decide(table, later.request(earlierToken), at(9000)) // at the new start, before its entry is known
	flows.SetTable(restarting.restart(8990, 9010), at(9020))
	require.Empty(t, flows.TakeAbandonedFlows())
}

func threeIdlingBackends() *Table {
	named := routes(1, route(1, share("lending", 1)))
	named.GetRoutes().IdleMilliseconds = 15_000
	return NewTable(newDirectory(named, inZone(backend(2, 1, "lending"), "maadi"), inZone(backend(2, 2, "lending"), "maadi"),
		inZone(backend(2, 3, "lending"), "maadi")), defaultOptions())
}

// The client of a flow that two back ends have answered may send the token of the other one with its
// first request after a rest.
func TestFlowAnsweredByTwoBackendsStaysWithOpenerAfterRest(t *testing.T) {
	table, flows := threeIdlingBackends(), NewFlows(mechanism.Set{}).WithZone("maadi")
	use, _ := twoUses(false)
	tried := use.openThrough(flows, table, 2)
	flows.Decide(table, use.request(tried[0].Token), at(700))
	flows.Decide(table, use.answered(tried[0].Token), at(720))
	for now := 800; now < 14_000; now += 100 {
		exchange(flows, table, 50, 3, now)
	}
	require.Nil(t, flows.flowCache.find(key(use.port)))
	kept := flows.Decide(table, use.request(tried[1].Token), at(14_000))
	require.Equal(t, Decision{Verdict: Forward, Reason: ReasonOpenedElsewhere, Backend: tried[0]}, kept)
}

// What the next flow of a port sends says nothing of the request of the one before: neither that it
// was answered, nor that the back end of either flow lives.
func TestLaterFlowOfPortIsNoAnswerToEarlierRequest(t *testing.T) {
	for _, sameBackend := range []bool{false, true} {
		table, flows := threeIdlingBackends(), NewFlows(mechanism.Set{}).WithZone("maadi")
		earlier, later := twoUses(true)
		dead := table.tokens.backends(earlierToken)[0]
		sendUnanswered(flows, table, earlierToken, []byte{1, 2}, 0, 650)
		require.True(t, flows.failureDetector.Failed(dead, at(651)))
		token := Token(1)
		if sameBackend {
			token = earlierToken
		}
		flows.Decide(table, earlier.request(token), at(700))
		responses := flows.loadFor(dead).poolDemand.responses
		flows.Decide(table, later.request(earlierToken), at(1000))
		require.True(t, flows.failureDetector.Failed(dead, at(1000)), "a verdict on a dead back end stays, same back end: %t", sameBackend)
		require.Equal(t, responses, flows.loadFor(dead).poolDemand.responses, "no response is counted")
		require.Empty(t, flows.loadFor(dead).responses)
	}
}

// A request that the next flow of a port sends at once is no retransmission, however often ports are
// used again: no living back end is found dead.
func TestRequestsOfReusedPortAreNoRetransmissions(t *testing.T) {
	table, flows := threeIdlingBackends(), NewFlows(mechanism.Set{}).WithZone("maadi")
	for now := 0; now < 10_000; now += 200 {
		for port := range 4 {
			use := portUse{port: port, synSequence: uint32(now) * 250, backendSequence: uint32(now) * 1_000_000}
			packet := use.request(earlierToken) // answered and ended elsewhere
			require.Equal(t, Forward, flows.Decide(table, packet, at(now)).Verdict)
		}
		exchange(flows, table, 50, 3, now)
	}
	require.Zero(t, flows.BackendFailures())
}

// A flow whose end passed elsewhere no longer counts at its back end once its port is used again.
func TestReusedPortCountsOnce(t *testing.T) {
	for _, seen := range []string{"SYN", "request"} {
		table, flows := threeIdlingBackends(), NewFlows(mechanism.Set{}).WithZone("maadi")
		living := table.tokens.backends(3)[0]
		for round := range 20 {
			use := portUse{port: 1, synSequence: uint32(round) * 75_000, backendSequence: uint32(round) * 1_000_000_000}
			backend := living
			if seen == "SYN" {
				backend = flows.Decide(table, use.syn(0), at(round*10)).Backend
			}
			flows.Decide(table, use.request(backend.Token), at(round*10+1))
		}
		total, inFlight := 0, 0
		for _, load := range flows.loads {
			total, inFlight = total+load.flows, inFlight+load.inFlightRequests
		}
		require.Equal(t, 1, total, seen)
		require.Equal(t, 1, inFlight, seen)
		require.Zero(t, flows.demands[lendingPoolZone("maadi")].responses, seen)
	}
}

// The first packet of a flow, or a copy of it, that passes after data of the flow goes where the data
// went. The answer of another back end would change the token of the open flow.
func TestFirstPacketAfterDataGoesToOpener(t *testing.T) {
	table, flows := manyBackends(5), NewFlows(mechanism.Set{})
	use, _ := twoUses(false)
	elsewhere := NewFlows(mechanism.Set{}).Decide(table, use.syn(0), at(0)).Backend
	opener := otherThan(table, elsewhere) // the choice of a balancer that knows other loads
	flows.Decide(table, use.request(opener.Token), at(210))
	for copies := range 2 {
		require.Equal(t, opener, flows.Decide(table, use.syn(copies), at(220)).Backend)
	}
	require.Equal(t, opener, flows.Decide(table, use.request(elsewhere.Token), at(230)).Backend)
}

// A flow may have been opened by a back end that got its first packet from another balancer.
func TestOpenerThatAnotherBalancerTriedIsKept(t *testing.T) {
	table, flows := manyBackends(5), NewFlows(mechanism.Set{})
	use, _ := twoUses(false)
	second := flows.Decide(table, use.syn(1), at(200)).Backend
	opener := otherThan(table, second)
	flows.Decide(table, use.acknowledgement(opener.Token), at(210))
	kept := flows.Decide(table, use.request(second.Token), at(220))
	require.Equal(t, Decision{Verdict: Forward, Reason: ReasonOpenedElsewhere, Backend: opener}, kept)
	flows.Decide(table, firstPacket(2), at(400))
	require.Equal(t, uint64(1), flows.Unanswered.Load(), "the back end tried here opened nothing")
}

// The last acknowledgement of a flow may come after the SYN of the next one of its port. It doesn't
// end what is known of that one.
func TestLastAcknowledgementOfEndedFlowLeavesNextOne(t *testing.T) {
	table, flows := manyBackends(5), NewFlows(mechanism.Set{})
	earlier, later := twoUses(true)
	first := earlier.openThrough(flows, table, 1)[0]
	flows.Decide(table, earlier.request(first.Token), at(10))
	flows.Decide(table, earlier.end(first.Token), at(20))
	require.Zero(t, flows.loadFor(first).flows)
	opener := flows.Decide(table, later.syn(0), at(30)).Backend
	last := earlier.acknowledgement(first.Token)
	last.Sequence, last.Acknowledged = last.Sequence+1, last.Acknowledged+1
	require.Equal(t, first, flows.Decide(table, last, at(31)).Backend)
	other := otherThan(table, opener)
	flows.Decide(table, later.acknowledgement(opener.Token), at(32))
	require.Equal(t, opener, flows.Decide(table, later.request(other.Token), at(33)).Backend)
	require.Equal(t, 1, flows.loadFor(opener).inFlightRequests)
}

// A late packet of a flow that did not pass here before may be taken for that of a later flow. The
// flow that goes on is followed again.
func TestFlowIsFollowedAgainAfterLatePacketOfUnknownFlow(t *testing.T) {
	table, flows := manyBackends(5), NewFlows(mechanism.Set{})
	earlier, later := twoUses(false)
	living := table.tokens.backends(3)[0]
	flows.Decide(table, later.request(living.Token), at(0))
	flows.Decide(table, earlier.request(earlierToken), at(10))
	flows.Decide(table, later.answered(living.Token), at(20))
	flows.Decide(table, later.request(living.Token), at(30))
	require.Equal(t, 1, flows.loadFor(living).inFlightRequests)
	require.Zero(t, flows.loadFor(table.tokens.backends(earlierToken)[0]).flows)
}
