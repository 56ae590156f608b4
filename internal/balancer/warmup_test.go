package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// How the balancers of a fleet treat cold back ends.
const (
	modeUnlimited = "ignore"
	modeLimited   = "bounded"
)

// coldFleet simulates a fleet of balancers in virtual time, with a zone whose back ends have just
// come back cold and idle.
type coldFleet struct {
	controls []*control
	flows    []*tokenroute.Flows
	random   *rand.Rand
	now      time.Time
	// newFlows holds the times of the new flows of each cold back end.
	newFlows map[uint64][]time.Time
	// refused counts the flows for which there was no back end.
	refused int
}

const (
	coldPool   = "lending"
	coldPeriod = 2 * time.Second
)

// newColdFleet returns a fleet in which each balancer does not know some of the others.
func newColdFleet(size int, mode string, allCold bool) *coldFleet {
	fleet := &coldFleet{random: rand.New(rand.NewPCG(1, uint64(size))), now: time.Now(), newFlows: make(map[uint64][]time.Time)}
	zones := []string{"maadi", "nasr", "giza"}
	for index := range size {
		c := newTestControl()
		balancerSettings := testSettings()
		balancerSettings.Name, balancerSettings.Zone = fmt.Sprintf("edge-%d", index), zones[index%len(zones)]
		if mode == modeLimited {
			balancerSettings.WarmupOvershoot, balancerSettings.WarmupSlack = 1.5, 5
		}
		c.balancer.settings.Store(balancerSettings)
		c.firstRoutesAt = fleet.now.Add(-time.Hour)
		c.replica.Apply(fleet.entries(size, index, zones, allCold), fleet.now)
		fleet.controls = append(fleet.controls, c)
		fleet.flows = append(fleet.flows, tokenroute.NewFlows(mechanism.Set{}))
	}
	return fleet
}

// entries returns what a balancer knows: 40 back ends in each zone, of which those of the last zone
// are cold, or all.
func (f *coldFleet) entries(size, self int, zones []string, allCold bool) *apiv1.DirectoryBatch {
	batch := &apiv1.DirectoryBatch{Revision: 9, Complete: true, Changes: []*apiv1.DirectoryChange{{
		Revision: 1, Entry: &apiv1.DirectoryChange_Routes{Routes: &apiv1.RouteTable{Version: 1,
			Routes:  []*apiv1.ServiceRoute{{Name: "r", Address: 1, Port: 443, Pools: []*apiv1.PoolShare{{Pool: coldPool, Weight: 1000}}}},
			Warmups: []*apiv1.PoolWarmup{{Pool: coldPool, Milliseconds: uint32(coldPeriod.Milliseconds())}}}}}}}
	for number := range 120 {
		entry := &apiv1.PoolBackend{Id: fmt.Sprintf("i-%d", number), Number: uint64(number + 1), Pool: coldPool,
			Zone: zones[number/40], Address: uint32(number + 1), Port: 80, Capacity: 2}
		if allCold || entry.GetZone() == "giza" {
			entry.WarmupMilliseconds = uint32(coldPeriod.Milliseconds())
		}
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 2, Entry: &apiv1.DirectoryChange_Backend{Backend: entry}})
	}
	for index := range size {
		if (index+self)%7 == 0 {
			continue // this balancer does not know it yet
		}
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 3, Entry: &apiv1.DirectoryChange_Balancer{
			Balancer: &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", index), Zone: zones[index%len(zones)], PeerAddress: "10.0.0.1:1"}}})
	}
	return batch
}

// run opens the given number of flows a second, each through a random balancer.
func (f *coldFleet) run(perSecond int) {
	tables := make([]*tokenroute.Table, len(f.controls))
	for index, c := range f.controls {
		evacuatedZones := c.evacuatedZones()
		tables[index] = tokenroute.NewTable(c.replica, tokenroute.Options{WeightOf: c.weightFunc(evacuatedZones, f.now),
			Evacuated: evacuatedZones, WarmupOf: c.newWarmupState(f.now).warmup, Now: f.now})
	}
	total := perSecond * int(coldPeriod/time.Second)
	for number := range total {
		at := f.now.Add(coldPeriod * time.Duration(number) / time.Duration(total))
		index := f.random.IntN(len(f.controls))
		key := flow.Key{Source: [4]byte{100, 64, byte(number >> 8), byte(number)}, SourcePort: uint16(f.random.Uint32()),
			Destination: [4]byte{0, 0, 0, 1}, DestinationPort: 443, Protocol: flow.ProtocolTCP}
		decision := f.flows[index].Decide(tables[index], tokenroute.Packet{Key: key, First: true}, at)
		switch {
		case decision.Verdict == tokenroute.Refuse:
			f.refused++
		case f.isCold(decision.Backend):
			f.newFlows[decision.Backend.Number] = append(f.newFlows[decision.Backend.Number], at)
		}
	}
}

