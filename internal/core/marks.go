package core

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// markState is one leaving mark as this node sees it.
type markState struct {
	mark      *apiv1.LeavingMark
	learnedAt uint32
	active    bool
	// viewVersion must be in force before the flows are listed.
	viewVersion  uint64
	flowsOffered bool
	// flowsRecorded is set when the flows that were opened here lately at the back
	// end are recorded: their SYN may come again through another node.
	flowsRecorded bool
}

// MarkLeaving keeps new flows from a back end, without the store. Marking a marked
// back end again changes nothing.
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

// LeavingMarks returns the known marks by back end.
func (core *Core) LeavingMarks() []*apiv1.LeavingMark { return core.sortedMarks() }

// addMark takes a new mark. A node that does not trust its view yet has opened
// nothing under it that the others do not know, so it heeds the mark at once.
func (core *Core) addMark(mark *apiv1.LeavingMark) {
	core.marks[mark.GetBackend()] = &markState{
		mark:        proto.CloneOf(mark),
		learnedAt:   core.now,
		active:      core.now > core.contactLeaseEnd(),
		viewVersion: core.viewVersion + 1,
	}
	core.viewChanged = true
}

// mergeMarks takes over marks of a peer. Merging is monotone: marks are added,
// a higher incarnation replaces a lower one, and a mark that a settled epoch
// has cleared does not come back.
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

// dropClearedMarks drops the marks that the settled epoch has ended, and those
// that it makes needless because its rule already leaves the back end out.
func (core *Core) dropClearedMarks() {
	for backend, state := range core.marks {
		cleared := state.mark.GetIncarnation() <= core.clearedIncarnation(backend)
		if cleared || core.isLeavingInSettled(backend) {
			delete(core.marks, backend)
		}
	}
}

// isLeavingInSettled reports whether the settled epoch has a back end as leaving.
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

// tickMarks makes marks active: at once when every participant knows the same
// marks and has recorded its new flows, else after MarkDelay.
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

// recordFlowsForMark records the flows opened here lately at a marked back end.
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

// marksCompleted reports whether the new flows of all marks are recorded.
func (core *Core) marksCompleted() bool {
	for _, state := range core.marks {
		if !state.flowsRecorded {
			return false
		}
	}
	return true
}

// marksDigest is equal on nodes that know the same marks. 0 is no mark.
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

// leavingBackends are the back ends that take no new flows, by a mark or by the settled
// rule.
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

// activeMarks are the marks that new flows heed. A pending epoch that clears a
// mark ends it for new flows once it is active.
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
