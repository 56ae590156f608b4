package replication

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Config holds the parameters of replication.
type Config struct {
	// Self is the directory entry of this balancer.
	Self *apiv1.Balancer
	// Seeds are the addresses of balancers to call while no others are known.
	Seeds []string
	// Timing sets how often the store is read and how old data may become.
	Timing Timing
	// TreeFanout is the number of followers of a balancer.
	TreeFanout int
	// SharedOrderLimit is the number of balancers up to which all zones share one
	// order.
	SharedOrderLimit int
	// PeerRetryDelay is the time for which a peer is not called after a call to it
	// failed.
	PeerRetryDelay time.Duration
	// MaxBackoff is the longest pause after a failed call to the store.
	MaxBackoff time.Duration
	// StartupWait is how long a balancer without data leaves the store to others and
	// waits for peers.
	StartupWait time.Duration
	// AuditInterval is how often a large store is read in full although its changes are
	// being read.
	AuditInterval time.Duration
}

// Poll is a kind of call to the store.
type Poll uint8

// These are the kinds of calls to the store.
const (
	// PollNone stands for no call.
	PollNone Poll = iota
	// PollFirstPage reads the first page. It covers a small store in full, which is
	// cheaper and more reliable than waiting for changes.
	PollFirstPage
	// PollSnapshot reads all pages.
	PollSnapshot
	// PollChanges waits for the changes of a large store.
	PollChanges
	// PollCatchUp reads the changes of a large store that are available, without
	// waiting.
	PollCatchUp
	// PollMembers reads only the entries of the balancers of this zone, at the price of
	// a stale read. With it a balancer without data learns which balancers should read
	// the store, before all of them read it over links that may be slow.
	PollMembers
	// PollStaleSnapshot reads all pages at the price of a stale read. It confirms
	// nothing; later changes come from a peer.
	PollStaleSnapshot
	// PollPing finds out whether the store serves this balancer, at the price of a
	// stale read. It brings no data.
	PollPing
)

// DefaultTreeFanout suits readers that handle a few calls a second. With it, the two
// strongest balancers of a zone of 34 serve all the others.
const DefaultTreeFanout = 16

// DefaultSharedOrderLimit bounds the traffic between zones that a shared order causes.
const DefaultSharedOrderLimit = 16

// Core holds the replication state of one balancer. It must be used by one goroutine
// only.
type Core struct {
	config Config
	random *rand.Rand
	// configuredSeeds are the seeds in the order of the configuration.
	configuredSeeds []string
	// tree is the replication tree of the known balancers.
	tree *tree
	// confirmedAt is when the store last confirmed the data here. It is zero if there
	// is no data.
	confirmedAt time.Time
	nextPoll    time.Time
	// pollStartedAt is when the last call to the store was sent, and failedPollAt when
	// the last one that failed was.
	pollStartedAt, failedPollAt time.Time
	pollFailures                int
	startup                     startupState
	// multiPage is set if the store has more than one page.
	multiPage    bool
	nextSnapshot time.Time
	// lastSnapshotAt is when the last full read of the store began.
	lastSnapshotAt time.Time
	// historyLost is set if the store no longer has the changes that follow the data
	// here.
	historyLost bool
	// staleSnapshotRead is set while the data here comes from a stale snapshot that was
	// read because the history was lost, and the changes since are still to be read.
	staleSnapshotRead bool
	// pingAge is the age of the data at which this balancer pings the store if it is
	// not expected to read it. It is zero until it has been chosen.
	pingAge time.Duration
	// pingAnswered is set if the store has answered the last ping, and no call has
	// failed since.
	pingAnswered bool
	pausedUntil  map[string]time.Time
	// activeCalls are the calls to other balancers in progress, and activeCounts their
	// number for each purpose.
	activeCalls  map[callKey]bool
	activeCounts [purposeCount]int
	// contacts holds the state of the other balancers by address.
	contacts map[string]*contact
	// lastActivityAt is the time of the last activity of any other balancer.
	lastActivityAt time.Time
	// fetchCandidates are the addresses of balancers found to have more data. callers
	// are those of balancers that called while there was no data here.
	fetchCandidates, callers []string
	// dataSince is when this balancer first had data.
	dataSince      time.Time
	nextAnnounceAt time.Time
	// nextSilentCheckAt is when silent balancers are next looked for.
	nextSilentCheckAt time.Time
	announceInterval  time.Duration
	// readAsStandby is set if this balancer had to read the store although another one
	// should have, until it again follows a balancer that has newer data.
	readAsStandby bool
	// lastGap is the last period in which the data became stale.
	lastGap Gap
	// caughtUp is set once a peer has sent its full state. From then on, the changes
	// since a revision suffice, from whichever peer.
	caughtUp bool
	members  members
}

