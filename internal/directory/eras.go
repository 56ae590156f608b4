package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/revision"
)

// When the store is restored from a backup, it lacks the latest writes, and it shows content that
// was replaced or removed since as if it were still valid. Operators and back ends write their
// entries again within some seconds. Until then this directory knows later content than the store,
// although the store's revisions belong to a later era.
//
// The version of the route table identifies an older one reliably. Policies have no version, and
// nobody else writes them again, so the known ones are kept until balancers have written them
// again. Known back ends and evacuation orders are kept for a limited time only, because an entry
// that is not written again by then is really gone.

const (
	// missingOverrideTime is how long an entry is kept that the backup lacks. Its writer is back
	// within about 2 s, and the last second is for the change to arrive. New flows to a back end
	// that has left meanwhile end within the time that a leaving back end has.
	missingOverrideTime = 3 * time.Second
	// endedOverrideTime is how long an entry stays removed, or draining, although the backup shows
	// its earlier state. It is the time after which its back end would have been missed if it had
	// gone silent: three times 3 s.
	endedOverrideTime = 10 * time.Second
	// maxOverrideAge is the time without an update after which the content of this directory no
	// longer overrides that of a later era. A balancer that had no contact for longer may read
	// the store long after the restore, and differences are then later writes. A restore takes some
	// seconds.
	maxOverrideAge = 10 * time.Second
)

// entersNewEra reports whether a batch is the first one of a later era and arrives soon enough
// after the last update from the earlier era that the directory may know later content than the
// batch.
func (d *Directory) entersNewEra(batch *apiv1.DirectoryBatch, now time.Time) bool {
	later := d.revision != 0 && revision.EraOf(batch.GetRevision()) > revision.EraOf(d.revision)
	return later && now.Sub(d.updatedAt) <= maxOverrideAge
}

// fromPastEra reports whether a batch belongs to an era that the store has left. Such a batch says
// nothing about the current content, and its revisions are above those that the backup goes back
// to.
func (d *Directory) fromPastEra(batch *apiv1.DirectoryBatch) bool {
	return batch.GetRevision() != 0 && revision.EraOf(batch.GetRevision()) < revision.EraOf(d.revision)
}

// addUnknownBackends adds the back ends of a batch from a past era that are not known here as
// tombstones, because their open flows still have to be forwarded.
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

// rolledBackBy reports whether a change would restore an older route table, or put a policy back to
// what the store's backup holds. The known ones are kept until they have been written again. A
// policy whose number is above that of the known one is not from the backup, which only holds
// numbers that were assigned earlier.
func (e *entry) rolledBackBy(change *apiv1.DirectoryChange, newEra bool) bool {
	if offered := change.GetRoutes(); offered != nil {
		return offered.GetVersion() < e.change.GetRoutes().GetVersion()
	}
	offered := change.GetPolicy()
	if offered == nil || !newEra || revision.NumberOf(change.GetRevision()) > revision.NumberOf(e.change.GetRevision()) {
		return false
	}
	return change.GetGone() != e.change.GetGone() || !proto.Equal(offered, e.change.GetPolicy())
}

// effective returns the content that is in use: the override, or else what the store holds.
func (e *entry) effective() *apiv1.DirectoryChange {
	if e.override != nil {
		return e.override
	}
	return e.change
}

// LostPolicy is a policy, or the removal of one, that the store has lost.
type LostPolicy struct {
	Policy *apiv1.Policy
	// Removed is set if the removal was lost.
	Removed bool
	// StoredRevision is the revision of what the store holds in its place; 0 means nothing.
	StoredRevision uint64
}

// LostPolicies returns the policies and removals that have to be written again, because only
// balancers still know them.
func (d *Directory) LostPolicies() []LostPolicy {
	var policies []LostPolicy
	for key, e := range d.lostPolicies {
		if !e.change.GetContested() {
			delete(d.lostPolicies, key)
			continue
		}
		if e.change.GetGone() && e.storedRevision == 0 {
			continue // the store holds nothing that would have to be removed
		}
		policies = append(policies, LostPolicy{Policy: e.change.GetPolicy(), Removed: e.change.GetGone(), StoredRevision: e.storedRevision})
	}
	return policies
}

