package directory

import (
	"cmp"
	"slices"
)

// Place is a pool in a zone.
type Place struct {
	Pool, Zone string
}

// Group is the back ends of a place, those with a tombstone too.
type Group struct {
	Place
	// Entries are by id. They hold until the directory changes, and are not to be
	// changed.
	Entries []BackendEntry
	// Version is another one after each change of the group.
	Version uint64
	// Gone is how many of the entries are tombstones.
	Gone int
}

// listing is all back ends by their places, kept in order as entries change, so that what is
// made of them costs by the places that have changed. Listed and sorted anew for each table,
// they were half of what one change cost a balancer: 91 ms with 10,000 back ends
// (BenchmarkRenewAfterOneChange).
type listing struct {
	groups  map[Place]*Group
	ordered []*Group
	placeOf map[string]Place
	// changed are the back ends whose entries have changed since.
	changed map[string]bool
	version uint64
}

func newListing() listing {
	return listing{groups: make(map[Place]*Group), placeOf: make(map[string]Place), changed: make(map[string]bool)}
}

// change notes that the entry of a back end has changed.
func (l *listing) change(id string) { l.changed[id] = true }

// relistFrom is from how many changed back ends on their groups are listed anew: each one
// that comes or goes moves half of its group.
const relistFrom = 64

// Groups returns all back ends by place, the places by pool and zone. Groups hold until the
// directory changes.
func (d *Directory) Groups() []*Group {
	l := &d.listing
	if len(l.changed) == 0 {
		return l.ordered
	}
	affected := make(map[Place]bool)
	for id := range l.changed {
		d.affect(id, affected)
	}
	if len(l.changed) < relistFrom {
		for id := range l.changed {
			d.listOne(id)
		}
	} else {
		d.relist(affected)
	}
	clear(l.changed)
	l.finish(affected)
	return l.ordered
}

// Backends returns all back ends, those with a tombstone too, by id.
func (d *Directory) Backends() []BackendEntry {
	var found []BackendEntry
	for _, group := range d.Groups() {
		found = append(found, group.Entries...)
	}
	slices.SortFunc(found, byID)
	return found
}

func byID(one, other BackendEntry) int { return cmp.Compare(one.GetId(), other.GetId()) }

// affect notes the places where a back end was listed and is to be.
func (d *Directory) affect(id string, affected map[Place]bool) {
	if before, listed := d.listing.placeOf[id]; listed {
		affected[before] = true
	}
	if made, found := d.listed(id); found {
		affected[made.place()] = true
	}
}

// listOne brings one back end up to date.
func (d *Directory) listOne(id string) {
	l := &d.listing
	made, found := d.listed(id)
	if before, listed := l.placeOf[id]; listed && (!found || before != made.place()) {
		group := l.groups[before]
		place, _ := group.find(id)
		group.Entries = slices.Delete(group.Entries, place, place+1)
		delete(l.placeOf, id)
	}
	if !found {
		return
	}
	group := l.group(made.place())
	place, listed := group.find(id)
	if listed {
		group.Entries[place] = made
	} else {
		group.Entries = slices.Insert(group.Entries, place, made)
	}
	l.placeOf[id] = made.place()
}

// relist lists some groups anew.
func (d *Directory) relist(affected map[Place]bool) {
	l := &d.listing
	for place := range affected {
		group := l.group(place)
		for _, each := range group.Entries {
			delete(l.placeOf, each.GetId())
		}
		group.Entries = group.Entries[:0]
	}
	for key := range d.entries {
		if key.Kind != KindBackend {
			continue
		}
		if made, found := d.listed(key.Name); found && affected[made.place()] {
			group := l.group(made.place())
			group.Entries = append(group.Entries, made)
			l.placeOf[key.Name] = group.Place
		}
	}
	for place := range affected {
		slices.SortFunc(l.groups[place].Entries, byID)
	}
}

// finish gives groups that have changed their versions, and drops the empty ones.
func (l *listing) finish(affected map[Place]bool) {
	for place := range affected {
		group := l.groups[place]
		if group == nil {
			continue
		}
		if len(group.Entries) == 0 {
			delete(l.groups, place)
			continue
		}
		l.version++
		group.Version, group.Gone = l.version, 0
		for i := range group.Entries {
			if group.Entries[i].Gone {
				group.Gone++
			}
		}
	}
	l.ordered = l.ordered[:0]
	for _, group := range l.groups {
		l.ordered = append(l.ordered, group)
	}
	slices.SortFunc(l.ordered, func(one, other *Group) int {
		return cmp.Or(cmp.Compare(one.Pool, other.Pool), cmp.Compare(one.Zone, other.Zone))
	})
}

func (l *listing) group(place Place) *Group {
	known := l.groups[place]
	if known == nil {
		known = &Group{Place: place}
		l.groups[place] = known
	}
	return known
}

// find returns where a back end stands or would stand.
func (g *Group) find(id string) (int, bool) {
	return slices.BinarySearchFunc(g.Entries, id, func(each BackendEntry, id string) int { return cmp.Compare(each.GetId(), id) })
}

func (b BackendEntry) place() Place { return Place{Pool: b.GetPool(), Zone: b.GetZone()} }

// listed is the entry of a back end as it is listed, if it has one that tells an address.
func (d *Directory) listed(id string) (BackendEntry, bool) {
	known := d.entries[Key{Kind: KindBackend, Name: id}]
	if known == nil || known.believed().GetBackend().GetAddress() == 0 {
		return BackendEntry{}, false
	}
	made := BackendEntry{PoolBackend: known.believed().GetBackend(), Gone: known.believed().GetGone(), LearnedAt: known.learnedAt,
		Restarted: !known.restartedAt.IsZero()}
	if made.Gone && known.seen {
		made.VanishedAt = known.goneAt
	}
	return made, true
}
