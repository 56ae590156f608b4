package directory

import apiv1 "github.com/indigobarrow/indigobarrow/api/v1"

// NeedsSnapshot tells whether who knows everything up to a revision has to be told all entries;
// with everything set, whether Everything tells it so.
func (d *Directory) NeedsSnapshot(after uint64, everything bool) bool {
	return after == 0 || after < d.compactedRevision || d.insideStep(after) || everything && after > d.revision
}

// Since returns what changed after a revision. When the asker may know of
// entries whose removal can't be told, or knows nothing, the batch is complete.
func (d *Directory) Since(after uint64) *apiv1.DirectoryBatch {
	complete := d.NeedsSnapshot(after, false)
	batch := &apiv1.DirectoryBatch{Revision: d.revision, Complete: complete}
	if complete {
		for _, known := range d.entries {
			batch.Changes = append(batch.Changes, known.change)
		}
		return batch
	}
	for _, logged := range d.log.since(after) {
		known := d.entries[logged.key]
		if known != nil && known.loggedRevision == logged.revision {
			batch.Changes = append(batch.Changes, known.change)
		}
	}
	d.log.compact(d.entries)
	return batch
}

// SinceWithTombstones returns what changed after a revision, and all tombstones besides.
// Who has read the store lacks only those. Who has read more of it than is known
// here gets all entries: one that has gone meanwhile is not a tombstone here yet.
func (d *Directory) SinceWithTombstones(after uint64) *apiv1.DirectoryBatch {
	if after > d.revision {
		after = 0
	}
	batch := d.Since(after)
	if batch.GetComplete() {
		return batch
	}
	named := make(map[Key]bool, len(batch.GetChanges()))
	for _, change := range batch.GetChanges() {
		named[KeyOf(change)] = true
	}
	for key, known := range d.tombstones {
		if !named[key] {
			batch.Changes = append(batch.Changes, known.change)
		}
	}
	return batch
}
