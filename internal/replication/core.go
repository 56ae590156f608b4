package replication

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Config is what the pace of replication depends on.
type Config struct {
	// Self is the entry of this balancer.
	Self *apiv1.Balancer
	// Seeds are addresses of balancers to ask while none is known.
	Seeds []string
	// Timing is how often the store is read and how old knowledge may grow.
	Timing Timing
	// TreeFanout is how many balancers follow one.
	TreeFanout int
	// SharedOrderLimit is up to how many balancers share one order over all
	// zones.
	SharedOrderLimit int
	// PeerRetryDelay is for how long a peer that failed is passed over.
	PeerRetryDelay time.Duration
	// MaxBackoff is the longest pause after a failed call to the store.
	MaxBackoff time.Duration
	// StartupWait is how long a balancer that knows nothing leaves the store
	// to others and waits for peers.
	StartupWait time.Duration
	// AuditInterval is how often a large store is read whole all the same.
	AuditInterval time.Duration
}

// Poll is a call to the store.
type Poll uint8

// The calls to the store.
const (
	PollNone Poll = iota
	// PollFirstPage reads the first page. A small store is read whole by it, which
	// is cheaper and more certain than to wait for changes.
	PollFirstPage
	// PollSnapshot reads all pages.
	PollSnapshot
	// PollChanges waits for the changes of a large store.
	PollChanges
	// PollCatchUp takes the changes of a large store that there are by now.
	PollCatchUp
	// PollMembers reads the entries of this zone's balancers only, at the price
	// of an old answer. A balancer that knows nothing so learns who should read
	// the store, before all of them read it over links that may be narrow.
	PollMembers
	// PollStaleSnapshot reads all pages at the price of an old answer. It confirms
	// nothing; what has changed since comes from a peer.
	PollStaleSnapshot
)

// DefaultTreeFanout suits readers that answer a few calls a second. The two
// strongest of a zone of 34 balancers then serve all others.
const DefaultTreeFanout = 16

// DefaultSharedOrderLimit bounds the traffic between zones that a shared order
// costs.
const DefaultSharedOrderLimit = 16

// Core is the state of one balancer's replication. It belongs to one
// goroutine.
type Core struct {
	config Config
	random *rand.Rand
	// configuredSeeds are the seeds as they were given.
	configuredSeeds []string
	// tree is who follows whom among the balancers that are known.
	tree *tree
	// confirmedAt is when the store last confirmed what is known; the zero time
	// is never.
	confirmedAt  time.Time
	nextPoll     time.Time
	pollFailures int
	startup      startupState
	// multiPage is set when the store has more than one page.
	multiPage    bool
	nextSnapshot time.Time
	// lastSnapshotAt is when the last read of everything began.
	lastSnapshotAt time.Time
	// historyLost is set when the store has forgotten the changes after what is
	// known here.
	historyLost bool
	// randomPollAt is when this balancer tries a store that those before it do not
	// read; the zero time is not drawn.
	randomPollAt time.Time
	pausedUntil  map[string]time.Time
	// activeCalls are those to other balancers that are under way, and activeCounts how
	// many there are of each purpose.
	activeCalls  map[callKey]bool
	activeCounts [purposeCount]int
	// contacts are the other balancers by address.
	contacts map[string]*contact
	// lastActivityAt is when any other balancer was last heard.
	lastActivityAt time.Time
	// fetchCandidates are addresses of balancers that have shown to know more, callers
	// of those that called while nothing was known here.
	fetchCandidates, callers []string
	// dataSince is when something was first known here.
	dataSince      time.Time
	nextAnnounceAt time.Time
	// nextSilentCheckAt is when lost balancers are looked for again.
	nextSilentCheckAt time.Time
	announceInterval  time.Duration
	// readAsStandby is set when this balancer had to read the store although another one
	// should have, until it follows one again that has younger knowledge.
	readAsStandby bool
	// lastGap is the last time in which knowledge had gone stale.
	lastGap Gap
	// caughtUp is set once a peer has told everything that it holds. From then
	// on, what is new after a revision is enough, whoever tells it.
	caughtUp bool
	members  members
}

// NewCore makes the state of a balancer that knows nothing.
func NewCore(config Config, chance *rand.Rand, now time.Time) *Core {
	made := &Core{
		config:           config,
		random:           chance,
		nextSnapshot:     now.Add(config.AuditInterval),
		pausedUntil:      make(map[string]time.Time),
		activeCalls:      make(map[callKey]bool),
		contacts:         make(map[string]*contact),
		announceInterval: minAnnounceInterval,
		members:          newMembers(),
	}
	made.startup.waitUntil = made.startupDeadline(now)
	made.startup.parentOnlyUntil = now.Add(singleSeedPeriod)
	made.SetBalancers(nil, now)
	return made
}

// SetSeeds replaces the addresses to ask while no balancer is known. They are
// taken in an order of this balancer's own, so that not all follow the first.
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

// SetBalancers takes the balancers that have an entry in the directory.
func (c *Core) SetBalancers(known []*apiv1.Balancer, now time.Time) {
	c.tree = newTree(c.config.Self, known, c.config.SharedOrderLimit, c.config.TreeFanout)
	if c.hasPartialZone(known) {
		c.tree.choosePartialZoneParents(c.config.Self)
	}
	if !c.hasData() && c.startup.membersRead {
		// How long to wait rests on how many wait besides.
		c.startup.waitUntil = c.startupDeadline(now)
	}
	c.members.update(known, c.tree.followers, now)
	c.pruneContacts(known)
}

// pruneContacts drops what is noted of balancers that have no entry.
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

