package lab

import (
	"fmt"
	"math"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// Simulation holds the state of one run: its nodes, store, services and flows. It
// must only be used from one goroutine.
type Simulation struct {
	Clock     *Clock
	Result    Result
	settings  Settings
	nodes     []*node
	nodesByID map[string]*node
	nodeCount int
	store     *store
	services  []*service
	backends  map[uint32]*backend
	openFlows map[*connection]struct{}
	flowCount uint32
	// fabric lists the nodes that the network fabric sends packets to, each packet
	// to a random one.
	fabric []*node
	// partitionedZones holds true for the zones that are partitioned from all others.
	partitionedZones map[string]bool
	// acceptedAt is when each configuration revision was accepted; a revision is
	// removed once it is active on all running nodes.
	acceptedAt map[uint64]time.Duration
	watermarks map[string]watermark
}

// Result holds the measurements of a run.
type Result struct {
	Flows, Established, Completed, Unopened, Refused int
	// Broken counts broken flows by cause. BrokenWeighted counts all broken flows,
	// and those that carry a Return Notice or a purchase twice.
	Broken         map[string]int
	BrokenWeighted int
	// SecondBackend counts SYNs that reached a back end after another one had
	// accepted the flow.
	SecondBackend int
	// WrongService counts packets that reached a back end of another service.
	WrongService int
	// RefusedAfterAccept counts refusals of flows that a back end had accepted.
	RefusedAfterAccept int
	Dropped            int
	Paths              [router.PathCount]int
	// LeavingDelays are the times from the start of a back end's leaving to each
	// new flow that it still accepted.
	LeavingDelays []time.Duration
	// ActivationDelays are the times from the acceptance of a configuration until
	// it is active on all running nodes.
	ActivationDelays []time.Duration
	// WeightChanges counts the evaluations of the policy that changed weights.
	WeightChanges int
	// Traces are the histories of broken flows and of flows that reached a second
	// back end; they are empty unless the settings ask for traces.
	Traces [][]string
	// Violation describes the first violated invariant, "" for none.
	Violation string
	// Imbalance has one sample per second of the first service.
	Imbalance []Imbalance
	// ControlMean is the mean control traffic that a node sends, in bytes per
	// second. ControlPeak is the highest rate of a node over ten seconds,
	// ControlSecond the highest over one second.
	ControlMean, ControlPeak, ControlSecond float64
	BytesByKind                             map[string]uint64
}

// Imbalance measures how evenly the open flows of a service are distributed over
// its back ends that are not leaving.
type Imbalance struct {
	At time.Duration
	// MaximumOverMean is the maximum divided by the mean, Variation the
	// coefficient of variation. They are 1 and 0 when all back ends have the same
	// number of open flows.
	MaximumOverMean, Variation float64
}

// New returns a simulation whose nodes and services start at time 0, and whose
// traffic starts after warmUpTime. Advance its Clock to run it.
func New(settings Settings) *Simulation {
	sim := &Simulation{
		Clock:            NewClock(settings.Seed),
		settings:         settings,
		nodesByID:        make(map[string]*node),
		backends:         make(map[uint32]*backend),
		openFlows:        make(map[*connection]struct{}),
		partitionedZones: make(map[string]bool),
		acceptedAt:       make(map[uint64]time.Duration),
	}
	sim.Result.Broken = make(map[string]int)
	sim.Result.BytesByKind = make(map[string]uint64)
	sim.store = &store{sim: sim}
	sim.createServices()
	for range settings.NodesPerZone {
		for _, zone := range settings.Zones {
			sim.fabric = append(sim.fabric, sim.addNode(zone))
		}
	}
	for _, service := range sim.services {
		sim.startTraffic(service)
	}
	sim.startPolicy()
	sim.sampleEverySecond()
	sim.pollActivation()
	return sim
}

// createServices creates the services and the first configuration from the
// settings.
func (sim *Simulation) createServices() {
	configuration := &apiv1.Configuration{Revision: 1}
	backendID := uint32(0)
	for index, settings := range sim.settings.Services {
		address := flow.Address{IP: [4]byte{10, 200, byte(index >> 8), byte(index + 1)}, Port: 80, Protocol: flow.ProtocolTCP}
		newService := &service{settings: settings, address: address, index: index}
		definition := &apiv1.Service{Name: settings.Name, Address: fmt.Sprintf("10.200.%d.%d", index>>8, byte(index+1)), Port: 80}
		for backendIndex := range settings.Backends {
			backendID++
			zone := sim.settings.Zones[backendIndex%len(sim.settings.Zones)]
			added := &backend{id: backendID, name: fmt.Sprintf("%s-%d", settings.Name, backendIndex), zone: zone, service: newService}
			newService.backends = append(newService.backends, added)
			sim.backends[backendID] = added
			definition.Backends = append(definition.Backends, &apiv1.Backend{Id: backendID, Name: added.name, Zone: zone})
		}
		sim.services = append(sim.services, newService)
		configuration.Services = append(configuration.Services, definition)
	}
	configuration.NextBackendId = backendID + 1
	sim.store.configuration = configuration
	sim.acceptedAt[1] = 0
}

// warmUpTime is when traffic starts, so that the nodes have found each other by
// then. The initial flows are opened over a period of the same length after that.
const warmUpTime = 10 * time.Second

func (sim *Simulation) startTraffic(service *service) {
	for range service.settings.InitialFlows {
		at := warmUpTime + time.Duration(sim.Clock.Random.Float64()*float64(warmUpTime))
		sim.Clock.After(at, func() { sim.openFlow(service) })
	}
	if service.settings.ArrivalRate > 0 {
		sim.Clock.After(warmUpTime, func() { sim.scheduleArrivals(service) })
	}
}

func (sim *Simulation) scheduleArrivals(service *service) {
	sim.openFlow(service)
	mean := time.Duration(float64(time.Second) / service.settings.ArrivalRate)
	sim.Clock.After(sim.Clock.Exponential(mean), func() { sim.scheduleArrivals(service) })
}

// sampleEverySecond records imbalance and control traffic once a second. Peaks of
// control traffic count only after the initial flows have been opened.
func (sim *Simulation) sampleEverySecond() {
	sim.Result.Imbalance = append(sim.Result.Imbalance, sim.imbalance())
	for _, node := range sim.nodes {
		rate := float64(node.controlBytes)
		node.controlBytes = 0
		node.controlRates = append(node.controlRates, rate)
		if sim.Clock.Now() > 2*warmUpTime {
			sim.Result.ControlSecond = max(sim.Result.ControlSecond, rate)
			sim.Result.ControlPeak = max(sim.Result.ControlPeak, node.recentControlRate())
		}
	}
	sim.Clock.After(time.Second, sim.sampleEverySecond)
}

// rateWindowSeconds is the number of seconds over which the peak of control
// traffic is averaged.
const rateWindowSeconds = 10

func (node *node) recentControlRate() float64 {
	recent := node.controlRates[max(0, len(node.controlRates)-rateWindowSeconds):]
	total := 0.0
	for _, rate := range recent {
		total += rate
	}
	return total / float64(len(recent))
}

// pollActivation checks every activationPollInterval whether the newest
// configuration has become active.
func (sim *Simulation) pollActivation() {
	sim.recordActivation()
	sim.Clock.After(activationPollInterval, sim.pollActivation)
}

const activationPollInterval = 20 * time.Millisecond

func (sim *Simulation) imbalance() Imbalance {
	var counts []float64
	for _, backend := range sim.services[0].backends {
		if backend.leavingAt == 0 {
			counts = append(counts, float64(backend.openFlows))
		}
	}
	var total, squares, largest float64
	for _, count := range counts {
		total += count
		largest = max(largest, count)
	}
	mean := total / float64(len(counts))
	if mean == 0 {
		return Imbalance{At: sim.Clock.Now(), MaximumOverMean: 1}
	}
	for _, count := range counts {
		squares += (count - mean) * (count - mean)
	}
	return Imbalance{
		At:              sim.Clock.Now(),
		MaximumOverMean: largest / mean,
		Variation:       math.Sqrt(squares/float64(len(counts))) / mean,
	}
}

// recordActivation records the activation delay of the newest configuration once
// it is active on all running nodes. The first configuration is not recorded.
func (sim *Simulation) recordActivation() {
	revision := sim.store.configuration.GetRevision()
	acceptTime, pending := sim.acceptedAt[revision]
	if !pending {
		return
	}
	for _, node := range sim.nodes {
		if node.running() && node.activeRevision() < revision {
			return
		}
	}
	delete(sim.acceptedAt, revision)
	if revision > 1 {
		sim.Result.ActivationDelays = append(sim.Result.ActivationDelays, sim.Clock.Now()-acceptTime)
	}
}

// activeRevision returns the configuration revision that applies to new flows on
// the node.
func (node *node) activeRevision() uint64 {
	view := node.router.View()
	if view == nil {
		return 0
	}
	if view.Pending != nil && view.Phase >= router.PhaseActive {
		return view.Pending.Revision
	}
	return view.Settled.Revision
}

// Finish adds the totals of control traffic to the results and returns them.
func (sim *Simulation) Finish() Result {
	seconds := (sim.Clock.Now() - warmUpTime).Seconds()
	var total uint64
	nodeTotal := 0
	for _, node := range sim.nodes {
		nodeTotal++
		for kind, bytes := range node.bytesByKind {
			sim.Result.BytesByKind[kind] += bytes
			total += bytes
		}
	}
	sim.Result.ControlMean = float64(total) / seconds / float64(nodeTotal)
	return sim.Result
}

// TotalBroken returns the number of broken flows of all causes.
func (result Result) TotalBroken() int {
	total := 0
	for _, count := range result.Broken {
		total += count
	}
	return total
}

// MeanVariation returns the mean coefficient of variation over the run after the
// initial flows have been opened.
func (result Result) MeanVariation() float64 {
	return result.mean(func(sample Imbalance) float64 { return sample.Variation })
}

// MeanMaximumOverMean returns the mean of MaximumOverMean over the run after the
// initial flows have been opened.
func (result Result) MeanMaximumOverMean() float64 {
	return result.mean(func(sample Imbalance) float64 { return sample.MaximumOverMean })
}

// mean returns the mean of a measure of imbalance over the run after the initial
// flows have been opened.
func (result Result) mean(value func(Imbalance) float64) float64 {
	total, count := 0.0, 0
	for _, sample := range result.Imbalance {
		if sample.At > 2*warmUpTime {
			total += value(sample)
			count++
		}
	}
	return total / float64(max(count, 1))
}

// Percentile returns the p-th percentile of durations, or 0 if there are none.
func Percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(math.Ceil(p/100*float64(len(sorted))))-1)]
}