func (f *coldFleet) isCold(backend *tokenroute.Backend) bool {
	return backend.Zone == "giza" || backend.Warmup.Until.After(f.now)
}

// maxFlowsPerSecond returns the greatest number of new flows that a cold back end got within any
// second.
func (f *coldFleet) maxFlowsPerSecond() int {
	highest := 0
	for _, times := range f.newFlows {
		first := 0
		for index, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			highest = max(highest, index-first+1)
		}
	}
	return highest
}

// A zone comes back cold and idle at full demand: its balancers prefer it, and so does choosing the
// least used back end. No cold back end may get more than 5 new flows in a second from all
// balancers together, and no flow is refused because of that.
func TestReturningColdZoneIsNotOverloaded(t *testing.T) {
	for _, size := range []int{8, 88, 300} {
		unlimited := newColdFleet(size, modeUnlimited, false)
		unlimited.run(1500)
		require.Greater(t, unlimited.maxFlowsPerSecond(), 5, "without the limit a back end is overloaded, with %d balancers", size)
		fleet := newColdFleet(size, modeLimited, false)
		fleet.run(1500)
		require.LessOrEqual(t, fleet.maxFlowsPerSecond(), 5, "%d balancers", size)
		require.Zero(t, fleet.refused)
	}
}

// If only cold back ends are left, they get what they can handle, and flows beyond that are refused
// at once.
func TestColdBackendsAloneAreNotOverloaded(t *testing.T) {
	for _, size := range []int{8, 88, 300} {
		fleet := newColdFleet(size, modeLimited, true)
		fleet.run(1500)
		require.LessOrEqual(t, fleet.maxFlowsPerSecond(), 5, "%d balancers", size)
		require.NotEmpty(t, fleet.newFlows)
		require.Positive(t, fleet.refused)
	}
}

// Back ends of a zone whose evacuation was just revoked may have become cold without having
// reported it yet.
func TestZoneWithRevokedEvacuationCountsAsCold(t *testing.T) {
	fleet := newColdFleet(1, modeLimited, false)
	c := fleet.controls[0]
	order := func(revision uint64, revoked bool) *apiv1.DirectoryBatch {
		return &apiv1.DirectoryBatch{Revision: revision, Changes: []*apiv1.DirectoryChange{{Revision: revision, Gone: revoked,
			Entry: &apiv1.DirectoryChange_Evacuation{Evacuation: &apiv1.Evacuation{Zone: "maadi"}}}}}
	}
	countCold := func(now time.Time) int {
		state, count := c.newWarmupState(now), 0
		for _, backend := range c.replica.Backends() {
			if backend.GetZone() == "maadi" && !state.warmup(backend).Until.IsZero() {
				count++
			}
		}
		return count
	}
	c.replica.Apply(order(10, false), fleet.now)
	require.Contains(t, c.evacuatedZones(), "maadi")
	require.Zero(t, countCold(fleet.now))
	c.replica.Apply(order(11, true), fleet.now.Add(time.Second))
	require.NotContains(t, c.evacuatedZones(), "maadi")
	require.Equal(t, 40, countCold(fleet.now.Add(time.Second)))
	require.Zero(t, countCold(fleet.now.Add(time.Second+coldPeriod)))
}

// The slots of an evacuated zone do not count as capacity, so its balancers spread flows over the
// other zones at once.
func TestEvacuatedZoneHasNoCapacity(t *testing.T) {
	c := newColdFleet(1, modeLimited, false).controls[0]
	evacuated := map[string]uint64{"maadi": 10}
	require.Equal(t, 40, c.newWeights(nil, time.Now()).pools[coldPool].localBackends)
	require.Zero(t, c.newWeights(evacuated, time.Now()).pools[coldPool].localSlots)
	require.Equal(t, 160.0, c.newWeights(evacuated, time.Now()).pools[coldPool].remoteSlots)
}