// NewCore returns the state of a balancer that has no data.
func NewCore(config Config, random *rand.Rand, now time.Time) *Core {
	c := &Core{
		config:           config,
		random:           random,
		nextSnapshot:     now.Add(config.AuditInterval),
		pausedUntil:      make(map[string]time.Time),
		activeCalls:      make(map[callKey]bool),
		contacts:         make(map[string]*contact),
		announceInterval: minAnnounceInterval,
		members:          newMembers(),
	}
	c.startup.waitUntil = c.startupDeadline(now)
	c.startup.parentOnlyUntil = now.Add(singleSeedPeriod)
	c.startup.callingSince = now
	c.SetBalancers(nil, now)
	return c
}

// SetSeeds replaces the addresses to call while no balancer is known. Each balancer
// shuffles them, so that not all follow the first one.
func (c *Core) SetSeeds(seeds []string) {
	if slices.Equal(seeds, c.configuredSeeds) {
		return
	}
	c.configuredSeeds = seeds
	c.config.Seeds = slices.Clone(seeds)
	c.random.Shuffle(len(seeds), func(i, j int) {
		c.config.Seeds[i], c.config.Seeds[j] = c.config.Seeds[j], c.config.Seeds[i]
	})
}

// SetBalancers replaces the balancers that have an entry in the directory.
func (c *Core) SetBalancers(known []*apiv1.Balancer, now time.Time) {
	c.tree = newTree(c.config.Self, known, c.config.SharedOrderLimit, c.config.TreeFanout)
	if c.hasPartialZone(known) {
		c.tree.choosePartialZoneParents(c.config.Self)
	}
	if !c.hasData() && c.startup.membersRead {
		// The time to wait depends on how many others wait.
		c.startup.waitUntil = c.startupDeadline(now)
	}
	c.members.update(known, c.tree.followers, now)
	c.pruneContacts(known)
}

// pruneContacts drops the contacts that have no entry in the directory.
func (c *Core) pruneContacts(known []*apiv1.Balancer) {
	if len(c.contacts) <= 2*len(known)+callersLimit {
		return
	}
	listed := make(map[string]bool, len(known))
	for _, balancer := range known {
		listed[balancer.GetPeerAddress()] = true
	}
	maps.DeleteFunc(c.contacts, func(address string, _ *contact) bool { return !listed[address] })
}

// IsReader reports whether this balancer reads the store for all. A balancer that knows
// no other leaves that to its seeds.
func (c *Core) IsReader() bool {
	if c.tree.size > 1 {
		return c.tree.rank() == 0
	}
	return len(c.config.Seeds) == 0 || slices.Contains(c.config.Seeds, c.config.Self.GetPeerAddress())
}

// ReadsStore reports whether this balancer currently reads the store for others, as the
// reader or in its place.
func (c *Core) ReadsStore() bool { return c.IsReader() || c.isActingReader() }

// OrderSize returns the number of balancers that share this one's order, including
// itself: those of its zone, or all of them while they are few.
func (c *Core) OrderSize() int { return len(c.tree.ownZone()) }

// SharesOrder reports whether the balancer at an address shares this one's order.
func (c *Core) SharesOrder(address string) bool {
	return slices.ContainsFunc(c.tree.ownZone(), func(b *apiv1.Balancer) bool { return b.GetPeerAddress() == address })
}

// Age returns the time since the store confirmed the data here, and whether there is
// data.
func (c *Core) Age(now time.Time) (time.Duration, bool) {
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.confirmedAt), true
}

// ConfirmedAt returns when the store last confirmed the data here.
func (c *Core) ConfirmedAt() time.Time { return c.confirmedAt }

// Stale reports whether the data is too old for this balancer to rely on others to keep
// it current.
func (c *Core) Stale(now time.Time) bool {
	age, confirmed := c.Age(now)
	return !confirmed || age > c.config.Timing.StaleAge
}

// Confirm records that the store has confirmed all data as of a time. It reports
// whether that is later than the last confirmation.
func (c *Core) Confirm(asOf time.Time) bool {
	if !asOf.After(c.confirmedAt) {
		return false
	}
	if c.hasData() && asOf.Sub(c.confirmedAt) > c.config.Timing.StaleAge {
		c.lastGap = Gap{From: c.confirmedAt, Until: asOf}
		if c.failedPollAt.After(c.confirmedAt) {
			c.lastGap.LastFailure = c.failedPollAt
		}
	}
	if !c.hasData() {
		// The candidates found meanwhile hardly have more data.
		c.fetchCandidates = nil
	}
	c.confirmedAt = asOf
	return true
}

// Gap is a period between two confirmations by the store that was long enough for the
// data to become stale. The zero value stands for none.
type Gap struct {
	From, Until time.Time
	// LastFailure is when this balancer sent the last call in the gap that the store did
	// not serve. It is zero if none failed. The store has served this balancer since
	// then at the earliest.
	LastFailure time.Time
}

// Length returns the time between the two confirmations.
func (g Gap) Length() time.Duration { return g.Until.Sub(g.From) }

// LastGap returns the last gap between confirmations by the store.
func (c *Core) LastGap() Gap { return c.lastGap }

