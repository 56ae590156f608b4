package replication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// newLargeZone returns a zone of the given number of balancers, the first of which are
// strong.
func newLargeZone(strong, count int) []*apiv1.Balancer {
	var zone []*apiv1.Balancer
	for index := range count {
		entry := &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", index), Zone: "maadi", PeerAddress: address(index), ProcessorCores: 0.2, LinkMegabits: 20}
		if index < strong {
			entry.ProcessorCores, entry.LinkMegabits = 0.8, 200
		}
		zone = append(zone, entry)
	}
	return zone
}

func newStartingCore(self *apiv1.Balancer) *Core {
	return NewCore(Config{Self: self, Seeds: []string{"10.9.9.9:1"}, Timing: fleetTiming(), TreeFanout: DefaultTreeFanout,
		SharedOrderLimit: DefaultSharedOrderLimit, PeerRetryDelay: time.Second, MaxBackoff: time.Second,
		StartupWait: 500 * time.Millisecond, AuditInterval: time.Minute}, rand.New(rand.NewPCG(1, 2)), startTime)
}

// A starting balancer that knows only the first of its zone calls a strong one, and not
// all call the same one.
func TestStartingBalancersAreSpreadOverStrongOnes(t *testing.T) {
	zone := newLargeZone(10, 200)
	chosen := make(map[string]int)
	reader := newStartingCore(zone[0])
	reader.SetBalancers(zone, startTime)
	list := reader.zoneLeadsToWrite(startTime.Add(time.Hour))[0]
	require.Len(t, list.GetFirst(), zoneLeadsCount)
	require.Equal(t, uint32(224), list.GetSize())
	for index, self := range zone {
		core := newStartingCore(self)
		core.PollSucceeded(PollMembers, false, startTime)
		core.SetZoneSize(int(list.GetSize()))
		core.SetBalancers(list.GetFirst(), startTime)
		switch {
		case core.tree.position == 0:
			require.True(t, core.readsAtStartup(), "the head reads")
		case index >= 10 && core.hasPartialZone(list.GetFirst()):
			parent := core.tree.parentCandidates[0]
			require.Equal(t, 0.8, parent.GetProcessorCores())
			require.Len(t, core.tree.parentCandidates, zoneLeadsCount)
			chosen[parent.GetName()]++
			require.False(t, core.readsAtStartup() || core.readsForSilentHead())
		}
	}
	require.Len(t, chosen, 10)
	for name, count := range chosen {
		require.LessOrEqual(t, count, 2*DefaultTreeFanout, name)
	}
}

// A list is written when it changes, again if the write failed, and once a minute.
func TestZoneLeadsAreWrittenWhenChanged(t *testing.T) {
	zone := newLargeZone(10, 100)
	core := newStartingCore(zone[0])
	core.SetBalancers(zone, startTime)
	now := startTime.Add(time.Hour)
	write := core.zoneLeadsToWrite(now)
	require.Len(t, write, 1)
	core.zoneLeadsWriteEnded(write, true, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(time.Second)), "not immediately")
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1)
	core.zoneLeadsWriteEnded(write, false, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)))
	weak := &apiv1.Balancer{Name: "edge-weak", Zone: "maadi", PeerAddress: "10.1.1.1:1", ProcessorCores: 0.01, LinkMegabits: 1}
	core.SetBalancers(append(zone, weak), now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), "a balancer at the end does not change the list")
	core.SetBalancers(zone[1:], now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1, "the first balancer is no longer listed")
	core.SetBalancers(zone, now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), 1)
	core.zoneLeadsWriteEnded(core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), false, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)))
	core.StoreRestored(zone, now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1, "the store may have lost it")
	core.SetBalancers(zone[:zoneLeadsCount], now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), "small zones have no list")
}
