package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Kind tells what an entry describes.
type Kind uint8

// The kinds of entries.
const (
	KindNone Kind = iota
	KindRoutes
	KindBackend
	KindBalancer
	KindPolicy
	KindEvacuation
)

// Key names an entry. The table of routes has no name.
type Key struct {
	Kind Kind
	Name string
}

// KeyOf returns the key of the entry that a change is about.
func KeyOf(change *apiv1.DirectoryChange) Key {
	switch entry := change.GetEntry().(type) {
	case *apiv1.DirectoryChange_Routes:
		return Key{Kind: KindRoutes}
	case *apiv1.DirectoryChange_Backend:
		return Key{Kind: KindBackend, Name: entry.Backend.GetId()}
	case *apiv1.DirectoryChange_Balancer:
		return Key{Kind: KindBalancer, Name: entry.Balancer.GetName()}
	case *apiv1.DirectoryChange_Policy:
		return Key{Kind: KindPolicy, Name: entry.Policy.GetName()}
	case *apiv1.DirectoryChange_Evacuation:
		return Key{Kind: KindEvacuation, Name: entry.Evacuation.GetZone()}
	}
	return Key{}
}

// entry is one entry and when this directory learned of its removal.
type entry struct {
	change *apiv1.DirectoryChange
	// loggedRevision is the revision under which the log has the content. The change's
	// own revision rises without it when an entry was written anew as it was.
	loggedRevision uint64
	// learnedAt is when this directory learned of the content.
	learnedAt time.Time
	removedAt time.Time
	// seenLive is set when the entry was known here before it was removed. When
	// one that was not has gone, nobody here knows.
	seenLive bool
	// startSeenAt is when an entry of this start of a back end was last heard of, and
	// restartedAt when this start took the place of another one.
	startSeenAt, restartedAt time.Time
	// override is believed in place of the change until overrideUntil; nil is not.
	override      *apiv1.DirectoryChange
	overrideUntil time.Time
	// storedRevision is the revision of what the store has in place of a policy that it lost; 0 is
	// nothing, or not known.
	storedRevision uint64
}

// Directory is the knowledge of one balancer. It belongs to one goroutine.
type Directory struct {
	retention time.Duration
	revision  uint64
	// updatedAt is when something last told what holds up to a revision.
	updatedAt time.Time
	// compactedRevision is the highest revision of a tombstone that was dropped. Who
	// knows less than that needs a complete batch.
	compactedRevision uint64
	// steps are the latest rises of the revision, the oldest first.
	steps   []revisionStep
	entries map[Key]*entry
	// nextExpiry is no later than the end of the first tombstone or held entry; the zero
	// time is none. Expire is called with each event and looks at them only then.
	nextExpiry time.Time
	log        changeLog
	// tombstones are the entries that were removed: to find those that have had their time
	// costs by them, and not by all that is known.
	tombstones map[Key]*entry
	// overridden are the entries that are held against the store's copy, and lost the policies
	// that were to be written again when they were last looked at.
	overridden, lostPolicies map[Key]*entry
	// evacuations are the entries of orders to evacuate, by zone.
	evacuations map[string]*entry
	// backendIndex are the back ends in order.
	backendIndex backendIndex
	// balancerChanges counts the changes of the entries of balancers.
	balancerChanges uint64
}

// revisionStep is one rise of the revision. What was both made and removed in between
// may never have been seen here. Somebody whose revision lies in between may
// know it, and needs a complete batch to learn of the removal.
type revisionStep struct {
	from, to uint64
}

// maxSteps is how many steps are remembered; a poll a second makes them last
// longer than a follower is behind.
const maxSteps = 256

// New makes an empty directory that keeps tombstones for the given time.
func New(retention time.Duration) *Directory {
	return &Directory{retention: retention, entries: make(map[Key]*entry), evacuations: make(map[string]*entry),
		tombstones: make(map[Key]*entry), overridden: make(map[Key]*entry), lostPolicies: make(map[Key]*entry), backendIndex: newBackendIndex()}
}

// Clear forgets everything. What was learned from an old copy of the store may be later than
// the store itself, when that has just come back from an older one.
func (d *Directory) Clear() {
	for key := range d.entries {
		d.deleteEntry(key)
	}
	d.revision, d.compactedRevision, d.steps, d.log = 0, 0, nil, changeLog{}
	d.balancerChanges++
}

