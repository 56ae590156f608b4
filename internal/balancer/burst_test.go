package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/rule"
	"github.com/indigobarrow/indigobarrow/internal/shares"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

const (
	burstBalancers = 5
	burstBackends  = 3
	// A back end handles burstSlots requests at a time and queues burstQueue more.
	burstSlots       = 2
	burstQueue       = 8
	burstServiceTime = 20 * time.Millisecond
	// urgentRouteAddress and patientRouteAddress are the addresses of two routes to the pool.
	urgentRouteAddress  = 1
	patientRouteAddress = 2
	// Each of steadyClients keeps a flow for several requests with pauses; each of burstClients
	// sends without pauses.
	steadyClients = 10
	burstClients  = 60
)

// queueingBackend is a back end that queues requests and rejects those beyond its queue.
type queueingBackend struct {
	inFlight   int
	slotFreeAt [burstSlots]time.Time
	// errorFraction is the fraction of its requests that it answers with an error at once.
	errorFraction float64
}

// burstClient opens flows through one balancer each and sends requests on them.
type burstClient struct {
	// nextAt is the time of its next action, and responseAt when the response to its request
	// arrives.
	nextAt, responseAt time.Time
	// endsAt is when a client of a burst ends; zero for the others.
	endsAt         time.Time
	node           int
	packet         tokenroute.Packet
	backend        *tokenroute.Backend
	requests       int
	responseLength uint32
	rejected       bool
}

// burstFleet simulates balancers in front of the back ends of one pool, in virtual time. Weight
// reductions for health have no limit, so that only the effect of findings is tested.
type burstFleet struct {
	random     *rand.Rand
	now        time.Time
	replica    *directory.Directory
	table      *tokenroute.Table
	nodes      [burstBalancers]burstNode
	backends   [burstBackends]queueingBackend
	clients    []*burstClient
	aggregates []*demand.Aggregate
	unhealthy  map[incarnation.ID]observe.Health
	// flowShares is the share of new flows of each back end while it is healthy, as a policy may set
	// it.
	flowShares [burstBackends]float64
	nextPort   int
	// servedLength and errorLength are the lengths of responses; errorLength is also that of
	// rejections.
	servedLength, errorLength uint32
	// aggregateDelay is the age of the aggregate of all balancers.
	aggregateDelay time.Duration
	// rejectedRequests and refusedFlows count rejected requests and refused flows by second, and
	// unhealthyCounts counts, for each back end, the intervals in which it counted as unhealthy.
	rejectedRequests, refusedFlows map[int]int
	unhealthyCounts                map[uint64]int
}

type burstNode struct {
	flows          *tokenroute.Flows
	admissionState admissionState
	local          demand.LocalLoad
	findings       map[incarnation.ID]observe.Finding
}

var burstStart = time.Now()

func newBurstFleet(seed uint64, servedLength, errorLength uint32) *burstFleet {
	fleet := &burstFleet{random: rand.New(rand.NewPCG(seed, 0)), now: burstStart, replica: directory.New(time.Minute),
		servedLength: servedLength, errorLength: errorLength, flowShares: [burstBackends]float64{1, 1, 1}, aggregateDelay: 1500 * time.Millisecond,
		rejectedRequests: make(map[int]int), refusedFlows: make(map[int]int), unhealthyCounts: make(map[uint64]int)}
	batch := routesBatch(5)
	pools := []*apiv1.PoolShare{{Pool: "desk", Weight: 1000}}
	batch.Changes[0].GetRoutes().Routes = []*apiv1.ServiceRoute{
		{Name: "urgent", Address: urgentRouteAddress, Port: 443, Pools: pools},
		{Name: "patient", Address: patientRouteAddress, Port: 443, Priority: 3, Pools: pools}}
	for number := range uint64(burstBackends) {
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 5, Entry: &apiv1.DirectoryChange_Backend{
			Backend: &apiv1.PoolBackend{Id: fmt.Sprint("i-", number+1), Number: number + 1, Pool: "desk", Zone: "maadi",
				Address: uint32(number + 1), Port: 80, Capacity: burstSlots}}})
	}
	fleet.replica.Apply(batch, fleet.now)
	for index := range fleet.nodes {
		fleet.nodes[index] = burstNode{flows: tokenroute.NewFlows(mechanism.Set{}).WithZone("maadi"), admissionState: newAdmissionState()}
		fleet.nodes[index].admissionState.updateRoutes(fleet.replica.Routes())
	}
	for range steadyClients {
		fleet.clients = append(fleet.clients, &burstClient{nextAt: fleet.now})
	}
	fleet.rebuildTable()
	return fleet
}

