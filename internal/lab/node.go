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
	sim    *Simulation
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
	groupLiveness     uint64
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

func (sim *Simulation) addNode(zone string) *node {
	sim.nodeCount++
	id := fmt.Sprintf("%s-%d", zone, sim.nodeCount)
	table := flowtable.New(sim.settings.FlowCapacity)
	added := &node{
		sim:           sim,
		id:            id,
		zone:          zone,
		router:        router.New(table),
		queuedPackets: make(map[flow.Key][]packet),
		bytesByKind:   make(map[string]uint64),
		startedAt:     sim.Clock.Now(),
		acceptedAt:    make(map[uint64]time.Duration),
	}
	member := &apiv1.Member{Id: id, Zone: zone, PeerAddress: id, Incarnation: uint64(sim.Clock.Milliseconds()) + 1}
	control, err := core.New(sim.settings.Core, member, table)
	if err != nil {
		panic(err)
	}
	added.core = control
	added.baseline = newBaseline(sim.settings.Algorithm, added)
	sim.nodes = append(sim.nodes, added)
	sim.nodesByID[id] = added
	added.addPeers()
	added.readStore()
	added.tick()
	added.pollGroupLiveness()
	return added
}

func (node *node) running() bool { return !node.dead && !node.paused }

// addPeers stands for the seeds and the platform's machine list.
func (node *node) addPeers() {
	for _, other := range node.sim.nodes {
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
	node.sim.Clock.After(node.sim.settings.TickInterval, node.tick)
}

// canReachStore reports whether the store answers the node; a zone that is cut
// off does not reach it.
func (node *node) canReachStore() bool {
	reachable := !node.sim.partitionedZones[node.zone] || node.sim.settings.Store.ReachableWhenPartitioned
	return reachable && !node.sim.store.down
}

// pollGroupLiveness reads the group's sign of life now and then.
func (node *node) pollGroupLiveness() {
	if node.dead {
		return
	}
	if groupLiveness := node.sim.store.groupLiveness; groupLiveness != node.groupLiveness && node.canReachStore() && !node.paused {
		node.groupLiveness = groupLiveness
		node.core.ObserveGroupLiveness(node.now())
	}
	node.sim.Clock.After(livenessPollInterval, node.pollGroupLiveness)
}

const livenessPollInterval = 5 * time.Second

func (node *node) now() uint32 { return node.sim.Clock.Milliseconds() }

// readStore reads both values after the store's delay.
func (node *node) readStore() {
	sim := node.sim
	sim.Clock.After(2*sim.settings.Store.Delay, func() {
		if !node.canReachStore() || !node.running() {
			return
		}
		if sim.store.document != nil {
			node.core.ObserveDocument(node.now(), sim.store.document)
		}
		node.core.ObserveConfiguration(node.now(), sim.store.configuration)
		node.applyCoreOutput()
	})
}

// applyCoreOutput carries out what the core wants done.
func (node *node) applyCoreOutput() {
	if configuration := node.core.Configuration(); configuration != nil {
		revision := configuration.GetRevision()
		if _, seen := node.acceptedAt[revision]; !seen {
			node.acceptedAt[revision] = node.sim.Clock.Now()
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
		node.sim.deliver(node, message)
	}
	for _, resolution := range out.Resolutions {
		node.resolve(resolution)
	}
	if out.RefreshGroupLiveness && node.canReachStore() {
		node.sim.store.groupLiveness++
	}
	if out.Write != nil {
		node.sim.store.write(node, out.Write.Document, func(written bool) {
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
	if !node.sim.settings.Reports.Enabled || version == node.weightsDocumentVersion || node.sim.policyNode() == node {
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
func (sim *Simulation) deliver(from *node, message *apiv1.Envelope) {
	to := sim.nodesByID[message.GetTo()]
	size := uint64(proto.Size(message) + envelopeOverhead)
	from.controlBytes += size
	from.bytesByKind[messageKind(message)] += size
	if to == nil || sim.partitioned(from.zone, to.zone) || sim.Clock.Random.Float64() < sim.settings.Network.MessageLoss {
		return
	}
	copies := 1
	if sim.Clock.Random.Float64() < sim.settings.Network.MessageDuplication {
		copies = 2
	}
	for range copies {
		copied := proto.CloneOf(message)
		sim.Clock.After(sim.delay(from.zone, to.zone), func() { to.receive(copied) })
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
func (node *node) route(pkt packet) {
	if node.dead {
		return
	}
	if node.paused {
		node.pausedPackets = append(node.pausedPackets, func() { node.route(pkt) })
		return
	}
	if node.sim.settings.Algorithm != AlgorithmEpochs {
		node.baseline.route(pkt)
		return
	}
	decision := node.router.Decide(node.now(), pkt.flow.key, pkt.flow.hash, pkt.flags)
	node.sim.Result.Paths[decision.Path]++
	node.traceDecision(pkt, decision)
	switch decision.Action {
	case router.ActionForward:
		node.forward(pkt, decision.Backend)
	case router.ActionAsk:
		node.queueForLookup(pkt, decision)
	case router.ActionRefuse:
		node.sim.refuseFlow(pkt)
	case router.ActionDrop:
		node.sim.Result.Dropped++
	}
}

func (node *node) forward(pkt packet, backend uint32) {
	sim := node.sim
	target := sim.backends[backend]
	sim.Clock.After(sim.delay(node.zone, target.zone), func() { sim.receiveAtBackend(target, pkt) })
}

func (node *node) queueForLookup(pkt packet, decision router.Verdict) {
	if node.queuedPacketCount >= maxQueuedPackets {
		node.sim.Result.Dropped++
		return
	}
	node.queuedPacketCount++
	key := pkt.flow.key
	node.queuedPackets[key] = append(node.queuedPackets[key], pkt)
	node.core.Lookup(node.now(), key, decision.Proposal, decision.Bind, decision.Opens)
	node.applyCoreOutput()
}

func (node *node) resolve(resolution core.Resolution) {
	waiting := node.queuedPackets[resolution.Key]
	delete(node.queuedPackets, resolution.Key)
	node.queuedPacketCount -= len(waiting)
	for _, pkt := range waiting {
		if resolution.Backend == rule.NoBackend {
			node.sim.Result.Paths[router.PathDroppedKeepers]++
			node.sim.Result.Dropped++
			continue
		}
		hash := pkt.flow.hash
		if _, found := node.router.Table().Get(resolution.Key, hash); !found {
			node.router.Learn(node.now(), resolution.Key, hash, resolution.Backend, pkt.flags)
		}
		node.sim.traceFlow(pkt.flow, "%s resolved to %d", node.id, resolution.Backend)
		node.forward(pkt, resolution.Backend)
	}
}

// traceDecision notes a decision in the flow's history.
func (node *node) traceDecision(pkt packet, decision router.Verdict) {
	if node.sim.settings.Trace {
		view := node.router.View()
		node.sim.traceFlow(pkt.flow, "%s flags %d: %s action %d back end %d proposal %d bind %t (settled %d, %s, active %v, known %v)",
			node.id, pkt.flags, decision.Path, decision.Action, decision.Backend, decision.Proposal, decision.Bind,
			view.Settled.Number, view.Phase, view.ActiveMarks, view.KnownMarks)
	}
}

func (sim *Simulation) traceFlow(conn *connection, format string, values ...any) {
	if sim.settings.Trace {
		conn.history = append(conn.history, fmt.Sprintf("%s ", sim.Clock.Now())+fmt.Sprintf(format, values...))
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
