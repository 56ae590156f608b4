package replication

import (
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Purpose is the reason for a call to another balancer. All purposes use the same call;
// they differ in which balancers are called, in how many calls are in progress at once,
// and in whether the calls wait.
type Purpose uint8

// These are the purposes of calls.
const (
	// PurposeFollow waits for updates from the parent.
	PurposeFollow Purpose = iota
	// PurposeProbe asks several balancers at once whether they have data, while this
	// one has none, and waits at those that have none either.
	PurposeProbe
	// PurposeFetch fetches the data of a balancer that has been found to have more.
	PurposeFetch
	// PurposeAnnounce shows the revision of this balancer's data to a balancer without
	// recent activity, which fetches the data if it has less.
	PurposeAnnounce
	purposeCount
)

// callLimits bounds the calls of each purpose that are in progress at once.
var callLimits = [purposeCount]int{PurposeFollow: 1, PurposeProbe: 3, PurposeFetch: 1, PurposeAnnounce: 4}

// Peer is a balancer to call, with the parameters of the call.
type Peer struct {
	Address string
	Purpose Purpose
	// Full requests the full state. It is set until a peer has sent all that it holds,
	// including tombstones, which the store does not have.
	Full bool
	// RevisionOnly requests a reply that only shows whether the peer has data, so that
	// not every peer that is probed sends its full state.
	RevisionOnly bool
}

// Waits reports whether the call may wait at the peer until there are updates.
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

// callKey identifies a call in progress.
type callKey struct {
	address string
	purpose Purpose
}

// NextPeer returns the next balancer to call. The call counts as in progress until
// PeerAnswered or PeerFailed.
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

// isParent reports whether the balancer at an address is the parent of this one.
func (c *Core) isParent(address string) bool {
	return len(c.tree.parentCandidates) > 0 && c.tree.parentCandidates[0].GetPeerAddress() == address
}

// callEnded removes a call from those in progress.
func (c *Core) callEnded(peer Peer) {
	key := callKey{peer.Address, peer.Purpose}
	if !c.activeCalls[key] {
		return
	}
	delete(c.activeCalls, key)
	c.activeCounts[peer.Purpose]--
}

// nextFollow returns the balancer to follow. The reader follows another balancer only
// until it has received the full state once, and while its own data is stale.
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

// nextProbe returns a balancer to probe while there is no data here: a parent
// candidate, another known balancer, a seed, or one that called. At first only the
// parent is probed, so that not all balancers request the full state from the head of a
// zone, or from a seed.
func (c *Core) nextProbe(now time.Time) (string, bool) {
	if c.hasData() {
		return "", false
	}
	candidates := addressesOf(c.tree.parentCandidates)
	if now.Before(c.startup.parentOnlyUntil) {
		return c.firstProbe(candidates, now)
	}
	return c.firstAvailable(slices.Concat(candidates, c.fallbackAddresses(), c.callers), PurposeProbe, now)
}

// firstProbe returns the one balancer to probe early after a start: the nearest parent
// candidate, or a seed while no candidate is known. A balancer that should read the
// store itself probes nobody.
func (c *Core) firstProbe(candidates []string, now time.Time) (string, bool) {
	if len(candidates) == 0 {
		candidates = c.config.Seeds
	}
	probing := func(address string) bool { return c.activeCalls[callKey{address, PurposeProbe}] }
	if c.startup.membersRead && c.readsAtStartup() || slices.ContainsFunc(candidates, probing) {
		return "", false
	}
	return c.firstAvailable(candidates, PurposeProbe, now)
}

// firstAvailable returns the first of the addresses that is not paused and not already
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

// fallbackAddresses returns the addresses to call when no parent candidate can be
// followed: all other balancers, and the seeds.
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

// PeerAnswered handles the reply of a peer whose data was confirmed as of a time. A
// peer whose data is stale is paused, and a peer without data is still to be asked for
// the full state.
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
		c.pausedUntil[peer.Address] = now.Add(noDataRetryDelay)
	case stale:
		c.pausedUntil[peer.Address] = now.Add(c.config.PeerRetryDelay)
	default:
		c.caughtUp = true
		c.readAsStandby = c.readAsStandby && peer.Purpose != PurposeFollow
	}
}

// probeAnswered handles the reply to a probe. The full state is fetched from the first
// balancer that has data.
func (c *Core) probeAnswered(peer Peer, asOf, now time.Time) {
	if c.hasData() {
		return
	}
	c.pausedUntil[peer.Address] = now.Add(noDataRetryDelay)
	if now.Sub(asOf) < noDataAge {
		c.fetchCandidates = addBounded(c.fetchCandidates, peer.Address, fetchCandidatesLimit)
	}
}

// noDataAge is an age of data that only balancers without data report.
const noDataAge = 500 * time.Hour

// PeerFailed pauses calls to a peer. The pause is short while there is no data here,
// since the peer may be starting at the same time as this balancer.
func (c *Core) PeerFailed(peer Peer, now time.Time) {
	c.callEnded(peer)
	peerContact := c.contactOf(peer.Address)
	peerContact.unusable = true
	peerContact.failures++
	switch {
	case peer.Purpose == PurposeAnnounce:
		c.announceInterval = max(c.announceInterval/2, minAnnounceInterval)
	case !c.hasData():
		c.pausedUntil[peer.Address] = now.Add(noDataRetryDelay)
	default:
		c.pausedUntil[peer.Address] = now.Add(c.config.PeerRetryDelay)
	}
}
