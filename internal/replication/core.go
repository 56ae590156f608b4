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
	// PollInterval is how often the reader of a zone reads the store.
	PollInterval time.Duration
	// StaleAfter is the age of knowledge at which every balancer reads it.
	StaleAfter time.Duration
	// TreeWidth is how many balancers follow one.
	TreeWidth int
	// SharedOrderLimit is up to how many balancers share one order over all
	// zones.
	SharedOrderLimit int
	// PeerPause is for how long a peer that failed is passed over.
	PeerPause time.Duration
	// BackoffLimit is the longest pause after a failed call to the store.
	BackoffLimit time.Duration
	// StartPatience is how long a balancer that knows nothing leaves a large
	// store to others and waits for peers.
	StartPatience time.Duration
	// AuditInterval is how often a large store is read whole all the same.
	AuditInterval time.Duration
}

// Poll is a call to the store.
type Poll uint8

// The calls to the store.
const (
	PollNone Poll = iota
	// PollPage reads the first page. A small store is read whole by it, which
	// is cheaper and more certain than to wait for changes.
	PollPage
	// PollSnapshot reads all pages of a large store.
	PollSnapshot
	// PollChanges waits for the changes of a large store.
	PollChanges
	// PollMembers reads the entries of the balancers only. After an outage, a
	// balancer that knows nothing so learns who should read a large store, before
	// all of them read it over links that may be narrow.
	PollMembers
)

// changesPause lets changes gather between two calls that wait for them.
const changesPause = 100 * time.Millisecond

// DefaultTreeWidth suits readers that answer a few calls a second. The two
// strongest of a zone of 34 balancers then serve all others.
const DefaultTreeWidth = 16

// DefaultSharedOrderLimit bounds the traffic between zones that a shared order
// costs.
const DefaultSharedOrderLimit = 16

// Core is the state of one balancer's replication. It belongs to one
// goroutine.
type Core struct {
	config Config
	chance *rand.Rand
	// order is the balancers that share a reader, the reader first; others are
	// those of other orders.
	order  []*apiv1.Balancer
	others []*apiv1.Balancer
	// confirmedAt is when the store last confirmed what is known; the zero time
	// is never.
	confirmedAt time.Time
	nextPoll    time.Time
	failures    int
	// membersRead is set once the entries of the balancers were read alone.
	membersRead bool
	// large is set when the store has more than one page.
	large        bool
	nextSnapshot time.Time
	// patienceUntil is when a balancer that knows nothing stops to wait for
	// peers.
	patienceUntil time.Time
	paused        map[string]time.Time
	// place is this balancer's place in the order.
	place int
	// calls are those to other balancers that are under way, and underWay how
	// many there are of each purpose.
	calls    map[callKey]bool
	underWay [purposeCount]int
	// contacts are the other balancers by address.
	contacts map[string]*contact
	// hints are addresses of balancers that have shown to know more, callers
	// of those that called while nothing was known here.
	hints, callers []string
	// knownAt is when something was first known here.
	knownAt    time.Time
	nextTellAt time.Time
	tellPause  time.Duration
	// alone is set when this balancer had to read the store although another one
	// should have, until it follows one again that has younger knowledge.
	alone bool
	// returnedAt is when the store was back after an outage: the first
	// confirmation after knowledge had gone stale.
	returnedAt time.Time
	// caughtUp is set once a peer has told everything that it holds. From then
	// on, what is new after a revision is enough, whoever tells it.
	caughtUp bool
}

// NewCore makes the state of a balancer that knows nothing.
func NewCore(config Config, chance *rand.Rand, now time.Time) *Core {
	patience := config.StartPatience + time.Duration(chance.Int64N(int64(config.StartPatience)+1))
	return &Core{
		config:        config,
		chance:        chance,
		patienceUntil: now.Add(patience),
		nextSnapshot:  now.Add(config.AuditInterval),
		paused:        make(map[string]time.Time),
		calls:         make(map[callKey]bool),
		contacts:      make(map[string]*contact),
		tellPause:     tellShortest,
	}
}

// SetSeeds replaces the addresses to ask while no balancer is known.
func (c *Core) SetSeeds(seeds []string) { c.config.Seeds = seeds }

// SetBalancers takes the balancers that have an entry in the directory. While
// they are few, all zones share one order, and so one reader.
func (c *Core) SetBalancers(known []*apiv1.Balancer) {
	c.order, c.others = nil, nil
	c.order = append(c.order, c.config.Self)
	few := len(known) <= c.config.SharedOrderLimit
	for _, balancer := range known {
		switch {
		case balancer.GetName() == c.config.Self.GetName():
		case few || balancer.GetZone() == c.config.Self.GetZone():
			c.order = append(c.order, balancer)
		default:
			c.others = append(c.others, balancer)
		}
	}
	byRank(c.order)
	byRank(c.others)
	c.place = slices.IndexFunc(c.order, func(balancer *apiv1.Balancer) bool {
		return balancer.GetName() == c.config.Self.GetName()
	})
	c.forgetContacts(known)
}

