package directory

import (
	"slices"
	"sort"
)

// loggedChange says that an entry had a revision.
type loggedChange struct {
	revision uint64
	key      Key
}

// changeLog lists changes by revision, so that telling what is new costs by
// what is new and not by what is known. It may hold changes that later ones
// have replaced; who reads it compares revisions.
type changeLog struct {
	changes []loggedChange
	sorted  bool
}

// add notes a change.
func (log *changeLog) add(revision uint64, key Key) {
	last := len(log.changes) - 1
	inOrder := last < 0 || log.changes[last].revision <= revision
	log.sorted = inOrder && (log.sorted || last < 0)
	log.changes = append(log.changes, loggedChange{revision: revision, key: key})
}

// since returns the changes after a revision, in order.
func (log *changeLog) since(after uint64) []loggedChange {
	log.sort()
	first := sort.Search(len(log.changes), func(place int) bool {
		return log.changes[place].revision > after
	})
	return log.changes[first:]
}

func (log *changeLog) sort() {
	if log.sorted {
		return
	}
	sort.SliceStable(log.changes, func(i, j int) bool {
		return log.changes[i].revision < log.changes[j].revision
	})
	log.sorted = true
}

// compact drops replaced changes once they are the larger part.
func (log *changeLog) compact(entries map[Key]*entry) {
	if len(log.changes) <= 2*len(entries)+1 {
		return
	}
	log.changes = slices.DeleteFunc(log.changes, func(logged loggedChange) bool {
		known := entries[logged.key]
		return known == nil || known.logged != logged.revision
	})
}