func (sim *Simulation) partitioned(left, right string) bool {
	return left != right && (sim.partitionedZones[left] || sim.partitionedZones[right])
}

func (sim *Simulation) delay(from, to string) time.Duration {
	network := sim.settings.Network
	delay := network.SameZoneDelay
	if from != to {
		delay = network.CrossZoneDelay
	}
	return delay + time.Duration(sim.Clock.Random.Float64()*float64(network.Jitter))
}

// changeConfiguration applies a change to the configuration and notifies the
// store's watchers, as an accepted request to the admin API does.
func (sim *Simulation) changeConfiguration(apply func(*apiv1.Configuration)) {
	next := proto.CloneOf(sim.store.configuration)
	apply(next)
	next.Revision++
	sim.store.configuration = next
	sim.acceptedAt[next.GetRevision()] = sim.Clock.Now()
	sim.notifyWatchers()
}

// desiredRules compiles a configuration into rules. The simulation keeps a back
// end's weight in its number of slots; 0 stands for the full weight.
func desiredRules(configuration *apiv1.Configuration) []*apiv1.ServiceRule {
	weights := make(compile.Weights)
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetSlots() > 0 {
				weights[backend.GetId()] = backend.GetSlots()
			}
		}
	}
	return compile.Rules(configuration, weights)
}
