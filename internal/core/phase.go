package core

import (
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// phaseTask is the work that a node must do to complete its phase.
type phaseTask struct {
	// started is set once the flows to record have been listed.
	started bool
	// viewVersion must be in force before the task starts.
	viewVersion uint64
	// done is set when the task is finished.
	done bool
}

func (core *Core) startPhaseTask() {
	core.phaseTask = phaseTask{viewVersion: core.viewVersion + 1}
	core.dropOffers(purposePhase)
	core.viewChanged = true
}

// tickPhaseTask works on the task of the current phase. Completing learned and
// active requires only that flows are recorded; completing flipped requires the
// filters.
func (core *Core) tickPhaseTask() {
	core.tickRejoin()
	if core.pending == nil || core.phaseTask.done || core.viewInForce < core.phaseTask.viewVersion {
		return
	}
	if !core.phaseTask.started {
		core.phaseTask.started = true
		core.offerPhaseFlows()
	}
	if core.hasOutstandingOffers(purposePhase) || core.phase == router.PhaseFlipped && !core.hasPendingFilters() {
		return
	}
	core.phaseTask.done = true
	core.completed = core.phase
}

func (core *Core) offerPhaseFlows() {
	switch core.phase {
	case router.PhaseLearned:
		core.offerFlows(purposePhase, core.embryonicFlows(rule.NoBackend))
	case router.PhaseActive:
		core.offerFlows(purposePhase, core.displacedFlows())
	}
}

// assignedFlow is a flow and the back end that it is assigned to.
type assignedFlow struct {
	key     flow.Key
	backend uint32
}

// offerEmbryonic offers the flows recently opened here at one back end to their
// keepers.
func (core *Core) offerEmbryonic(backend uint32) {
	core.offerFlows(purposeMark, core.embryonicFlows(backend))
}

// embryonicFlows returns the flows that were opened here, of which only the SYN
// has been seen, so recently that it may be retransmitted through another node,
// and on which the rules differ. If a back end is given, it returns only flows
// at that back end.
func (core *Core) embryonicFlows(backend uint32) []assignedFlow {
	if core.isDisabled(GuardEmbryonic) {
		return nil
	}
	retry := milliseconds(core.config.SynRetryTime)
	var flows []assignedFlow
	for shard := range flowtable.ShardCount {
		core.flows.Visit(shard, func(key flow.Key, entry flowtable.Entry) bool {
			opening := entry.Flags&(flowtable.FlagOpenedHere|flowtable.FlagEstablished) == flowtable.FlagOpenedHere
			young := opening && core.now-entry.LastSeen <= retry
			wanted := backend == rule.NoBackend || backend == entry.Backend
			if young && wanted && core.view.Ambiguous(key, key.Hash()) {
				flows = append(flows, assignedFlow{key: key, backend: entry.Backend})
			}
			return true
		})
	}
	return flows
}

// displacedFlows returns the flows in the flow table and among the kept records
// whose back end differs from the target rule.
func (core *Core) displacedFlows() []assignedFlow {
	if core.isDisabled(GuardRecord) {
		return nil
	}
	var flows []assignedFlow
	for shard := range flowtable.ShardCount {
		core.flows.Visit(shard, func(key flow.Key, entry flowtable.Entry) bool {
			if core.isDisplaced(key, entry.Backend) {
				flows = append(flows, assignedFlow{key: key, backend: entry.Backend})
			}
			return true
		})
	}
	for key, record := range core.records {
		_, inTable := core.flows.Get(key, key.Hash())
		if !inTable && core.isDisplaced(key, record.backend) {
			flows = append(flows, assignedFlow{key: key, backend: record.backend})
		}
	}
	return flows
}

// isDisplaced reports whether the back end of a flow differs from the target
// rule: the pending one if there is one, otherwise the settled one.
func (core *Core) isDisplaced(key flow.Key, backend uint32) bool {
	target := core.settled
	if core.pending != nil {
		target = core.pending
	}
	return isDisplacedFrom(target, key, backend)
}

func isDisplacedFrom(target *rule.Set, key flow.Key, backend uint32) bool {
	found := target.Rule(key.Address())
	return found != nil && found.Pick(key.Hash()) != backend && backend != rule.NoBackend
}

// participants returns the nodes whose progress a phase waits for: the members,
// and every joined node that is known to any of them.
func (core *Core) participants() map[string]bool {
	ids := make(map[string]bool)
	for id := range core.members() {
		ids[id] = true
	}
	for id, peer := range core.peers {
		if ids[id] || core.isAlive(id) {
			ids[id] = true
			for _, joined := range peer.progress.GetParticipants() {
				ids[joined] = true
			}
		}
	}
	delete(ids, core.self.GetId())
	return ids
}

// waitingFor lists the participants that have not completed a phase, and
// "fence" if a majority does not know the fencing yet.
func (core *Core) waitingFor(phase router.Phase) []string {
	if core.isDisabled(GuardWait) {
		return nil
	}
	var waiting []string
	participants := core.participants()
	for _, id := range sortedKeys(participants) {
		if !core.hasCompleted(id, phase) {
			waiting = append(waiting, id)
		}
	}
	if !core.majorityKnowsFencing() {
		waiting = append(waiting, "fence")
	}
	return waiting
}

// majorityKnowsFencing reports whether a majority of the members, including the
// fenced ones, has accepted the document that fences. Only then is it certain
// that the contact lease of a fenced node has expired. If at least half of the
// members are silent or fenced, all remaining members must have accepted it
// instead.
func (core *Core) majorityKnowsFencing() bool {
	if len(core.document.GetFenced()) == 0 {
		return true
	}
	aware := 0
	if core.isMember() {
		aware++
	}
	members := core.members()
	for id := range members {
		peer := core.peers[id]
		if peer != nil && peer.progress.GetDocumentVersion() >= core.fenceVersion {
			aware++
		}
	}
	total := len(members) + len(core.document.GetFenced())
	majorityLost := core.hasLostMajority(members) || len(members)*2 <= total
	return aware*2 > total || majorityLost && aware == len(members)
}

func (core *Core) hasCompleted(id string, phase router.Phase) bool {
	peer := core.peers[id]
	if peer == nil {
		return false
	}
	progress := peer.progress
	number := core.document.GetPending().GetNumber()
	if progress.GetSettledNumber() >= number {
		return true
	}
	return progress.GetPendingNumber() == number && router.Phase(progress.GetCompletedPhase()) >= phase
}

// tickPhase enters the next phase when every participant has completed the
// current one.
func (core *Core) tickPhase() {
	if core.pending == nil || core.phase == router.PhaseFlipped || core.completed < core.phase {
		return
	}
	if len(core.waitingFor(core.phase)) > 0 {
		return
	}
	core.phase++
	core.startPhaseTask()
}

// WaitingFor lists the nodes that the pending epoch waits for.
func (core *Core) WaitingFor() []string {
	if core.pending == nil {
		return nil
	}
	return core.waitingFor(core.phase)
}

// Phase returns the phase of the pending epoch.
func (core *Core) Phase() router.Phase { return core.phase }
