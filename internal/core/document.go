package core

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Document returns the newest known document, or nil. It must not be modified.
func (core *Core) Document() *apiv1.EpochDocument { return core.document }

// Configuration returns the newest known configuration, or nil. It must not be
// modified.
func (core *Core) Configuration() *apiv1.Configuration { return core.configuration }

// ObserveDocument passes in a document that is known to be in the store. A
// document older than the newest known one is ignored, so a node never reverts
// to an earlier state.
func (core *Core) ObserveDocument(now uint32, document *apiv1.EpochDocument) {
	core.advanceTime(now)
	core.acceptDocument(document, router.PhaseNone)
}

// ObserveConfiguration passes in a configuration that is known to be in the
// store and reports whether it was accepted. One that is not newer than the
// known one is ignored.
func (core *Core) ObserveConfiguration(now uint32, configuration *apiv1.Configuration) bool {
	core.advanceTime(now)
	if configuration.GetRevision() <= core.configuration.GetRevision() {
		return false
	}
	core.configuration = proto.CloneOf(configuration)
	return true
}

// acceptDocument adopts a newer document. The phase is the highest one reported
// for its pending epoch; it matters only to a node that was not present when
// the epoch was published.
func (core *Core) acceptDocument(document *apiv1.EpochDocument, phase router.Phase) {
	if document.GetVersion() <= core.document.GetVersion() {
		return
	}
	if core.mustDefer(document) {
		core.deferredDocument = proto.CloneOf(document)
		return
	}
	settled, err := rule.NewSet(document.GetSettled())
	if err != nil {
		return
	}
	var pending *rule.Set
	if document.GetPending() != nil {
		if pending, err = rule.NewSet(document.GetPending()); err != nil {
			return
		}
	}
	core.schedulePurge(document, settled, pending)
	wasMember := core.document != nil && core.isMember()
	if len(document.GetFenced()) > len(core.document.GetFenced()) {
		core.fenceVersion = document.GetVersion()
	}
	samePending := document.GetPending().GetNumber() == core.document.GetPending().GetNumber()
	if core.document == nil || !samePending {
		core.enterPending(pending, phase)
	}
	core.document = proto.CloneOf(document)
	core.acceptedAt = core.now
	core.settled = settled
	core.pending = pending
	core.viewChanged = true
	core.publish = publishState{}
	core.updateKeepers()
	core.updateFilterSets()
	core.addMembersAsPeers()
	core.dropClearedMarks()
	core.dropRedundantRecords()
	if wasMember && !core.isMember() && !core.self.GetLeaving() {
		core.rejoining = true
		core.dropContact()
	}
}

// mustDefer reports whether a document fences a member whose contact lease this
// node has extended so recently that the lease may still be valid.
func (core *Core) mustDefer(document *apiv1.EpochDocument) bool {
	for _, member := range document.GetFenced() {
		peer := core.peers[member.GetId()]
		if peer == nil || !peer.hasReplied || core.isFenced(member) {
			continue
		}
		if peer.member.GetIncarnation() > member.GetIncarnation() {
			continue
		}
		if core.now-peer.lastReplyAt < core.fencingDelay() {
			return true
		}
	}
	return false
}

// tickDeferredDocument accepts a deferred document once the leases have
// expired.
func (core *Core) tickDeferredDocument() {
	document := core.deferredDocument
	if document == nil || core.mustDefer(document) {
		return
	}
	core.deferredDocument = nil
	core.acceptDocument(document, router.PhaseNone)
}

// dropContact ends the contact lease. The node must obtain a new one as a
// joining node.
func (core *Core) dropContact() {
	for _, peer := range core.peers {
		peer.hasConfirmed = false
		peer.sentAt = make(map[uint64]uint32)
	}
}

// enterPending starts the phases of a new pending epoch, or ends them if there
// is none.
func (core *Core) enterPending(pending *rule.Set, phase router.Phase) {
	core.completed = router.PhaseNone
	core.phase = router.PhaseNone
	if pending != nil {
		core.phase = max(router.PhaseLearned, phase)
		core.completed = core.phase - 1
	}
	core.startPhaseTask()
}

func (core *Core) addMembersAsPeers() {
	for _, member := range core.members() {
		core.AddPeer(member)
	}
}

