package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

func lendingPoolZone(zone string) demand.PoolZone {
	return demand.PoolZone{Pool: "lending", Zone: demand.Zone(zone)}
}

// demandOf returns the aggregate of one balancer whose clients send the given rate of requests to
// the lending pool.
func demandOf(zone string, rate, waiting float64, at time.Time) demand.Aggregate {
	return demand.Aggregate{At: at, Balancers: 1, ZoneBalancers: map[demand.Zone]int{demand.Zone(zone): 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone(zone): {RequestRate: rate, InFlight: waiting}}}
}

// newParentAndFollower returns a parent and a balancer that follows it and knows the parent's
// clock.
func newParentAndFollower(t *testing.T, now time.Time) (parentControl, childControl *control) {
	parentControl, childControl = newTestControl(), newTestControl()
	parentControl.balancer.started = now.Add(-3 * time.Minute)
	parentEntry := &apiv1.Balancer{Name: "edge-2", Zone: "maadi", PeerAddress: "10.0.0.2:1", ProcessorCores: 4, LinkMegabits: 1000}
	childControl.core.SetBalancers([]*apiv1.Balancer{childControl.balancer.ownEntry(), parentEntry}, now)
	require.True(t, childControl.core.MayReportTo("10.0.0.2:1"))
	childControl.observations.parent = "10.0.0.2:1"
	childControl.observations.parentClock = evidence.NewRemoteClock(parentControl.observations.clock, parentControl.clockNow(now), now.Add(-30*time.Millisecond), now)
	for _, each := range []*control{parentControl, childControl} {
		each.demand.tree = demand.NewTree(now.Add(-time.Minute))
	}
	parentControl.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{TreeHeight: 1})
	childControl.demand.tree.SetOwn(demandOf("giza", 30, 2, now), demand.Position{Depth: 1, TreeHeight: 1})
	return parentControl, childControl
}

// A report is sent up with a follow call or in a call of its own; the total comes back with the
// reply.
func TestDemandReportIsSentUpAndTotalReturned(t *testing.T) {
	for _, alone := range []bool{false, true} {
		now := time.Now()
		parent, child := newParentAndFollower(t, now)
		peer := replication.Peer{Address: "10.0.0.2:1", Purpose: replication.PurposeFollow}
		request := child.requestTo(peer, 0, now)
		require.NotNil(t, request.GetDemand())
		require.Nil(t, child.requestTo(replication.Peer{Address: "10.0.0.3:1", Purpose: replication.PurposeFollow}, 0, now).GetDemand(),
			"no other parent gets a report while the first may still count it")
		call := &followCall{caller: replication.Caller{Address: "10.0.0.1:1"}, receivedAt: now, deadline: now, wantsObservations: true,
			reply: make(chan *apiv1.FollowReply, 1)}
		if alone {
			parent.handleTestifyRequest(&apiv1.TestifyRequest{FromAddress: "10.0.0.1:1", Demand: request.GetDemand()}, now)
		} else {
			call.demand = request.GetDemand()
		}
		parent.enqueueFollow(call)
		parent.answerWaiting(now)
		reply := <-call.reply
		child.handleTotalDemand(&apiv1.DirectoryNews{Demand: reply.GetDemand(), LeftAfterNanoseconds: child.sinceStart(now)}, now)
		all := child.demand.tree.Aggregate(now)
		require.Equal(t, 2, all.Balancers)
		require.Equal(t, map[demand.Zone]int{"maadi": 1, "giza": 1}, all.ZoneBalancers)
		require.Equal(t, 30.0, all.Loads[lendingPoolZone("giza")].RequestRate)
		require.Equal(t, 10.0, all.Loads[lendingPoolZone("maadi")].RequestRate)
	}
}

// A restarted balancer has another clock, in which the times of an old report mean nothing.
func TestReportWithAnotherClockIsIgnored(t *testing.T) {
	now := time.Now()
	parent, child := newParentAndFollower(t, now)
	report := child.demandReportFor("10.0.0.2:1", false, now)
	report.Clock++
	parent.handleDemandReport("10.0.0.1:1", report, now)
	require.Equal(t, 1, parent.demand.tree.Aggregate(now).Balancers)
}