// forgetContacts drops what is noted of balancers that have no entry.
func (c *Core) forgetContacts(known []*apiv1.Balancer) {
	if len(c.contacts) <= 2*len(known)+callersLimit {
		return
	}
	listed := make(map[string]bool, len(known))
	for _, balancer := range known {
		listed[balancer.GetPeerAddress()] = true
	}
	maps.DeleteFunc(c.contacts, func(address string, _ *contact) bool { return !listed[address] })
}

// Reader tells whether this balancer reads the store for its zone.
func (c *Core) Reader() bool { return c.place == 0 }

// OrderSize is how many balancers share the order, this one included.
func (c *Core) OrderSize() int { return len(c.order) }

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
	return !known || age > c.config.StaleAfter
}

// Confirm takes that the store has confirmed everything as of a time. It tells
// whether that is later than what was known.
func (c *Core) Confirm(asOf time.Time) bool {
	if !asOf.After(c.confirmedAt) {
		return false
	}
	if c.knows() && asOf.Sub(c.confirmedAt) > c.config.StaleAfter {
		c.returnedAt = asOf
	}
	if !c.knows() {
		// Who answered meanwhile knows hardly more.
		c.hints = nil
	}
	c.confirmedAt = asOf
	return true
}

// ReturnedAt is when the store was back after the last outage that this
// balancer has seen; the zero time is never.
func (c *Core) ReturnedAt() time.Time { return c.returnedAt }

// NextPoll returns the call to make to the store now.
func (c *Core) NextPoll(now time.Time) Poll {
	if now.Before(c.nextPoll) || !c.Reader() && !c.Stale(now) {
		return PollNone
	}
	switch {
	case !c.knows() && c.failures > 0 && !c.membersRead:
		return PollMembers
	case c.leavesToOthers(now):
		return PollNone
	case !c.large:
		return PollPage
	case c.confirmedAt.IsZero() || !now.Before(c.nextSnapshot):
		return PollSnapshot
	}
	return PollChanges
}

// leavesToOthers tells whether this balancer knows nothing, but leaves a store
// that is large, or has many balancers, to those that should read it and waits for
// them.
func (c *Core) leavesToOthers(now time.Time) bool {
	many := c.large || c.membersRead && len(c.order)+len(c.others) > c.config.SharedOrderLimit
	return many && !c.knows() && !c.elected() && now.Before(c.patienceUntil)
}

// elected tells whether this balancer is known to be the reader, and does not
// only believe so because it knows no other.
func (c *Core) elected() bool {
	if !c.Reader() {
		return false
	}
	if len(c.order) > 1 || len(c.config.Seeds) == 0 {
		return true
	}
	return slices.Contains(c.config.Seeds, c.config.Self.GetPeerAddress())
}

// PollStarted spaces the next call from the start of this one.
func (c *Core) PollStarted(poll Poll, now time.Time) {
	c.nextPoll = now.Add(c.config.PollInterval)
	switch poll {
	case PollChanges:
		c.nextPoll = now.Add(changesPause)
	case PollSnapshot:
		half := c.config.AuditInterval / 2
		c.nextSnapshot = now.Add(half + time.Duration(c.chance.Int64N(int64(half)+1)))
	case PollNone, PollPage, PollMembers:
	}
}

// PollSucceeded ends a back-off. A first page that was not all makes the store
// a large one, which is then looked at again at once.
func (c *Core) PollSucceeded(poll Poll, complete bool, now time.Time) {
	if poll == PollMembers {
		c.membersRead = true
		c.nextPoll = now
		c.patienceUntil = now.Add(c.config.StartPatience + time.Duration(c.chance.Int64N(int64(c.config.StartPatience)+1)))
		return
	}
	c.failures = 0
	c.alone = !c.Reader()
	if poll == PollPage && c.large == complete {
		c.large = !complete
		c.nextPoll = now
	}
}

// HistoryLost makes the next call a snapshot: the store no longer has the
// changes after what is known.
func (c *Core) HistoryLost(now time.Time) { c.nextSnapshot = now }

// firstBackoff is the pause after one failed call; it doubles with each.
const firstBackoff = 100 * time.Millisecond

// A balancer that knows nothing can serve nobody, so it asks the store and its
// peers at a quicker pace, the store for a bounded number of calls.
const (
	eagerFailures = 30
	eagerLimit    = 250 * time.Millisecond
	eagerPause    = 100 * time.Millisecond
)

// PollFailed spaces the next call to the store after a failure: twice as long
// each time, half of it by chance, so that balancers do not call together.
func (c *Core) PollFailed(now time.Time) {
	limit := c.config.BackoffLimit
	if c.confirmedAt.IsZero() && c.failures < eagerFailures {
		limit = eagerLimit
	}
	pause := min(firstBackoff<<min(c.failures, 10), limit)
	c.failures++
	half := pause / 2
	c.nextPoll = now.Add(half + time.Duration(c.chance.Int64N(int64(half)+1)))
}