// rebuildTable builds a table from the current findings.
func (b *burstFleet) rebuildTable() {
	b.table = tokenroute.NewTable(b.replica, tokenroute.Options{Now: b.now, Previous: b.table,
		WeightOf: func(entry directory.BackendEntry) uint32 {
			return uint32(b.flowShares[entry.GetNumber()-1] * shares.HealthWeight(b.unhealthy[entry.Incarnation()]) * rule.MaximumWeight)
		}})
}

// burst adds clients for a period.
func (b *burstFleet) burst(length time.Duration) {
	for range burstClients {
		b.clients = append(b.clients, &burstClient{nextAt: b.now, endsAt: b.now.Add(length)})
	}
}

func (b *burstFleet) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		active := b.clients[:0]
		for _, client := range b.clients {
			if !client.nextAt.After(b.now) {
				b.advance(client)
			}
			if client.endsAt.IsZero() || client.backend != nil || b.now.Before(client.endsAt) {
				active = append(active, client)
			}
		}
		b.clients = active
		if b.now.Sub(burstStart)%shareUpdateInterval == 0 {
			b.summarize()
		}
	}
}

// advance performs a client's next action: it opens a flow, sends a request, or receives a
// response.
func (b *burstFleet) advance(client *burstClient) {
	switch {
	case client.backend == nil:
		b.open(client)
	case client.responseAt.IsZero():
		b.sendRequest(client)
	default:
		b.receiveResponse(client)
	}
}

func (b *burstFleet) open(client *burstClient) {
	b.nextPort++
	client.node, client.requests = b.random.IntN(burstBalancers), 0
	client.packet = tokenroute.Packet{First: true, Key: flow.Key{Source: [4]byte{100, 64, byte(b.nextPort >> 24), byte(b.nextPort >> 16)},
		SourcePort: uint16(b.nextPort), Destination: [4]byte{0, 0, 0, patientRouteAddress}, DestinationPort: 443, Protocol: flow.ProtocolTCP}}
	if b.random.IntN(3) == 0 {
		client.packet.Key.Destination[3] = urgentRouteAddress
	}
	decision := b.decide(client)
	client.backend, client.nextAt = decision.Backend, b.now.Add(2*time.Millisecond)
	if decision.Verdict == tokenroute.Refuse {
		b.refusedFlows[b.second()]++
		client.nextAt = b.now.Add(50 * time.Millisecond)
	}
}

func (b *burstFleet) decide(client *burstClient) tokenroute.Decision {
	return b.nodes[client.node].flows.Decide(b.table, client.packet, b.now)
}

// sendRequest sends the next request of a flow to its back end.
func (b *burstFleet) sendRequest(client *burstClient) {
	packet := &client.packet
	packet.First, packet.Token, packet.Sequence, packet.Length = false, client.backend.Token, packet.Sequence+20, 20
	packet.Acknowledged = max(packet.Acknowledged, 1)
	b.decide(client)
	client.requests++
	b.startRequest(client, &b.backends[client.backend.Number-1])
	client.nextAt = client.responseAt
}

// startRequest runs a request at a back end, or rejects it.
func (b *burstFleet) startRequest(client *burstClient, backend *queueingBackend) {
	client.rejected = backend.inFlight >= burstSlots+burstQueue
	if client.rejected || backend.errorFraction > 0 && b.random.Float64() < backend.errorFraction {
		client.responseLength, client.responseAt = b.errorLength, b.now.Add(time.Millisecond)
		backend.inFlight++
		return
	}
	first := 0
	for slot := range backend.slotFreeAt {
		if backend.slotFreeAt[slot].Before(backend.slotFreeAt[first]) {
			first = slot
		}
	}
	if backend.slotFreeAt[first].Before(b.now) {
		backend.slotFreeAt[first] = b.now
	}
	backend.slotFreeAt[first] = backend.slotFreeAt[first].Add(burstServiceTime)
	backend.inFlight++
	client.responseLength, client.responseAt = b.servedLength, backend.slotFreeAt[first].Add(time.Millisecond)
}

