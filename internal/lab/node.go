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

// node is one simulated balancer: it runs the real core and router, with modeled
// sockets.
type node struct {
	sim    *Simulation
	id     string
	zone   string
	core   *core.Core
	router *router.Router
	dead   bool
	paused bool
	// pausedPackets and pausedMessages hold what arrived while the node was
	// paused. The packets are handled first, since in a real node the traffic
	// goroutines may run before the control goroutine.
	pausedPackets     []func()
	pausedMessages    []func()
	queuedPackets     map[flow.Key][]packet
	queuedPacketCount int
	baseline          *baseline
	controlBytes      uint64
	bytesByKind       map[string]uint64
	controlRates      []float64
	groupLiveness     uint64
	// watching is set while the node is one of those that watch the store.
	watching bool
	// weightsDocumentVersion is the version of the document whose weights the
	// node last set as desired.
	weightsDocumentVersion uint64
	startedAt              time.Duration
	acceptedAt             map[uint64]time.Duration
}

// maxQueuedPackets bounds the packets of a node that wait for the keepers'
// response to a lookup; further packets are dropped.
const maxQueuedPackets = 2048

// envelopeOverhead is the approximate number of bytes that framing and the
// network add to a message between nodes.
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
	nodeCore, err := core.New(sim.settings.Core, member, table)
	if err != nil {
		panic(err)
	}
	added.core = nodeCore
	added.baseline = newBaseline(sim.settings.Algorithm, added)
	sim.nodes = append(sim.nodes, added)
	sim.nodesByID[id] = added
	added.addPeers()
	added.readStore()
	added.tick()
	added.pollGroupLiveness()
	added.checkRank()
	return added
}

func (node *node) running() bool { return !node.dead && !node.paused }

// addPeers makes all other running nodes known to the core, in place of the seeds
// and the platform's machine list.
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

const rankCheckInterval = time.Second

// checkRank reads the store when the node becomes one of those that watch it. Only these
// nodes learn whether the store serves them.
func (node *node) checkRank() {
	if node.dead {
		return
	}
	node.sim.Clock.After(rankCheckInterval, node.checkRank)
	watching := node.core.WatchRank() < maxStoreWatchers
	if watching {
		node.core.SetStoreReachable(node.canReachStore())
	}
	if watching && !node.watching {
		node.readStore()
	}
	node.watching = watching
}

// canReachStore reports whether the node can reach the store. Nodes of a
// partitioned zone cannot, unless the settings say otherwise, nor can nodes that the
// store refuses.
func (node *node) canReachStore() bool {
	reachable := !node.sim.partitionedZones[node.zone] || node.sim.settings.Store.ReachableWhenPartitioned
	return reachable && !node.sim.store.down && !node.sim.store.refused[node.id]
}

// pollGroupLiveness reads the group liveness key from the store every
// livenessPollInterval and reports changes of it to the core.
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

// readStore reads the document and the configuration after a round trip to the
// store.
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

// applyCoreOutput passes a new configuration to the core and to the baseline, and
// carries out the core's output.
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
	output := node.core.Ready()
	if output.View != nil {
		node.router.SetView(output.View)
		node.core.ViewInForce(output.ViewVersion)
	}
	node.router.SetContact(output.ContactLeaseEnd, output.ServeIsolated)
	for _, message := range output.Messages {
		node.sim.deliver(node, message)
	}
	for _, resolution := range output.Resolutions {
		node.resolve(resolution)
	}
	if output.RefreshGroupLiveness && node.canReachStore() {
		node.sim.store.groupLiveness++
	}
	if output.Write != nil {
		node.sim.store.write(node, output.Write.Document, func(written bool) {
			if !node.running() {
				return
			}
			node.core.WriteDone(node.now(), written)
			node.readStore()
		})
	}
}

// applyDocumentWeights sets the weights of the newest document as desired, on the
// nodes that do not run the policy.
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

// markLeaving creates leaving marks for the back ends that a configuration
// drains: marks reach the other nodes sooner than an epoch does.
func (node *node) markLeaving(configuration *apiv1.Configuration) {
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetLeaving() {
				node.core.MarkLeaving(node.now(), backend.GetId(), "drained by an operator")
			}
		}
	}
}

// deliver sends a message between nodes, subject to delay, loss, duplication and
// partitions.
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

// route handles one packet as a traffic goroutine of a real node does.
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
	case router.ActionLookup:
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

func (node *node) queueForLookup(pkt packet, decision router.Decision) {
	if node.queuedPacketCount >= maxQueuedPackets {
		node.sim.Result.Dropped++
		return
	}
	node.queuedPacketCount++
	key := pkt.flow.key
	node.queuedPackets[key] = append(node.queuedPackets[key], pkt)
	node.core.Lookup(node.now(), key, decision.Proposal, decision.Bind, decision.IsSYN)
	node.applyCoreOutput()
}

func (node *node) resolve(resolution core.Resolution) {
	queued := node.queuedPackets[resolution.Key]
	delete(node.queuedPackets, resolution.Key)
	node.queuedPacketCount -= len(queued)
	for _, pkt := range queued {
		if resolution.Backend == rule.NoBackend {
			node.sim.Result.Paths[router.PathDroppedKeepers]++
			node.sim.Result.Dropped++
			continue
		}
		hash := pkt.flow.hash
		if _, found := node.router.Table().Get(resolution.Key, hash); !found {
			node.router.InsertFlow(node.now(), resolution.Key, hash, resolution.Backend, pkt.flags)
		}
		node.sim.traceFlow(pkt.flow, "%s resolved to %d", node.id, resolution.Backend)
		node.forward(pkt, resolution.Backend)
	}
}

// traceDecision adds a routing decision to the flow's history if the settings ask
// for traces.
func (node *node) traceDecision(pkt packet, decision router.Decision) {
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

// resume resumes a paused node: it handles the packets that arrived meanwhile,
// then the messages.
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
