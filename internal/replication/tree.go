package replication

import (
	"slices"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// tree defines which balancer follows which. The balancers of each zone are in an order
// that all of them compute, the strong ones first, and each follows an earlier one. The
// first of a zone, its head, follows the head of an earlier zone, and the head of the
// first zone reads the store for all. While there are few balancers, all zones share
// one order.
type tree struct {
	// zones holds the balancers of each zone. The zones, and the balancers of each, are
	// sorted by rank.
	zones [][]*apiv1.Balancer
	// zoneIndex and position locate this balancer in zones, and fanout is the number of
	// followers of a balancer.
	zoneIndex, position, fanout int
	size                        int
	// sharedOrder is set while all zones share one order.
	sharedOrder bool
	// parentCandidates are the balancers that this one may follow, the best first: its
	// parent, the ancestors of its parent, the others before it in its zone, and the
	// heads of other zones: for the head of a zone only those of earlier zones, so that
	// the relation has no cycles.
	parentCandidates []*apiv1.Balancer
	// followers are the balancers whose parent this one is, and others all that are not
	// parent candidates.
	followers, others []*apiv1.Balancer
}

// newTree builds the tree of the known balancers and this one. Up to sharedLimit of
// them share one order. Each has leastFanout followers, or more if there are few strong
// balancers.
func newTree(self *apiv1.Balancer, known []*apiv1.Balancer, sharedLimit, leastFanout int) *tree {
	t := &tree{zones: groupByZone(self, known, sharedLimit), sharedOrder: len(known) <= sharedLimit}
	for zone, balancers := range t.zones {
		t.size += len(balancers)
		position := slices.IndexFunc(balancers, func(b *apiv1.Balancer) bool { return b.GetName() == self.GetName() })
		if position >= 0 {
			t.zoneIndex, t.position = zone, position
		}
	}
	t.fanout = fanoutOf(t.ownZone(), leastFanout)
	t.parentCandidates = t.findParentCandidates()
	t.followers = t.findFollowers()
	t.others = t.allExcept(t.parentCandidates)
	return t
}

// groupByZone groups balancers by zone, and sorts the zones and the balancers of each
// by rank. While this balancer is not listed, the others do not know it, and it is last
// whatever its strength.
func groupByZone(self *apiv1.Balancer, known []*apiv1.Balancer, sharedLimit int) [][]*apiv1.Balancer {
	sharedOrder := len(known) <= sharedLimit
	listed := false
	groups := make(map[string][]*apiv1.Balancer)
	for _, b := range known {
		if b.GetName() == self.GetName() {
			b, listed = self, true
		}
		zone := b.GetZone()
		if sharedOrder {
			zone = self.GetZone()
		}
		groups[zone] = append(groups[zone], b)
	}
	ordered := sortGroups(groups)
	if listed {
		return ordered
	}
	for position, group := range ordered {
		if sharedOrder || group[0].GetZone() == self.GetZone() {
			ordered[position] = append(group, self)
			return ordered
		}
	}
	return append(ordered, []*apiv1.Balancer{self})
}

// sortGroups sorts the balancers of each group by rank, and the groups by their first
// balancers.
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

// fanoutOf returns the number of followers of a balancer of a zone. If there are few
// strong balancers, each has more followers, so that weak ones need not serve others.
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

// maxFanoutFactor bounds how many more followers than usual a strong balancer has.
const maxFanoutFactor = 2

func (t *tree) ownZone() []*apiv1.Balancer { return t.zones[t.zoneIndex] }

func (t *tree) head(zone int) *apiv1.Balancer { return t.zones[zone][0] }

// parentOf returns the position of the parent of the balancer at a position. It applies
// to the positions in a zone and to the zones themselves.
func (t *tree) parentOf(position int) int { return (position - 1) / t.fanout }

// rank returns the position of this balancer among all: the heads of the zones come
// first, followed by the second of each zone.
func (t *tree) rank() int { return t.position*len(t.zones) + t.zoneIndex }

func (t *tree) findParentCandidates() []*apiv1.Balancer {
	own := t.ownZone()
	var found []*apiv1.Balancer
	for position := t.position; position > 0; {
		position = t.parentOf(position)
		found = append(found, own[position])
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
	for position := first; position < min(first+t.fanout, len(own)); position++ {
		found = append(found, own[position])
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

// allExcept returns all other balancers that are not in a list, those of this zone
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