// The size of a message is bounded, and each pool is either complete in it or left out.
func TestReportSizeIsBounded(t *testing.T) {
	aggregate := demandOf("maadi", 1, 1, time.Now())
	clear(aggregate.Loads)
	for pool := range 100 {
		for _, zone := range []demand.Zone{"zone-a", "zone-b", "zone-c"} {
			aggregate.Loads[demand.PoolZone{Pool: demand.Pool(fmt.Sprintf("pool-%04d", pool)), Zone: zone}] = demand.Load{
				InFlight: 1, NewFlows: 2, Responses: 3, Refusals: 4, RequestRate: float64(pool)}
		}
	}
	encoded := encodeAggregate(aggregate, aggregate.At)
	require.LessOrEqual(t, len(encoded.GetPlaces()), maxReportPoolZones)
	require.LessOrEqual(t, proto.Size(encoded), 50*maxReportPoolZones)
	counts := make(map[string]int)
	for _, load := range encoded.GetPlaces() {
		counts[load.GetPool()]++
		require.Less(t, load.GetPool(), fmt.Sprintf("pool-%04d", maxReportPoolZones/3), "the last by name are left out, whatever their request rates")
	}
	require.Len(t, counts, maxReportPoolZones/3)
	for pool, count := range counts {
		require.Equal(t, 3, count, pool)
	}
}

// Balancers that see different demand must leave out the same pools, so that what is reported about
// a pool is the sum over all balancers that see it. It is not if each leaves out the pools with the
// least demand of its own.
func TestReportedPoolsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		rates := make(map[demand.PoolZone]float64)
		sum := demand.Aggregate{At: now, Balancers: 2, Loads: make(map[demand.PoolZone]demand.Load)}
		for range 2 {
			aggregate := demand.Aggregate{At: now, Balancers: 1, Loads: make(map[demand.PoolZone]demand.Load)}
			for pool := range 90 {
				for zone := range rapid.IntRange(0, 3).Draw(t, "zones") {
					poolZone := demand.PoolZone{Pool: demand.Pool(fmt.Sprintf("pool-%02d", pool)), Zone: demand.Zone(fmt.Sprint(zone))}
					aggregate.Loads[poolZone] = demand.Load{RequestRate: float64(rapid.IntRange(1, 9).Draw(t, "asks"))}
					rates[poolZone] += aggregate.Loads[poolZone].RequestRate
				}
			}
			for poolZone, load := range decodeAggregate(encodeAggregate(aggregate, now), now).Loads {
				sum.Loads[poolZone] = sum.Loads[poolZone].Plus(load)
			}
		}
		for poolZone, load := range decodeAggregate(encodeAggregate(sum, now), now).Loads {
			require.InDelta(t, rates[poolZone], load.RequestRate, 1e-6, poolZone)
		}
	})
}

// An invalid number of requests from one balancer would spoil the sum over all.
func TestInvalidLoadsAreDecodedAsZero(t *testing.T) {
	for _, value := range []float32{float32(math.NaN()), float32(math.Inf(1)), float32(math.Inf(-1)), -3} {
		encoded := &apiv1.DemandReport{Balancers: 1, Places: []*apiv1.PlaceLoad{{Pool: "lending", Zone: "maadi",
			Waiting: value, Openings: value, Answers: value, Refusals: value, Asks: 5}}}
		decoded := decodeAggregate(encoded, time.Now())
		require.Equal(t, demand.Load{RequestRate: 5}, decoded.Loads[lendingPoolZone("maadi")])
	}
}

