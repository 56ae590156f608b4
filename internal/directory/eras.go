package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/revision"
)

// When the store comes back from a copy of itself, it lacks what was written last, and shows
// what was replaced or removed since as if it still held. Operators and back ends write theirs
// again within some seconds. Until then what this directory knows is later than what the store
// says, though the store's revisions are of a later era.
//
// The table of routes has versions, which tell an older one for good. Policies have none and
// are nobody else's to write again, so what is known here stands until it has been written.
// Of back ends and orders, what was known is held for a bounded time, since what is not
// written again by then has in truth gone.

const (
	// missingOverrideTime is for how long an entry is held that the copy lacks: its writer is back
	// within about 2 s, and the last second is for the news to arrive. New flows to one
	// that has left meanwhile end within the time that a leaving back end has.
	missingOverrideTime = 3 * time.Second
	// endedOverrideTime is for how long an entry stays ended that the copy shows as it was before:
	// until its back end would have been missed had it fallen silent, three times 3 s.
	endedOverrideTime = 10 * time.Second
	// maxOverrideAge is after how long without a word what is known is no longer held against a
	// later era: who was away for longer may come long after the copy, and what it shows
	// otherwise was written since. A drill takes some seconds.
	maxOverrideAge = 10 * time.Second
)

// entersNewEra tells whether a batch is the first one of a later era, and comes soon enough after the
// last word of the earlier one for what is known to be later than what it shows.
func (d *Directory) entersNewEra(batch *apiv1.DirectoryBatch, now time.Time) bool {
	later := d.revision != 0 && revision.EraOf(batch.GetRevision()) > revision.EraOf(d.revision)
	return later && now.Sub(d.updatedAt) <= maxOverrideAge
}

// fromPastEra tells whether a batch speaks of an era that the store has left. It says nothing of
// what holds now, and its revisions are above those that the copy goes back to.
func (d *Directory) fromPastEra(batch *apiv1.DirectoryBatch) bool {
	return batch.GetRevision() != 0 && revision.EraOf(batch.GetRevision()) < revision.EraOf(d.revision)
}

// addUnknownBackends takes from a batch of a past era the back ends that are not known here, as
// tombstones: their open flows still have to find them.
func (d *Directory) addUnknownBackends(batch *apiv1.DirectoryBatch, now time.Time) bool {
	added := false
	for _, change := range batch.GetChanges() {
		key := KeyOf(change)
		if key.Kind == KindBackend && d.entries[key] == nil && !change.GetUnreadable() {
			added = d.addTombstone(key, change, now) || added
		}
	}
	return added
}

// rolledBackBy tells whether a change would put an older table of routes in force, or a policy
// back to what the store's copy holds. Both stand until they have been written again. A policy
// whose number is above the known one's is not the copy's: that one was given out earlier.
func (e *entry) rolledBackBy(change *apiv1.DirectoryChange, entering bool) bool {
	if offered := change.GetRoutes(); offered != nil {
		return offered.GetVersion() < e.change.GetRoutes().GetVersion()
	}
	offered := change.GetPolicy()
	if offered == nil || !entering || revision.NumberOf(change.GetRevision()) > revision.NumberOf(e.change.GetRevision()) {
		return false
	}
	return change.GetGone() != e.change.GetGone() || !proto.Equal(offered, e.change.GetPolicy())
}

// effective is what holds of an entry: what the store says, or what is held against it.
func (e *entry) effective() *apiv1.DirectoryChange {
	if e.override != nil {
		return e.override
	}
	return e.change
}

// LostPolicy is a policy, or the removal of one, that the store has lost.
type LostPolicy struct {
	Policy *apiv1.Policy
	// Removed is set where it was the removal.
	Removed bool
	// StoredRevision is the store's revision of what it has in its place; 0 is nothing.
	StoredRevision uint64
}

// LostPolicies returns what is to be written again of policies: nobody else remembers them.
func (d *Directory) LostPolicies() []LostPolicy {
	var found []LostPolicy
	for key, known := range d.lostPolicies {
		if !known.change.GetContested() {
			delete(d.lostPolicies, key)
			continue
		}
		if known.change.GetGone() && known.storedRevision == 0 {
			continue // nothing stands that would have to be removed
		}
		found = append(found, LostPolicy{Policy: known.change.GetPolicy(), Removed: known.change.GetGone(), StoredRevision: known.storedRevision})
	}
	return found
}

