package node

import (
	"context"
	"net"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/compile"
	"github.com/indigobarrow/indigobarrow/internal/core"
	"github.com/indigobarrow/indigobarrow/internal/dataplane"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/explain"
)

const tickInterval = 25 * time.Millisecond

// runControl is the control goroutine, the only one that accesses the core. It
// returns when the context is canceled or another goroutine of the node fails.
func (node *Node) runControl(ctx context.Context, messages <-chan *message.Message, failures <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	state := &controlState{node: node}
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failures:
			return err
		case <-ticker.C:
			node.core.ViewInForce(node.plane.InForce())
			node.core.SetStoreReachable(!node.storeFailing.Load())
			node.core.Tick(node.now())
		case envelope := <-node.transport.Inbox():
			node.core.Step(node.now(), envelope)
		case lookup := <-node.plane.Lookups():
			node.core.Lookup(node.now(), lookup.Key, lookup.Proposal, lookup.Bind, lookup.IsSYN)
			state.handleQueuedLookups()
		case received, open := <-messages:
			if open {
				state.handleEvent(received)
			}
		case query := <-node.queries:
			query(node.core)
		}
		state.processOutput(ctx)
	}
}

// controlState is the state of the control goroutine between steps.
type controlState struct {
	node         *Node
	revision     uint64
	version      uint64
	contact      string
	phase        string
	weights      compile.Weights
	handoverDone bool
}

// handleQueuedLookups starts all lookups that are queued, so that they share
// messages.
func (state *controlState) handleQueuedLookups() {
	for {
		select {
		case lookup := <-state.node.plane.Lookups():
			state.node.core.Lookup(state.node.now(), lookup.Key, lookup.Proposal, lookup.Bind, lookup.IsSYN)
		default:
			return
		}
	}
}

// handleEvent passes an event of the bus to the core.
func (state *controlState) handleEvent(received *message.Message) {
	node := state.node
	event, err := events.Decode(received)
	if err != nil {
		node.logger.Error("Control: event not decoded.", "error", err)
		return
	}
	switch body := event.Body.(type) {
	case *apiv1.EpochDocument:
		node.core.ObserveDocument(node.now(), body)
	case *apiv1.Configuration:
		node.core.ObserveConfiguration(node.now(), body)
	case *apiv1.LeavingMark:
		node.core.MarkLeaving(node.now(), body.GetBackend(), body.GetReason())
	case *apiv1.Member:
		node.core.AddPeer(body)
	case *apiv1.Epoch:
		state.weights = compile.EpochWeights(body)
		state.updateDesired()
	}
	switch event.Kind {
	case events.KindWritten:
		node.core.WriteDone(node.now(), event.Succeeded)
	case events.KindGroupLiveness:
		node.core.ObserveGroupLiveness(node.now())
	case events.KindStop:
		node.core.Leave(node.now())
	}
}

// updateDesired passes the rules that follow from the configuration and the
// policies to the core, and marks the back ends that operators drain.
func (state *controlState) updateDesired() {
	node := state.node
	configuration := node.core.Configuration()
	if configuration == nil {
		return
	}
	if node.core.GroupRank() != 0 {
		state.weights = nil
	}
	weights := state.weights
	if weights == nil {
		weights = compile.NewestWeights(node.core.Document())
	}
	rules := compile.Rules(configuration, weights)
	node.core.SetDesired(node.now(), configuration.GetRevision(), rules, compile.ClearedMarks(configuration))
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetLeaving() {
				node.core.MarkLeaving(node.now(), backend.GetId(), "drained by an operator")
			}
		}
	}
}

// processOutput performs the actions that the core requests.
func (state *controlState) processOutput(ctx context.Context) {
	node := state.node
	if revision := node.core.Configuration().GetRevision(); revision > state.revision {
		state.revision = revision
		node.logger.Info("Control: configuration accepted.", "revision", revision)
		node.facts.setConfiguration(node.core.Configuration())
		state.updateDesired()
	}
	if version := node.core.Document().GetVersion(); version > state.version {
		state.version = version
		state.updateDesired()
	}
	out := node.core.Ready()
	if out.View != nil {
		node.plane.SetView(out.View, out.ViewVersion, backendTargets(node.core))
		node.decisionLog.AddView(node.viewDetails(out))
	}
	node.plane.SetContact(out.ContactLeaseEnd, out.ServeIsolated)
	for _, envelope := range out.Messages {
		if address := node.core.PeerAddress(envelope.GetTo()); address != "" {
			node.transport.Send(ctx, address, envelope)
		}
	}
	for _, resolution := range out.Resolutions {
		node.plane.CompleteLookup(dataplane.LookupResult{
			Key: resolution.Key, Backend: resolution.Backend, Recorded: resolution.Recorded})
	}
	if out.RefreshGroupLiveness {
		go node.refreshGroupLiveness(ctx)
	}
	if out.Write != nil {
		go node.writeDocument(ctx, out.Write.Document)
	}
	state.publishState()
}

// publishState logs state changes and updates the fields that other goroutines
// read.
func (state *controlState) publishState() {
	node := state.node
	node.watchRank.Store(int32(node.core.WatchRank()))
	contact := node.core.Contact()
	if contact != state.contact {
		node.logger.Info("Control: contact changed.", "contact", contact)
		state.contact = contact
		node.ready.Store(contact == "fresh")
	}
	if phase := node.core.Phase().String(); phase != state.phase {
		node.logger.Info("Control: phase changed.", "phase", phase,
			"document", node.core.Document().GetVersion(),
			"settled", node.core.Document().GetSettled().GetNumber())
		state.phase = phase
	}
	if node.core.CanStop() && !state.handoverDone {
		state.handoverDone = true
		close(node.handoverDone)
	}
}

// backendTargets returns the tunnel addresses of all back ends that flows may be
// bound to.
func backendTargets(control *core.Core) dataplane.Targets {
	backendTargets := make(dataplane.Targets)
	document := control.Document()
	for _, epoch := range []*apiv1.Epoch{document.GetSettled(), document.GetPending()} {
		for _, service := range epoch.GetServices() {
			for _, candidate := range service.GetCandidates() {
				address, err := net.ResolveUDPAddr("udp4", candidate.GetTunnelAddress())
				if err == nil {
					backendTargets[candidate.GetBackend()] = address
				}
			}
		}
	}
	return backendTargets
}

// viewDetails collects the details of a view that explanations of its decisions
// need.
func (node *Node) viewDetails(out core.Output) *explain.ViewDetails {
	details := &explain.ViewDetails{
		Version:  out.ViewVersion,
		View:     out.View,
		Backends: make(map[uint32]string),
		Policies: make(map[string]string),
		Reasons:  node.facts.copyReasons(),
	}
	for _, service := range node.core.Configuration().GetServices() {
		details.Policies[service.GetName()] = service.GetPolicy()
		for _, backend := range service.GetBackends() {
			details.Backends[backend.GetId()] = backend.GetName()
		}
	}
	for _, mark := range node.core.LeavingMarks() {
		details.Reasons[mark.GetBackend()] = mark.GetReason()
	}
	return details
}
