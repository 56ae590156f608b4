package tokenroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// simulation runs balancers of one zone in virtual time. They form a tree along which they exchange
// observations, and forward requests to back ends, some of which fall silent at the same time.
type simulation struct {
	random *rand.Rand
	table  *Table
	nodes  []simulatedBalancer
	flows  []simulatedFlow
	// failed is the number of back ends that fall silent at failedAt, lowest numbers first.
	failed, failedAt int
	// detectedAfter maps a balancer and a failed back end to the time from the failure until the
	// balancer first reset a flow of the back end.
	detectedAfter map[[2]int]int
	// lost counts the requests that went to failed back ends.
	lost int
	// extraDelay returns the additional delay of a balancer's messages. If it is nil, there is
	// none.
	extraDelay func(index, now int) int
	// idleFrom is the first of ten back ends whose flows send a single request. If it is zero,
	// there are none.
	idleFrom int
}

type simulatedBalancer struct {
	flows  *Flows
	buffer evidence.Buffer
	// sentUpTo is the sequence number up to which observations were sent to the neighbors.
	sentUpTo      uint64
	nextMessageAt int
	inbox         []message
}

// message is a set of observations in transit to a balancer.
type message struct {
	from         string
	observations []evidence.Observation
	arrivesAt    int
}

// simulatedFlow is a client's flow. It sends a request, retransmits it, and sends the next one
// after a pause.
type simulatedFlow struct {
	key         flow.Key
	balancer    int
	backend     int
	requests    uint32
	sentAt      int
	retransmits int
	nextAt      int
	waiting     bool
	// answeredAt is when the answer arrives, if that is known in advance, and 0 otherwise.
	answeredAt int
}

const (
	treeFanout = 16
	stepTime   = 5
	// messageTime is the transit time of a message, and batchTime how long observations are
	// collected for one, in milliseconds.
	messageTime = 10
	batchTime   = 25
)

func newSimulation(balancers, backends, failed int, disabled mechanism.Set) *simulation {
	noZone := func(int) string { return "" }
	return newZonedSimulation(balancers, backends, failed, disabled, noZone, noZone)
}

// newZonedSimulation returns a simulation with balancers and back ends in several zones.
func newZonedSimulation(balancers, backends, failed int, disabled mechanism.Set, home, zone func(number int) string) *simulation {
	return newSimulationWithFlows(balancers, backends, failed, busyFlows, disabled, home, zone)
}

// busyFlows is the number of flows of a back end that gets about 9 requests a second, as on a busy
// site: 27 flows with one request every 3 seconds.
const busyFlows = 27

// newSimulationWithFlows returns a simulation with the given number of flows per back end.
func newSimulationWithFlows(balancers, backends, failed, flows int, disabled mechanism.Set, home, zone func(number int) string) *simulation {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	changes[0].GetRoutes().IdleMilliseconds = 15_000
	for number := range backends {
		changes = append(changes, inZone(backend(2, uint64(number+1), "lending"), zone(number)))
	}
	built := &simulation{random: rand.New(rand.NewPCG(uint64(balancers), 7)), failed: failed, failedAt: 4000,
		table: NewTable(newDirectory(changes...), defaultOptions()), detectedAfter: make(map[[2]int]int)}
	for index := range balancers {
		built.nodes = append(built.nodes, simulatedBalancer{flows: NewFlows(disabled).WithZone(home(index))})
	}
	for number := range backends * flows {
		index := len(built.flows)
		built.flows = append(built.flows, simulatedFlow{
			key: flow.Key{Source: [4]byte{100, byte(index >> 16), byte(index >> 8), byte(index)}, SourcePort: 1,
				Destination: [4]byte{0, 0, 0, 1}, DestinationPort: 443, Protocol: flow.ProtocolTCP},
			balancer: built.random.IntN(balancers), backend: number % backends, nextAt: built.random.IntN(3000),
		})
	}
	return built
}

func (s *simulation) run(until int) {
	for now := 0; now < until; now += stepTime {
		for index := range s.flows {
			s.stepFlow(&s.flows[index], now)
		}
		for node := range s.nodes {
			s.applyResets(node, now)
			s.exchange(node, now)
		}
	}
}

// stepFlow advances a flow to the given time.
func (s *simulation) stepFlow(f *simulatedFlow, now int) {
	silent := f.backend < s.failed && now >= s.failedAt
	switch {
	case f.backend < 0 || now < f.nextAt || !f.waiting && f.requests > 0 && s.idleFrom > 0 && f.backend >= s.idleFrom && f.backend < s.idleFrom+10:
		return
	case !f.waiting:
		f.requests++
		f.sentAt, f.retransmits, f.waiting = now, 0, true
		if silent {
			s.lost++
		}
	case !silent && f.retransmits == 0:
		// The answer to the request has arrived, and the client acknowledges it.
		s.nodes[f.balancer].flows.Decide(s.table, Packet{Key: f.key, Token: Token(f.backend + 1), Sequence: 1000 * f.requests,
			Acknowledged: 5000*f.requests + 300}, at(now))
		f.waiting, f.nextAt = false, now+1000+s.random.IntN(4000)
		return
	default:
		f.retransmits++
	}
	packet := Packet{Key: f.key, Token: Token(f.backend + 1), Sequence: 1000 * f.requests, Acknowledged: 5000 * f.requests, Length: 500}
	if s.nodes[f.balancer].flows.Decide(s.table, packet, at(now)).Verdict == Refuse {
		s.reset(f)
		return
	}
	switch {
	case !silent:
		f.nextAt = now + 25
	case f.retransmits < len(retransmitTimes):
		f.nextAt = f.sentAt + retransmitTimes[f.retransmits]
	default:
		s.reset(f)
	}
}