// trackLostPolicy records that an entry has to be written again if it is a contested policy.
func (d *Directory) trackLostPolicy(key Key, e *entry) {
	if key.Kind == KindPolicy && e.change.GetContested() {
		d.lostPolicies[key] = e
	}
}

// noteStoredPolicy records the revision of what the store holds in place of a policy that it lost.
func (e *entry) noteStoredPolicy(change *apiv1.DirectoryChange) {
	if e.change.GetContested() && change.GetPolicy() != nil && !change.GetGone() && !change.GetContested() {
		e.storedRevision = change.GetRevision()
	}
}

// keptWhenMissing reports whether an entry is kept although a complete batch does not list it. This
// holds for the route table and for policies that the store has lost.
func (e *entry) keptWhenMissing(kind Kind, context batchContext) bool {
	return kind == KindRoutes || kind == KindPolicy && (context.newEra || e.change.GetContested())
}

// entryState is the state of an entry before a change is applied.
type entryState struct {
	// stored is what the store held, and effective what was in use.
	stored, effective *apiv1.DirectoryChange
	// removedAt is when the entry was removed, or zero.
	removedAt time.Time
}

func stateOf(e *entry) entryState {
	return entryState{stored: e.change, effective: e.effective(), removedAt: e.removedAt}
}

// reconcile decides after a change whether the earlier content overrides the new one. It reports
// whether an override was set or removed.
func (d *Directory) reconcile(key Key, e *entry, before entryState, context batchContext) bool {
	duration := time.Duration(0)
	if context.newEra {
		duration = overrideTime(before.effective, e.change)
	}
	if duration == 0 {
		return d.dropOverride(key, e)
	}
	e.override, e.overrideUntil = before.effective, context.receivedAt.Add(duration)
	if before.effective.GetGone() {
		e.removedAt = before.removedAt
	}
	d.overridden[key] = e
	d.scheduleExpiry(e.overrideUntil)
	d.reindex(key)
	return true
}

// overrideTime returns how long the known content overrides what the restored store shows; 0 means
// not at all.
func overrideTime(before, after *apiv1.DirectoryChange) time.Duration {
	switch before.GetEntry().(type) {
	case *apiv1.DirectoryChange_Backend, *apiv1.DirectoryChange_Evacuation:
	default:
		return 0
	}
	switch {
	case after.GetGone() && !before.GetGone():
		return missingOverrideTime
	case startTime(after) != startTime(before):
		return 0
	case before.GetGone() && !after.GetGone():
		return endedOverrideTime
	case reportsDraining(before) && !after.GetGone() && !after.GetBackend().GetDraining():
		return endedOverrideTime
	case !after.GetBackend().GetDraining() && !sameContent(before, after):
		// The backup may show the back end less warmed up than it is by now.
		return missingOverrideTime
	}
	return 0
}

// reportsDraining reports whether a back end itself has announced that it is leaving.
func reportsDraining(change *apiv1.DirectoryChange) bool {
	return change.GetBackend().GetDraining() && !change.GetUnreadable()
}

// dropOverride makes the store's content effective again. It reports whether the entry had an
// override.
func (d *Directory) dropOverride(key Key, e *entry) bool {
	if e.override == nil {
		return false
	}
	e.override = nil
	if !e.change.GetGone() {
		e.removedAt = time.Time{}
	}
	delete(d.overridden, key)
	d.reindex(key)
	return true
}

// dropExpiredOverrides drops the overrides whose time is over. It reports whether there were any.
func (d *Directory) dropExpiredOverrides(now time.Time) bool {
	dropped := false
	for key, e := range d.overridden {
		if now.Before(e.overrideUntil) {
			d.scheduleExpiry(e.overrideUntil)
			continue
		}
		dropped = d.dropOverride(key, e) || dropped
	}
	return dropped
}

// OverrideCount returns the number of entries whose known content overrides what the restored store
// shows.
func (d *Directory) OverrideCount() int { return len(d.overridden) }

// reindex marks the entry to be indexed again if it is a back end.
func (d *Directory) reindex(key Key) {
	if key.Kind == KindBackend {
		d.backendIndex.markChanged(key.Name)
	}
}