// Followers get about three replies a second each. Sent with every reply, the aggregate took 13.4
// of the 22 kB a second available for control traffic.
func TestTotalDemandIsSentOncePerSecond(t *testing.T) {
	now := time.Now()
	parent, _ := newParentAndFollower(t, now)
	poolZone := lendingPoolZone("maadi")
	parent.demand.capacity.slots = map[demand.PoolZone]float64{poolZone: 10}
	countSent := func(waiting float64) (sent int) {
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(30 * time.Millisecond) {
			parent.demand.tree.SetOwn(demandOf("maadi", 10, waiting, now), demand.Position{})
			call := &followCall{caller: replication.Caller{Address: "10.0.0.1:1"}, receivedAt: now, deadline: now, wantsObservations: true,
				reply: make(chan *apiv1.FollowReply, 1)}
			parent.enqueueFollow(call)
			parent.answerWaiting(now)
			if (<-call.reply).GetDemand() != nil {
				sent++
			}
		}
		return sent
	}
	require.InDelta(t, 10, countSent(1), 1)
	require.InDelta(t, 11, countSent(8), 1, "one more, since the pressure has changed")

	send := func(address string) *apiv1.DemandReport { return parent.totalDemandFor(address, now) }
	one, other := send("10.0.0.8:1"), send("10.0.0.9:1")
	require.Same(t, one.GetPlaces()[0], other.GetPlaces()[0], "the aggregate is encoded once for both")
	require.Nil(t, send("10.0.0.9:1"))
	now = now.Add(shareUpdateInterval + time.Millisecond)
	parent.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{})
	require.Nil(t, send("10.0.0.9:1"), "not sooner than urgentFeedInterval")
	now = now.Add(urgentFeedInterval - shareUpdateInterval)
	require.NotNil(t, send("10.0.0.9:1"), "the pressure has changed")
	for range 3 {
		now = now.Add(feedTTL)
		send("10.0.0.7:1")
	}
	require.Len(t, parent.demand.demandFeed.sent, 1, "followers that do not call are forgotten")
}

// Calls that are answered slightly more often than once a second carry the total demand nearly
// every time.
func TestTotalDemandIsSentWithRepliesNearlyASecondApart(t *testing.T) {
	now := time.Now()
	parent, _ := newParentAndFollower(t, now)
	sent, last, longest := 0, now, time.Duration(0)
	for range 100 {
		now = now.Add(920 * time.Millisecond)
		parent.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{})
		if parent.totalDemandFor("10.0.0.1:1", now) != nil {
			sent++
			longest, last = max(longest, now.Sub(last)), now
		}
	}
	require.GreaterOrEqual(t, sent, 75)
	require.LessOrEqual(t, sent, 93, "about one a second")
	require.LessOrEqual(t, longest, 2*920*time.Millisecond)
}

// newThreeZoneControl returns a balancer in zone maadi, which has 4 back ends while giza has 8 and
// fayum 4, with an aggregate of the zones' request rates.
func newThreeZoneControl(maadi, giza, fayum, waiting float64) (*control, time.Time) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	control.addBackends("lending", "fayum", 4, now)
	control.balancersByZone = map[demand.Zone]int{"maadi": 1, "giza": 1, "fayum": 1}
	control.measureCapacity(nil, now)
	aggregate := demand.Aggregate{At: now, Balancers: 3, ZoneBalancers: map[demand.Zone]int{"maadi": 1, "giza": 1, "fayum": 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone("maadi"): {RequestRate: maadi, InFlight: waiting}, lendingPoolZone("giza"): {RequestRate: giza},
			lendingPoolZone("fayum"): {RequestRate: fayum}}}
	control.demand.aggregate.Store(aggregate.WithCapacity(control.demand.capacity.slots))
	return control, now
}

func (control *control) zoneWeights(now time.Time) map[string]uint32 {
	weigh := control.weightFunc(nil, now)
	weights := make(map[string]uint32)
	for _, zone := range []string{"maadi", "giza", "fayum"} {
		weights[zone] = weigh(directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Pool: "lending", Zone: zone}})
	}
	return weights
}

