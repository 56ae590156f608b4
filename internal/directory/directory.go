package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Kind is the type of object that an entry describes.
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

// Key identifies an entry. The route table, of which there is only one, has no name.
type Key struct {
	Kind Kind
	Name string
}

// KeyOf returns the key of the entry that a change is about, or the zero Key if the change has no
// known entry.
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

// entry is one entry with what this directory knows about its history.
type entry struct {
	change *apiv1.DirectoryChange
	// loggedRevision is the revision under which the change log lists the content. The revision of
	// change rises above it when an entry is rewritten with the same content.
	loggedRevision uint64
	// learnedAt is when this directory learned of the content.
	learnedAt time.Time
	removedAt time.Time
	// seenLive is set if this directory knew the entry before it was removed. Otherwise the time of
	// the removal is not known.
	seenLive bool
	// startSeenAt is when an entry of the current start of a back end was last seen, and
	// restartedAt is when this start replaced another one.
	startSeenAt, restartedAt time.Time
	// override, if not nil, is used in place of change until overrideUntil.
	override      *apiv1.DirectoryChange
	overrideUntil time.Time
	// storedRevision is the revision of what the store holds in place of a policy that it lost; 0
	// means nothing or unknown.
	storedRevision uint64
}

// Directory is what one balancer knows of the store's content. It must be used by a single
// goroutine.
type Directory struct {
	retention time.Duration
	revision  uint64
	// updatedAt is when a batch that states its revision was last applied.
	updatedAt time.Time
	// compactedRevision is the highest revision of a tombstone that was dropped. A follower that
	// knows less needs a complete batch.
	compactedRevision uint64
	// steps are the latest increases of the revision, the oldest first.
	steps   []revisionStep
	entries map[Key]*entry
	// nextExpiry is no later than the end of the first tombstone or override; the zero time means
	// that there is none. Expire is called with each event and examines them only from then on.
	nextExpiry time.Time
	log        changeLog
	// tombstones holds the removed entries, so that the cost of finding expired ones depends on the
	// number of tombstones and not on that of all entries.
	tombstones map[Key]*entry
	// overridden holds the entries that have an override, and lostPolicies the policies that had to
	// be written again when they were last examined.
	overridden, lostPolicies map[Key]*entry
	// evacuations holds the entries of evacuation orders, by zone.
	evacuations map[string]*entry
	// backendIndex holds the back ends, grouped and sorted.
	backendIndex backendIndex
	// balancerChanges counts the changes to entries of balancers.
	balancerChanges uint64
}

// revisionStep is one increase of the revision. An entry that was both created and removed within a
// step may never have been seen here. A follower whose revision lies inside the step may know that
// entry, and needs a complete batch to learn of the removal.
type revisionStep struct {
	from, to uint64
}

// maxSteps is the number of remembered steps. At one poll a second they cover more time than a
// follower is behind.
const maxSteps = 256

// New returns an empty directory that keeps tombstones for the given time.
func New(retention time.Duration) *Directory {
	return &Directory{retention: retention, entries: make(map[Key]*entry), evacuations: make(map[string]*entry),
		tombstones: make(map[Key]*entry), overridden: make(map[Key]*entry), lostPolicies: make(map[Key]*entry), backendIndex: newBackendIndex()}
}

// Clear removes everything. It is needed when the store has just been restored from an older
// backup, because what was learned from a stale snapshot may be later than the store itself.
func (d *Directory) Clear() {
	for key := range d.entries {
		d.deleteEntry(key)
	}
	d.revision, d.compactedRevision, d.steps, d.log = 0, 0, nil, changeLog{}
	d.balancerChanges++
}

// Revision returns the revision up to which the directory is complete, or 0 while it is empty.
func (d *Directory) Revision() uint64 { return d.revision }

