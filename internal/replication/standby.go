package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// The balancer that should read the store may be dead, partitioned or refused by the
// store. Others then read it, in a number that does not grow with the number of
// balancers: the calls of all of them together would reach a store that has just
// recovered at once.

const (
	// standbyCount is the number of balancers, including the reader, that try the store
	// one after another. With up to ten zones, the heads of the zones come first,
	// followed by the second of each zone.
	standbyCount = 8
	// randomPollsPerSecond is about how often any of the other balancers tries the
	// store. If a third of them is refused, an attempt succeeds within a quarter of a
	// second on average.
	randomPollsPerSecond = 4
	// isolationTimeout is the time without activity of any other balancer after which a
	// balancer considers itself partitioned: a call that waits is answered sooner.
	isolationTimeout = 2 * time.Second
)

// isActingReader reports whether this balancer reads the store in place of the reader
// because it can follow nobody: all parent candidates are unreachable or have stale
// data themselves.
func (c *Core) isActingReader() bool {
	if len(c.tree.parentCandidates) == 0 || c.tree.rank() >= standbyCount {
		return false
	}
	useful := func(b *apiv1.Balancer) bool { return !c.isUnusable(b) }
	return !slices.ContainsFunc(c.tree.parentCandidates, useful)
}

// isUnusable reports whether the last call to a balancer failed, or returned stale
// data.
func (c *Core) isUnusable(b *apiv1.Balancer) bool {
	peerContact := c.contacts[b.GetPeerAddress()]
	return peerContact != nil && peerContact.unusable
}

// standbyPollDue reports whether this balancer should try the store once although it is
// neither the reader nor an acting reader: its data is stale, and its delay has passed.
// A balancer that receives nothing from the others does not wait for its delay.
func (c *Core) standbyPollDue(now time.Time) bool {
	age, _ := c.Age(now)
	if age <= c.config.Timing.StaleAge {
		return false
	}
	if now.Sub(c.lastActivityAt) > isolationTimeout {
		return true
	}
	if rank := c.tree.rank(); rank < standbyCount {
		return age > c.config.Timing.StaleAge+time.Duration(rank)*c.config.Timing.StandbyDelay
	}
	if c.randomPollAt.IsZero() {
		longest := time.Duration(c.tree.size) * time.Second / randomPollsPerSecond
		c.randomPollAt = now.Add(time.Duration(c.random.Int64N(int64(longest))))
	}
	return !now.Before(c.randomPollAt)
}
