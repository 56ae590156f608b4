package replication

import (
	"slices"
	"time"
)

// A balancer that has just started knows its seeds only, and these may have
// started just now too. While the store answers none of them, what the others
// know has to come from the others' side: whoever knows something calls the
// balancers that it has not heard of late, at the addresses where they were. A
// call shows the caller's revision, and who knows less asks the caller for the
// rest. Balancers that were told tell others, so the time grows with the
// logarithm of their number.
//
// Whom to call is left to chance, among those whose last try is longest ago, so
// that no agreement on who is lost or who else seeks is needed. With each of K
// balancers trying one every maxAnnounceInterval, each of N lost ones is found by K/N
// calls in that time; what one balancer spends is the same for any number.

const (
	// activityTimeout is the silence after which a balancer counts as not heard. One
	// that waits here for news is heard as long as it does.
	activityTimeout = 500 * time.Millisecond
	// The pause between two calls that tell. It doubles when the one called knew
	// as much, and halves when it did not answer.
	minAnnounceInterval = 60 * time.Millisecond
	maxAnnounceInterval = 800 * time.Millisecond
	// reannounceDelay is the pause between two calls to the same balancer, and
	// calmReannounceDelay the one while others are in touch with the store.
	reannounceDelay     = 200 * time.Millisecond
	calmReannounceDelay = 500 * time.Millisecond
	// callersLimit bounds the callers that a balancer remembers while it knows
	// nothing, and fetchCandidatesLimit those it has yet to ask for what they know.
	callersLimit         = 16
	fetchCandidatesLimit = 4
)

// contact is when another balancer was last heard and last told.
type contact struct {
	activeAt, announcedAt time.Time
	// unusable is set when the last call to it failed, or brought stale knowledge.
	unusable bool
	// failures is how many calls to it have failed since the last that was answered.
	failures int
}

// Caller is another balancer as its call shows it.
type Caller struct {
	// Address is where it takes calls itself; empty when it did not say.
	Address string
	// HasData is set unless the caller knows nothing.
	HasData bool
	// Revision is up to where it knows everything. One that asks for everything
	// shows 0.
	Revision uint64
	// ConfirmedAt is when the store confirmed what it knows.
	ConfirmedAt time.Time
}

// CallReceived takes that another balancer has called. The revision is that of the
// knowledge here. A caller that knows more will be asked for it.
func (c *Core) CallReceived(caller Caller, revision uint64, now time.Time) {
	if caller.Address == "" || caller.Address == c.config.Self.GetPeerAddress() {
		return
	}
	c.RecordActivity(caller.Address, now)
	if !c.hasData() {
		c.callers = addBounded(c.callers, caller.Address, callersLimit)
	}
	if c.callerHasMore(caller, revision, now) {
		c.fetchCandidates = addBounded(c.fetchCandidates, caller.Address, fetchCandidatesLimit)
	}
}

// AddCallers takes addresses of balancers from one that knows nothing itself.
func (c *Core) AddCallers(callers []string) {
	for _, address := range callers {
		if c.hasData() || address == c.config.Self.GetPeerAddress() {
			return
		}
		c.callers = addBounded(c.callers, address, callersLimit)
	}
}

// Callers are the balancers that called while nothing was known here.
func (c *Core) Callers() []string { return slices.Clone(c.callers) }

func (c *Core) callerHasMore(caller Caller, revision uint64, now time.Time) bool {
	switch {
	case !caller.HasData:
		return false
	case !c.hasData():
		return true
	case caller.Revision > revision:
		return true
	}
	return c.Stale(now) && caller.ConfirmedAt.Sub(c.confirmedAt) >= c.config.Timing.MinAdvance
}

// addBounded appends an address that is not there yet, if there is room.
func addBounded(addresses []string, address string, limit int) []string {
	if len(addresses) >= limit || slices.Contains(addresses, address) {
		return addresses
	}
	return append(addresses, address)
}

// hasData tells whether anything is known here.
func (c *Core) hasData() bool { return !c.confirmedAt.IsZero() }

// RecordActivity takes a sign of life of another balancer: a call, an answer, or that its
// call still waits here.
func (c *Core) RecordActivity(address string, now time.Time) {
	c.contactOf(address).activeAt = now
	c.lastActivityAt = now
}

