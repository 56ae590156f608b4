package replication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// newLargeZone is a zone of so many balancers, the first of them strong.
func newLargeZone(strong, count int) []*apiv1.Balancer {
	var zone []*apiv1.Balancer
	for place := range count {
		entry := &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", place), Zone: "maadi", PeerAddress: address(place), ProcessorCores: 0.2, LinkMegabits: 20}
		if place < strong {
			entry.ProcessorCores, entry.LinkMegabits = 0.8, 200
		}
		zone = append(zone, entry)
	}
	return zone
}

func newStartingCore(self *apiv1.Balancer) *Core {
	return NewCore(Config{Self: self, Seeds: []string{"10.9.9.9:1"}, Timing: fleetPace(), TreeFanout: DefaultTreeFanout,
		SharedOrderLimit: DefaultSharedOrderLimit, PeerRetryDelay: time.Second, MaxBackoff: time.Second,
		StartupWait: 500 * time.Millisecond, AuditInterval: time.Minute}, rand.New(rand.NewPCG(1, 2)), startTime)
}

// Who starts and knows the first of its zone only asks a strong one, and not all the same.
func TestStartingBalancersAreSpreadOverStrongOnes(t *testing.T) {
	zone := newLargeZone(10, 200)
	asked := make(map[string]int)
	reader := newStartingCore(zone[0])
	reader.SetBalancers(zone, startTime)
	list := reader.zoneLeadsToWrite(startTime.Add(time.Hour))[0]
	require.Len(t, list.GetFirst(), zoneLeadsCount)
	require.Equal(t, uint32(224), list.GetSize())
	for place, self := range zone {
		core := newStartingCore(self)
		core.PollSucceeded(PollMembers, false, startTime)
		core.SetZoneSize(int(list.GetSize()))
		core.SetBalancers(list.GetFirst(), startTime)
		switch {
		case core.tree.position == 0:
			require.True(t, core.readsAtStartup(), "the head reads")
		case place >= 10 && core.hasPartialZone(list.GetFirst()):
			parent := core.tree.parentCandidates[0]
			require.Equal(t, 0.8, parent.GetProcessorCores())
			require.Len(t, core.tree.parentCandidates, zoneLeadsCount)
			asked[parent.GetName()]++
			require.False(t, core.readsAtStartup() || core.readsForSilentHead())
		}
	}
	require.Len(t, asked, 10)
	for name, count := range asked {
		require.LessOrEqual(t, count, 2*DefaultTreeFanout, name)
	}
}

// A list is written when it changes, again when the write failed, and each minute.
func TestZoneLeadsAreWrittenWhenChanged(t *testing.T) {
	zone := newLargeZone(10, 100)
	core := newStartingCore(zone[0])
	core.SetBalancers(zone, startTime)
	now := startTime.Add(time.Hour)
	write := core.zoneLeadsToWrite(now)
	require.Len(t, write, 1)
	core.zoneLeadsWriteEnded(write, true, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(time.Second)), "not at once")
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1)
	core.zoneLeadsWriteEnded(write, false, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)))
	weak := &apiv1.Balancer{Name: "edge-weak", Zone: "maadi", PeerAddress: "10.1.1.1:1", ProcessorCores: 0.01, LinkMegabits: 1}
	core.SetBalancers(append(zone, weak), now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), "one more at its end changes none of the first")
	core.SetBalancers(zone[1:], now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1, "the first one has gone")
	core.SetBalancers(zone, now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), 1)
	core.zoneLeadsWriteEnded(core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), false, now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)))
	core.StoreRestored(zone, now)
	require.Len(t, core.zoneLeadsToWrite(now.Add(zoneLeadsWriteInterval)), 1, "the store may have lost it")
	core.SetBalancers(zone[:zoneLeadsCount], now)
	require.Empty(t, core.zoneLeadsToWrite(now.Add(zoneLeadsRefreshInterval)), "small zones are read whole")
}
