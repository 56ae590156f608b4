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
	// logged is the revision under which the log has the content. The change's
	// own revision rises without it when an entry was written anew as it was.
	logged uint64
	// learnedAt is when this directory learned of the content.
	learnedAt time.Time
	goneAt    time.Time
	// seen is set when the entry was known here before it was removed. When
	// one that was not has gone, nobody here knows.
	seen bool
	// heardAt is when an entry of this start of a back end was last heard of, and
	// restartedAt when this start took the place of another one.
	heardAt, restartedAt time.Time
	// held is believed in place of the change until heldUntil; nil is not.
	held      *apiv1.DirectoryChange
	heldUntil time.Time
	// stands is the revision of what the store has in place of a policy that it lost; 0 is
	// nothing, or not known.
	stands uint64
}

// Directory is the knowledge of one balancer. It belongs to one goroutine.
type Directory struct {
	retention time.Duration
	revision  uint64
	// toldAt is when something last told what holds up to a revision.
	toldAt time.Time
	// forgotten is the highest revision of a tombstone that was dropped. Who
	// knows less than that needs a complete batch.
	forgotten uint64
	// steps are the latest rises of the revision, the oldest first.
	steps   []step
	entries map[Key]*entry
	// expiry is no later than the end of the first tombstone or held entry; the zero
	// time is none. Expire is called with each event and looks at them only then.
	expiry time.Time
	log    changeLog
	// tombstones are the entries that were removed: to find those that have had their time
	// costs by them, and not by all that is known.
	tombstones map[Key]*entry
	// held are the entries that are held against the store's copy, and lost the policies
	// that were to be written again when they were last looked at.
	held, lost map[Key]*entry
	// orders are the entries of orders to evacuate, by zone.
	orders map[string]*entry
	// listing are the back ends in order.
	listing listing
	// balancerChanges counts the changes of the entries of balancers.
	balancerChanges uint64
}

// step is one rise of the revision. What was both made and removed in between
// may never have been seen here. Somebody whose revision lies in between may
// know it, and needs a complete batch to learn of the removal.
type step struct {
	from, to uint64
}

// stepLimit is how many steps are remembered; a poll a second makes them last
// longer than a follower is behind.
const stepLimit = 256

// New makes an empty directory that keeps tombstones for the given time.
func New(retention time.Duration) *Directory {
	return &Directory{retention: retention, entries: make(map[Key]*entry), orders: make(map[string]*entry),
		tombstones: make(map[Key]*entry), held: make(map[Key]*entry), lost: make(map[Key]*entry), listing: newListing()}
}

// Clear forgets everything. What was learned from an old copy of the store may be later than
// the store itself, when that has just come back from an older one.
func (d *Directory) Clear() {
	for key := range d.entries {
		d.drop(key)
	}
	d.revision, d.forgotten, d.steps, d.log = 0, 0, nil, changeLog{}
	d.balancerChanges++
}

// Revision is the revision up to which everything is known; 0 is nothing.
func (d *Directory) Revision() uint64 { return d.revision }

// Apply merges a batch and tells whether any entry changed.
func (d *Directory) Apply(batch *apiv1.DirectoryBatch, now time.Time) bool {
	if d.ofPastEra(batch) {
		return d.addUnknown(batch, now)
	}
	changed := false
	from := arrival{late: batch.GetRevision() < d.revision, entering: d.entersEra(batch, now), at: now}
	for _, change := range batch.GetChanges() {
		changed = d.take(change, from) || changed
	}
	if batch.GetComplete() {
		changed = d.removeUnnamed(batch, from) || changed
	}
	d.rise(batch.GetRevision())
	if batch.GetRevision() != 0 {
		d.toldAt = now
	}
	return changed
}

// arrival is how a batch came.
type arrival struct {
	// late is set when it is older than what is known.
	late bool
	// entering is set when it is the first one of a later era, and what is known may be
	// later than what it shows.
	entering bool
	at       time.Time
}

// take merges one change, and decides what is believed of its entry.
func (d *Directory) take(change *apiv1.DirectoryChange, from arrival) bool {
	key := KeyOf(change)
	known := d.entries[key]
	if known == nil {
		return d.merge(key, change, from)
	}
	before := beliefIn(known)
	changed := d.merge(key, change, from)
	if known.change != before.told {
		changed = d.reconcile(key, known, before, from) || changed
	}
	return changed
}

func (d *Directory) rise(revision uint64) {
	if revision <= d.revision {
		return
	}
	d.steps = append(d.steps, step{from: d.revision, to: revision})
	d.revision = revision
	if len(d.steps) > stepLimit {
		d.forgotten = max(d.forgotten, d.steps[0].to)
		d.steps = append(d.steps[:0], d.steps[1:]...)
	}
}

