package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// lateWriteWindow is for how long after its successor was heard of an earlier start of a back end
// may still come with a higher revision: a call to the store that got no answer may be done
// seconds later. After that the successor is silent, and the clock by which starts are told
// apart has been set back. Back ends write every 3 s at the most.
const lateWriteWindow = 10 * time.Second

// startTime is the start of the back end that a change is about; 0 where it does not say, or
// is about something else.
func startTime(change *apiv1.DirectoryChange) uint64 {
	return change.GetBackend().GetStartedMilliseconds()
}

// supersedes tells whether a change with a higher revision comes from an earlier start of a
// back end: its successor lives, or what shows the earlier one is a copy of the store.
func (e *entry) supersedes(change *apiv1.DirectoryChange, from batchContext) bool {
	offered, known := startTime(change), startTime(e.change)
	if offered == 0 || offered >= known {
		return false
	}
	return from.newEra || !e.change.GetGone() && from.receivedAt.Sub(e.startSeenAt) < lateWriteWindow
}

// observeStart takes that a change of the known start has come, or one of another start.
func (e *entry) observeStart(change *apiv1.DirectoryChange, now time.Time) {
	e.startSeenAt = now
	if startTime(change) != startTime(e.change) && startTime(change) != 0 {
		e.restartedAt = now
	}
}

// markContested takes that the store shows what is older than what is known: what an earlier start
// of a back end wrote last, or what a copy of the store held or lacks. Somebody may hold that,
// so what is written next differs from what is known here, and is told.
func (d *Directory) markContested(key Key, known *entry, revision uint64) {
	contested := proto.CloneOf(known.change)
	contested.Revision, contested.Contested = revision, true
	known.change = contested
	d.trackLostPolicy(key, known)
	d.recordContent(key, known)
}

// markContestedOnce is contest for what stays contested with each read until it is written again.
func (d *Directory) markContestedOnce(key Key, known *entry, revision uint64) {
	if !known.change.GetContested() {
		d.markContested(key, known, revision)
	}
}

// isNameOnly tells whether a change says that an entry exists and can't be read, and not what
// it held before.
func isNameOnly(change *apiv1.DirectoryChange) bool {
	return change.GetUnreadable() && change.GetBackend().GetAddress() == 0
}

// markUnreadable takes that an entry exists and can't be read. A back end of whom that holds gets
// no new flows until it can be read again; what was known of it stays for its open flows.
// Of other entries what was known holds.
func (d *Directory) markUnreadable(key Key, known *entry, revision uint64) bool {
	if key.Kind != KindBackend || known.change.GetGone() || known.change.GetBackend().GetDraining() {
		return false
	}
	aside := proto.CloneOf(known.change)
	aside.Revision, aside.Unreadable = revision, true
	aside.GetBackend().Draining = true
	known.change = aside
	d.recordContent(key, known)
	return true
}
