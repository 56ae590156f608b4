package lab

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/core"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// node is one balancer of the model: the real core and router, with modelled
// sockets.
type node struct {
	world  *Simulation
	id     string
	zone   string
	core   *core.Core
	router *router.Router
	dead   bool
	paused bool
	// inbox holds what arrived while the node was paused; traffic comes first,
	// as the traffic goroutines may run before the control goroutine.
	pausedPackets     []func()
	pausedMessages    []func()
	queuedPackets     map[flow.Key][]packet
	queuedPacketCount int
	baseline          *baseline
	controlBytes      uint64
	bytesByKind       map[string]uint64
	controlRates      []float64
	observedLiveness  uint64
	// weightsDocumentVersion is the document whose weights the node wants.
	weightsDocumentVersion uint64
	startedAt              time.Duration
	acceptedAt             map[uint64]time.Duration
}

// maxQueuedPackets bounds the packets that wait for an answer of the keepers.
const maxQueuedPackets = 2048

// envelopeOverhead approximates the bytes that framing and the network add to
// a message between nodes.
const envelopeOverhead = 24

func (world *Simulation) addNode(zone string) *node {
	world.nodeCount++
	id := fmt.Sprintf("%s-%d", zone, world.nodeCount)
	table := flowtable.New(world.settings.FlowCapacity)
	added := &node{
		world:         world,
		id:            id,
		zone:          zone,
		router:        router.New(table),
		queuedPackets: make(map[flow.Key][]packet),
		bytesByKind:   make(map[string]uint64),
		startedAt:     world.Clock.Now(),
		acceptedAt:    make(map[uint64]time.Duration),
	}
	member := &apiv1.Member{Id: id, Zone: zone, PeerAddress: id, Incarnation: uint64(world.Clock.Milliseconds()) + 1}
	control, err := core.New(world.settings.Core, member, table)
	if err != nil {
		panic(err)
	}
	added.core = control
	added.baseline = newBaseline(world.settings.Algorithm, added)
	world.nodes = append(world.nodes, added)
	world.nodesByID[id] = added
	added.addPeers()
	added.readStore()
	added.tick()
	added.pollGroupLiveness()
	return added
}

func (node *node) running() bool { return !node.dead && !node.paused }

// addPeers stands for the seeds and the platform's machine list.
func (node *node) addPeers() {
	for _, other := range node.world.nodes {
		if other != node && !other.dead {
			node.core.AddPeer(&apiv1.Member{Id: other.id, Zone: other.zone, PeerAddress: other.id, Incarnation: 1})
		}
	}
}

func (node *node) tick() {
	if node.dead {
		return
	}
	if !node.paused {
		node.core.Tick(node.now())
		node.applyCoreOutput()
	}
	node.world.Clock.After(node.world.settings.TickInterval, node.tick)
}

// canReachStore reports whether the store answers the node; a zone that is cut
// off does not reach it.
func (node *node) canReachStore() bool {
	reached := !node.world.partitionedZones[node.zone] || node.world.settings.Store.ReachableWhenPartitioned
	return reached && !node.world.store.down
}

// pollGroupLiveness reads the group's sign of life now and then.
func (node *node) pollGroupLiveness() {
	if node.dead {
		return
	}
	if alive := node.world.store.groupLivenessCount; alive != node.observedLiveness && node.canReachStore() && !node.paused {
		node.observedLiveness = alive
		node.core.ObserveGroupLiveness(node.now())
	}
	node.world.Clock.After(livenessPollInterval, node.pollGroupLiveness)
}

const livenessPollInterval = 5 * time.Second

func (node *node) now() uint32 { return node.world.Clock.Milliseconds() }

// readStore reads both values after the store's delay.
func (node *node) readStore() {
	world := node.world
	world.Clock.After(2*world.settings.Store.Delay, func() {
		if !node.canReachStore() || !node.running() {
			return
		}
		if world.store.document != nil {
			node.core.ObserveDocument(node.now(), world.store.document)
		}
		node.core.ObserveConfiguration(node.now(), world.store.configuration)
		node.applyCoreOutput()
	})
}

// applyCoreOutput carries out what the core wants done.
func (node *node) applyCoreOutput() {
	if configuration := node.core.Configuration(); configuration != nil {
		revision := configuration.GetRevision()
		if _, seen := node.acceptedAt[revision]; !seen {
			node.acceptedAt[revision] = node.world.Clock.Now()
			node.core.SetDesired(node.now(), revision, desiredRules(configuration), compile.ClearedMarks(configuration))
			node.markLeaving(configuration)
			node.baseline.setConfiguration(configuration)
		}
	}
	node.applyDocumentWeights()
	out := node.core.Ready()
	if out.View != nil {
		node.router.SetView(out.View)
		node.core.ViewInForce(out.ViewVersion)
	}
	node.router.SetContact(out.ContactLeaseEnd, out.ServeIsolated)
	for _, message := range out.Messages {
		node.world.deliver(node, message)
	}
	for _, resolution := range out.Resolutions {
		node.resolve(resolution)
	}
	if out.RefreshGroupLiveness && node.canReachStore() {
		node.world.store.groupLivenessCount++
	}
	if out.Write != nil {
		node.world.store.write(node, out.Write.Document, func(written bool) {
			if !node.running() {
				return
			}
			node.core.WriteDone(node.now(), written)
			node.readStore()
		})
	}
}