// Revision is the revision up to which everything is known; 0 is nothing.
func (d *Directory) Revision() uint64 { return d.revision }

// Apply merges a batch and tells whether any entry changed.
func (d *Directory) Apply(batch *apiv1.DirectoryBatch, now time.Time) bool {
	if d.fromPastEra(batch) {
		return d.addUnknownBackends(batch, now)
	}
	changed := false
	from := batchContext{stale: batch.GetRevision() < d.revision, newEra: d.entersNewEra(batch, now), receivedAt: now}
	for _, change := range batch.GetChanges() {
		changed = d.applyChange(change, from) || changed
	}
	if batch.GetComplete() {
		changed = d.removeMissing(batch, from) || changed
	}
	d.advance(batch.GetRevision())
	if batch.GetRevision() != 0 {
		d.updatedAt = now
	}
	return changed
}

// batchContext is how a batch came.
type batchContext struct {
	// stale is set when it is older than what is known.
	stale bool
	// newEra is set when it is the first one of a later era, and what is known may be
	// later than what it shows.
	newEra     bool
	receivedAt time.Time
}

// applyChange merges one change, and decides what is believed of its entry.
func (d *Directory) applyChange(change *apiv1.DirectoryChange, from batchContext) bool {
	key := KeyOf(change)
	known := d.entries[key]
	if known == nil {
		return d.merge(key, change, from)
	}
	before := stateOf(known)
	changed := d.merge(key, change, from)
	if known.change != before.stored {
		changed = d.reconcile(key, known, before, from) || changed
	}
	return changed
}

func (d *Directory) advance(revision uint64) {
	if revision <= d.revision {
		return
	}
	d.steps = append(d.steps, revisionStep{from: d.revision, to: revision})
	d.revision = revision
	if len(d.steps) > maxSteps {
		d.compactedRevision = max(d.compactedRevision, d.steps[0].to)
		d.steps = append(d.steps[:0], d.steps[1:]...)
	}
}

// insideStep tells whether a revision lies inside of a step.
func (d *Directory) insideStep(revision uint64) bool {
	for _, step := range d.steps {
		if step.from < revision && revision < step.to {
			return true
		}
	}
	return false
}

// merge takes one change if it is newer than what is known. It tells whether
// the content changed, or was written again while it was held against. The
// revision is taken in any case: another balancer may have seen a change in
// between that this one missed. The log is not told of a revision without a new
// content, since back ends write their entries all the time: who knows what held
// at the start of a step has the same content, and who saw something in between
// gets a complete batch. A late batch, one that is older than what is known,
// brings no entry back: had it lasted, it would be known.
func (d *Directory) merge(key Key, change *apiv1.DirectoryChange, from batchContext) bool {
	late, now := from.stale, from.receivedAt
	if key.Kind == KindNone {
		return false
	}
	known := d.entries[key]
	if isNameOnly(change) && (known == nil || known.change.GetGone()) {
		return false
	}
	if late && !change.GetGone() && (known == nil || known.change.GetGone()) {
		return known == nil && d.addTombstone(key, change, now)
	}
	if known == nil {
		made := &entry{change: change, seenLive: !change.GetGone(), learnedAt: now, startSeenAt: now}
		if change.GetGone() {
			made.removedAt = now
			d.tombstones[key] = made
			d.scheduleTombstoneExpiry(now)
		}
		d.entries[key] = made
		d.recordContent(key, made)
		return true
	}
	if change.GetRevision() <= known.change.GetRevision() {
		known.noteStoredPolicy(change)
		return false
	}
	if known.rolledBackBy(change, from.newEra) {
		d.markContested(key, known, change.GetRevision())
		known.noteStoredPolicy(change)
		return false
	}
	if change.GetGone() {
		return d.markRemoved(key, known, change.GetRevision(), now)
	}
	if isNameOnly(change) {
		return d.markUnreadable(key, known, change.GetRevision())
	}
	if known.supersedes(change, from) {
		d.markContested(key, known, change.GetRevision())
		return false
	}
	known.observeStart(change, now)
	same := !known.change.GetGone() && known.override == nil && sameContent(known.change, change)
	known.change = change
	d.trackLostPolicy(key, known)
	known.removedAt = time.Time{}
	delete(d.tombstones, key)
	known.seenLive = true
	if !same {
		known.learnedAt = now
		d.recordContent(key, known)
	}
	return !same
}

