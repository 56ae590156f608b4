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

// World is one run.
type World struct {
	Clock    *Clock
	Result   Result
	settings Settings
	nodes    []*node
	byID     map[string]*node
	nextNode int
	store    *store
	services []*service
	backends map[uint32]*backend
	open     map[*simFlow]struct{}
	nextFlow uint32
	// fabric is the list of nodes that packets are sprayed over.
	fabric []*node
	// cuts are the zones cut off from all others.
	cuts map[string]bool
	// changedAt is when each configuration revision was accepted.
	changedAt  map[uint64]time.Duration
	watermarks map[string]watermark
}

// Result is what a run has measured.
type Result struct {
	Flows, Established, Completed, Unopened, Refused int
	// Broken counts broken flows by cause; BrokenWeighted counts those with a
	// Return Notice or purchase double.
	Broken         map[string]int
	BrokenWeighted int
	// SecondBackend counts SYNs that reached a second back end.
	SecondBackend int
	// WrongService counts packets at a back end of another service.
	WrongService int
	// RefusedButHeld counts refusals of flows that a back end held.
	RefusedButHeld int
	Dropped        int
	Paths          [router.PathCount]int
	// LeavingDelays are the times from a back end's start of leaving to each
	// new flow that it still accepted.
	LeavingDelays []time.Duration
	// InForce are the times from accepting a configuration to its being active
	// on each node.
	InForce []time.Duration
	// WeightChanges counts the changes of weights by the policy.
	WeightChanges int
	// Traces are the histories of broken flows, when the settings ask for them.
	Traces [][]string
	// Violation is the first promise that did not hold, "" for none.
	Violation string
	// Imbalance has one sample a second for the first service.
	Imbalance []Imbalance
	// ControlMean is the control traffic that a node sends, in bytes a second;
	// ControlPeak is the highest over ten seconds, ControlSecond over one.
	ControlMean, ControlPeak, ControlSecond float64
	BytesByKind                             map[string]uint64
}

// Imbalance is the spread of open flows over the back ends of one service that
// are not leaving.
type Imbalance struct {
	At time.Duration
	// MaximumOverMean and Variation (coefficient of variation) are 1 and 0
	// when all hold the same.
	MaximumOverMean, Variation float64
}

// New makes a world whose nodes, services and traffic start at time 0.
func New(settings Settings) *World {
	world := &World{
		Clock:     NewClock(settings.Seed),
		settings:  settings,
		byID:      make(map[string]*node),
		backends:  make(map[uint32]*backend),
		open:      make(map[*simFlow]struct{}),
		cuts:      make(map[string]bool),
		changedAt: make(map[uint64]time.Duration),
	}
	world.Result.Broken = make(map[string]int)
	world.Result.BytesByKind = make(map[string]uint64)
	world.store = &store{world: world}
	world.configure()
	for range settings.NodesPerZone {
		for _, zone := range settings.Zones {
			world.fabric = append(world.fabric, world.addNode(zone))
		}
	}
	for _, service := range world.services {
		world.startTraffic(service)
	}
	world.startReports()
	world.sample()
	world.watchInForce()
	return world
}

// configure makes the services and the first configuration.
func (world *World) configure() {
	configuration := &apiv1.Configuration{Revision: 1}
	number := uint32(0)
	for index, settings := range world.settings.Services {
		address := flow.Address{IP: [4]byte{10, 200, byte(index >> 8), byte(index + 1)}, Port: 80, Protocol: flow.ProtocolTCP}
		made := &service{settings: settings, address: address, index: index}
		described := &apiv1.Service{Name: settings.Name, Address: fmt.Sprintf("10.200.%d.%d", index>>8, byte(index+1)), Port: 80}
		for place := range settings.Backends {
			number++
			zone := world.settings.Zones[place%len(world.settings.Zones)]
			added := &backend{id: number, name: fmt.Sprintf("%s-%d", settings.Name, place), zone: zone, service: made}
			made.backends = append(made.backends, added)
			world.backends[number] = added
			described.Backends = append(described.Backends, &apiv1.Backend{Id: number, Name: added.name, Zone: zone})
		}
		world.services = append(world.services, made)
		configuration.Services = append(configuration.Services, described)
	}
	configuration.NextBackendId = number + 1
	world.store.configuration = configuration
	world.changedAt[1] = 0
}

// warmTime is when traffic starts, after the nodes have met; the warm flows
// are opened over as long again.
const warmTime = 10 * time.Second

func (world *World) startTraffic(service *service) {
	for range service.settings.WarmFlows {
		at := warmTime + time.Duration(world.Clock.Random.Float64()*float64(warmTime))
		world.Clock.After(at, func() { world.openFlow(service) })
	}
	if service.settings.Arrivals > 0 {
		world.Clock.After(warmTime, func() { world.nextArrival(service) })
	}
}

func (world *World) nextArrival(service *service) {
	world.openFlow(service)
	mean := time.Duration(float64(time.Second) / service.settings.Arrivals)
	world.Clock.After(world.Clock.Exponential(mean), func() { world.nextArrival(service) })
}

