package directory

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Unreadable is the revision of a change whose content could not be read. It
// names an entry that exists, so that nothing known of it is lost.
const Unreadable uint64 = 0

// Kind tells what an entry describes.
type Kind uint8

// The kinds of entries.
const (
	KindNone Kind = iota
	KindRoutes
	KindBackend
	KindBalancer
	KindPolicy
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
	}
	return Key{}
}

// entry is one entry and when this directory learned of its removal.
type entry struct {
	change *apiv1.DirectoryChange
	// logged is the revision under which the log has the content. The change's
	// own revision rises without it when an entry was written anew as it was.
	logged uint64
	goneAt time.Time
	// seen is set when the entry was known here before it was removed. When
	// one that was not has gone, nobody here knows.
	seen bool
}

// Directory is the knowledge of one balancer. It belongs to one goroutine.
type Directory struct {
	retention time.Duration
	revision  uint64
	// forgotten is the highest revision of a tombstone that was dropped. Who
	// knows less than that needs a complete batch.
	forgotten uint64
	// steps are the latest rises of the revision, the oldest first.
	steps   []step
	entries map[Key]*entry
	log     changeLog
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
	return &Directory{retention: retention, entries: make(map[Key]*entry)}
}

// Revision is the revision up to which everything is known; 0 is nothing.
func (directory *Directory) Revision() uint64 { return directory.revision }

// Apply merges a batch and tells whether any entry changed.
func (directory *Directory) Apply(batch *apiv1.DirectoryBatch, now time.Time) bool {
	changed := false
	late := batch.GetRevision() < directory.revision
	for _, change := range batch.GetChanges() {
		changed = directory.merge(change, late, now) || changed
	}
	if batch.GetComplete() {
		changed = directory.removeUnnamed(batch, now) || changed
	}
	directory.rise(batch.GetRevision())
	return changed
}

func (directory *Directory) rise(revision uint64) {
	if revision <= directory.revision {
		return
	}
	directory.steps = append(directory.steps, step{from: directory.revision, to: revision})
	directory.revision = revision
	if len(directory.steps) > stepLimit {
		directory.forgotten = max(directory.forgotten, directory.steps[0].to)
		directory.steps = append(directory.steps[:0], directory.steps[1:]...)
	}
}

// between tells whether a revision lies inside of a step.
func (directory *Directory) between(revision uint64) bool {
	for _, step := range directory.steps {
		if step.from < revision && revision < step.to {
			return true
		}
	}
	return false
}

// merge takes one change if it is newer than what is known. It tells whether
// the content changed. The revision is taken in any case: another balancer may
// have seen a change in between that this one missed. The log is not told of a
// revision without a new content, since back ends write their entries all the
// time: who knows what held at the start of a step has the same content, and who
// saw something in between gets a complete batch. A late batch, one that is older
// than what is known, brings no entry back: had it lasted, it would be known.
func (directory *Directory) merge(change *apiv1.DirectoryChange, late bool, now time.Time) bool {
	key := KeyOf(change)
	if key.Kind == KindNone || change.GetRevision() == Unreadable {
		return false
	}
	known := directory.entries[key]
	if late && !change.GetGone() && (known == nil || known.change.GetGone()) {
		return known == nil && directory.addTombstone(key, change, now)
	}
	if known == nil {
		made := &entry{change: change, seen: !change.GetGone()}
		if change.GetGone() {
			made.goneAt = now
		}
		directory.entries[key] = made
		directory.note(key, made)
		return true
	}
	if change.GetRevision() <= known.change.GetRevision() {
		return false
	}
	if change.GetGone() {
		return directory.bury(key, known, change.GetRevision(), now)
	}
	same := !known.change.GetGone() && sameContent(known.change, change)
	known.change = change
	known.goneAt = time.Time{}
	known.seen = true
	if !same {
		directory.note(key, known)
	}
	return !same
}

// note puts the content of an entry into the log.
func (directory *Directory) note(key Key, known *entry) {
	known.logged = known.change.GetRevision()
	directory.log.add(known.logged, key)
}

// bury turns an entry into a tombstone that keeps what the entry last held.
func (directory *Directory) bury(key Key, known *entry, revision uint64, now time.Time) bool {
	wasGone := known.change.GetGone()
	buried := proto.CloneOf(known.change)
	buried.Revision = revision
	buried.Gone = true
	known.change = buried
	directory.note(key, known)
	if !wasGone {
		known.goneAt = now
	}
	return !wasGone
}