// receiveResponse acknowledges a response. Clients of a burst open another flow at once.
func (b *burstFleet) receiveResponse(client *burstClient) {
	b.backends[client.backend.Number-1].inFlight--
	client.packet.Acknowledged += client.responseLength
	client.packet.Length, client.responseAt = 0, time.Time{}
	b.decide(client)
	client.nextAt = b.now.Add(60 * time.Millisecond)
	if client.rejected {
		b.rejectedRequests[b.second()]++
	}
	if client.endsAt.IsZero() && client.requests < 12 && !client.rejected {
		return
	}
	client.packet.Closing = true
	b.decide(client)
	client.packet.Closing, client.backend = false, nil
	if !client.endsAt.IsZero() && !client.rejected {
		client.nextAt = b.now
	}
}

// summarize collects what the balancers observed, as their control goroutines do.
func (b *burstFleet) summarize() {
	joined := make(map[incarnation.ID]observe.Finding)
	all := demand.Aggregate{At: b.now, Balancers: burstBalancers, ZoneBalancers: map[demand.Zone]int{"maadi": burstBalancers},
		Loads: make(map[demand.PoolZone]demand.Load)}
	for index := range b.nodes {
		node := &b.nodes[index]
		if summary := node.flows.Summarize(b.now); summary != nil {
			node.admissionState.pressureEstimator.addSummary(summary)
			node.local.Observe(summary.Loads, summary.At)
			node.findings = summary.Findings
		}
		for id, finding := range node.findings {
			joined[id] = joined[id].Plus(finding)
		}
		for poolZone, load := range node.local.Aggregate("maadi", b.now).Loads {
			all.Loads[poolZone] = all.Loads[poolZone].Plus(load)
		}
	}
	b.aggregates = append(b.aggregates, all.WithCapacity(map[demand.PoolZone]float64{{Pool: "desk", Zone: "maadi"}: burstBackends * burstSlots}))
	if delayed := len(b.aggregates) - 1 - int(b.aggregateDelay/shareUpdateInterval); delayed >= 0 {
		for index := range b.nodes {
			b.nodes[index].update(b.aggregates[delayed], b.now)
		}
	}
	evaluated := make(map[incarnation.ID]observe.Health)
	for id, finding := range joined {
		if health := finding.Health(burstBalancers, b.unhealthy[id]); !health.Healthy() {
			evaluated[id] = health
			b.unhealthyCounts[id.Number]++
		}
	}
	b.unhealthy = evaluated
	b.rebuildTable()
}

// update applies the aggregate of all balancers.
func (n *burstNode) update(aggregate *demand.Aggregate, now time.Time) {
	n.flows.SetSaturatedPools(n.admissionState.saturatedPools("maadi", aggregate, now))
	var demands []admission.PoolState
	for pool := range aggregate.PoolZones() {
		demands = append(demands, admission.PoolState{Pool: string(pool), Priorities: n.admissionState.priorities[string(pool)],
			Pressure: n.admissionState.pressureEstimator.estimate(pool, "maadi", aggregate, zoneCounts{"maadi": burstBalancers})})
	}
	n.flows.SetRefusals(n.admissionState.controller.Update(demands, now))
}

// second returns the current second of the simulation.
func (b *burstFleet) second() int { return int(b.now.Sub(burstStart).Seconds()) }

// sumBetween sums the counts from one second up to, but not including, another.
func sumBetween(counts map[int]int, from, until int) int {
	sum := 0
	for second, count := range counts {
		if second >= from && second < until {
			sum += count
		}
	}
	return sum
}

// unevenShares are shares of new flows with which some back ends get few responses after a burst.
var unevenShares = [][burstBackends]float64{{1, 1, 1}, {1, 1, 0.3}, {1, 1, 0.1}, {1, 0.5, 0.2}}