// updateKeepers determines the keepers of records under each epoch. Fencing
// does not change the assignment: the records stay where they are, and the
// other keeper of each has a copy. The next epoch makes a new assignment.
func (core *Core) updateKeepers() {
	core.settledKeepers = core.newKeepers(core.document.GetSettled())
	core.pendingKeepers = core.settledKeepers
	if core.document.GetPending() != nil {
		core.pendingKeepers = core.newKeepers(core.document.GetPending())
	}
}

func (core *Core) newKeepers(epoch *apiv1.Epoch) *router.Keepers {
	zones := make(map[string]string)
	for _, member := range epoch.GetMembers() {
		zones[member.GetId()] = member.GetZone()
	}
	return router.NewKeepers(zones)
}

func (core *Core) requestState(from string) {
	request := &apiv1.StateRequest{
		DocumentVersion:       core.document.GetVersion(),
		ConfigurationRevision: core.configuration.GetRevision(),
		SettledNumber:         core.document.GetSettled().GetNumber(),
		PendingNumber:         core.document.GetPending().GetNumber(),
	}
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_StateRequest{StateRequest: request}})
}

func (core *Core) handleStateRequest(from string, request *apiv1.StateRequest) {
	state := &apiv1.State{Phase: uint32(core.phase)}
	if core.document.GetVersion() > request.GetDocumentVersion() {
		state.Document = omitKnownEpochs(core.document, request)
	}
	if core.configuration.GetRevision() > request.GetConfigurationRevision() {
		state.Configuration = core.configuration
	}
	state.Marks = core.sortedMarks()
	members := core.members()
	for _, id := range sortedKeys(core.peers) {
		if members[id] == nil && core.isAlive(id) {
			state.Participants = append(state.Participants, core.peers[id].member)
		}
	}
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_State{State: state}})
}

// omitKnownEpochs returns a document without the epochs that the requester has;
// only their numbers remain.
func omitKnownEpochs(document *apiv1.EpochDocument, request *apiv1.StateRequest) *apiv1.EpochDocument {
	reduced := &apiv1.EpochDocument{
		Version: document.GetVersion(),
		Settled: document.GetSettled(),
		Pending: document.GetPending(),
		Fenced:  document.GetFenced(),
	}
	requesterHas := func(epoch *apiv1.Epoch) bool {
		number := epoch.GetNumber()
		return number == request.GetSettledNumber() || number == request.GetPendingNumber()
	}
	if requesterHas(reduced.GetSettled()) {
		reduced.Settled = &apiv1.Epoch{Number: reduced.GetSettled().GetNumber()}
	}
	if reduced.GetPending() != nil && requesterHas(reduced.GetPending()) {
		reduced.Pending = &apiv1.Epoch{Number: reduced.GetPending().GetNumber()}
	}
	return reduced
}

// restoreOmittedEpochs puts the omitted epochs back into a document. It returns
// nil when this node does not have them after all.
func (core *Core) restoreOmittedEpochs(reduced *apiv1.EpochDocument) *apiv1.EpochDocument {
	full := &apiv1.EpochDocument{Version: reduced.GetVersion(), Fenced: reduced.GetFenced()}
	if full.Settled = core.restoreOmittedEpoch(reduced.GetSettled()); full.GetSettled() == nil {
		return nil
	}
	if reduced.GetPending() == nil {
		return full
	}
	if full.Pending = core.restoreOmittedEpoch(reduced.GetPending()); full.GetPending() == nil {
		return nil
	}
	return full
}

func (core *Core) restoreOmittedEpoch(reduced *apiv1.Epoch) *apiv1.Epoch {
	if len(reduced.GetMembers()) > 0 {
		return reduced
	}
	for _, epoch := range []*apiv1.Epoch{core.document.GetSettled(), core.document.GetPending()} {
		if epoch != nil && epoch.GetNumber() == reduced.GetNumber() {
			return epoch
		}
	}
	return nil
}

func (core *Core) handleState(state *apiv1.State) {
	for _, member := range state.GetParticipants() {
		core.AddPeer(member)
	}
	if state.GetDocument() != nil {
		phase := router.Phase(state.GetPhase())
		if core.document != nil && core.isMember() {
			phase = router.PhaseNone
		}
		if document := core.restoreOmittedEpochs(state.GetDocument()); document != nil {
			core.acceptDocument(document, phase)
		}
	}
	if state.GetConfiguration() != nil {
		core.ObserveConfiguration(core.now, state.GetConfiguration())
	}
	core.mergeMarks(state.GetMarks())
}