// recordContent puts the content of an entry into the log.
func (d *Directory) recordContent(key Key, known *entry) {
	switch key.Kind {
	case KindBalancer:
		d.balancerChanges++
	case KindBackend:
		d.backendIndex.markChanged(key.Name)
	case KindEvacuation:
		d.evacuations[key.Name] = known
	}
	known.loggedRevision = known.change.GetRevision()
	d.log.add(known.loggedRevision, key)
}

// markRemoved turns an entry into a tombstone that keeps what the entry last held.
func (d *Directory) markRemoved(key Key, known *entry, revision uint64, now time.Time) bool {
	wasGone := known.change.GetGone()
	buried := proto.CloneOf(known.change)
	buried.Revision, buried.Gone, buried.Contested = revision, true, false
	known.change = buried
	d.recordContent(key, known)
	d.tombstones[key] = known
	if !wasGone {
		known.removedAt = now
		d.scheduleTombstoneExpiry(now)
	}
	return !wasGone
}

// addTombstone keeps what an entry held that is gone by now, so that its open
// flows still find it.
func (d *Directory) addTombstone(key Key, change *apiv1.DirectoryChange, now time.Time) bool {
	buried := proto.CloneOf(change)
	buried.Revision = d.revision
	buried.Gone = true
	made := &entry{change: buried, removedAt: now}
	d.scheduleTombstoneExpiry(now)
	d.entries[key] = made
	d.tombstones[key] = made
	d.recordContent(key, made)
	return true
}

func sameContent(known, offered *apiv1.DirectoryChange) bool {
	compared := &apiv1.DirectoryChange{Revision: known.GetRevision(), Entry: offered.GetEntry()}
	return proto.Equal(known, compared)
}

// removeMissing buries the entries that a complete batch would have named if
// they still existed. A tombstone in the batch names nothing: it may be older
// than an entry that was made and removed again since.
// Those stand that outlast a copy.
func (d *Directory) removeMissing(batch *apiv1.DirectoryBatch, from batchContext) bool {
	named := make(map[Key]bool, len(batch.GetChanges()))
	for _, change := range batch.GetChanges() {
		if !change.GetGone() {
			named[KeyOf(change)] = true
		}
	}
	changed := false
	for key, known := range d.entries {
		if named[key] || known.change.GetRevision() > batch.GetRevision() {
			continue
		}
		if known.change.GetGone() {
			known.storedRevision = 0
			continue
		}
		if known.keptWhenMissing(key.Kind, from) {
			d.markContestedOnce(key, known, batch.GetRevision())
			continue
		}
		before := stateOf(known)
		changed = d.markRemoved(key, known, batch.GetRevision(), from.receivedAt) || changed
		changed = d.reconcile(key, known, before, from) || changed
	}
	return changed
}

// Expire drops tombstones that are older than the retention, and lets entries be what the
// store says that were held for long enough. It tells whether there were any.
func (d *Directory) Expire(now time.Time) bool {
	if d.nextExpiry.IsZero() || now.Before(d.nextExpiry) {
		return false
	}
	d.nextExpiry = time.Time{}
	dropped := d.dropExpiredOverrides(now)
	for key, known := range d.tombstones {
		if now.Sub(known.removedAt) < d.retention {
			d.scheduleTombstoneExpiry(known.removedAt)
			continue
		}
		d.compactedRevision = max(d.compactedRevision, known.change.GetRevision())
		d.deleteEntry(key)
		dropped = true
	}
	return dropped
}

// deleteEntry forgets an entry.
func (d *Directory) deleteEntry(key Key) {
	delete(d.entries, key)
	delete(d.tombstones, key)
	delete(d.overridden, key)
	delete(d.lostPolicies, key)
	switch key.Kind {
	case KindBackend:
		d.backendIndex.markChanged(key.Name)
	case KindEvacuation:
		delete(d.evacuations, key.Name)
	}
}

// scheduleTombstoneExpiry notes that a tombstone was made at a time.
func (d *Directory) scheduleTombstoneExpiry(goneAt time.Time) {
	d.scheduleExpiry(goneAt.Add(d.retention))
}

// scheduleExpiry notes that something has had its time at a time.
func (d *Directory) scheduleExpiry(end time.Time) {
	if d.nextExpiry.IsZero() || end.Before(d.nextExpiry) {
		d.nextExpiry = end
	}
}
