package replication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// largeZone is a zone of so many balancers, the first of them strong.
func largeZone(strong, count int) []*apiv1.Balancer {
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

func startingCore(self *apiv1.Balancer) *Core {
	return NewCore(Config{Self: self, Seeds: []string{"10.9.9.9:1"}, Timing: fleetPace(), TreeFanout: DefaultTreeFanout,
		SharedOrderLimit: DefaultSharedOrderLimit, PeerRetryDelay: time.Second, MaxBackoff: time.Second,
		StartupWait: 500 * time.Millisecond, AuditInterval: time.Minute}, rand.New(rand.NewPCG(1, 2)), start)
}

// Who starts and knows the first of its zone only asks a strong one, and not all the same.
func TestStartIsSpreadOverTheStrongOnes(t *testing.T) {
	zone := largeZone(10, 200)
	asked := make(map[string]int)
	reader := startingCore(zone[0])
	reader.SetBalancers(zone, start)
	list := reader.leadsToWrite(start.Add(time.Hour))[0]
	require.Len(t, list.GetFirst(), leadsCount)
	require.Equal(t, uint32(224), list.GetSize())
	for place, self := range zone {
		core := startingCore(self)
		core.PollSucceeded(PollMembers, false, start)
		core.SetZoneSize(int(list.GetSize()))
		core.SetBalancers(list.GetFirst(), start)
		switch {
		case core.tree.place == 0:
			require.True(t, core.readsFirst(), "the head reads")
		case place >= 10 && core.spreads(list.GetFirst()):
			parent := core.tree.above[0]
			require.Equal(t, 0.8, parent.GetProcessorCores())
			require.Len(t, core.tree.above, leadsCount)
			asked[parent.GetName()]++
			require.False(t, core.readsFirst() || core.readsForHead())
		}
	}
	require.Len(t, asked, 10)
	for name, count := range asked {
		require.LessOrEqual(t, count, 2*DefaultTreeFanout, name)
	}
}

// A list is written when it changes, again when the write failed, and each minute.
func TestListsOfTheFirstAreWrittenAsTheyChange(t *testing.T) {
	zone := largeZone(10, 100)
	core := startingCore(zone[0])
	core.SetBalancers(zone, start)
	now := start.Add(time.Hour)
	write := core.leadsToWrite(now)
	require.Len(t, write, 1)
	core.leadsWritten(write, true, now)
	require.Empty(t, core.leadsToWrite(now.Add(time.Second)), "not at once")
	require.Len(t, core.leadsToWrite(now.Add(leadsPause)), 1)
	core.leadsWritten(write, false, now)
	require.Empty(t, core.leadsToWrite(now.Add(leadsPause)))
	weak := &apiv1.Balancer{Name: "edge-weak", Zone: "maadi", PeerAddress: "10.1.1.1:1", ProcessorCores: 0.01, LinkMegabits: 1}
	core.SetBalancers(append(zone, weak), now)
	require.Empty(t, core.leadsToWrite(now.Add(leadsPause)), "one more at its end changes none of the first")
	core.SetBalancers(zone[1:], now)
	require.Len(t, core.leadsToWrite(now.Add(leadsPause)), 1, "the first one has gone")
	core.SetBalancers(zone, now)
	require.Len(t, core.leadsToWrite(now.Add(leadsRenewed)), 1)
	core.leadsWritten(core.leadsToWrite(now.Add(leadsRenewed)), false, now)
	require.Empty(t, core.leadsToWrite(now.Add(leadsPause)))
	core.StoreRestored(zone, now)
	require.Len(t, core.leadsToWrite(now.Add(leadsPause)), 1, "the store may have lost it")
	core.SetBalancers(zone[:leadsCount], now)
	require.Empty(t, core.leadsToWrite(now.Add(leadsRenewed)), "small zones are read whole")
}