// NextPoll returns the call to make to the store now.
func (c *Core) NextPoll(now time.Time) Poll {
	switch {
	case now.Before(c.nextPoll):
		return PollNone
	case !c.hasData():
		return c.startupPoll(now)
	case c.ReadsStore():
		return c.readerPoll(now)
	}
	return c.standbyPoll(now)
}

// readerPoll returns the call of a balancer that reads the store for others.
func (c *Core) readerPoll(now time.Time) Poll {
	switch {
	case !c.multiPage:
		return PollFirstPage
	case c.historyLost || !now.Before(c.nextSnapshot):
		return c.snapshotPoll()
	}
	return PollChanges
}

// snapshotPoll returns a call that reads all pages, or a ping if the last call failed: a
// snapshot of a store that does not answer takes several times as long to fail.
func (c *Core) snapshotPoll() Poll {
	if c.pollFailures > 0 && !c.pingAnswered {
		return PollPing
	}
	return PollSnapshot
}

// PollStarted schedules the next call relative to the start of this one.
func (c *Core) PollStarted(poll Poll, now time.Time) {
	c.pollStartedAt = now
	c.nextPoll = now.Add(c.config.Timing.PollInterval)
	switch poll {
	case PollChanges:
		c.nextPoll = now.Add(c.config.Timing.ChangesDelay)
	case PollSnapshot:
		c.lastSnapshotAt = now
		half := c.config.AuditInterval / 2
		c.nextSnapshot = now.Add(half + time.Duration(c.random.Int64N(int64(half)+1)))
	case PollNone, PollFirstPage, PollCatchUp, PollMembers, PollStaleSnapshot, PollPing:
	}
}

// PollSucceeded ends the back-off. For a call that reads pages, onePage reports whether
// the first page was the whole store. If it was not, the store counts as large, and is
// read again immediately.
func (c *Core) PollSucceeded(poll Poll, onePage bool, now time.Time) {
	if poll == PollStaleSnapshot && c.hasData() {
		c.historyLost, c.staleSnapshotRead = false, true
		c.nextPoll = now
		return
	}
	switch poll {
	case PollMembers, PollStaleSnapshot:
		c.startup.markRead(poll, now)
		c.startup.parentOnlyUntil = now.Add(parentOnlyPeriod)
		c.startup.waitUntil = c.startupDeadline(now)
		c.nextPoll = now
		return
	case PollPing:
		c.pingSucceeded(now)
		return
	case PollFirstPage:
		if c.multiPage == onePage {
			c.nextPoll = now
		}
		c.multiPage = !onePage
	case PollSnapshot:
		c.multiPage = !onePage
		c.historyLost = false
		c.nextPoll = now
		if onePage {
			c.nextPoll = now.Add(c.config.Timing.PollInterval)
		}
	case PollNone, PollChanges, PollCatchUp:
	}
	c.pollFailures = 0
	c.staleSnapshotRead = false
	c.readAsStandby = !c.IsReader() && !c.startsAsHead()
}

// HistoryLost makes the next call a snapshot, because the store no longer has the
// changes that follow the data here. The call is due immediately, unless the last
// snapshot was less than a poll interval ago. The balancers that are not expected to
// read the store make it at random times: the snapshots of all of them together are
// large, and data of others may arrive meanwhile.
func (c *Core) HistoryLost(now time.Time) {
	c.historyLost = true
	c.nextPoll = now
	if !c.mayReadForOthers() {
		c.nextPoll = now.Add(c.readDelay())
	}
	if next := c.lastSnapshotAt.Add(c.config.Timing.PollInterval); next.After(now) {
		c.nextPoll = next
	}
}

// initialBackoff is the pause after the first failed call. It doubles with each further
// failure.
const initialBackoff = 100 * time.Millisecond

// A balancer without data cannot serve traffic, so it calls the store and its peers
// more often. For the store, the number of such calls is bounded.
const (
	noDataMaxFailures = 30
	noDataMaxBackoff  = 250 * time.Millisecond
	noDataRetryDelay  = 100 * time.Millisecond
)

// PollFailed schedules the next call to the store after a failure. Half of the pause is
// random, so that balancers do not call at the same time.
func (c *Core) PollFailed(now time.Time) {
	half := c.pauseAfterFailure() / 2
	c.pollFailures++
	c.failedPollAt = c.pollStartedAt
	c.pingAnswered = false
	c.readAsStandby = false
	c.nextPoll = now.Add(half + c.randomUpTo(half))
}

// pauseAfterFailure returns the longest pause after a failed call to the store. It
// doubles with each failure, except for the many balancers that are not expected to
// read the store: for them it is the same each time, and no longer than the deadline
// allows.
func (c *Core) pauseAfterFailure() time.Duration {
	if c.hasData() && !c.mayReadForOthers() {
		return c.config.Timing.RetryDelay
	}
	limit := c.config.MaxBackoff
	if !c.hasData() && c.pollFailures < noDataMaxFailures {
		limit = noDataMaxBackoff
	}
	return min(initialBackoff<<min(c.pollFailures, 10), limit)
}
