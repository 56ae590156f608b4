package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// lateWriteWindow is how long after a later start of a back end was last seen a write of an earlier
// start may still arrive with a higher revision: a store call that timed out may take effect
// seconds later. After that time the later start has stopped writing, so the clock that orders
// starts must have been set back. Back ends write every 3 s at the latest.
const lateWriteWindow = 10 * time.Second

// startTime returns the start time of the back end that a change is about, or 0 if it is not given
// or the change is about something else.
func startTime(change *apiv1.DirectoryChange) uint64 {
	return change.GetBackend().GetStartedMilliseconds()
}

// isFromEarlierStart reports whether a change with a higher revision comes from an earlier start of a back
// end. That is so if the later start is alive, or if the change is read from a restored store.
func (e *entry) isFromEarlierStart(change *apiv1.DirectoryChange, context batchContext) bool {
	changeStart, knownStart := startTime(change), startTime(e.change)
	if changeStart == 0 || changeStart >= knownStart {
		return false
	}
	return context.newEra || !e.change.GetGone() && context.receivedAt.Sub(e.startSeenAt) < lateWriteWindow
}

// recordStart records that an entry was seen, and whether it belongs to another start.
func (e *entry) recordStart(change *apiv1.DirectoryChange, now time.Time) {
	e.startSeenAt = now
	if startTime(change) != startTime(e.change) && startTime(change) != 0 {
		e.restartedAt = now
	}
}

// markContested records that the store shows something older than what is known: the last write of
// an earlier start of a back end, or what a backup holds or lacks. Other balancers may have taken
// that over, so the mark makes the next write differ from the known content, which causes it to be
// propagated.
func (d *Directory) markContested(key Key, e *entry, revision uint64) {
	contested := proto.CloneOf(e.change)
	contested.Revision, contested.Contested = revision, true
	e.change = contested
	d.trackLostPolicy(key, e)
	d.recordContent(key, e)
}

// markContestedOnce is like markContested, for entries that stay contested at each read until they
// are written again.
func (d *Directory) markContestedOnce(key Key, e *entry, revision uint64) {
	if !e.change.GetContested() {
		d.markContested(key, e, revision)
	}
}

// isNameOnly reports whether a change only says that an entry exists but can't be read, without its
// earlier content.
func isNameOnly(change *apiv1.DirectoryChange) bool {
	return change.GetUnreadable() && change.GetBackend().GetAddress() == 0
}

// markUnreadable records that an entry exists but can't be read. A back end with such an entry gets
// no new flows until the entry can be read again, and its known content stays in use for its open
// flows. For other kinds of entries the known content stays in force.
func (d *Directory) markUnreadable(key Key, e *entry, revision uint64) bool {
	if key.Kind != KindBackend || e.change.GetGone() || e.change.GetBackend().GetDraining() {
		return false
	}
	unreadable := proto.CloneOf(e.change)
	unreadable.Revision, unreadable.Unreadable = revision, true
	unreadable.GetBackend().Draining = true
	e.change = unreadable
	d.recordContent(key, e)
	return true
}
