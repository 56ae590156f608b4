package replication

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// A starting balancer has to know which balancers of its zone to call. If each reads
// the entries of its whole zone, the store sends N x N / Z of them when all start at
// once: 50 MB with 985 balancers in 5 zones, 210 MB with 2,000. Therefore the reader
// maintains a list of the first balancers of each large zone, and a starting balancer
// reads only that: 32 entries whatever the size.

const (
	// zoneLeadsCount is the number of balancers of a zone that are listed: the strong
	// ones of a zone of about 600, each with maxFanoutFactor*DefaultTreeFanout
	// followers, and more in case the first are dead. For smaller zones there is no
	// list, and all names are read.
	zoneLeadsCount = 32
	// zoneLeadsWriteInterval is the least time between two writes of lists: when all
	// start for the first time, zones grow by WriteLimit entries at a time.
	zoneLeadsWriteInterval = 2 * time.Second
	// zoneLeadsRefreshInterval is the time after which an unchanged list is written
	// again. A zone that was partitioned may have written its own.
	zoneLeadsRefreshInterval = time.Minute
)

// zoneLeadLists holds the lists that this balancer has written.
type zoneLeadLists struct {
	written   map[string]*apiv1.ZoneLeads
	writtenAt time.Time
}

// zoneLeadsToWrite returns the lists that differ from those that this balancer last
// wrote, or all lists when they are due to be written again.
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

// zoneLeadsWriteEnded handles the end of a write of lists. The lists of a failed write
// are written again.
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

// SetZoneSize sets the approximate number of balancers in the zone of this one, if only
// the first are listed. 0 means that all are listed.
func (c *Core) SetZoneSize(size int) { c.startup.zoneSize = size }

// zoneSize returns the approximate number of balancers in the zone.
func (c *Core) zoneSize() int { return max(len(c.tree.ownZone()), c.startup.zoneSize) }

// hasPartialZone reports whether only the first balancers of this one's zone are known,
// and it is not one of them. In the order, it and all others like it would directly
// follow those.
func (c *Core) hasPartialZone(known []*apiv1.Balancer) bool {
	if c.hasData() || c.startup.zoneSize <= len(c.tree.ownZone()) || c.tree.position == 0 {
		return false
	}
	isSelf := func(b *apiv1.Balancer) bool { return b.GetName() == c.config.Self.GetName() }
	return !slices.ContainsFunc(known, isSelf)
}

// choosePartialZoneParents sets the parent candidates of a balancer that knows only the
// first of its zone. By a hash of its name it starts with one of them, a strong one if
// there is any, followed by the others.
func (t *tree) choosePartialZoneParents(self *apiv1.Balancer) {
	before := t.ownZone()[:t.position]
	strong := 0
	for strong < len(before) && tier(before[strong]) >= 0 {
		strong++
	}
	if strong == 0 {
		strong = len(before)
	}
	first := int(nameHash(self.GetName()) % uint64(strong))
	var candidates []*apiv1.Balancer
	candidates = append(candidates, before[first:strong]...)
	candidates = append(candidates, before[:first]...)
	t.parentCandidates = append(candidates, before[strong:]...)
}