// IsReader tells whether this balancer reads the store for all. One that knows no
// other leaves that to its seeds.
func (c *Core) IsReader() bool {
	if c.tree.size > 1 {
		return c.tree.rank() == 0
	}
	return len(c.config.Seeds) == 0 || slices.Contains(c.config.Seeds, c.config.Self.GetPeerAddress())
}

// ReadsStore tells whether this balancer reads the store for others by now: it is the
// reader, or acts for it.
func (c *Core) ReadsStore() bool { return c.IsReader() || c.isActingReader() }

// OrderSize is how many balancers share the order, this one included: those of
// its zone, or all while they are few.
func (c *Core) OrderSize() int { return len(c.tree.ownZone()) }

// SharesOrder tells whether the balancer at an address shares the order.
func (c *Core) SharesOrder(address string) bool {
	return slices.ContainsFunc(c.tree.ownZone(), func(b *apiv1.Balancer) bool { return b.GetPeerAddress() == address })
}

// Age is the time since the store confirmed what is known.
func (c *Core) Age(now time.Time) (time.Duration, bool) {
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.confirmedAt), true
}

// ConfirmedAt is when the store last confirmed what is known.
func (c *Core) ConfirmedAt() time.Time { return c.confirmedAt }

// Stale tells whether the knowledge is too old to rely on others for it.
func (c *Core) Stale(now time.Time) bool {
	age, known := c.Age(now)
	return !known || age > c.config.Timing.StaleAge
}

// Confirm takes that the store has confirmed everything as of a time. It tells
// whether that is later than what was known.
func (c *Core) Confirm(asOf time.Time) bool {
	if !asOf.After(c.confirmedAt) {
		return false
	}
	if c.hasData() && asOf.Sub(c.confirmedAt) > c.config.Timing.StaleAge {
		c.lastGap = Gap{From: c.confirmedAt, Until: asOf}
	}
	if !c.hasData() {
		// Who answered meanwhile knows hardly more.
		c.fetchCandidates = nil
	}
	c.confirmedAt = asOf
	c.randomPollAt = time.Time{}
	return true
}

// Gap is a time between two confirmations by the store that was long enough for
// knowledge to go stale. The zero value is none.
type Gap struct {
	From, Until time.Time
}

// Length is the time between the two confirmations.
func (g Gap) Length() time.Duration { return g.Until.Sub(g.From) }

// LastGap returns the last gap in what the store confirmed to this balancer.
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
	case !c.standbyPollDue(now):
		return PollNone
	case !c.multiPage:
		return PollFirstPage
	case c.historyLost:
		return PollSnapshot
	}
	return PollCatchUp
}

// readerPoll is the call of a balancer that reads the store for others.
func (c *Core) readerPoll(now time.Time) Poll {
	switch {
	case !c.multiPage:
		return PollFirstPage
	case c.historyLost || !now.Before(c.nextSnapshot):
		return PollSnapshot
	}
	return PollChanges
}

// PollStarted spaces the next call from the start of this one.
func (c *Core) PollStarted(poll Poll, now time.Time) {
	c.nextPoll = now.Add(c.config.Timing.PollInterval)
	switch poll {
	case PollChanges:
		c.nextPoll = now.Add(c.config.Timing.ChangesDelay)
	case PollSnapshot:
		c.lastSnapshotAt = now
		half := c.config.AuditInterval / 2
		c.nextSnapshot = now.Add(half + time.Duration(c.random.Int64N(int64(half)+1)))
	case PollNone, PollFirstPage, PollCatchUp, PollMembers, PollStaleSnapshot:
	}
}

// PollSucceeded ends a back-off. onePage tells of a read of pages that the first
// one was all of them; a first page that was not all makes the store a large one,
// which is then looked at again at once.
func (c *Core) PollSucceeded(poll Poll, onePage bool, now time.Time) {
	switch poll {
	case PollMembers, PollStaleSnapshot:
		c.startup.markRead(poll)
		c.startup.parentOnlyUntil = now.Add(parentOnlyPeriod)
		c.startup.waitUntil = c.startupDeadline(now)
		c.nextPoll = now
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
	c.readAsStandby = !c.IsReader() && !c.startsAsHead()
}

// HistoryLost makes the next call a snapshot: the store no longer has the
// changes after what is known. It comes at once, unless the last one was just now.
func (c *Core) HistoryLost(now time.Time) {
	c.historyLost = true
	c.nextPoll = now
	if next := c.lastSnapshotAt.Add(c.config.Timing.PollInterval); next.After(now) {
		c.nextPoll = next
	}
}

// initialBackoff is the pause after one failed call; it doubles with each.
const initialBackoff = 100 * time.Millisecond

// A balancer that knows nothing can serve nobody, so it asks the store and its
// peers at a quicker pace, the store for a bounded number of calls.
const (
	eagerMaxFailures = 30
	eagerMaxBackoff  = 250 * time.Millisecond
	eagerRetryDelay  = 100 * time.Millisecond
)

// PollFailed spaces the next call to the store after a failure: twice as long
// each time, half of it by chance, so that balancers do not call together.
func (c *Core) PollFailed(now time.Time) {
	limit := c.config.MaxBackoff
	if c.confirmedAt.IsZero() && c.pollFailures < eagerMaxFailures {
		limit = eagerMaxBackoff
	}
	pause := min(initialBackoff<<min(c.pollFailures, 10), limit)
	c.pollFailures++
	half := pause / 2
	c.nextPoll = now.Add(half + time.Duration(c.random.Int64N(int64(half)+1)))
	c.randomPollAt = time.Time{}
}
