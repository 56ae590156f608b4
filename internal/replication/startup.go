package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// A balancer has no data when it starts, and often all balancers start at once. A
// starting balancer reads the names of the balancers of its zone, which are few bytes.
// If it is the first of them, or if they are few, it reads the store; otherwise it
// waits for its parent. A balancer that does not receive the data in time reads a stale
// snapshot, which does not count towards the rate limit of the store, and continues to
// call peers. An exact read is the last resort.

const (
	// smallZoneSize is the number of balancers up to which all balancers of a zone read
	// the store at once: a reply then costs less than the wait for a peer.
	smallZoneSize = 8
	// parentOnlyPeriod is how long after a start only the parent is called: two levels
	// take about that long to read the store and to send the data.
	parentOnlyPeriod = 400 * time.Millisecond
	// startupStandbys is the number of balancers of a zone, including its head, that
	// may read the store at a start if those above them do not answer.
	startupStandbys = 3
	// singleSeedPeriod is how long after a start one seed is called instead of three.
	singleSeedPeriod = 150 * time.Millisecond
)

// startupState is the progress of a balancer that has no data.
type startupState struct {
	// membersRead and staleSnapshotRead are set once the names of the balancers and a
	// stale snapshot of the store have been read.
	membersRead, staleSnapshotRead bool
	// waitUntil is when the balancer stops waiting for peers.
	waitUntil time.Time
	// parentOnlyUntil is until when only the parent is called.
	parentOnlyUntil time.Time
	// callingSince is when the balancer began to call others: the seeds, or the balancers
	// of its zone since their names have been read.
	callingSince time.Time
	// zoneSize is the approximate number of balancers in the zone, if only the first
	// are listed.
	zoneSize int
}

// markRead records that a call to the store at startup was answered.
func (s *startupState) markRead(poll Poll, now time.Time) {
	switch poll {
	case PollMembers:
		s.membersRead, s.callingSince = true, now
	case PollStaleSnapshot:
		s.staleSnapshotRead = true
	case PollNone, PollFirstPage, PollSnapshot, PollChanges, PollCatchUp, PollPing:
	}
}

// startupPoll returns the call to the store of a balancer that has no data.
func (c *Core) startupPoll(now time.Time) Poll {
	switch {
	case !c.startup.membersRead:
		return PollMembers
	case c.readsAtStartup() || c.readsForSilentHead():
		return PollSnapshot
	case !c.startup.staleSnapshotRead && c.tree.size == 1:
		// No balancer is listed, so all of them call the seeds.
		return PollStaleSnapshot
	case now.Before(c.startup.waitUntil) && !c.startsAlone(now):
		return PollNone
	case !c.startup.staleSnapshotRead:
		return PollStaleSnapshot
	}
	return PollSnapshot
}

// startsAlone reports whether nothing has been received from any other balancer although
// there was time for them to answer.
func (c *Core) startsAlone(now time.Time) bool {
	return now.Sub(c.startup.callingSince) > isolationTimeout && now.Sub(c.lastActivityAt) > isolationTimeout
}

// readsAtStartup reports whether this balancer should read the store at a start before
// others send it the data. A balancer that knows nobody leaves that to the seeds,
// unless it is listed, and therefore the only one of its zone.
func (c *Core) readsAtStartup() bool {
	if c.tree.size == 1 {
		return c.IsReader() || c.members.isListed(c.config.Self)
	}
	return c.tree.position == 0 || len(c.tree.ownZone()) <= smallZoneSize
}

// readsForSilentHead reports whether this balancer should read the store at a start in
// place of the head of its zone, because all balancers above it have failed to answer.
// After a power failure hosts are back some tenths of a second apart. If the head of a
// zone is the last of them, the zone gets its first table 0.5 s sooner this way.
func (c *Core) readsForSilentHead() bool {
	return c.tree.position < startupStandbys && c.isActingReader()
}

// mayReadForSilentHead reports whether the balancer at an address is among those of
// this zone that read the store at a start if their head does not.
func (c *Core) mayReadForSilentHead(address string) bool {
	first := c.tree.ownZone()[:min(startupStandbys, len(c.tree.ownZone()))]
	return slices.ContainsFunc(first, func(b *apiv1.Balancer) bool { return b.GetPeerAddress() == address })
}

// DialTimeout returns how long connecting to another balancer may take. While there is
// no data here, it doubles with each call to that balancer that failed in a row: with
// the first timeout alone, a balancer behind a slow link was never reached.
func (c *Core) DialTimeout(address string) time.Duration {
	failed := 0
	if peerContact := c.contacts[address]; peerContact != nil {
		failed = peerContact.failures
	}
	if c.hasData() {
		return dialTimeout
	}
	return min(startupDialTimeout<<min(failed, 10), dialTimeout)
}

// awaitsParent reports whether a balancer without data can expect to receive the full
// state soon from its parent or another parent candidate, or to learn from the store
// which balancers these are. When many start at once, all of them know the same few
// seeds, and the first call to the parent may fail because the parent starts some
// milliseconds later.
func (c *Core) awaitsParent(now time.Time) bool {
	if c.hasData() || !now.Before(c.startup.parentOnlyUntil) {
		return false
	}
	if !c.startup.membersRead {
		return c.pollFailures == 0
	}
	return slices.ContainsFunc(c.tree.parentCandidates, func(b *apiv1.Balancer) bool { return !c.isUnusable(b) })
}

// startsAsHead reports whether this balancer has just read the store for the first time
// as the head of its zone. Those that wait for it need not be looked for.
func (c *Core) startsAsHead() bool { return !c.hasData() && c.tree.size > 1 && c.tree.position == 0 }

const (
	// startupReadsPerSecond is about how many balancers of a zone read the whole store
	// in a second because they did not receive the data in time. A balancer that has
	// read it sends it to others, which pass it on. If all of them read, the link of
	// the store is saturated for a time proportional to the number of balancers times
	// the number of back ends: 985 times 3.4 MB.
	startupReadsPerSecond = 2
	// startupTransferTime is the time that each balancer of a zone adds to the time in
	// which the data of a large fleet reaches the whole zone. The data grows with the
	// fleet.
	startupTransferTime = 20 * time.Millisecond
)

// startupDeadline returns until when a balancer without data waits for peers, as long
// as it receives anything from them. The wait is random. Few balancers end it in the
// time in which the others usually receive the data, and all of them afterwards.
func (c *Core) startupDeadline(now time.Time) time.Time {
	wait := c.config.StartupWait
	if c.tree == nil || c.tree.position < startupStandbys {
		return now.Add(wait + c.randomUpTo(wait))
	}
	period := max(wait, c.config.Timing.Deadline, time.Duration(c.zoneSize())*startupTransferTime)
	return now.Add(wait + c.spread(c.zoneSize(), startupReadsPerSecond, period))
}
