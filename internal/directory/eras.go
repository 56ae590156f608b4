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
	// lostFor is for how long an entry is held that the copy lacks: its writer is back
	// within about 2 s, and the last second is for the news to arrive. New flows to one
	// that has left meanwhile end within the time that a leaving back end has.
	lostFor = 3 * time.Second
	// endedFor is for how long an entry stays ended that the copy shows as it was before:
	// until its back end would have been missed had it fallen silent, three times 3 s.
	endedFor = 10 * time.Second
	// awayFor is after how long without a word what is known is no longer held against a
	// later era: who was away for longer may come long after the copy, and what it shows
	// otherwise was written since. A drill takes some seconds.
	awayFor = 10 * time.Second
)

// entersEra tells whether a batch is the first one of a later era, and comes soon enough after the
// last word of the earlier one for what is known to be later than what it shows.
func (d *Directory) entersEra(batch *apiv1.DirectoryBatch, now time.Time) bool {
	later := d.revision != 0 && revision.EraOf(batch.GetRevision()) > revision.EraOf(d.revision)
	return later && now.Sub(d.toldAt) <= awayFor
}

// ofPastEra tells whether a batch speaks of an era that the store has left. It says nothing of
// what holds now, and its revisions are above those that the copy goes back to.
func (d *Directory) ofPastEra(batch *apiv1.DirectoryBatch) bool {
	return batch.GetRevision() != 0 && revision.EraOf(batch.GetRevision()) < revision.EraOf(d.revision)
}

// addUnknown takes from a batch of a past era the back ends that are not known here, as
// tombstones: their open flows still have to find them.
func (d *Directory) addUnknown(batch *apiv1.DirectoryBatch, now time.Time) bool {
	added := false
	for _, change := range batch.GetChanges() {
		key := KeyOf(change)
		if key.Kind == KindBackend && d.entries[key] == nil && !change.GetUnreadable() {
			added = d.addTombstone(key, change, now) || added
		}
	}
	return added
}

// reverts tells whether a change would put an older table of routes in force, or a policy
// back to what the store's copy holds. Both stand until they have been written again. A policy
// whose number is above the known one's is not the copy's: that one was given out earlier.
func (e *entry) reverts(change *apiv1.DirectoryChange, entering bool) bool {
	if offered := change.GetRoutes(); offered != nil {
		return offered.GetVersion() < e.change.GetRoutes().GetVersion()
	}
	offered := change.GetPolicy()
	if offered == nil || !entering || revision.NumberOf(change.GetRevision()) > revision.NumberOf(e.change.GetRevision()) {
		return false
	}
	return change.GetGone() != e.change.GetGone() || !proto.Equal(offered, e.change.GetPolicy())
}

// believed is what holds of an entry: what the store says, or what is held against it.
func (e *entry) believed() *apiv1.DirectoryChange {
	if e.held != nil {
		return e.held
	}
	return e.change
}

// LostPolicy is a policy, or the removal of one, that the store has lost.
type LostPolicy struct {
	Policy *apiv1.Policy
	// Gone is set where it was the removal.
	Gone bool
	// Stands is the store's revision of what it has in its place; 0 is nothing.
	Stands uint64
}

// LostPolicies returns what is to be written again of policies: nobody else remembers them.
func (d *Directory) LostPolicies() []LostPolicy {
	var found []LostPolicy
	for key, known := range d.lost {
		if !known.change.GetContested() {
			delete(d.lost, key)
			continue
		}
		if known.change.GetGone() && known.stands == 0 {
			continue // nothing stands that would have to be removed
		}
		found = append(found, LostPolicy{Policy: known.change.GetPolicy(), Gone: known.change.GetGone(), Stands: known.stands})
	}
	return found
}

// noteLost notes that a policy is to be written again, if an entry is one.
func (d *Directory) noteLost(key Key, known *entry) {
	if key.Kind == KindPolicy && known.change.GetContested() {
		d.lost[key] = known
	}
}

// notice takes what the store has in place of a policy that it lost.
func (e *entry) notice(change *apiv1.DirectoryChange) {
	if e.change.GetContested() && change.GetPolicy() != nil && !change.GetGone() && !change.GetContested() {
		e.stands = change.GetRevision()
	}
}

// outlasts tells whether an entry stands that a complete batch does not name: the table of
// routes, and a policy that the store has lost.
func (e *entry) outlasts(kind Kind, from arrival) bool {
	return kind == KindRoutes || kind == KindPolicy && (from.entering || e.change.GetContested())
}

// belief is what was believed of an entry before a change of it.
type belief struct {
	// told is what the store had said.
	told, change *apiv1.DirectoryChange
	// goneAt is when it was removed, if it was.
	goneAt time.Time
}

func beliefIn(known *entry) belief {
	return belief{told: known.change, change: known.believed(), goneAt: known.goneAt}
}

// reconcile decides what is believed of an entry after a change of it. It tells whether the
// entry is held or released by that.
func (d *Directory) reconcile(key Key, known *entry, before belief, from arrival) bool {
	limit := time.Duration(0)
	if from.entering {
		limit = heldFor(before.change, known.change)
	}
	if limit == 0 {
		return d.release(key, known)
	}
	known.held, known.heldUntil = before.change, from.at.Add(limit)
	if before.change.GetGone() {
		known.goneAt = before.goneAt
	}
	d.held[key] = known
	d.expireAt(known.heldUntil)
	d.touch(key)
	return true
}

// heldFor is for how long what was known of an entry is held against what the copy shows; 0
// is not at all.
func heldFor(before, shown *apiv1.DirectoryChange) time.Duration {
	switch before.GetEntry().(type) {
	case *apiv1.DirectoryChange_Backend, *apiv1.DirectoryChange_Evacuation:
	default:
		return 0
	}
	switch {
	case shown.GetGone() && !before.GetGone():
		return lostFor
	case startOf(shown) != startOf(before):
		return 0
	case before.GetGone() && !shown.GetGone():
		return endedFor
	case saidDraining(before) && !shown.GetGone() && !shown.GetBackend().GetDraining():
		return endedFor
	case !shown.GetBackend().GetDraining() && !sameContent(before, shown):
		// The copy may show it colder than it is by now.
		return lostFor
	}
	return 0
}

// saidDraining tells whether a back end has said that it leaves.
func saidDraining(change *apiv1.DirectoryChange) bool {
	return change.GetBackend().GetDraining() && !change.GetUnreadable()
}

// release lets an entry be what the store says. It tells whether the entry was held.
func (d *Directory) release(key Key, known *entry) bool {
	if known.held == nil {
		return false
	}
	known.held = nil
	if !known.change.GetGone() {
		known.goneAt = time.Time{}
	}
	delete(d.held, key)
	d.touch(key)
	return true
}

// releaseDue lets entries be what the store says whose time to be written again is over. It
// tells whether any was.
func (d *Directory) releaseDue(now time.Time) bool {
	released := false
	for key, known := range d.held {
		if now.Before(known.heldUntil) {
			d.expireAt(known.heldUntil)
			continue
		}
		released = d.release(key, known) || released
	}
	return released
}

// Held is how many entries are held against what the store's copy shows.
func (d *Directory) Held() int { return len(d.held) }

// touch has an entry listed anew.
func (d *Directory) touch(key Key) {
	if key.Kind == KindBackend {
		d.listing.change(key.Name)
	}
}
