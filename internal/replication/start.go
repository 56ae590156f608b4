package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// A balancer that starts knows nothing, and often all of them start at once. It
// reads the names of its zone's balancers, which is little. If it is the first of
// them, or they are few, it reads the store; the others wait for the one that they
// are to follow. Who was not told in time reads an old copy of the store, which
// has no share in the store's rate, and asks on; the last resort is an exact read.

const (
	// smallZoneSize is up to how many balancers of a zone read the store at
	// once: an answer then costs less than the wait for a peer.
	smallZoneSize = 8
	// parentOnlyPeriod is for how long at a start only the balancer to follow is
	// asked: it takes two levels about that long to read and to tell.
	parentOnlyPeriod = 400 * time.Millisecond
	// startupStandbys is how many of a zone, its head included, may read the store at a
	// start when those above do not answer.
	startupStandbys = 3
	// singleSeedPeriod is for how long at a start one seed is asked and not three.
	singleSeedPeriod = 150 * time.Millisecond
)

// startupState is how far a balancer that knows nothing has come.
type startupState struct {
	// membersRead and old tell that the names of the balancers and an old copy of
	// the store were read.
	membersRead, staleSnapshotRead bool
	// waitUntil is when it stops to wait for peers.
	waitUntil time.Time
	// parentOnlyUntil is until when only the balancer to follow is asked.
	parentOnlyUntil time.Time
	// zoneSize is about how many balancers the zone has, where only the first are listed.
	zoneSize int
}

// markRead takes that a call of a start was answered.
func (s *startupState) markRead(poll Poll) {
	switch poll {
	case PollMembers:
		s.membersRead = true
	case PollStaleSnapshot:
		s.staleSnapshotRead = true
	case PollNone, PollFirstPage, PollSnapshot, PollChanges, PollCatchUp:
	}
}

// startupPoll returns the call to the store of a balancer that knows nothing.
func (c *Core) startupPoll(now time.Time) Poll {
	switch {
	case !c.startup.membersRead:
		return PollMembers
	case c.readsAtStartup() || c.readsForSilentHead():
		return PollSnapshot
	case !c.startup.staleSnapshotRead && c.tree.size == 1:
		// Nobody is listed, so that all ask the seeds.
		return PollStaleSnapshot
	case now.Before(c.startup.waitUntil):
		return PollNone
	case !c.startup.staleSnapshotRead:
		return PollStaleSnapshot
	}
	return PollSnapshot
}

// readsAtStartup tells whether this balancer should read the store at a start
// before others tell it. Who knows nobody leaves it to the seeds, unless it is
// listed, and so the only one of its zone.
func (c *Core) readsAtStartup() bool {
	if c.tree.size == 1 {
		return c.IsReader() || c.members.isListed(c.config.Self)
	}
	return c.tree.position == 0 || len(c.tree.ownZone()) <= smallZoneSize
}

// readsForSilentHead tells whether this balancer should read the store at a start in the
// place of the head of its zone: all above it have failed to answer. Machines that lose
// power together are back some tenths of a second apart. What it gains: the first table
// of a zone whose head is the last, 0.5 s sooner.
func (c *Core) readsForSilentHead() bool {
	return c.tree.position < startupStandbys && c.isActingReader()
}

// mayReadForSilentHead tells whether the balancer at an address is among those of this zone
// that read the store at a start when their head does not.
func (c *Core) mayReadForSilentHead(address string) bool {
	first := c.tree.ownZone()[:min(startupStandbys, len(c.tree.ownZone()))]
	return slices.ContainsFunc(first, func(b *apiv1.Balancer) bool { return b.GetPeerAddress() == address })
}

// DialTimeout is how long the connection to another balancer may take. Where nothing is
// known it doubles with each call to that one that failed in a row: its link may be
// slow, and with the first time alone it was never reached.
func (c *Core) DialTimeout(address string) time.Duration {
	failed := 0
	if known := c.contacts[address]; known != nil {
		failed = known.failures
	}
	if c.hasData() {
		return dialTimeout
	}
	return min(startupDialTimeout<<min(failed, 10), dialTimeout)
}

// awaitsParent tells whether a balancer that knows nothing should soon be told
// everything by the one to follow or another one above, or learn from the store who
// they are. Many start at once, and all know the same few seeds; a first call to the
// one to follow may fail because that starts some milliseconds later.
func (c *Core) awaitsParent(now time.Time) bool {
	if c.hasData() || !now.Before(c.startup.parentOnlyUntil) {
		return false
	}
	if !c.startup.membersRead {
		return c.pollFailures == 0
	}
	return slices.ContainsFunc(c.tree.parentCandidates, func(b *apiv1.Balancer) bool { return !c.isUnusable(b) })
}

// startsAsHead tells whether this balancer has just read the store for the first
// time, as the first of its zone should. Those that wait for it need not be sought.
func (c *Core) startsAsHead() bool { return !c.hasData() && c.tree.size > 1 && c.tree.position == 0 }

// startupReadsPerSecond is about how many of a zone read the whole store in a second because
// they were not told in time. One that has read it tells others, and they tell on; if all of
// them read, the store's link is full for as long as the number of balancers times that of
// back ends takes: 985 times 3.4 MB.
const startupReadsPerSecond = 2

// startupDeadline is until when a balancer that knows nothing waits for peers: longer, by chance,
// the more of its zone may wait besides.
func (c *Core) startupDeadline(now time.Time) time.Time {
	longest := c.config.StartupWait
	if c.tree != nil && c.tree.position >= startupStandbys {
		longest = max(longest, time.Duration(c.zoneSize())*time.Second/startupReadsPerSecond)
	}
	return now.Add(c.config.StartupWait + time.Duration(c.random.Int64N(int64(longest)+1)))
}
