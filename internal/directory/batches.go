package directory

import apiv1 "github.com/indigobarrow/indigobarrow/api/v1"

// NeedsSnapshot reports whether a follower that knows everything up to a revision must be sent all
// entries. With withTombstones set, it answers for SinceWithTombstones, and otherwise for Since.
func (d *Directory) NeedsSnapshot(after uint64, withTombstones bool) bool {
	return after == 0 || after < d.compactedRevision || d.insideStep(after) || withTombstones && after > d.revision
}

// Since returns the changes after a revision. The batch is complete if the requester knows nothing,
// or may know entries whose removal was not seen here or is no longer recorded.
func (d *Directory) Since(after uint64) *apiv1.DirectoryBatch {
	complete := d.NeedsSnapshot(after, false)
	batch := &apiv1.DirectoryBatch{Revision: d.revision, Complete: complete}
	if complete {
		for _, e := range d.entries {
			batch.Changes = append(batch.Changes, e.change)
		}
		return batch
	}
	for _, change := range d.log.since(after) {
		e := d.entries[change.key]
		if e != nil && e.loggedRevision == change.revision {
			batch.Changes = append(batch.Changes, e.change)
		}
	}
	d.log.compact(d.entries)
	return batch
}

// SinceWithTombstones returns the changes after a revision together with all tombstones, which are
// all that a requester lacks that has read the store. A requester that has read a later revision of
// the store than is known here gets all entries, because an entry that was removed meanwhile is not
// a tombstone here yet.
func (d *Directory) SinceWithTombstones(after uint64) *apiv1.DirectoryBatch {
	if after > d.revision {
		after = 0
	}
	batch := d.Since(after)
	if batch.GetComplete() {
		return batch
	}
	included := make(map[Key]bool, len(batch.GetChanges()))
	for _, change := range batch.GetChanges() {
		included[KeyOf(change)] = true
	}
	for key, e := range d.tombstones {
		if !included[key] {
			batch.Changes = append(batch.Changes, e.change)
		}
	}
	return batch
}
