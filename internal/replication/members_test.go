package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
)

// newReader makes the core that reads for three balancers.
func newReader(t *testing.T) *Core {
	for place := range 3 {
		core := newCore(place)
		core.SetBalancers(newZone(3), startTime)
		core.Confirm(startTime)
		if core.IsReader() {
			return core
		}
	}
	require.Fail(t, "no reader")
	return nil
}

// On warraq-nile-grown 127 starts cost 254 calls for leases and entries. A
// balancer that starts again is still listed.
func TestRestartedBalancerWritesNothing(t *testing.T) {
	core := newCore(1)
	require.Len(t, core.UnlistedEntries(startTime), 1, "it does not know yet that it is listed")
	core.SetBalancers(newZone(3), startTime)
	require.Empty(t, core.UnlistedEntries(startTime))
}

func TestOutdatedEntryIsSentAgain(t *testing.T) {
	core := newCore(1)
	listed := newZone(3)
	listed[1].PeerAddress = "10.0.9.9:1"
	core.SetBalancers(listed, startTime)
	require.Equal(t, []*apiv1.Balancer{core.config.Self}, core.UnlistedEntries(startTime))
}

func TestReaderWritesEntriesInBatches(t *testing.T) {
	core := newReader(t)
	var joining []*apiv1.Balancer
	for place := range 50 {
		joining = append(joining, &apiv1.Balancer{Name: name(100 + place), Zone: "maadi", PeerAddress: address(100 + place)})
	}
	core.AddUnlistedEntries(joining, after(10))
	core.AddUnlistedEntries(joining[:5], after(20))
	first, found := core.NextWrite(after(500))
	require.True(t, found)
	require.Len(t, first.Put, WriteLimit)
	_, found = core.NextWrite(after(501))
	require.False(t, found, "one at a time")
	core.WriteEnded(first, false, after(510))
	second, found := core.NextWrite(after(510 + 200))
	require.True(t, found)
	require.Len(t, second.Put, 50-WriteLimit)
	core.WriteEnded(second, true, after(720))
	_, found = core.NextWrite(after(730))
	require.False(t, found)
	again, found := core.NextWrite(after(1720))
	require.False(t, found, "stale knowledge may not tell who is listed")
	require.Empty(t, again.Put)
	core.Confirm(after(1720))
	again, found = core.NextWrite(after(1721))
	require.True(t, found)
	require.ElementsMatch(t, second.Put, again.Put, "nothing is lost by a write that failed")
}

// Nobody passes the entry on, or it was lost on the way: in the end the balancer
// writes it itself.
func TestUnlistedBalancerWritesOwnEntry(t *testing.T) {
	core := newCore(7)
	core.SetBalancers(newZone(3), startTime)
	writes := 0
	for elapsed := 0; elapsed < 12_000; elapsed += 50 {
		core.Confirm(after(elapsed))
		write, found := core.NextWrite(after(elapsed))
		if !found {
			continue
		}
		writes++
		require.GreaterOrEqual(t, elapsed, int(ownWriteDelay.Milliseconds()))
		require.Equal(t, []*apiv1.Balancer{core.config.Self}, write.Put)
		core.WriteEnded(write, false, after(elapsed))
	}
	require.Equal(t, 1, writes)
}

// A balancer that its parent does not hear is removed once, and not while it is
// only restarted or just listed.
func TestSilentBalancerIsRemoved(t *testing.T) {
	core := newReader(t)
	dead := core.tree.followers[0]
	removedAt := -1
	for elapsed := 0; elapsed < 35_000; elapsed += 50 {
		now := after(elapsed)
		core.Confirm(now)
		core.NextPeer(now)
		for _, other := range core.tree.followers[1:] {
			core.RecordActivity(other.GetPeerAddress(), now)
		}
		write, found := core.NextWrite(now)
		if !found {
			continue
		}
		require.Equal(t, []string{dead.GetName()}, write.Remove)
		require.Equal(t, -1, removedAt, "it is not removed again at once")
		removedAt = elapsed
		core.WriteEnded(write, true, now)
	}
	require.Greater(t, removedAt, int(removalTimeout.Milliseconds()))
	require.Less(t, removedAt, int(removalTimeout.Milliseconds())+1000)
}

func TestReaderChecksSilentReports(t *testing.T) {
	core := newReader(t)
	below := core.tree.followers
	now := startTime.Add(time.Minute)
	core.Confirm(now)
	core.RecordActivity(below[0].GetPeerAddress(), now)
	core.HandleSilentReport([]string{below[0].GetName(), "edge-99", core.config.Self.GetName()}, now)
	require.Empty(t, core.members.silentReports, "one was heard here, one is not listed, one is this one")
	core.HandleSilentReport([]string{below[1].GetName()}, now)
	require.Equal(t, []string{below[1].GetName()}, core.SilentBalancers(now))
	require.Empty(t, core.SilentBalancers(now.Add(2*forwardTTL)), "a report is passed on for a while only")
}

// Story: a balancer's entry was written and the store had said so, but the store came back from an
// older copy before anybody read it. The reader took the entry for listed and passed over each
// showing of it, so the balancer stood in no list until some other one changed.
//
// Evidence: what was written counts as listed until the directory lists something new; a copy that
// lacks it brings nothing new.
func TestEntryLostByRestoreIsWrittenAgain(t *testing.T) {
	core := newReader(t)
	joining := []*apiv1.Balancer{{Name: name(100), Zone: "maadi", PeerAddress: address(100)}}
	core.AddUnlistedEntries(joining, after(10))
	first, found := core.NextWrite(after(500))
	require.True(t, found)
	core.WriteEnded(first, false, after(510))
	core.AddUnlistedEntries(joining, after(600))
	_, found = core.NextWrite(after(800))
	require.False(t, found, "it is written")

	core.StoreRestored(newZone(3), after(900))
	core.AddUnlistedEntries(joining, after(910))
	again, found := core.NextWrite(after(1200))
	require.True(t, found)
	require.Equal(t, joining, again.Put)
}

// Lost policies are written one at a time, and one that can't be written holds up no other.
func TestReaderWritesLostPolicies(t *testing.T) {
	core := newReader(t)
	lost := []directory.LostPolicy{{Policy: &apiv1.Policy{Name: "one"}}, {Policy: &apiv1.Policy{Name: "two"}}}
	core.SetLostPolicies(lost)
	tried := make(map[string]bool)
	for now := after(500); len(tried) < 2; now = now.Add(2 * time.Second) {
		core.Confirm(now)
		write, found := core.NextWrite(now)
		require.True(t, found)
		tried[write.Policy.Policy.GetName()] = true
		core.WriteEnded(write, true, now)
		require.Less(t, now.Sub(startTime), time.Minute)
	}
	core.SetLostPolicies(nil)
	core.Confirm(after(70_000))
	_, found := core.NextWrite(after(70_000))
	require.False(t, found)
}