// addTombstone keeps what an entry held that is gone by now, so that its open
// flows still find it.
func (directory *Directory) addTombstone(key Key, change *apiv1.DirectoryChange, now time.Time) bool {
	buried := proto.CloneOf(change)
	buried.Revision = directory.revision
	buried.Gone = true
	made := &entry{change: buried, goneAt: now}
	directory.entries[key] = made
	directory.note(key, made)
	return true
}

func sameContent(known, offered *apiv1.DirectoryChange) bool {
	compared := &apiv1.DirectoryChange{Revision: known.GetRevision(), Entry: offered.GetEntry()}
	return proto.Equal(known, compared)
}

// removeUnnamed buries the entries that a complete batch would have named if
// they still existed. A tombstone in the batch names nothing: it may be older
// than an entry that was made and removed again since.
func (directory *Directory) removeUnnamed(batch *apiv1.DirectoryBatch, now time.Time) bool {
	named := make(map[Key]bool, len(batch.GetChanges()))
	for _, change := range batch.GetChanges() {
		if !change.GetGone() {
			named[KeyOf(change)] = true
		}
	}
	changed := false
	for key, known := range directory.entries {
		if named[key] || known.change.GetGone() || known.change.GetRevision() > batch.GetRevision() {
			continue
		}
		changed = directory.bury(key, known, batch.GetRevision(), now) || changed
	}
	return changed
}

// Expire drops tombstones that are older than the retention. It tells whether
// any was dropped.
func (directory *Directory) Expire(now time.Time) bool {
	dropped := false
	for key, known := range directory.entries {
		if !known.change.GetGone() || now.Sub(known.goneAt) < directory.retention {
			continue
		}
		directory.forgotten = max(directory.forgotten, known.change.GetRevision())
		delete(directory.entries, key)
		dropped = true
	}
	return dropped
}

// Since returns what changed after a revision. When the asker may know of
// entries whose removal can't be told, or knows nothing, the batch is complete.
func (directory *Directory) Since(after uint64) *apiv1.DirectoryBatch {
	complete := after == 0 || after < directory.forgotten || directory.between(after)
	batch := &apiv1.DirectoryBatch{Revision: directory.revision, Complete: complete}
	if complete {
		for _, known := range directory.entries {
			batch.Changes = append(batch.Changes, known.change)
		}
		return batch
	}
	for _, logged := range directory.log.since(after) {
		known := directory.entries[logged.key]
		if known != nil && known.logged == logged.revision {
			batch.Changes = append(batch.Changes, known.change)
		}
	}
	directory.log.compact(directory.entries)
	return batch
}

// Routes returns the table of routes, or nil while none is known.
func (directory *Directory) Routes() *apiv1.RouteTable {
	known := directory.entries[Key{Kind: KindRoutes}]
	if known == nil {
		return nil
	}
	return known.change.GetRoutes()
}

// BackendEntry is a back end and whether its entry was removed.
type BackendEntry struct {
	*apiv1.PoolBackend
	Gone bool
	// VanishedAt is when this directory learned of the removal, if it knew the
	// back end before. It is zero for a tombstone that was learned as such,
	// which may be of any age.
	VanishedAt time.Time
}

// Backends returns all back ends, those with a tombstone too, by id.
func (directory *Directory) Backends() []BackendEntry {
	var found []BackendEntry
	for key, known := range directory.entries {
		backend := known.change.GetBackend()
		if key.Kind != KindBackend || backend.GetAddress() == 0 {
			continue
		}
		listed := BackendEntry{PoolBackend: backend, Gone: known.change.GetGone()}
		if listed.Gone && known.seen {
			listed.VanishedAt = known.goneAt
		}
		found = append(found, listed)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].GetId() < found[j].GetId() })
	return found
}

// Balancers returns the balancers that have an entry, by name.
func (directory *Directory) Balancers() []*apiv1.Balancer {
	var found []*apiv1.Balancer
	for key, known := range directory.entries {
		if key.Kind == KindBalancer && !known.change.GetGone() {
			found = append(found, known.change.GetBalancer())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].GetName() < found[j].GetName() })
	return found
}

// Policy returns the policy of a name, or nil.
func (directory *Directory) Policy(name string) *apiv1.Policy {
	known := directory.entries[Key{Kind: KindPolicy, Name: name}]
	if known == nil || known.change.GetGone() {
		return nil
	}
	return known.change.GetPolicy()
}
