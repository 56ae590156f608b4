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
	// standbyCount is how many balancers, the reader included, take turns in the
	// order. The heads of up to ten zones come first, then the second ones.
	standbyCount = 8
	// randomPollsPerSecond is about how often one of all the others tries. With a third
	// of them refused, a try succeeds within a quarter of a second on average.
	randomPollsPerSecond = 4
	// isolationTimeout is the silence after which a balancer takes itself for cut
	// off from the others: a call that waits is answered sooner.
	isolationTimeout = 2 * time.Second
)

// isActingReader tells whether this balancer reads the store in the reader's place, since
// it can follow nobody: all balancers above it are out of reach, or have stale
// knowledge themselves.
func (c *Core) isActingReader() bool {
	if len(c.tree.parentCandidates) == 0 || c.tree.rank() >= standbyCount {
		return false
	}
	useful := func(b *apiv1.Balancer) bool { return !c.isUnusable(b) }
	return !slices.ContainsFunc(c.tree.parentCandidates, useful)
}

// isUnusable tells whether the last call to a balancer failed, or brought stale
// knowledge.
func (c *Core) isUnusable(b *apiv1.Balancer) bool {
	known := c.contacts[b.GetPeerAddress()]
	return known != nil && known.unusable
}

// standbyPollDue tells whether this balancer should try the store once although it
// neither reads for all nor acts for the reader: its knowledge is stale, and its
// turn has come. Who hears nobody has no turn to wait for.
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
