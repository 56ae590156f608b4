package replication

import (
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
	// large is set when the store has more than one page.
	large        bool
	nextSnapshot time.Time
	// patienceUntil is when a balancer that knows nothing stops to wait for
	// peers.
	patienceUntil time.Time
	paused        map[string]time.Time
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
}

// position is this balancer's place in its zone's order.
func (c *Core) position() int {
	for index, balancer := range c.order {
		if balancer.GetName() == c.config.Self.GetName() {
			return index
		}
	}
	return 0
}

// Reader tells whether this balancer reads the store for its zone.
func (c *Core) Reader() bool { return c.position() == 0 }

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
	c.confirmedAt = asOf
	return true
}

// NextPoll returns the call to make to the store now.
func (c *Core) NextPoll(now time.Time) Poll {
	if now.Before(c.nextPoll) || !c.Reader() && !c.Stale(now) {
		return PollNone
	}
	switch {
	case !c.large:
		return PollPage
	case c.confirmedAt.IsZero() && !c.elected() && now.Before(c.patienceUntil):
		return PollNone
	case c.confirmedAt.IsZero() || !now.Before(c.nextSnapshot):
		return PollSnapshot
	}
	return PollChanges
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
	case PollNone, PollPage:
	}
}

// PollSucceeded ends a back-off. A first page that was not all makes the store
// a large one, which is then looked at again at once.
func (c *Core) PollSucceeded(poll Poll, complete bool, now time.Time) {
	c.failures = 0
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

// Peer is a balancer to follow next.
type Peer struct {
	Address string
	// Everything is set until a peer has told all that it holds, tombstones
	// too, which the store does not have.
	Everything bool
}

// NextPeer returns the balancer to follow now. The reader follows one only
// until it has been told everything once, and while its own knowledge is stale.
func (c *Core) NextPeer(now time.Time) (Peer, bool) {
	if c.Reader() && c.caughtUp && !c.Stale(now) {
		return Peer{}, false
	}
	for _, address := range c.candidates() {
		if address == c.config.Self.GetPeerAddress() || now.Before(c.paused[address]) {
			continue
		}
		return Peer{Address: address, Everything: !c.caughtUp}, true
	}
	return Peer{}, false
}

// candidates are the addresses to follow, the best first: the parent, its
// parents, the rest of the zone, other zones, and the seeds.
func (c *Core) candidates() []string {
	var addresses []string
	place := c.position()
	for place > 0 {
		place = (place - 1) / c.config.TreeWidth
		addresses = append(addresses, c.order[place].GetPeerAddress())
	}
	for _, balancer := range c.order {
		addresses = append(addresses, balancer.GetPeerAddress())
	}
	for _, balancer := range c.others {
		addresses = append(addresses, balancer.GetPeerAddress())
	}
	return append(addresses, c.config.Seeds...)
}

// PeerAnswered takes a peer's answer: its knowledge was confirmed as of a time.
// A peer that is itself stale is passed over for a while, and one that knows
// nothing has yet to be asked for everything.
func (c *Core) PeerAnswered(peer Peer, asOf, now time.Time) {
	stale := now.Sub(asOf) > c.config.StaleAfter
	switch {
	case stale && c.confirmedAt.IsZero():
		c.paused[peer.Address] = now.Add(eagerPause)
	case stale:
		c.paused[peer.Address] = now.Add(c.config.PeerPause)
	default:
		c.caughtUp = true
	}
}

// PeerFailed passes a peer over for a while.
func (c *Core) PeerFailed(peer Peer, now time.Time) {
	c.paused[peer.Address] = now.Add(c.config.PeerPause)
}
