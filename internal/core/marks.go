package core

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// markState is the state of one leaving mark on this node.
type markState struct {
	mark      *apiv1.LeavingMark
	learnedAt uint32
	active    bool
	// viewVersion must be in force before the flows are listed and offered.
	viewVersion  uint64
	flowsOffered bool
	// flowsRecorded is set when the flows recently opened here at the back end
	// are recorded, because their SYN may be retransmitted through another
	// node.
	flowsRecorded bool
}

// MarkLeaving excludes a back end from new flows; it does not require the
// store. Marking a marked back end again has no effect.
func (core *Core) MarkLeaving(now uint32, backend uint32, reason string) {
	core.advanceTime(now)
	if core.marks[backend] != nil || core.isLeavingInSettled(backend) {
		return
	}
	incarnation := core.clearedIncarnation(backend) + 1
	core.addMark(&apiv1.LeavingMark{
		Backend:     backend,
		Incarnation: incarnation,
		Reason:      reason,
		SetBy:       core.self.GetId(),
	})
}

// LeavingMarks returns the known marks, sorted by back end.
func (core *Core) LeavingMarks() []*apiv1.LeavingMark { return core.sortedMarks() }

// addMark adds a new mark. A node that does not trust its view yet has opened no
// flows under it that the other nodes do not know, so the mark is active at
// once.
func (core *Core) addMark(mark *apiv1.LeavingMark) {
	core.marks[mark.GetBackend()] = &markState{
		mark:        proto.CloneOf(mark),
		learnedAt:   core.now,
		active:      core.now > core.contactLeaseEnd(),
		viewVersion: core.viewVersion + 1,
	}
	core.viewChanged = true
}

// mergeMarks adopts the marks of a peer. Merging is monotonic: marks are added,
// a higher incarnation replaces a lower one, and a mark cleared by a settled
// epoch is not restored.
func (core *Core) mergeMarks(marks []*apiv1.LeavingMark) {
	for _, mark := range marks {
		state := core.marks[mark.GetBackend()]
		cleared := mark.GetIncarnation() <= core.clearedIncarnation(mark.GetBackend())
		if cleared || core.isLeavingInSettled(mark.GetBackend()) {
			continue
		}
		if state == nil || state.mark.GetIncarnation() < mark.GetIncarnation() {
			core.addMark(mark)
		}
	}
}

func (core *Core) clearedIncarnation(backend uint32) uint64 {
	return clearedIncarnationIn(core.document.GetSettled(), backend)
}

func clearedIncarnationIn(epoch *apiv1.Epoch, backend uint32) uint64 {
	for _, mark := range epoch.GetClearedMarks() {
		if mark.GetBackend() == backend {
			return mark.GetIncarnation()
		}
	}
	return 0
}

// dropClearedMarks drops the marks that the settled epoch has cleared, and
// those that it makes redundant because its rule already excludes the back end.
func (core *Core) dropClearedMarks() {
	for backend, state := range core.marks {
		cleared := state.mark.GetIncarnation() <= core.clearedIncarnation(backend)
		if cleared || core.isLeavingInSettled(backend) {
			delete(core.marks, backend)
		}
	}
}

// isLeavingInSettled reports whether a back end is leaving in the settled
// epoch.
func (core *Core) isLeavingInSettled(backend uint32) bool {
	for _, service := range core.document.GetSettled().GetServices() {
		for _, candidate := range service.GetCandidates() {
			if candidate.GetBackend() == backend {
				return candidate.GetLeaving()
			}
		}
	}
	return false
}

// tickMarks activates marks: at once when every participant knows the same
// marks and has recorded its new flows, otherwise after MarkDelay.
func (core *Core) tickMarks() {
	for _, state := range core.marks {
		core.recordFlowsForMark(state)
		if state.active {
			continue
		}
		delayElapsed := core.now-state.learnedAt >= milliseconds(core.config.MarkDelay)
		if delayElapsed || core.marksCompletedEverywhere() {
			state.active = true
			core.viewChanged = true
		}
	}
}

// recordFlowsForMark records the flows recently opened here at a marked back
// end.
func (core *Core) recordFlowsForMark(state *markState) {
	if state.flowsRecorded || core.settled == nil || core.viewInForce < state.viewVersion {
		return
	}
	if !state.flowsOffered {
		state.flowsOffered = true
		core.offerEmbryonic(state.mark.GetBackend())
	}
	state.flowsRecorded = !core.hasOutstandingOffers(purposeMark)
}

// marksCompletedEverywhere reports whether this node and all participants know
// the same marks and have recorded the new flows of all of them.
func (core *Core) marksCompletedEverywhere() bool {
	if !core.marksCompleted() {
		return false
	}
	digest := core.marksDigest()
	for id := range core.participants() {
		if core.peers[id] == nil {
			return false
		}
		progress := core.peers[id].progress
		if progress.GetMarksDigest() != digest || !progress.GetMarksCompleted() {
			return false
		}
	}
	return true
}

// marksCompleted reports whether this node has recorded the new flows of all
// marks.
func (core *Core) marksCompleted() bool {
	for _, state := range core.marks {
		if !state.flowsRecorded {
			return false
		}
	}
	return true
}

// marksDigest returns a value that is equal on nodes that know the same marks.
// It is 0 without marks.
func (core *Core) marksDigest() uint32 {
	var digest uint32
	for backend, state := range core.marks {
		text := strconv.FormatUint(uint64(backend), 10) + "/" +
			strconv.FormatUint(state.mark.GetIncarnation(), 10)
		digest ^= uint32(xxhash.Sum64String(text))
	}
	return digest
}

func (core *Core) sortedMarks() []*apiv1.LeavingMark {
	marks := make([]*apiv1.LeavingMark, 0, len(core.marks))
	for _, state := range core.marks {
		marks = append(marks, state.mark)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].GetBackend() < marks[j].GetBackend() })
	return marks
}

func (core *Core) knownMarks() map[uint32]bool {
	backends := make(map[uint32]bool, len(core.marks))
	for backend := range core.marks {
		backends[backend] = true
	}
	return backends
}

// leavingBackends returns the back ends that take no new flows, because of a
// mark or the settled rule.
func (core *Core) leavingBackends() map[uint32]bool {
	leavingBackends := core.knownMarks()
	for _, service := range core.document.GetSettled().GetServices() {
		for _, candidate := range service.GetCandidates() {
			if candidate.GetLeaving() {
				leavingBackends[candidate.GetBackend()] = true
			}
		}
	}
	return leavingBackends
}

// activeMarks returns the back ends whose marks apply to new flows. A pending
// epoch that clears a mark ends it for new flows once the epoch is active.
func (core *Core) activeMarks() map[uint32]bool {
	active := make(map[uint32]bool, len(core.marks))
	for backend, state := range core.marks {
		cleared := core.phase >= router.PhaseActive &&
			state.mark.GetIncarnation() <= clearedIncarnationIn(core.document.GetPending(), backend)
		if state.active && !cleared {
			active[backend] = true
		}
	}
	return active
}
