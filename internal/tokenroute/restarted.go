package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// SetTable takes the table that packets are decided by from now on. Flows that were opened at
// a start of a back end that has ended are given up, to be reset: the new start holds none
// of them, and the next request, which may not be repeated, would be lost to find that out.
// Of flows that may have been opened at the new start, before its entry was known here, none
// is given up; the back end itself resets those that it does not hold.
func (f *Flows) SetTable(table *Table, now time.Time) {
	if table == nil || table == f.table {
		return
	}
	f.table = table
	former := f.restarted
	f.restarted = make(map[incarnation.ID]bool, len(table.restarted))
	for _, backend := range table.restarted {
		id := backend.Incarnation()
		f.restarted[id] = true
		if !former[id] {
			f.abandonEarlierStarts(backend, now)
		}
	}
}

// abandonEarlierStarts gives up the flows of earlier starts of a back end.
func (f *Flows) abandonEarlierStarts(backend *Backend, now time.Time) {
	former := func(id incarnation.ID) bool { return id.Number == backend.Number && id.Start != backend.Start }
	outlived := func(seenAt time.Time) bool {
		return !seenAt.IsZero() && backend.Start.PrecededBy(now.Sub(seenAt), now)
	}
	giveUp := func(key flow.Key, acknowledged uint32) {
		f.failureDetector.abandoned = append(f.failureDetector.abandoned,
			AbandonedFlow{Key: key, Backend: backend, Reason: ReasonRestarted, Acknowledged: acknowledged})
	}
	for _, generation := range []map[flow.Key]*flowState{f.flowCache.current, f.flowCache.previous} {
		for key, state := range generation {
			known := &state.tracker
			if known.backend != nil && former(known.backend.Incarnation()) && outlived(state.firstRequestAt) {
				giveUp(key, known.lastAck)
				f.flowCache.forget(key, state, now)
			}
		}
	}
	for id, flows := range f.flowCache.idle {
		if !former(id) {
			continue
		}
		for key, each := range flows {
			if outlived(each.firstRequestAt) {
				giveUp(key, each.lastAck)
				f.flowCache.idleCount--
				delete(flows, key)
			}
		}
	}
}
