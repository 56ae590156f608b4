package replication

import apiv1 "github.com/indigobarrow/indigobarrow/api/v1"

// MayReportTo tells whether the balancer at an address may be told sums over this one and its
// followers: it is above this one, and before it in an order that rests on nothing but
// the two entries, so that sums don't go round even while balancers know different lists.
func (c *Core) MayReportTo(address string) bool {
	own := rankKeyOf(c.config.Self)
	for _, b := range c.tree.parentCandidates {
		if b.GetPeerAddress() == address {
			return rankKeyOf(b).compare(own) < 0
		}
	}
	return false
}

func rankKeyOf(b *apiv1.Balancer) rankKey {
	return rankKey{balancer: b, tier: tier(b), nameHash: nameHash(b.GetName())}
}

// Levels is how many levels of balancers are above this one, and how many there are below
// the reader.
func (c *Core) Levels() (above, all int) {
	t := c.tree
	above = t.depth(t.position) + t.depth(t.zoneIndex)
	for zone, balancers := range t.zones {
		all = max(all, t.depth(zone)+t.depth(len(balancers)-1))
	}
	return above, all
}

// depth is how many steps a place is below the first one.
func (t *tree) depth(place int) int {
	steps := 0
	for place > 0 {
		place = t.parentOf(place)
		steps++
	}
	return steps
}