// A zone with more demand than capacity sends its surplus to the zone with free capacity, and none
// to the zone that is just as full. Based on one zone's observations alone, all other zones got the
// surplus equally.
func TestSurplusGoesToZonesWithFreeCapacity(t *testing.T) {
	reference := newTestControl()
	now := time.Now()
	reference.addBackends("lending", "maadi", 4, now)
	reference.measureCapacity(nil, now)
	slotsPerBackend := reference.demand.capacity.slots[lendingPoolZone("maadi")] / 4
	control, now := newThreeZoneControl(200, 100, 200, 20*slotsPerBackend)
	require.True(t, control.planZoneShares(now))
	zoneWeights := control.zoneWeights(now)
	require.Equal(t, uint32(rule.MaximumWeight), zoneWeights["maadi"])
	require.LessOrEqual(t, zoneWeights["fayum"], uint32(rule.MaximumWeight/1000))
	// All zones keep 125 for each four back ends, so of 200 this one sends 75 to the eight of giza.
	require.InDelta(t, rule.MaximumWeight*75/8/(125.0/4), float64(zoneWeights["giza"]), 2)
	require.False(t, control.planZoneShares(now), "the table was built with these shares")
	require.True(t, control.newWeights(nil, now).zoneChosenByWeights("lending"))
	control.balancer.disabled, _ = mechanism.Parse([]string{string(mechanism.DemandShares)})
	require.True(t, control.planZoneShares(now))
	require.Equal(t, control.zoneWeights(now)["giza"], control.zoneWeights(now)["fayum"], "without planned shares all other zones are equal")
}

// A zone without back ends chooses the least used back end of all other zones.
func TestZoneWithoutBackendsUsesLeastUsedOfAllZones(t *testing.T) {
	control, now := newThreeZoneControl(200, 100, 200, 50)
	control.measureCapacity(map[string]uint64{"maadi": 7}, now)
	aggregate := *control.demand.aggregate.Load()
	control.demand.aggregate.Store(aggregate.WithCapacity(control.demand.capacity.slots))
	require.True(t, control.planZoneShares(now))
	require.Zero(t, control.weightInputs.plannedShares["lending"]["maadi"])
	weights := control.newWeights(map[string]uint64{"maadi": 7}, now)
	require.NotNil(t, weights.poolShares("lending"))
	require.False(t, weights.zoneChosenByWeights("lending"))
}

// A stale aggregate is no reason to send flows to another zone.
func TestStaleAggregatePlansNoShares(t *testing.T) {
	control, now := newThreeZoneControl(200, 100, 200, 50)
	require.True(t, control.planZoneShares(now))
	control.zoneWeights(now)
	require.True(t, control.planZoneShares(now.Add(demand.MaximumAge+time.Millisecond)))
	require.Nil(t, control.weightInputs.plannedShares)
}

// Only back ends that take new flows count as capacity.
func TestCapacityCountsBackendsThatTakeNewFlows(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	control.measureCapacity(nil, now)
	gizaSlots := control.demand.capacity.slots[lendingPoolZone("giza")]
	require.Positive(t, gizaSlots)
	require.InDelta(t, 2, gizaSlots/control.demand.capacity.slots[lendingPoolZone("maadi")], 1e-9)
	control.measureCapacity(map[string]uint64{"giza": 7}, now)
	require.NotContains(t, control.demand.capacity.slots, lendingPoolZone("giza"), "an evacuated zone has no capacity")
}

// The pressure of a pool zone without any capacity is exported and not left out.
func TestPressureMetricIsInfiniteWithoutCapacity(t *testing.T) {
	now := time.Now()
	aggregate := demandOf("maadi", 10, 2, now)
	aggregate.Loads[lendingPoolZone("giza")] = demand.Load{RequestRate: 5, Refusals: 5}
	aggregate.Loads[lendingPoolZone("fayum")] = demand.Load{RequestRate: 5}
	pressures := make(map[string]float64)
	collectDemand(aggregate.WithCapacity(map[demand.PoolZone]float64{lendingPoolZone("maadi"): 4}),
		func(description *prometheus.Desc, value float64, labels ...string) {
			if description == pressureDescription {
				pressures[labels[1]] = value
			}
		})
	require.Equal(t, map[string]float64{"maadi": 0.5, "giza": math.Inf(1), "fayum": 0}, pressures,
		"clients of fayum are served in other zones")
}