// applyDocumentWeights wants the weights of the newest document, on the nodes that do
// not run the policies.
func (node *node) applyDocumentWeights() {
	version := node.core.Document().GetVersion()
	if !node.world.settings.Reports.Enabled || version == node.weightsDocumentVersion || node.world.policyNode() == node {
		return
	}
	node.weightsDocumentVersion = version
	configuration := node.core.Configuration()
	node.core.SetDesired(node.now(), configuration.GetRevision(),
		compile.Rules(configuration, compile.NewestWeights(node.core.Document())), compile.ClearedMarks(configuration))
}

// markLeaving spreads the drains of a configuration as marks, which is faster
// than an epoch.
func (node *node) markLeaving(configuration *apiv1.Configuration) {
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetLeaving() {
				node.core.MarkLeaving(node.now(), backend.GetId(), "drained by an operator")
			}
		}
	}
}

// deliver sends a message between nodes, with delay, loss, duplication and
// cuts.
func (world *Simulation) deliver(from *node, message *apiv1.Envelope) {
	to := world.nodesByID[message.GetTo()]
	size := uint64(proto.Size(message) + envelopeOverhead)
	from.controlBytes += size
	from.bytesByKind[messageKind(message)] += size
	if to == nil || world.partitioned(from.zone, to.zone) || world.Clock.Random.Float64() < world.settings.Network.MessageLoss {
		return
	}
	copies := 1
	if world.Clock.Random.Float64() < world.settings.Network.MessageDuplication {
		copies = 2
	}
	for range copies {
		copied := proto.CloneOf(message)
		world.Clock.After(world.delay(from.zone, to.zone), func() { to.receive(copied) })
	}
}

func messageKind(message *apiv1.Envelope) string {
	field := message.ProtoReflect().WhichOneof(message.ProtoReflect().Descriptor().Oneofs().Get(0))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}

func (node *node) receive(message *apiv1.Envelope) {
	if node.dead {
		return
	}
	if node.paused {
		node.pausedMessages = append(node.pausedMessages, func() { node.receive(message) })
		return
	}
	node.core.Step(node.now(), message)
	node.applyCoreOutput()
}

// route handles one packet as the traffic goroutines do.
func (node *node) route(arrived packet) {
	if node.dead {
		return
	}
	if node.paused {
		node.pausedPackets = append(node.pausedPackets, func() { node.route(arrived) })
		return
	}
	if node.world.settings.Algorithm != AlgorithmEpochs {
		node.baseline.route(arrived)
		return
	}
	verdict := node.router.Decide(node.now(), arrived.conn.key, arrived.conn.hash, arrived.flags)
	node.world.Result.Paths[verdict.Path]++
	node.traceDecision(arrived, verdict)
	switch verdict.Action {
	case router.ActionForward:
		node.forward(arrived, verdict.Backend)
	case router.ActionAsk:
		node.queueForLookup(arrived, verdict)
	case router.ActionRefuse:
		node.world.refuseFlow(arrived)
	case router.ActionDrop:
		node.world.Result.Dropped++
	}
}

func (node *node) forward(arrived packet, backend uint32) {
	world := node.world
	target := world.backends[backend]
	world.Clock.After(world.delay(node.zone, target.zone), func() { world.receiveAtBackend(target, arrived) })
}

func (node *node) queueForLookup(arrived packet, verdict router.Verdict) {
	if node.queuedPacketCount >= maxQueuedPackets {
		node.world.Result.Dropped++
		return
	}
	node.queuedPacketCount++
	key := arrived.conn.key
	node.queuedPackets[key] = append(node.queuedPackets[key], arrived)
	node.core.Lookup(node.now(), key, verdict.Proposal, verdict.Bind, verdict.Opens)
	node.applyCoreOutput()
}

func (node *node) resolve(resolution core.Resolution) {
	waiting := node.queuedPackets[resolution.Key]
	delete(node.queuedPackets, resolution.Key)
	node.queuedPacketCount -= len(waiting)
	for _, arrived := range waiting {
		if resolution.Backend == rule.NoBackend {
			node.world.Result.Paths[router.PathDroppedKeepers]++
			node.world.Result.Dropped++
			continue
		}
		hash := arrived.conn.hash
		if _, found := node.router.Table().Get(resolution.Key, hash); !found {
			node.router.Learn(node.now(), resolution.Key, hash, resolution.Backend, arrived.flags)
		}
		node.world.traceFlow(arrived.conn, "%s resolved to %d", node.id, resolution.Backend)
		node.forward(arrived, resolution.Backend)
	}
}

// traceDecision notes a decision in the flow's history.
func (node *node) traceDecision(arrived packet, verdict router.Verdict) {
	if node.world.settings.Trace {
		view := node.router.View()
		node.world.traceFlow(arrived.conn, "%s flags %d: %s action %d back end %d proposal %d bind %t (settled %d, %s, active %v, known %v)",
			node.id, arrived.flags, verdict.Path, verdict.Action, verdict.Backend, verdict.Proposal, verdict.Bind,
			view.Settled.Number, view.Phase, view.ActiveMarks, view.KnownMarks)
	}
}

func (world *Simulation) traceFlow(traced *connection, format string, values ...any) {
	if world.settings.Trace {
		traced.history = append(traced.history, fmt.Sprintf("%s ", world.Clock.Now())+fmt.Sprintf(format, values...))
	}
}

// resume lets a paused node go on, traffic first.
func (node *node) resume() {
	node.paused = false
	packets, messages := node.pausedPackets, node.pausedMessages
	node.pausedPackets, node.pausedMessages = nil, nil
	for _, action := range packets {
		action()
	}
	for _, action := range messages {
		action()
	}
}