func (c *Core) contactOf(address string) *contact {
	known := c.contacts[address]
	if known == nil {
		known = &contact{}
		c.contacts[address] = known
	}
	return known
}

// nextFetch returns a balancer that has shown to know more. While the one to follow may
// soon tell everything, it is only one that reads in its place.
func (c *Core) nextFetch(now time.Time) (string, bool) {
	next := 0
	if c.awaitsParent(now) {
		next = slices.IndexFunc(c.fetchCandidates, c.mayReadForSilentHead)
	}
	if next < 0 || next >= len(c.fetchCandidates) {
		return "", false
	}
	address := c.fetchCandidates[next]
	c.fetchCandidates = slices.Delete(c.fetchCandidates, next, next+1)
	return address, true
}

// nextAnnounce returns a balancer to tell, and spaces the next one. One that was lost
// since it was last told is told at the quickest pace, however calm it was before.
func (c *Core) nextAnnounce(now time.Time) (string, bool) {
	if !c.hasData() || now.Before(c.nextSilentCheckAt) {
		return "", false
	}
	c.nextSilentCheckAt = now.Add(c.withJitter(minAnnounceInterval))
	address, fresh := c.silentPeer(now)
	if address == "" || !fresh && now.Before(c.nextAnnounceAt) {
		return "", false
	}
	c.nextAnnounceAt = now.Add(c.withJitter(c.announceInterval))
	c.contactOf(address).announcedAt = now
	return address, true
}

// withJitter is a pause of half to one and a half of the given one.
func (c *Core) withJitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(c.random.Int64N(int64(pause)+1))
}

// silentPeer returns the balancer that was not heard of late and whose last try is
// longest ago, and whether it was heard since that. While others are in touch with
// the store, a balancer seeks those that should follow it, since each of the rest
// has one that does.
func (c *Core) silentPeer(now time.Time) (address string, fresh bool) {
	if c.dataSince.IsZero() {
		c.dataSince = now
	}
	search := silentSearch{core: c, now: now, all: c.readAsStandby || c.Stale(now)}
	for _, balancer := range c.tree.followers {
		search.consider(balancer.GetPeerAddress())
	}
	if search.all {
		for _, balancer := range slices.Concat(c.tree.parentCandidates, c.tree.others) {
			search.consider(balancer.GetPeerAddress())
		}
	}
	return search.address, search.activeSince
}

// silentSearch looks for the lost balancer that was told longest ago.
type silentSearch struct {
	core *Core
	now  time.Time
	// all is set where nobody else may be in touch with the store.
	all         bool
	address     string
	announcedAt time.Time
	// activeSince is set when the one found was heard since it was told.
	activeSince bool
	// ties is how many were told as long ago as the one found. Chance decides
	// between them.
	ties int
}

func (s *silentSearch) consider(address string) {
	if address == s.core.config.Self.GetPeerAddress() {
		return
	}
	known := s.contact(address)
	if s.isRecent(known) {
		return
	}
	switch {
	case s.address == "" || known.announcedAt.Before(s.announcedAt):
		s.address, s.announcedAt, s.ties = address, known.announcedAt, 1
		s.activeSince = known.activeAt.After(known.announcedAt)
	case known.announcedAt.Equal(s.announcedAt):
		s.ties++
		if s.core.random.IntN(s.ties) == 0 {
			s.address = address
		}
	}
}

// contact returns what is noted of a balancer. After a start beside a store
// that answers, the others have time to call; in an outage nobody has.
func (s *silentSearch) contact(address string) contact {
	if known := s.core.contacts[address]; known != nil {
		return *known
	}
	if s.all {
		return contact{}
	}
	return contact{activeAt: s.core.dataSince}
}

// isRecent tells whether a balancer was heard or told too lately to be told.
func (s *silentSearch) isRecent(known contact) bool {
	pause := calmReannounceDelay
	if s.all {
		pause = reannounceDelay
	}
	return s.now.Sub(known.activeAt) < activityTimeout || s.now.Sub(known.announcedAt) < pause
}

// announceAnswered takes the answer of a balancer that was told. While those told know as
// much, there is less hurry.
func (c *Core) announceAnswered(asOf time.Time) {
	if c.confirmedAt.Sub(asOf) > c.config.Timing.StaleAge {
		c.announceInterval = minAnnounceInterval
		return
	}
	c.announceInterval = min(2*c.announceInterval, maxAnnounceInterval)
}
