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
}

// Mark keeps new flows from a back end, without the store. Marking a marked
// back end again changes nothing.
func (core *Core) Mark(now uint32, backend uint32, reason string) {
	core.advanceTime(now)
	if core.marks[backend] != nil {
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

// Marks returns the known marks by back end.
func (core *Core) Marks() []*apiv1.LeavingMark { return core.markList() }

func (core *Core) addMark(mark *apiv1.LeavingMark) {
	core.marks[mark.GetBackend()] = &markState{mark: proto.CloneOf(mark), learnedAt: core.now}
	core.viewChanged = true
}

// mergeMarks takes over marks of a peer. Merging is monotone: marks are added,
// a higher incarnation replaces a lower one, and a mark that a settled epoch
// has cleared does not come back.
func (core *Core) mergeMarks(marks []*apiv1.LeavingMark) {
	for _, mark := range marks {
		known := core.marks[mark.GetBackend()]
		if mark.GetIncarnation() <= core.clearedIncarnation(mark.GetBackend()) {
			continue
		}
		if known == nil || known.mark.GetIncarnation() < mark.GetIncarnation() {
			core.addMark(mark)
		}
	}
}

func (core *Core) clearedIncarnation(backend uint32) uint64 {
	return clearedIn(core.document.GetSettled(), backend)
}

func clearedIn(epoch *apiv1.Epoch, backend uint32) uint64 {
	for _, mark := range epoch.GetClearedMarks() {
		if mark.GetBackend() == backend {
			return mark.GetIncarnation()
		}
	}
	return 0
}

func (core *Core) dropClearedMarks() {
	for backend, known := range core.marks {
		if known.mark.GetIncarnation() <= core.clearedIncarnation(backend) {
			delete(core.marks, backend)
		}
	}
}

// tickMarks makes marks active: at once when every participant knows the same
// marks, else after MarkDelay.
func (core *Core) tickMarks() {
	for _, known := range core.marks {
		if known.active {
			continue
		}
		late := core.now-known.learnedAt >= milliseconds(core.config.MarkDelay)
		if late || core.marksLearnedByAll() {
			known.active = true
			core.viewChanged = true
		}
	}
}

func (core *Core) marksLearnedByAll() bool {
	digest := core.marksDigest()
	for id := range core.participants() {
		if core.peers[id] == nil || core.peers[id].progress.GetMarksDigest() != digest {
			return false
		}
	}
	return true
}

// marksDigest is equal on nodes that know the same marks. 0 is no mark.
func (core *Core) marksDigest() uint64 {
	var digest uint64
	for backend, known := range core.marks {
		text := strconv.FormatUint(uint64(backend), 10) + "/" +
			strconv.FormatUint(known.mark.GetIncarnation(), 10)
		digest ^= xxhash.Sum64String(text)
	}
	return digest
}

func (core *Core) markList() []*apiv1.LeavingMark {
	marks := make([]*apiv1.LeavingMark, 0, len(core.marks))
	for _, known := range core.marks {
		marks = append(marks, known.mark)
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].GetBackend() < marks[j].GetBackend() })
	return marks
}

func (core *Core) knownMarks() map[uint32]bool {
	known := make(map[uint32]bool, len(core.marks))
	for backend := range core.marks {
		known[backend] = true
	}
	return known
}

// activeMarks are the marks that new flows heed. A pending epoch that clears a
// mark ends it for new flows once it is active.
func (core *Core) activeMarks() map[uint32]bool {
	active := make(map[uint32]bool, len(core.marks))
	for backend, known := range core.marks {
		cleared := core.phase >= router.PhaseActive &&
			known.mark.GetIncarnation() <= clearedIn(core.document.GetPending(), backend)
		if known.active && !cleared {
			active[backend] = true
		}
	}
	return active
}
