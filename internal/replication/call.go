package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Purpose is why another balancer is called. All purposes use the same call;
// they differ in whom they call, how many are under way, and whether they wait.
type Purpose uint8

// The purposes.
const (
	// PurposeFollow waits for news at the balancer that this one follows.
	PurposeFollow Purpose = iota
	// PurposeProbe: a balancer that knows nothing asks several others at once
	// whether they know anything, and waits at those that do not.
	PurposeProbe
	// PurposeFetch brings what another balancer has shown to know.
	PurposeFetch
	// PurposeAnnounce shows a balancer that was not heard of late what is known
	// here. One that knows less then fetches it.
	PurposeAnnounce
	purposeCount
)

// callLimits bound the calls of each purpose that are under way at once.
var callLimits = [purposeCount]int{PurposeFollow: 1, PurposeProbe: 3, PurposeFetch: 1, PurposeAnnounce: 4}

// Peer is a balancer to call next.
type Peer struct {
	Address string
	Purpose Purpose
	// Full is set until a peer has told all that it holds, tombstones
	// too, which the store does not have.
	Full bool
	// RevisionOnly is set when the answer shall only tell whether the peer knows
	// something, so that not all that are asked tell everything.
	RevisionOnly bool
}

// Waits tells whether the call may wait at the peer until there is news.
func (p Peer) Waits() bool {
	switch p.Purpose {
	case PurposeFollow:
		return !p.Full
	case PurposeProbe:
		return true
	case PurposeFetch, PurposeAnnounce:
	}
	return false
}

// callKey names a call under way.
type callKey struct {
	address string
	purpose Purpose
}

// NextPeer returns the next balancer to call, and counts the call as under way
// until PeerAnswered or PeerFailed.
func (c *Core) NextPeer(now time.Time) (Peer, bool) {
	for purpose, next := range []func(time.Time) (string, bool){
		PurposeFollow:   c.nextFollow,
		PurposeProbe:    c.nextProbe,
		PurposeFetch:    c.nextFetch,
		PurposeAnnounce: c.nextAnnounce,
	} {
		purpose := Purpose(purpose)
		if c.activeCounts[purpose] >= callLimits[purpose] {
			continue
		}
		address, found := next(now)
		if !found {
			continue
		}
		c.activeCalls[callKey{address, purpose}] = true
		c.activeCounts[purpose]++
		return Peer{
			Address:      address,
			Purpose:      purpose,
			Full:         !c.caughtUp && purpose != PurposeAnnounce,
			RevisionOnly: purpose == PurposeProbe && !c.isParent(address),
		}, true
	}
	return Peer{}, false
}

// isParent tells whether the balancer at an address is the one to follow.
func (c *Core) isParent(address string) bool {
	return len(c.tree.parentCandidates) > 0 && c.tree.parentCandidates[0].GetPeerAddress() == address
}

// callEnded takes a call off those under way.
func (c *Core) callEnded(peer Peer) {
	key := callKey{peer.Address, peer.Purpose}
	if !c.activeCalls[key] {
		return
	}
	delete(c.activeCalls, key)
	c.activeCounts[peer.Purpose]--
}

// nextFollow returns the balancer to follow. The reader follows one only until
// it has been told everything once, and while its own knowledge is stale.
func (c *Core) nextFollow(now time.Time) (string, bool) {
	if !c.hasData() || c.IsReader() && c.caughtUp && !c.Stale(now) {
		return "", false
	}
	if address, found := c.firstAvailable(addressesOf(c.tree.parentCandidates), PurposeFollow, now); found {
		return address, true
	}
	if c.caughtUp && !c.Stale(now) && c.tree.size > 1 {
		return "", false
	}
	return c.firstAvailable(c.fallbackAddresses(), PurposeFollow, now)
}

// nextProbe returns a balancer to ask while nothing is known here: one that is
// known by now, a seed, or one that called. At first only the one to follow is
// asked, so that not all take everything from the first of a zone, or a seed.
func (c *Core) nextProbe(now time.Time) (string, bool) {
	if c.hasData() {
		return "", false
	}
	above := addressesOf(c.tree.parentCandidates)
	if now.Before(c.startup.parentOnlyUntil) {
		return c.firstProbe(above, now)
	}
	return c.firstAvailable(slices.Concat(above, c.fallbackAddresses(), c.callers), PurposeProbe, now)
}