// trackLostPolicy notes that a policy is to be written again, if an entry is one.
func (d *Directory) trackLostPolicy(key Key, known *entry) {
	if key.Kind == KindPolicy && known.change.GetContested() {
		d.lostPolicies[key] = known
	}
}

// noteStoredPolicy takes what the store has in place of a policy that it lost.
func (e *entry) noteStoredPolicy(change *apiv1.DirectoryChange) {
	if e.change.GetContested() && change.GetPolicy() != nil && !change.GetGone() && !change.GetContested() {
		e.storedRevision = change.GetRevision()
	}
}

// keptWhenMissing tells whether an entry stands that a complete batch does not name: the table of
// routes, and a policy that the store has lost.
func (e *entry) keptWhenMissing(kind Kind, from batchContext) bool {
	return kind == KindRoutes || kind == KindPolicy && (from.newEra || e.change.GetContested())
}

// entryState is what was believed of an entry before a change of it.
type entryState struct {
	// stored is what the store had said.
	stored, effective *apiv1.DirectoryChange
	// removedAt is when it was removed, if it was.
	removedAt time.Time
}

func stateOf(known *entry) entryState {
	return entryState{stored: known.change, effective: known.effective(), removedAt: known.removedAt}
}

// reconcile decides what is believed of an entry after a change of it. It tells whether the
// entry is held or released by that.
func (d *Directory) reconcile(key Key, known *entry, before entryState, from batchContext) bool {
	limit := time.Duration(0)
	if from.newEra {
		limit = overrideTime(before.effective, known.change)
	}
	if limit == 0 {
		return d.dropOverride(key, known)
	}
	known.override, known.overrideUntil = before.effective, from.receivedAt.Add(limit)
	if before.effective.GetGone() {
		known.removedAt = before.removedAt
	}
	d.overridden[key] = known
	d.scheduleExpiry(known.overrideUntil)
	d.reindex(key)
	return true
}

// overrideTime is for how long what was known of an entry is held against what the copy shows; 0
// is not at all.
func overrideTime(before, shown *apiv1.DirectoryChange) time.Duration {
	switch before.GetEntry().(type) {
	case *apiv1.DirectoryChange_Backend, *apiv1.DirectoryChange_Evacuation:
	default:
		return 0
	}
	switch {
	case shown.GetGone() && !before.GetGone():
		return missingOverrideTime
	case startTime(shown) != startTime(before):
		return 0
	case before.GetGone() && !shown.GetGone():
		return endedOverrideTime
	case reportsDraining(before) && !shown.GetGone() && !shown.GetBackend().GetDraining():
		return endedOverrideTime
	case !shown.GetBackend().GetDraining() && !sameContent(before, shown):
		// The copy may show it colder than it is by now.
		return missingOverrideTime
	}
	return 0
}

// reportsDraining tells whether a back end has said that it leaves.
func reportsDraining(change *apiv1.DirectoryChange) bool {
	return change.GetBackend().GetDraining() && !change.GetUnreadable()
}

// dropOverride lets an entry be what the store says. It tells whether the entry was held.
func (d *Directory) dropOverride(key Key, known *entry) bool {
	if known.override == nil {
		return false
	}
	known.override = nil
	if !known.change.GetGone() {
		known.removedAt = time.Time{}
	}
	delete(d.overridden, key)
	d.reindex(key)
	return true
}

// dropExpiredOverrides lets entries be what the store says whose time to be written again is over. It
// tells whether any was.
func (d *Directory) dropExpiredOverrides(now time.Time) bool {
	released := false
	for key, known := range d.overridden {
		if now.Before(known.overrideUntil) {
			d.scheduleExpiry(known.overrideUntil)
			continue
		}
		released = d.dropOverride(key, known) || released
	}
	return released
}

// OverrideCount is how many entries are held against what the store's copy shows.
func (d *Directory) OverrideCount() int { return len(d.overridden) }

// reindex has an entry listed anew.
func (d *Directory) reindex(key Key) {
	if key.Kind == KindBackend {
		d.backendIndex.markChanged(key.Name)
	}
}
