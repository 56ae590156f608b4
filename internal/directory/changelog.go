package directory

import (
	"slices"
	"sort"
)

// loggedChange records that an entry changed at a revision.
type loggedChange struct {
	revision uint64
	key      Key
}

// changeLog lists changes by revision, so that the cost of a delta depends on the number of new
// changes and not on the number of entries. It may hold changes that later ones have replaced;
// readers compare revisions to skip them.
type changeLog struct {
	changes []loggedChange
	sorted  bool
}

// add appends a change.
func (c *changeLog) add(revision uint64, key Key) {
	last := len(c.changes) - 1
	inOrder := last < 0 || c.changes[last].revision <= revision
	c.sorted = inOrder && (c.sorted || last < 0)
	c.changes = append(c.changes, loggedChange{revision: revision, key: key})
}

// since returns the changes after a revision, in order.
func (c *changeLog) since(after uint64) []loggedChange {
	c.sort()
	first := sort.Search(len(c.changes), func(i int) bool {
		return c.changes[i].revision > after
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

// compact removes replaced changes once they outnumber the others.
func (c *changeLog) compact(entries map[Key]*entry) {
	if len(c.changes) <= 2*len(entries)+1 {
		return
	}
	c.changes = slices.DeleteFunc(c.changes, func(change loggedChange) bool {
		e := entries[change.key]
		return e == nil || e.loggedRevision != change.revision
	})
}