// between tells whether a revision lies inside of a step.
func (d *Directory) between(revision uint64) bool {
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
func (d *Directory) merge(key Key, change *apiv1.DirectoryChange, from arrival) bool {
	late, now := from.late, from.at
	if key.Kind == KindNone {
		return false
	}
	known := d.entries[key]
	if namesOnly(change) && (known == nil || known.change.GetGone()) {
		return false
	}
	if late && !change.GetGone() && (known == nil || known.change.GetGone()) {
		return known == nil && d.addTombstone(key, change, now)
	}
	if known == nil {
		made := &entry{change: change, seen: !change.GetGone(), learnedAt: now, heardAt: now}
		if change.GetGone() {
			made.goneAt = now
			d.tombstones[key] = made
			d.expireAfter(now)
		}
		d.entries[key] = made
		d.note(key, made)
		return true
	}
	if change.GetRevision() <= known.change.GetRevision() {
		known.notice(change)
		return false
	}
	if known.reverts(change, from.entering) {
		d.contest(key, known, change.GetRevision())
		known.notice(change)
		return false
	}
	if change.GetGone() {
		return d.bury(key, known, change.GetRevision(), now)
	}
	if namesOnly(change) {
		return d.setAside(key, known, change.GetRevision())
	}
	if known.outdates(change, from) {
		d.contest(key, known, change.GetRevision())
		return false
	}
	known.hear(change, now)
	same := !known.change.GetGone() && known.held == nil && sameContent(known.change, change)
	known.change = change
	d.noteLost(key, known)
	known.goneAt = time.Time{}
	delete(d.tombstones, key)
	known.seen = true
	if !same {
		known.learnedAt = now
		d.note(key, known)
	}
	return !same
}

// note puts the content of an entry into the log.
func (d *Directory) note(key Key, known *entry) {
	switch key.Kind {
	case KindBalancer:
		d.balancerChanges++
	case KindBackend:
		d.listing.change(key.Name)
	case KindEvacuation:
		d.orders[key.Name] = known
	}
	known.logged = known.change.GetRevision()
	d.log.add(known.logged, key)
}

// bury turns an entry into a tombstone that keeps what the entry last held.
func (d *Directory) bury(key Key, known *entry, revision uint64, now time.Time) bool {
	wasGone := known.change.GetGone()
	buried := proto.CloneOf(known.change)
	buried.Revision, buried.Gone, buried.Contested = revision, true, false
	known.change = buried
	d.note(key, known)
	d.tombstones[key] = known
	if !wasGone {
		known.goneAt = now
		d.expireAfter(now)
	}
	return !wasGone
}

// addTombstone keeps what an entry held that is gone by now, so that its open
// flows still find it.
func (d *Directory) addTombstone(key Key, change *apiv1.DirectoryChange, now time.Time) bool {
	buried := proto.CloneOf(change)
	buried.Revision = d.revision
	buried.Gone = true
	made := &entry{change: buried, goneAt: now}
	d.expireAfter(now)
	d.entries[key] = made
	d.tombstones[key] = made
	d.note(key, made)
	return true
}

func sameContent(known, offered *apiv1.DirectoryChange) bool {
	compared := &apiv1.DirectoryChange{Revision: known.GetRevision(), Entry: offered.GetEntry()}
	return proto.Equal(known, compared)
}

// removeUnnamed buries the entries that a complete batch would have named if
// they still existed. A tombstone in the batch names nothing: it may be older
// than an entry that was made and removed again since.
// Those stand that outlast a copy.
func (d *Directory) removeUnnamed(batch *apiv1.DirectoryBatch, from arrival) bool {
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
			known.stands = 0
			continue
		}
		if known.outlasts(key.Kind, from) {
			d.contestOnce(key, known, batch.GetRevision())
			continue
		}
		before := beliefIn(known)
		changed = d.bury(key, known, batch.GetRevision(), from.at) || changed
		changed = d.reconcile(key, known, before, from) || changed
	}
	return changed
}

// Expire drops tombstones that are older than the retention, and lets entries be what the
// store says that were held for long enough. It tells whether there were any.
func (d *Directory) Expire(now time.Time) bool {
	if d.expiry.IsZero() || now.Before(d.expiry) {
		return false
	}
	d.expiry = time.Time{}
	dropped := d.releaseDue(now)
	for key, known := range d.tombstones {
		if now.Sub(known.goneAt) < d.retention {
			d.expireAfter(known.goneAt)
			continue
		}
		d.forgotten = max(d.forgotten, known.change.GetRevision())
		d.drop(key)
		dropped = true
	}
	return dropped
}

// drop forgets an entry.
func (d *Directory) drop(key Key) {
	delete(d.entries, key)
	delete(d.tombstones, key)
	delete(d.held, key)
	delete(d.lost, key)
	switch key.Kind {
	case KindBackend:
		d.listing.change(key.Name)
	case KindEvacuation:
		delete(d.orders, key.Name)
	}
}

// expireAfter notes that a tombstone was made at a time.
func (d *Directory) expireAfter(goneAt time.Time) {
	d.expireAt(goneAt.Add(d.retention))
}

// expireAt notes that something has had its time at a time.
func (d *Directory) expireAt(end time.Time) {
	if d.expiry.IsZero() || end.Before(d.expiry) {
		d.expiry = end
	}
}