// reset ends a flow. Its client goes elsewhere.
func (s *simulation) reset(f *simulatedFlow) { f.backend = -1 }

// applyResets resets the flows that a balancer abandons.
func (s *simulation) applyResets(index, now int) {
	node := &s.nodes[index]
	node.flows.EvaluatePending(at(now))
	for _, abandoned := range node.flows.TakeAbandonedFlows() {
		number := int(abandoned.Backend.Number) - 1
		if number >= s.failed {
			panic(fmt.Sprintf("a flow of back end %d, which is alive, was reset", number))
		}
		if _, found := s.detectedAfter[[2]int{index, number}]; !found {
			s.detectedAfter[[2]int{index, number}] = now - s.failedAt
		}
		source := abandoned.Key.Source
		s.reset(&s.flows[int(source[1])<<16|int(source[2])<<8|int(source[3])])
	}
}

// exchange handles the messages that have arrived and sends new observations up and down the tree.
func (s *simulation) exchange(index, now int) {
	node := &s.nodes[index]
	kept := node.inbox[:0]
	for _, each := range node.inbox {
		if each.arrivesAt > now {
			kept = append(kept, each)
			continue
		}
		for _, observation := range each.observations {
			if node.buffer.Add(observation, each.from, at(now)) {
				node.flows.Receive(observation, s.table, at(now))
			}
		}
	}
	node.inbox = kept
	for _, observation := range node.flows.TakeObservations() {
		node.buffer.Add(observation, "", at(now))
	}
	if now < node.nextMessageAt || node.sentUpTo == node.buffer.LastSequence() {
		return
	}
	node.nextMessageAt = now + batchTime
	if index > 0 {
		s.send(index, (index-1)/treeFanout, now)
	}
	for child := index*treeFanout + 1; child <= min(index*treeFanout+treeFanout, len(s.nodes)-1); child++ {
		s.send(index, child, now)
	}
	node.sentUpTo = node.buffer.LastSequence()
}

func (s *simulation) send(from, to, now int) {
	observations := s.nodes[from].buffer.Since(s.nodes[from].sentUpTo, fmt.Sprint(to), at(now))
	if len(observations) > 0 {
		arrivesAt := now + messageTime
		if s.extraDelay != nil {
			arrivesAt += s.extraDelay(from, now) + s.extraDelay(to, now)
		}
		s.nodes[to].inbox = append(s.nodes[to].inbox, message{from: fmt.Sprint(from), observations: observations, arrivesAt: arrivesAt})
	}
}

// detectionTimes returns, in ascending order, how long it took the balancers with flows of a failed
// back end to detect the failure.
func (s *simulation) detectionTimes() []int {
	var found []int
	for _, time := range s.detectedAfter {
		found = append(found, time)
	}
	slices.Sort(found)
	return found
}

// Of 150 back ends, 30 fall silent at the same time. Without shared reports, each balancer detects
// the failures by losing requests of its own, one back end after the other, and half know only after
// 3 seconds. With shared reports, half of the balancers know after about 1.0 second, of which 0.6 are
// two retransmissions and 0.2 the wait for contradicting activity, and a third as many requests go
// to failed back ends.
func TestSharedReportsShortenFailureDetection(t *testing.T) {
	for _, balancers := range []int{88, 300} {
		t.Run(fmt.Sprintf("%d balancers", balancers), func(t *testing.T) {
			t.Parallel()
			disabled, err := mechanism.Parse([]string{string(mechanism.JoinedEvidence), string(mechanism.RestedFlows)})
			require.NoError(t, err)
			alone, joined := newSimulation(balancers, 150, 30, disabled), newSimulation(balancers, 150, 30, mechanism.Set{})
			alone.run(9000)
			joined.run(9000)
			aloneTimes, joinedTimes := alone.detectionTimes(), joined.detectionTimes()
			require.Greater(t, aloneTimes[len(aloneTimes)/2], 2000, "without shared reports")
			require.LessOrEqual(t, joinedTimes[len(joinedTimes)/2], 1100)
			require.LessOrEqual(t, joinedTimes[len(joinedTimes)-1], 1800)
			require.Less(t, 2*joined.lost, alone.lost)
			t.Logf("not shared: half after %d ms, last after %d ms, %d requests lost; shared: half after %d ms, last after %d ms, %d requests lost",
				aloneTimes[len(aloneTimes)/2], aloneTimes[len(aloneTimes)-1], alone.lost, joinedTimes[len(joinedTimes)/2], joinedTimes[len(joinedTimes)-1], joined.lost)
		})
	}
}

// A third of all back ends falls silent at the same time. No balancer can distinguish that from a
// fault of its own link, and the number of exchanged observations stays within its bound.
func TestObservationsStayBoundedWhenThirdOfBackendsFails(t *testing.T) {
	sim := newSimulation(88, 150, 50, mechanism.Set{})
	sim.run(7000)
	for index := range sim.nodes {
		require.Zero(t, sim.nodes[index].buffer.Dropped.Load())
		require.Less(t, int(sim.nodes[index].buffer.LastSequence()), 600)
	}
	require.NotEmpty(t, sim.detectionTimes())
}