// sample measures once a second.
func (world *World) sample() {
	world.Result.Imbalance = append(world.Result.Imbalance, world.imbalance())
	for _, node := range world.nodes {
		rate := float64(node.controlBytes)
		node.controlBytes = 0
		node.rates = append(node.rates, rate)
		if world.Clock.Now() > 2*warmTime {
			world.Result.ControlSecond = max(world.Result.ControlSecond, rate)
			world.Result.ControlPeak = max(world.Result.ControlPeak, node.recentRate())
		}
	}
	world.Clock.After(time.Second, world.sample)
}

// rateWindow is the number of seconds over which control traffic is judged.
const rateWindow = 10

func (node *node) recentRate() float64 {
	recent := node.rates[max(0, len(node.rates)-rateWindow):]
	total := 0.0
	for _, rate := range recent {
		total += rate
	}
	return total / float64(len(recent))
}

// watchInForce looks often for configurations that have come into force.
func (world *World) watchInForce() {
	world.noteInForce()
	world.Clock.After(inForceInterval, world.watchInForce)
}

const inForceInterval = 20 * time.Millisecond

func (world *World) imbalance() Imbalance {
	var counts []float64
	for _, backend := range world.services[0].backends {
		if backend.leavingAt == 0 {
			counts = append(counts, float64(backend.open))
		}
	}
	var total, squares, largest float64
	for _, count := range counts {
		total += count
		largest = max(largest, count)
	}
	mean := total / float64(len(counts))
	if mean == 0 {
		return Imbalance{At: world.Clock.Now(), MaximumOverMean: 1}
	}
	for _, count := range counts {
		squares += (count - mean) * (count - mean)
	}
	return Imbalance{
		At:              world.Clock.Now(),
		MaximumOverMean: largest / mean,
		Variation:       math.Sqrt(squares/float64(len(counts))) / mean,
	}
}

// noteInForce records when the newest configuration became active on all
// running nodes.
func (world *World) noteInForce() {
	revision := world.store.configuration.GetRevision()
	since, waiting := world.changedAt[revision]
	if !waiting {
		return
	}
	for _, node := range world.nodes {
		if node.running() && node.inForce() < revision {
			return
		}
	}
	delete(world.changedAt, revision)
	if revision > 1 {
		world.Result.InForce = append(world.Result.InForce, world.Clock.Now()-since)
	}
}

// inForce is the configuration that new flows follow on a node.
func (node *node) inForce() uint64 {
	view := node.router.View()
	if view == nil {
		return 0
	}
	if view.Pending != nil && view.Phase >= router.PhaseActive {
		return view.Pending.Revision
	}
	return view.Settled.Revision
}

// Finish closes the books of a run.
func (world *World) Finish() Result {
	seconds := (world.Clock.Now() - warmTime).Seconds()
	var total uint64
	running := 0
	for _, node := range world.nodes {
		running++
		for kind, bytes := range node.bytesByKind {
			world.Result.BytesByKind[kind] += bytes
			total += bytes
		}
	}
	world.Result.ControlMean = float64(total) / seconds / float64(running)
	return world.Result
}

// TotalBroken is the number of broken flows of all causes.
func (result Result) TotalBroken() int {
	total := 0
	for _, count := range result.Broken {
		total += count
	}
	return total
}

// MeanVariation is the mean coefficient of variation over the run.
func (result Result) MeanVariation() float64 {
	return result.mean(func(sample Imbalance) float64 { return sample.Variation })
}

// MeanMaximum is the mean of the maximum over the mean over the run.
func (result Result) MeanMaximum() float64 {
	return result.mean(func(sample Imbalance) float64 { return sample.MaximumOverMean })
}

// mean averages a measure of imbalance over the run after the warm-up.
func (result Result) mean(value func(Imbalance) float64) float64 {
	total, count := 0.0, 0
	for _, sample := range result.Imbalance {
		if sample.At > 2*warmTime {
			total += value(sample)
			count++
		}
	}
	return total / float64(max(count, 1))
}

// Percentile returns the p-th percentile of durations, 0 for none.
func Percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(math.Ceil(p/100*float64(len(sorted))))-1)]
}

func (world *World) cut(left, right string) bool {
	return left != right && (world.cuts[left] || world.cuts[right])
}

func (world *World) delay(from, to string) time.Duration {
	network := world.settings.Network
	delay := network.SameZone
	if from != to {
		delay = network.OtherZone
	}
	return delay + time.Duration(world.Clock.Random.Float64()*float64(network.Jitter))
}

// change applies a change to the configuration as the admin API would.
func (world *World) change(edit func(*apiv1.Configuration)) {
	next := proto.CloneOf(world.store.configuration)
	edit(next)
	next.Revision++
	world.store.configuration = next
	world.changedAt[next.GetRevision()] = world.Clock.Now()
	world.notify()
}

// desiredRules compiles a configuration; the model keeps a back end's weight in
// its number of slots, 0 being a full share.
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
