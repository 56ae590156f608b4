package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first try at a balancer is short, since a machine without power says nothing; a
// link whose queues take longer is reached by the third one at the latest. With the
// first time alone a balancer that knows nothing never reached anybody over such links.
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
	require.Equal(t, startupDialTimeout, core.DialTimeout(address(9)), "another one, not tried yet")

	core.PeerAnswered(Peer{Address: address(7), Purpose: PurposeProbe}, after(2000), after(2000))
	require.Equal(t, startupDialTimeout, core.DialTimeout(address(7)), "it has answered")
	core.Confirm(after(2000))
	require.Equal(t, dialTimeout, core.DialTimeout(address(9)), "no client waits")
}

// A head that does not answer has the next two of its zone read the store, each only
// when all above it have failed; the others wait for them.
func TestOnlyNextTwoReadForSilentHead(t *testing.T) {
	const count = 20
	readers := 0
	for place := range count {
		core := newCore(place)
		core.PollStarted(PollMembers, after(0))
		core.SetBalancers(newZone(count), startTime)
		core.PollSucceeded(PollMembers, false, after(10))
		if core.tree.position > 0 {
			require.Equal(t, PollNone, core.NextPoll(after(11)), "the head may answer")
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
