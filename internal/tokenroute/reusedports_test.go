package tokenroute

import (
	"testing"

	"github.com/stretchr/testify/require"

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

// openThrough sends the first packets of a flow through a balancer until the wanted number of back
// ends was tried, and lets the first of them open it.
func (u *portUse) openThrough(flows *Flows, table *Table, attempts, from int) (tried []*Backend) {
	for copies := range attempts {
		tried = append(tried, flows.Decide(table, u.syn(copies), at(from+[]int{0, 200, 600}[copies])).Backend)
	}
	flows.Decide(table, u.acknowledgement(tried[0].Token), at(from+[]int{0, 200, 600}[attempts-1]+5))
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
			tried := earlier.openThrough(flows, table, attempts, 0)
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
	first := earlier.openThrough(flows, table, 1, 0)[0]
	flows.Decide(table, earlier.request(first.Token), at(10))
	second := otherThan(table, first)
	flows.Decide(table, later.request(second.Token), at(1000))
	for _, stray := range []Packet{earlier.request(first.Token), earlier.end(first.Token)} {
		require.Equal(t, first, flows.Decide(table, stray, at(1010)).Backend)
	}
	require.Equal(t, 1, flows.loadFor(second).inFlightRequests)
	require.Zero(t, flows.loadFor(first).inFlightRequests)
}
