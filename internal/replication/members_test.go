package replication

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
)

// newReader returns the core that reads the store for three balancers.
func newReader(t *testing.T) *Core {
	for index := range 3 {
		core := newCore(index)
		core.SetBalancers(newZone(3), startTime)
		core.Confirm(startTime)
		if core.IsReader() {
			return core
		}
	}
	require.Fail(t, "no reader")
	return nil
}

// Guards against writes at restarts: 127 starts on a large site cost 254 calls for
// leases and entries. A balancer that restarts is still listed.
func TestRestartedBalancerWritesNothing(t *testing.T) {
	core := newCore(1)
	require.Len(t, core.UnlistedEntries(startTime), 1, "the balancer does not know yet that it is listed")
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
	for index := range 50 {
		joining = append(joining, &apiv1.Balancer{Name: name(100 + index), Zone: "maadi", PeerAddress: address(100 + index)})
	}
	core.AddUnlistedEntries(joining, after(10))
	core.AddUnlistedEntries(joining[:5], after(20))
	first, found := core.NextWrite(after(500))
	require.True(t, found)
	require.Len(t, first.Put, WriteLimit)
	_, found = core.NextWrite(after(501))
	require.False(t, found, "one write at a time")
	core.WriteEnded(first, false, after(510))
	second, found := core.NextWrite(after(510 + 200))
	require.True(t, found)
	require.Len(t, second.Put, 50-WriteLimit)
	core.WriteEnded(second, true, after(720))
	_, found = core.NextWrite(after(730))
	require.False(t, found)
	again, found := core.NextWrite(after(1720))
	require.False(t, found, "stale data may not show who is listed")
	require.Empty(t, again.Put)
	core.Confirm(after(1720))
	again, found = core.NextWrite(after(1721))
	require.True(t, found)
	require.ElementsMatch(t, second.Put, again.Put, "a failed write loses no entries")
}

// If nobody forwards the entry, or it is lost on the way, the balancer eventually
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

// A balancer from which its parent receives nothing is removed once, but not if it has
// only restarted or has just been listed.
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
		require.Equal(t, -1, removedAt, "the balancer is not removed again immediately")
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
	require.Empty(t, core.members.silentReports, "one was active here, one is not listed, one is this balancer")
	core.HandleSilentReport([]string{below[1].GetName()}, now)
	require.Equal(t, []string{below[1].GetName()}, core.SilentBalancers(now))
	require.Empty(t, core.SilentBalancers(now.Add(2*forwardTTL)), "a report is forwarded for a limited time")
}

// Guards against a balancer that stays unlisted after a restoration of the store. Its
// entry was written and acknowledged, but the store was restored from an older backup
// before anybody read the entry. A written entry counts as listed until the directory
// lists something new, and a backup without it brings nothing new. The reader therefore
// ignored every new report of the entry, and the balancer was not listed until another
// one changed.
func TestEntryLostByRestoreIsWrittenAgain(t *testing.T) {
	core := newReader(t)
	joining := []*apiv1.Balancer{{Name: name(100), Zone: "maadi", PeerAddress: address(100)}}
	core.AddUnlistedEntries(joining, after(10))
	first, found := core.NextWrite(after(500))
	require.True(t, found)
	core.WriteEnded(first, false, after(510))
	core.AddUnlistedEntries(joining, after(600))
	_, found = core.NextWrite(after(800))
	require.False(t, found, "the entry has been written")

	core.StoreRestored(newZone(3), after(900))
	core.AddUnlistedEntries(joining, after(910))
	again, found := core.NextWrite(after(1200))
	require.True(t, found)
	require.Equal(t, joining, again.Put)
}

// Lost policies are written one at a time, and one that cannot be written does not
// block the others.
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