// firstProbe returns the one balancer to ask early in a start: the nearest above,
// or a seed while none is known. Who should read the store itself asks nobody.
func (c *Core) firstProbe(above []string, now time.Time) (string, bool) {
	if len(above) == 0 {
		above = c.config.Seeds
	}
	asking := func(address string) bool { return c.activeCalls[callKey{address, PurposeProbe}] }
	if c.startup.membersRead && c.readsAtStartup() || slices.ContainsFunc(above, asking) {
		return "", false
	}
	return c.firstAvailable(above, PurposeProbe, now)
}

// firstAvailable returns the first of the addresses that is not passed over and not
// being called for the same purpose.
func (c *Core) firstAvailable(addresses []string, purpose Purpose, now time.Time) (string, bool) {
	for _, address := range addresses {
		if address == c.config.Self.GetPeerAddress() || now.Before(c.pausedUntil[address]) || c.activeCalls[callKey{address, purpose}] {
			continue
		}
		return address, true
	}
	return "", false
}

// fallbackAddresses are the addresses to call when no balancer above this one can be
// followed: all others, and the seeds.
func (c *Core) fallbackAddresses() []string {
	return append(addressesOf(c.tree.others), c.config.Seeds...)
}

func addressesOf(balancers []*apiv1.Balancer) []string {
	addresses := make([]string, 0, len(balancers))
	for _, b := range balancers {
		addresses = append(addresses, b.GetPeerAddress())
	}
	return addresses
}

// PeerAnswered takes a peer's answer: its knowledge was confirmed as of a time.
// A peer that is itself stale is passed over for a while, and one that knows
// nothing has yet to be asked for everything.
func (c *Core) PeerAnswered(peer Peer, asOf, now time.Time) {
	c.callEnded(peer)
	c.RecordActivity(peer.Address, now)
	c.contactOf(peer.Address).failures = 0
	if peer.Purpose == PurposeAnnounce {
		c.announceAnswered(asOf)
		return
	}
	if peer.RevisionOnly || peer.Purpose == PurposeProbe && now.Sub(asOf) >= noDataAge {
		c.probeAnswered(peer, asOf, now)
		return
	}
	stale := now.Sub(asOf) > c.config.Timing.StaleAge
	c.contactOf(peer.Address).unusable = stale
	switch {
	case stale && !c.hasData():
		c.pausedUntil[peer.Address] = now.Add(eagerRetryDelay)
	case stale:
		c.pausedUntil[peer.Address] = now.Add(c.config.PeerRetryDelay)
	default:
		c.caughtUp = true
		c.readAsStandby = c.readAsStandby && peer.Purpose != PurposeFollow
	}
}

// probeAnswered takes the answer of a balancer that was asked whether it knows
// anything. Everything is fetched from the first one that does.
func (c *Core) probeAnswered(peer Peer, asOf, now time.Time) {
	if c.hasData() {
		return
	}
	c.pausedUntil[peer.Address] = now.Add(eagerRetryDelay)
	if now.Sub(asOf) < noDataAge {
		c.fetchCandidates = addBounded(c.fetchCandidates, peer.Address, fetchCandidatesLimit)
	}
}

// noDataAge is an age of knowledge that only a balancer tells that knows
// nothing.
const noDataAge = 500 * time.Hour

// PeerFailed passes a peer over for a while, a short one while nothing is known
// here: it may be starting at this moment, as this balancer is.
func (c *Core) PeerFailed(peer Peer, now time.Time) {
	c.callEnded(peer)
	known := c.contactOf(peer.Address)
	known.unusable = true
	known.failures++
	switch {
	case peer.Purpose == PurposeAnnounce:
		c.announceInterval = max(c.announceInterval/2, minAnnounceInterval)
	case !c.hasData():
		c.pausedUntil[peer.Address] = now.Add(eagerRetryDelay)
	default:
		c.pausedUntil[peer.Address] = now.Add(c.config.PeerRetryDelay)
	}
}