// Apply merges a batch and reports whether any entry changed.
func (d *Directory) Apply(batch *apiv1.DirectoryBatch, now time.Time) bool {
	if d.fromPastEra(batch) {
		return d.addUnknownBackends(batch, now)
	}
	changed := false
	context := batchContext{stale: batch.GetRevision() < d.revision, newEra: d.entersNewEra(batch, now), receivedAt: now}
	for _, change := range batch.GetChanges() {
		changed = d.applyChange(change, context) || changed
	}
	if batch.GetComplete() {
		changed = d.removeMissing(batch, context) || changed
	}
	d.advance(batch.GetRevision())
	if batch.GetRevision() != 0 {
		d.updatedAt = now
	}
	return changed
}

// batchContext describes the batch that a change arrived in.
type batchContext struct {
	// stale is set if the batch is older than the directory.
	stale bool
	// newEra is set if the batch is the first one of a later era, so that the directory may know
	// later content than the batch shows.
	newEra     bool
	receivedAt time.Time
}

// applyChange merges one change and decides whether the entry is overridden.
func (d *Directory) applyChange(change *apiv1.DirectoryChange, context batchContext) bool {
	key := KeyOf(change)
	e := d.entries[key]
	if e == nil {
		return d.merge(key, change, context)
	}
	before := stateOf(e)
	changed := d.merge(key, change, context)
	if e.change != before.stored {
		changed = d.reconcile(key, e, before, context) || changed
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

// insideStep reports whether a revision lies inside a step.
func (d *Directory) insideStep(revision uint64) bool {
	for _, step := range d.steps {
		if step.from < revision && revision < step.to {
			return true
		}
	}
	return false
}

// merge applies a change if it is newer than the entry. It reports whether the content changed, or
// was written again while it was overridden.
//
// The revision is taken over in any case, because another balancer may have seen a change in
// between that this one missed. The change log does not list a new revision of the same content,
// since back ends rewrite their entries all the time: a follower that has the content from the
// start of a step has the same content, and one that saw something in between gets a complete
// batch.
//
// A stale batch does not restore an entry: if the entry still existed, it would be known here.
func (d *Directory) merge(key Key, change *apiv1.DirectoryChange, context batchContext) bool {
	stale, now := context.stale, context.receivedAt
	if key.Kind == KindNone {
		return false
	}
	e := d.entries[key]
	if isNameOnly(change) && (e == nil || e.change.GetGone()) {
		return false
	}
	if stale && !change.GetGone() && (e == nil || e.change.GetGone()) {
		return e == nil && d.addTombstone(key, change, now)
	}
	if e == nil {
		added := &entry{change: change, seenLive: !change.GetGone(), learnedAt: now, startSeenAt: now}
		if change.GetGone() {
			added.removedAt = now
			d.tombstones[key] = added
			d.scheduleTombstoneExpiry(now)
		}
		d.entries[key] = added
		d.recordContent(key, added)
		return true
	}
	if change.GetRevision() <= e.change.GetRevision() {
		e.noteStoredPolicy(change)
		return false
	}
	if e.rolledBackBy(change, context.newEra) {
		d.markContested(key, e, change.GetRevision())
		e.noteStoredPolicy(change)
		return false
	}
	if change.GetGone() {
		return d.markRemoved(key, e, change.GetRevision(), now)
	}
	if isNameOnly(change) {
		return d.markUnreadable(key, e, change.GetRevision())
	}
	if e.isFromEarlierStart(change, context) {
		d.markContested(key, e, change.GetRevision())
		return false
	}
	e.recordStart(change, now)
	same := !e.change.GetGone() && e.override == nil && sameContent(e.change, change)
	e.change = change
	d.trackLostPolicy(key, e)
	e.removedAt = time.Time{}
	delete(d.tombstones, key)
	e.seenLive = true
	if !same {
		e.learnedAt = now
		d.recordContent(key, e)
	}
	return !same
}

// recordContent adds the content of an entry to the change log and to the indexes.
func (d *Directory) recordContent(key Key, e *entry) {
	switch key.Kind {
	case KindBalancer:
		d.balancerChanges++
	case KindBackend:
		d.backendIndex.markChanged(key.Name)
	case KindEvacuation:
		d.evacuations[key.Name] = e
	}
	e.loggedRevision = e.change.GetRevision()
	d.log.add(e.loggedRevision, key)
}

// markRemoved turns an entry into a tombstone that keeps the last content of the entry.
func (d *Directory) markRemoved(key Key, e *entry, revision uint64, now time.Time) bool {
	wasGone := e.change.GetGone()
	tombstone := proto.CloneOf(e.change)
	tombstone.Revision, tombstone.Gone, tombstone.Contested = revision, true, false
	e.change = tombstone
	d.recordContent(key, e)
	d.tombstones[key] = e
	if !wasGone {
		e.removedAt = now
		d.scheduleTombstoneExpiry(now)
	}
	return !wasGone
}

// addTombstone adds the content of an entry that has been removed meanwhile, so that its open flows
// can still be forwarded.
func (d *Directory) addTombstone(key Key, change *apiv1.DirectoryChange, now time.Time) bool {
	tombstone := proto.CloneOf(change)
	tombstone.Revision = d.revision
	tombstone.Gone = true
	added := &entry{change: tombstone, removedAt: now}
	d.scheduleTombstoneExpiry(now)
	d.entries[key] = added
	d.tombstones[key] = added
	d.recordContent(key, added)
	return true
}

func sameContent(known, offered *apiv1.DirectoryChange) bool {
	compared := &apiv1.DirectoryChange{Revision: known.GetRevision(), Entry: offered.GetEntry()}
	return proto.Equal(known, compared)
}

// removeMissing marks the entries as removed that a complete batch would list if they still
// existed. A tombstone in the batch does not count: it may be older than an entry that was created
// and removed again since. Entries that the store may have lost when it was restored from a backup
// are kept, see keptWhenMissing.
func (d *Directory) removeMissing(batch *apiv1.DirectoryBatch, context batchContext) bool {
	present := make(map[Key]bool, len(batch.GetChanges()))
	for _, change := range batch.GetChanges() {
		if !change.GetGone() {
			present[KeyOf(change)] = true
		}
	}
	changed := false
	for key, e := range d.entries {
		if present[key] || e.change.GetRevision() > batch.GetRevision() {
			continue
		}
		if e.change.GetGone() {
			e.storedRevision = 0
			continue
		}
		if e.keptWhenMissing(key.Kind, context) {
			d.markContestedOnce(key, e, batch.GetRevision())
			continue
		}
		before := stateOf(e)
		changed = d.markRemoved(key, e, batch.GetRevision(), context.receivedAt) || changed
		changed = d.reconcile(key, e, before, context) || changed
	}
	return changed
}

// Expire drops tombstones that are older than the retention time, and overrides whose time is over.
// It reports whether there were any.
func (d *Directory) Expire(now time.Time) bool {
	if d.nextExpiry.IsZero() || now.Before(d.nextExpiry) {
		return false
	}
	d.nextExpiry = time.Time{}
	dropped := d.dropExpiredOverrides(now)
	for key, e := range d.tombstones {
		if now.Sub(e.removedAt) < d.retention {
			d.scheduleTombstoneExpiry(e.removedAt)
			continue
		}
		d.compactedRevision = max(d.compactedRevision, e.change.GetRevision())
		d.deleteEntry(key)
		dropped = true
	}
	return dropped
}

// deleteEntry removes an entry without leaving a tombstone.
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

// scheduleTombstoneExpiry makes Expire consider a tombstone that was created at the given time.
func (d *Directory) scheduleTombstoneExpiry(removedAt time.Time) {
	d.scheduleExpiry(removedAt.Add(d.retention))
}

// scheduleExpiry makes Expire examine tombstones and overrides at the given time or earlier.
func (d *Directory) scheduleExpiry(end time.Time) {
	if d.nextExpiry.IsZero() || end.Before(d.nextExpiry) {
		d.nextExpiry = end
	}
}
