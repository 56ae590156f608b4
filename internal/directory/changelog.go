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
func (c *changeLog) add(revision uint64, key Key) {
	last := len(c.changes) - 1
	inOrder := last < 0 || c.changes[last].revision <= revision
	c.sorted = inOrder && (c.sorted || last < 0)
	c.changes = append(c.changes, loggedChange{revision: revision, key: key})
}

// since returns the changes after a revision, in order.
func (c *changeLog) since(after uint64) []loggedChange {
	c.sort()
	first := sort.Search(len(c.changes), func(place int) bool {
		return c.changes[place].revision > after
	})
	return c.changes[first:]
}

func (c *changeLog) sort() {
	if c.sorted {
		return
	}
	sort.SliceStable(c.changes, func(i, j int) bool {
		return c.changes[i].revision < c.changes[j].revision
	})
	c.sorted = true
}

// compact drops replaced changes once they are the larger part.
func (c *changeLog) compact(entries map[Key]*entry) {
	if len(c.changes) <= 2*len(entries)+1 {
		return
	}
	c.changes = slices.DeleteFunc(c.changes, func(logged loggedChange) bool {
		known := entries[logged.key]
		return known == nil || known.loggedRevision != logged.revision
	})
}
