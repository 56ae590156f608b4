package replication

import apiv1 "github.com/indigobarrow/indigobarrow/api/v1"

// MayReportTo reports whether aggregates over this balancer and its followers may be
// sent to the balancer at an address. That balancer must be a parent candidate, and
// precede this one in an order that depends on the two entries only, so that aggregates
// do not circulate while balancers have different lists.
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

// Levels returns the number of levels above this balancer, and the number of levels
// below the reader.
func (c *Core) Levels() (above, all int) {
	t := c.tree
	above = t.depth(t.position) + t.depth(t.zoneIndex)
	for zone, balancers := range t.zones {
		all = max(all, t.depth(zone)+t.depth(len(balancers)-1))
	}
	return above, all
}

// depth returns the number of levels between a position and the first one.
func (t *tree) depth(position int) int {
	steps := 0
	for position > 0 {
		position = t.parentOf(position)
		steps++
	}
	return steps
}