// In a burst, back ends that rejected requests gave short responses and looked as if they failed,
// and those with few responses afterwards continued to look slow. Two of three counted as unhealthy
// for 10 to 20 s, and the third got nearly all new flows.
func TestBurstCausesNoHealthFindings(t *testing.T) {
	for name, lengths := range map[string][2]uint32{"a rejection is shorter": {600, 140}, "a rejection is as long": {600, 600}} {
		t.Run(name, func(t *testing.T) {
			for index, flowShares := range unevenShares {
				for seed := range uint64(4) {
					fleet := newBurstFleet(seed, lengths[0], lengths[1])
					fleet.flowShares = flowShares
					fleet.rebuildTable()
					fleet.run(8 * time.Second)
					fleet.burst(2 * time.Second)
					fleet.run(22 * time.Second)
					require.Empty(t, fleet.unhealthyCounts, "shares %d, seed %d", index, seed)
					require.Positive(t, sumBetween(fleet.rejectedRequests, 8, 10))
					require.Zero(t, sumBetween(fleet.rejectedRequests, 12, 30), "2 s after the burst all requests are served as before")
				}
			}
		})
	}
}

// unhealthyFraction runs the simulation for a time and returns the fraction of intervals in which a
// back end counted as unhealthy.
func (b *burstFleet) unhealthyFraction(number uint64, length time.Duration) float64 {
	before := b.unhealthyCounts[number]
	b.run(length)
	return float64(b.unhealthyCounts[number]-before) / float64(length/shareUpdateInterval)
}

// A back end that answers half of its requests with an error is detected before a burst, and counts
// as failing, except for moments, as long as it fails, also during the burst.
func TestFailingBackendIsDetectedDuringBurst(t *testing.T) {
	for seed := range uint64(4) {
		fleet := newBurstFleet(seed, 600, 140)
		fleet.backends[2].errorFraction = 0.5
		fleet.run(4 * time.Second)
		require.Greater(t, fleet.unhealthyFraction(3, 4*time.Second), 0.75, "before")
		fleet.burst(2 * time.Second)
		require.Greater(t, fleet.unhealthyFraction(3, 2*time.Second), 0.75, "during the burst")
		require.Greater(t, fleet.unhealthyFraction(3, 20*time.Second), 0.75, "after")
		require.Zero(t, fleet.unhealthyCounts[1]+fleet.unhealthyCounts[2])
	}
}

// Next to a back end that answered everything at once with an error, the other two counted as slow
// for as long as it did. All three lost the same weight, so the failing one kept a third of the
// flows.
func TestOnlyInstantlyFailingBackendIsAvoided(t *testing.T) {
	for seed := range uint64(6) {
		fleet := newBurstFleet(seed, 600, 140)
		fleet.backends[2].errorFraction = 1
		fleet.run(10 * time.Second)
		for _, healthy := range []uint64{1, 2} {
			require.Zero(t, fleet.unhealthyFraction(healthy, 20*time.Second), "seed %d", seed)
		}
		require.Greater(t, fleet.unhealthyFraction(3, 20*time.Second), 0.75)
	}
}

// A back end that begins to fail during a burst is detected once the pool has free capacity again.
func TestBackendFailingSinceBurstIsDetectedAfterwards(t *testing.T) {
	for seed := range uint64(4) {
		fleet := newBurstFleet(seed, 600, 140)
		fleet.run(8 * time.Second)
		fleet.burst(2 * time.Second)
		fleet.run(time.Second)
		fleet.backends[2].errorFraction = 0.5
		fleet.run(7 * time.Second)
		require.Greater(t, fleet.unhealthyFraction(3, 20*time.Second), 0.75)
		require.Zero(t, fleet.unhealthyCounts[1]+fleet.unhealthyCounts[2])
	}
}

// Between 2 and 8 s after a burst, flows were refused because of aggregates 1.5 to 2.5 s old. An
// old aggregate shows that no slot is free, while the requests waiting here now show that the burst
// is over.
func TestStaleAggregateRefusesNoFlowsAfterBurst(t *testing.T) {
	for _, aggregateDelay := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond} {
		for seed := range uint64(4) {
			fleet := newBurstFleet(seed, 600, 140)
			fleet.aggregateDelay = aggregateDelay
			fleet.run(8 * time.Second)
			fleet.burst(5 * time.Second)
			fleet.run(15 * time.Second)
			require.Zero(t, sumBetween(fleet.refusedFlows, 0, 8), "before the burst, delay %s, seed %d", aggregateDelay, seed)
			require.Positive(t, sumBetween(fleet.refusedFlows, 8, 13), "during the burst")
			require.Zero(t, sumBetween(fleet.refusedFlows, 14, 30), "a second after the burst, delay %s, seed %d: %v", aggregateDelay, seed, fleet.refusedFlows)
		}
	}
}
