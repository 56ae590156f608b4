package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// SetTable sets the table that is used for packets from now on. Flows that were opened at a start
// of a back end that has ended are abandoned, to be reset: the new start holds none of them, and
// the next request of such a flow, which may not be repeatable, would be lost just to find that
// out. Flows that may have been opened at the new start, before its entry was known here, are not
// abandoned. The back end itself resets those that it doesn't hold.
func (f *Flows) SetTable(table *Table, now time.Time) {
	if table == nil || table == f.table {
		return
	}
	f.table = table
	previous := f.restarted
	f.restarted = make(map[incarnation.ID]bool, len(table.restarted))
	for _, backend := range table.restarted {
		id := backend.Incarnation()
		f.restarted[id] = true
		if !previous[id] {
			f.abandonEarlierStarts(backend, now)
		}
	}
}

// abandonEarlierStarts abandons the flows of earlier starts of a back end.
func (f *Flows) abandonEarlierStarts(backend *Backend, now time.Time) {
	isEarlierStart := func(id incarnation.ID) bool { return id.Number == backend.Number && id.Start != backend.Start }
	predatesStart := func(firstRequestAt time.Time) bool {
		return !firstRequestAt.IsZero() && backend.Start.PrecededBy(now.Sub(firstRequestAt), now)
	}
	abandon := func(key flow.Key, numbers flow.Numbers, acknowledged uint32) {
		f.failureDetector.abandoned = append(f.failureDetector.abandoned,
			AbandonedFlow{Key: key, Backend: backend, Reason: ReasonRestarted, Sequence: numbers.Next(), Acknowledged: acknowledged})
	}
	for _, generation := range []map[flow.Key]*flowState{f.flowCache.current, f.flowCache.previous} {
		for key, state := range generation {
			tracked := &state.tracker
			if tracked.backend != nil && !state.numbers.Ended() && isEarlierStart(tracked.backend.Incarnation()) && predatesStart(state.firstRequestAt) {
				abandon(key, state.numbers, tracked.lastAck)
				f.flowCache.remove(key, state, now)
			}
		}
	}
	for id, flows := range f.flowCache.idle {
		if !isEarlierStart(id) {
			continue
		}
		for key, each := range flows {
			if predatesStart(each.firstRequestAt) {
				abandon(key, each.numbers, each.lastAck)
				f.flowCache.removeIdle(key)
			}
		}
	}
}
