package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// A balancer that starts has to know whom of its zone to ask. Where each reads the entries of
// all of its zone, the store sends N x N / Z of them at a start of everything: 50 MB at 985
// balancers in 5 zones, 210 MB at 2,000. So the reader keeps a list of the first of each large
// zone, and who starts reads that alone: 32 entries whatever the size.

const (
	// zoneLeadsCount is how many balancers of a zone are listed: the strong ones of some 600,
	// each with maxFanoutFactor*DefaultTreeFanout followers, and more where the first are dead.
	// Smaller zones have no list; their names are read.
	zoneLeadsCount = 32
	// zoneLeadsWriteInterval is the least time between two writes of lists: at a first start zones grow
	// by WriteLimit entries at a time.
	zoneLeadsWriteInterval = 2 * time.Second
	// zoneLeadsRefreshInterval is after what time a list is written again as it was. A zone that was cut
	// off may have written its own.
	zoneLeadsRefreshInterval = time.Minute
)

// zoneLeadLists are the lists that this balancer has written.
type zoneLeadLists struct {
	written   map[string]*apiv1.ZoneLeads
	writtenAt time.Time
}

// zoneLeadsToWrite returns the lists that are not in the store as this balancer has written them.
func (c *Core) zoneLeadsToWrite(now time.Time) []*apiv1.ZoneLeads {
	l := &c.members.zoneLeads
	since := now.Sub(l.writtenAt)
	if since < zoneLeadsWriteInterval {
		return nil
	}
	var changed []*apiv1.ZoneLeads
	for _, zone := range c.tree.zones {
		if len(zone) <= zoneLeadsCount || c.tree.sharedOrder {
			continue
		}
		wanted := &apiv1.ZoneLeads{
			Zone:  zone[0].GetZone(),
			First: zone[:zoneLeadsCount],
			Size:  uint32((len(zone) + zoneLeadsCount - 1) / zoneLeadsCount * zoneLeadsCount),
		}
		if since >= zoneLeadsRefreshInterval || !proto.Equal(l.written[wanted.GetZone()], wanted) {
			changed = append(changed, wanted)
		}
	}
	return changed
}

// zoneLeadsWriteEnded takes the end of a write of lists. Those of a write that failed are written
// again.
func (c *Core) zoneLeadsWriteEnded(lists []*apiv1.ZoneLeads, failed bool, now time.Time) {
	l := &c.members.zoneLeads
	l.writtenAt = now
	if l.written == nil {
		l.written = make(map[string]*apiv1.ZoneLeads)
	}
	for _, each := range lists {
		delete(l.written, each.GetZone())
		if !failed {
			l.written[each.GetZone()] = proto.CloneOf(each)
		}
	}
}

// SetZoneSize takes about how many balancers this one's zone has, of which only the first are
// listed; 0 lists all.
func (c *Core) SetZoneSize(size int) { c.startup.zoneSize = size }

// zoneSize is about how many balancers the zone has.
func (c *Core) zoneSize() int { return max(len(c.tree.ownZone()), c.startup.zoneSize) }

// hasPartialZone tells whether only the first of this balancer's zone are known, and it is none of
// them. In the order it would stand just behind them, as would all others.
func (c *Core) hasPartialZone(known []*apiv1.Balancer) bool {
	if c.hasData() || c.startup.zoneSize <= len(c.tree.ownZone()) || c.tree.position == 0 {
		return false
	}
	itself := func(b *apiv1.Balancer) bool { return b.GetName() == c.config.Self.GetName() }
	return !slices.ContainsFunc(known, itself)
}

// choosePartialZoneParents lets a balancer that knows only the first of its zone ask one of them by a hash of
// names, a strong one if there is any, and the others after it.
func (t *tree) choosePartialZoneParents(self *apiv1.Balancer) {
	before := t.ownZone()[:t.position]
	carriers := 0
	for carriers < len(before) && tier(before[carriers]) >= 0 {
		carriers++
	}
	if carriers == 0 {
		carriers = len(before)
	}
	first := int(nameHash(self.GetName()) % uint64(carriers))
	var above []*apiv1.Balancer
	above = append(above, before[first:carriers]...)
	above = append(above, before[:first]...)
	t.parentCandidates = append(above, before[carriers:]...)
}
