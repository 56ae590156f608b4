package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Whoever should read the store may be dead, cut off or refused. Others stand in,
// in a number that does not grow with the fleet: what all of them tried would
// reach a store that has just come back all at once.

const (
	// standbys is how many balancers, the reader included, take turns in the
	// order. The heads of up to ten zones come first, then the second ones.
	standbys = 8
	// drawsPerSecond is about how often one of all the others tries. With a third
	// of them refused, a try succeeds within a quarter of a second on average.
	drawsPerSecond = 4
	// isolatedAfter is the silence after which a balancer takes itself for cut
	// off from the others: a call that waits is answered sooner.
	isolatedAfter = 2 * time.Second
)

// acting tells whether this balancer reads the store in the reader's place, since
// it can follow nobody: all balancers above it are out of reach, or have stale
// knowledge themselves.
func (c *Core) acting() bool {
	if len(c.tree.above) == 0 || c.tree.rank() >= standbys {
		return false
	}
	useful := func(b *apiv1.Balancer) bool { return !c.useless(b) }
	return !slices.ContainsFunc(c.tree.above, useful)
}

// useless tells whether the last call to a balancer failed, or brought stale
// knowledge.
func (c *Core) useless(b *apiv1.Balancer) bool {
	known := c.contacts[b.GetPeerAddress()]
	return known != nil && known.useless
}

// standsIn tells whether this balancer should try the store once although it
// neither reads for all nor acts for the reader: its knowledge is stale, and its
// turn has come. Who hears nobody has no turn to wait for.
func (c *Core) standsIn(now time.Time) bool {
	age, _ := c.Age(now)
	if age <= c.config.Timing.StaleAge {
		return false
	}
	if now.Sub(c.heardAt) > isolatedAfter {
		return true
	}
	if rank := c.tree.rank(); rank < standbys {
		return age > c.config.Timing.StaleAge+time.Duration(rank)*c.config.Timing.StandbyDelay
	}
	if c.drawnAt.IsZero() {
		longest := time.Duration(c.tree.size) * time.Second / drawsPerSecond
		c.drawnAt = now.Add(time.Duration(c.chance.Int64N(int64(longest))))
	}
	return !now.Before(c.drawnAt)
}
