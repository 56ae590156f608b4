package replication

import (
	"slices"
	"time"
)

// A balancer that has just started knows only its seeds, and these may have just
// started too. While the store answers none of them, they depend on the others to pass
// on the data: every balancer that has data calls the balancers from which it has
// received nothing recently, at their last known addresses. A call carries the caller's
// revision, and a balancer that has less data then requests the rest from the caller.
// Balancers that have received the data announce it in turn, so the time to reach all
// of them grows with the logarithm of their number.
//
// The balancer to call is chosen at random among those whose last attempt is longest
// ago, so balancers need not agree on who is silent or on who else is looking for them.
// If each of K balancers calls one silent balancer every maxAnnounceInterval, each of N
// silent ones receives K/N calls in that time. The cost to one balancer does not depend
// on their number.

const (
	// activityTimeout is the time without activity after which a balancer counts as
	// silent. A balancer whose call waits here for updates is active for as long as it
	// waits.
	activityTimeout = 500 * time.Millisecond
	// minAnnounceInterval and maxAnnounceInterval bound the pause between two
	// announcements. The pause doubles when the peer already has the same data, and
	// halves when it does not reply.
	minAnnounceInterval = 60 * time.Millisecond
	maxAnnounceInterval = 800 * time.Millisecond
	// reannounceDelay is the pause between two calls to the same balancer, and
	// calmReannounceDelay the pause while others are in contact with the store.
	reannounceDelay     = 200 * time.Millisecond
	calmReannounceDelay = 500 * time.Millisecond
	// callersLimit bounds the callers that a balancer remembers while it has no data,
	// and fetchCandidatesLimit those from which it has yet to fetch data.
	callersLimit         = 16
	fetchCandidatesLimit = 4
)

// contact records the last activity of another balancer and the last announcement to
// it.
type contact struct {
	activeAt, announcedAt time.Time
	// unusable is set if the last call to the balancer failed, or returned stale data.
	unusable bool
	// failures is the number of calls to the balancer that have failed since it last
	// replied.
	failures int
}

// Caller describes another balancer by what its call carries.
type Caller struct {
	// Address is where the caller accepts calls itself. It is empty if the caller did
	// not say.
	Address string
	// HasData is set unless the caller has no data.
	HasData bool
	// Revision is the revision up to which the caller's data is complete. A caller that
	// requests the full state sends 0.
	Revision uint64
	// ConfirmedAt is when the store confirmed the caller's data.
	ConfirmedAt time.Time
}

// CallReceived records a call from another balancer. The revision is that of the data
// here. If the caller has more data, it becomes a candidate to fetch from.
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

// AddCallers adds addresses of balancers that a peer without data has reported.
func (c *Core) AddCallers(callers []string) {
	for _, address := range callers {
		if c.hasData() || address == c.config.Self.GetPeerAddress() {
			return
		}
		c.callers = addBounded(c.callers, address, callersLimit)
	}
}

// Callers returns the balancers that called while this one had no data.
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

// addBounded appends an address unless it is present already or the limit is reached.
func addBounded(addresses []string, address string, limit int) []string {
	if len(addresses) >= limit || slices.Contains(addresses, address) {
		return addresses
	}
	return append(addresses, address)
}

// hasData reports whether this balancer has any data.
func (c *Core) hasData() bool { return !c.confirmedAt.IsZero() }

// RecordActivity records activity of another balancer: a call, a reply, or that its
// call still waits here.
func (c *Core) RecordActivity(address string, now time.Time) {
	c.contactOf(address).activeAt = now
	c.lastActivityAt = now
}

func (c *Core) contactOf(address string) *contact {
	peerContact := c.contacts[address]
	if peerContact == nil {
		peerContact = &contact{}
		c.contacts[address] = peerContact
	}
	return peerContact
}

// nextFetch returns a balancer that has been found to have more data. While the parent
// may soon send the full state, only a balancer that reads the store in place of the
// zone's head is considered.
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

// nextAnnounce returns the next balancer to announce to, and schedules the following
// announcement. A balancer that became silent after the last announcement to it is
// called at the shortest interval, even if the current interval is long.
func (c *Core) nextAnnounce(now time.Time) (string, bool) {
	if !c.hasData() || now.Before(c.nextSilentCheckAt) {
		return "", false
	}
	c.nextSilentCheckAt = now.Add(c.withJitter(minAnnounceInterval))
	address, activeSince := c.silentPeer(now)
	if address == "" || !activeSince && now.Before(c.nextAnnounceAt) {
		return "", false
	}
	c.nextAnnounceAt = now.Add(c.withJitter(c.announceInterval))
	c.contactOf(address).announcedAt = now
	return address, true
}

// withJitter returns a random duration between 0.5 and 1.5 times the given one.
func (c *Core) withJitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(c.random.Int64N(int64(pause)+1))
}

// silentPeer returns the balancer without recent activity whose last announcement is
// longest ago, and whether it has been active since that announcement. While others are
// in contact with the store, a balancer looks only for its own followers, since each of
// the other balancers has a parent that looks for it.
func (c *Core) silentPeer(now time.Time) (address string, activeSince bool) {
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

// silentSearch finds the silent balancer whose last announcement is longest ago.
type silentSearch struct {
	core *Core
	now  time.Time
	// all is set if all balancers are searched, since nobody else may be in contact
	// with the store.
	all         bool
	address     string
	announcedAt time.Time
	// activeSince is set if the balancer found has been active since the last
	// announcement to it.
	activeSince bool
	// ties is the number of balancers with the same announcement time as the one found.
	// One of them is chosen at random.
	ties int
}

func (s *silentSearch) consider(address string) {
	if address == s.core.config.Self.GetPeerAddress() {
		return
	}
	c := s.contact(address)
	if s.isRecent(c) {
		return
	}
	switch {
	case s.address == "" || c.announcedAt.Before(s.announcedAt):
		s.address, s.announcedAt, s.ties = address, c.announcedAt, 1
		s.activeSince = c.activeAt.After(c.announcedAt)
	case c.announcedAt.Equal(s.announcedAt):
		s.ties++
		if s.core.random.IntN(s.ties) == 0 {
			s.address = address
		}
	}
}

// contact returns the record of a balancer. After a start while the store answers, the
// other balancers are given time to call; during a store outage they are not.
func (s *silentSearch) contact(address string) contact {
	if c := s.core.contacts[address]; c != nil {
		return *c
	}
	if s.all {
		return contact{}
	}
	return contact{activeAt: s.core.dataSince}
}

// isRecent reports whether the last activity or announcement of a balancer is too
// recent for another announcement.
func (s *silentSearch) isRecent(c contact) bool {
	pause := calmReannounceDelay
	if s.all {
		pause = reannounceDelay
	}
	return s.now.Sub(c.activeAt) < activityTimeout || s.now.Sub(c.announcedAt) < pause
}

// announceAnswered handles the reply to an announcement. While peers already have the
// same data, announcements become less frequent.
func (c *Core) announceAnswered(asOf time.Time) {
	if c.confirmedAt.Sub(asOf) > c.config.Timing.StaleAge {
		c.announceInterval = minAnnounceInterval
		return
	}
	c.announceInterval = min(2*c.announceInterval, maxAnnounceInterval)
}
