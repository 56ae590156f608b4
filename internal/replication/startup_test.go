package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first attempt to connect to a balancer is short, since a host without power sends
// no reply. A link with a longer queueing delay is reached by the third attempt at the
// latest; with the first timeout alone, a balancer without data never reached anybody
// over such links.
func TestDialTimeoutGrowsWithFailures(t *testing.T) {
	core := newCore(1, address(7), address(8))
	core.PollStarted(PollMembers, after(0))
	var times []time.Duration
	for elapsed := 0; len(times) < 4; elapsed += 10 {
		require.Less(t, elapsed, 2000)
		peer, found := core.NextPeer(after(elapsed))
		if !found {
			continue
		}
		if peer.Address == address(7) {
			times = append(times, core.DialTimeout(peer.Address))
		}
		core.PeerFailed(peer, after(elapsed))
	}
	require.Equal(t, []time.Duration{startupDialTimeout, 2 * startupDialTimeout, dialTimeout, dialTimeout}, times)
	require.Equal(t, startupDialTimeout, core.DialTimeout(address(9)), "a balancer not called before")

	core.PeerAnswered(Peer{Address: address(7), Purpose: PurposeProbe}, after(2000), after(2000))
	require.Equal(t, startupDialTimeout, core.DialTimeout(address(7)), "the balancer has replied")
	core.Confirm(after(2000))
	require.Equal(t, dialTimeout, core.DialTimeout(address(9)), "no client waits")
}

// If the head of a zone does not answer, the next two of the zone read the store, each
// only once all above it have failed. The others wait for them.
func TestOnlyNextTwoReadForSilentHead(t *testing.T) {
	const count = 20
	readers := 0
	for index := range count {
		core := newCore(index)
		core.PollStarted(PollMembers, after(0))
		core.SetBalancers(newZone(count), startTime)
		core.PollSucceeded(PollMembers, false, after(10))
		if core.tree.position > 0 {
			require.Equal(t, PollNone, core.NextPoll(after(11)), "the head may still reply")
		}
		for _, above := range core.tree.parentCandidates {
			core.PeerFailed(Peer{Address: above.GetPeerAddress(), Purpose: PurposeProbe}, after(12))
		}
		if core.NextPoll(after(13)) == PollSnapshot {
			readers++
			require.Less(t, core.tree.position, startupStandbys)
		}
	}
	require.Equal(t, 3, readers, "the head and two more")
}
