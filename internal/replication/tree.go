package replication

import (
	"slices"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// tree is who follows whom. In each zone the balancers stand in an order that
// all of them know, the strong ones first, and each follows one before it. The
// first of a zone, its head, follows the head of an earlier zone, and the head of
// the first zone reads the store for all. While balancers are few, all zones
// share one order.
type tree struct {
	// zones are the balancers by zone, each zone and the zones by rank.
	zones [][]*apiv1.Balancer
	// zoneIndex and place are where this balancer stands, and width is how many
	// follow one.
	zoneIndex, position, fanout int
	size                        int
	// sharedOrder is set while all zones share one order.
	sharedOrder bool
	// parentCandidates are the balancers that this one may follow, the best first: its
	// parent, its parents, those before it in its zone, heads of earlier zones.
	// Who is above whom has no cycles.
	parentCandidates []*apiv1.Balancer
	// followers are those whose parent this one is, and rest all that are not above.
	followers, others []*apiv1.Balancer
}

// newTree orders the known balancers and this one. Up to sharedLimit of them
// share one order; leastWidth of them follow one, or more where the strong ones
// are few.
func newTree(self *apiv1.Balancer, known []*apiv1.Balancer, sharedLimit, leastWidth int) *tree {
	made := &tree{zones: groupByZone(self, known, sharedLimit), sharedOrder: len(known) <= sharedLimit}
	for zone, balancers := range made.zones {
		made.size += len(balancers)
		place := slices.IndexFunc(balancers, func(b *apiv1.Balancer) bool { return b.GetName() == self.GetName() })
		if place >= 0 {
			made.zoneIndex, made.position = zone, place
		}
	}
	made.fanout = fanoutOf(made.ownZone(), leastWidth)
	made.parentCandidates = made.findParentCandidates()
	made.followers = made.findFollowers()
	made.others = made.allExcept(made.parentCandidates)
	return made
}

// groupByZone groups balancers by zone and ranks zones and balancers. While this one is
// not listed, the others do not know it, and it stands last whatever its strength.
func groupByZone(self *apiv1.Balancer, known []*apiv1.Balancer, sharedLimit int) [][]*apiv1.Balancer {
	few := len(known) <= sharedLimit
	listed := false
	groups := make(map[string][]*apiv1.Balancer)
	for _, b := range known {
		if b.GetName() == self.GetName() {
			b, listed = self, true
		}
		zone := b.GetZone()
		if few {
			zone = self.GetZone()
		}
		groups[zone] = append(groups[zone], b)
	}
	ordered := sortGroups(groups)
	if listed {
		return ordered
	}
	for place, group := range ordered {
		if few || group[0].GetZone() == self.GetZone() {
			ordered[place] = append(group, self)
			return ordered
		}
	}
	return append(ordered, []*apiv1.Balancer{self})
}

// sortGroups puts the balancers of each group by rank, and the groups by their first
// ones.
func sortGroups(groups map[string][]*apiv1.Balancer) [][]*apiv1.Balancer {
	heads := make([]*apiv1.Balancer, 0, len(groups))
	byHead := make(map[*apiv1.Balancer][]*apiv1.Balancer, len(groups))
	for _, group := range groups {
		sortByRank(group)
		heads = append(heads, group[0])
		byHead[group[0]] = group
	}
	sortByRank(heads)
	ordered := make([][]*apiv1.Balancer, 0, len(heads))
	for _, head := range heads {
		ordered = append(ordered, byHead[head])
	}
	return ordered
}

// fanoutOf is how many balancers of a zone follow one. Where the strong ones are
// few, each takes more, so that weak ones need not serve others.
func fanoutOf(zone []*apiv1.Balancer, least int) int {
	strong := 0
	for _, b := range zone {
		if tier(b) >= 0 {
			strong++
		}
	}
	if strong == 0 {
		return least
	}
	return min(max(least, (len(zone)-1+strong-1)/strong), maxFanoutFactor*least)
}

// maxFanoutFactor bounds how many more balancers follow a strong one than is usual.
const maxFanoutFactor = 2

func (t *tree) ownZone() []*apiv1.Balancer { return t.zones[t.zoneIndex] }

func (t *tree) head(zone int) *apiv1.Balancer { return t.zones[zone][0] }

// parentOf is the place that a later place follows. It holds for the places in a
// zone and for the zones themselves.
func (t *tree) parentOf(place int) int { return (place - 1) / t.fanout }

// rank is the place of this balancer among all: the heads of the zones first,
// then the second ones.
func (t *tree) rank() int { return t.position*len(t.zones) + t.zoneIndex }

func (t *tree) findParentCandidates() []*apiv1.Balancer {
	own := t.ownZone()
	var found []*apiv1.Balancer
	for place := t.position; place > 0; {
		place = t.parentOf(place)
		found = append(found, own[place])
	}
	for _, b := range own[:t.position] {
		found = appendIfMissing(found, b)
	}
	last := t.zoneIndex
	if t.position > 0 {
		last = len(t.zones)
	}
	for zone := last; zone > 0 && t.position == 0; {
		zone = t.parentOf(zone)
		found = append(found, t.head(zone))
	}
	for zone := range last {
		if zone != t.zoneIndex {
			found = appendIfMissing(found, t.head(zone))
		}
	}
	return found
}

func appendIfMissing(list []*apiv1.Balancer, b *apiv1.Balancer) []*apiv1.Balancer {
	if slices.Contains(list, b) {
		return list
	}
	return append(list, b)
}

func (t *tree) findFollowers() []*apiv1.Balancer {
	var found []*apiv1.Balancer
	own := t.ownZone()
	first := t.position*t.fanout + 1
	for place := first; place < min(first+t.fanout, len(own)); place++ {
		found = append(found, own[place])
	}
	if t.position > 0 {
		return found
	}
	first = t.zoneIndex*t.fanout + 1
	for zone := first; zone < min(first+t.fanout, len(t.zones)); zone++ {
		found = append(found, t.head(zone))
	}
	return found
}

// allExcept are all other balancers that are not in a list, those of this zone
// first.
func (t *tree) allExcept(list []*apiv1.Balancer) []*apiv1.Balancer {
	listed := make(map[*apiv1.Balancer]bool, len(list)+1)
	for _, b := range list {
		listed[b] = true
	}
	listed[t.ownZone()[t.position]] = true
	found := make([]*apiv1.Balancer, 0, t.size)
	add := func(zone []*apiv1.Balancer) {
		for _, b := range zone {
			if !listed[b] {
				found = append(found, b)
			}
		}
	}
	add(t.ownZone())
	for zone, balancers := range t.zones {
		if zone != t.zoneIndex {
			add(balancers)
		}
	}
	return found
}
