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

// demandOf is the part of a balancer whose clients ask so much a second of lending.
func demandOf(zone string, asks, waiting float64, at time.Time) demand.Aggregate {
	return demand.Aggregate{At: at, Balancers: 1, ZoneBalancers: map[demand.Zone]int{demand.Zone(zone): 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone(zone): {RequestRate: asks, InFlight: waiting}}}
}

// newParentAndFollower are a balancer that leads and one that follows it, with its clock known there.
func newParentAndFollower(t *testing.T, now time.Time) (leads, follows *control) {
	leads, follows = newTestControl(), newTestControl()
	leads.balancer.started = now.Add(-3 * time.Minute)
	first := &apiv1.Balancer{Name: "edge-2", Zone: "maadi", PeerAddress: "10.0.0.2:1", ProcessorCores: 4, LinkMegabits: 1000}
	follows.core.SetBalancers([]*apiv1.Balancer{follows.balancer.ownEntry(), first}, now)
	require.True(t, follows.core.MayReportTo("10.0.0.2:1"))
	follows.testimony.parent = "10.0.0.2:1"
	follows.testimony.parentClock = evidence.NewRemoteClock(leads.testimony.clock, leads.clockNow(now), now.Add(-30*time.Millisecond), now)
	for _, each := range []*control{leads, follows} {
		each.demand.tree = demand.NewTree(now.Add(-time.Minute))
	}
	leads.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{TreeHeight: 1})
	follows.demand.tree.SetOwn(demandOf("giza", 30, 2, now), demand.Position{Depth: 1, TreeHeight: 1})
	return leads, follows
}

// A report goes up with the call that follows, or in one of its own; the sum comes back with
// the answer.
func TestDemandReportIsSentUpAndTotalReturned(t *testing.T) {
	for _, alone := range []bool{false, true} {
		now := time.Now()
		leads, follows := newParentAndFollower(t, now)
		peer := replication.Peer{Address: "10.0.0.2:1", Purpose: replication.PurposeFollow}
		request := follows.requestTo(peer, 0, now)
		require.NotNil(t, request.GetDemand())
		require.Nil(t, follows.requestTo(replication.Peer{Address: "10.0.0.3:1", Purpose: replication.PurposeFollow}, 0, now).GetDemand(),
			"another one is told nothing while the first may count it")
		asking := &followCall{caller: replication.Caller{Address: "10.0.0.1:1"}, receivedAt: now, deadline: now, wantsTestimony: true,
			reply: make(chan *apiv1.FollowReply, 1)}
		if alone {
			leads.handleTestifyRequest(&apiv1.TestifyRequest{FromAddress: "10.0.0.1:1", Demand: request.GetDemand()}, now)
		} else {
			asking.demand = request.GetDemand()
		}
		leads.enqueueFollow(asking)
		leads.answerWaiting(now)
		reply := <-asking.reply
		follows.handleTotalDemand(&apiv1.DirectoryNews{Demand: reply.GetDemand(), LeftAfterNanoseconds: follows.sinceStart(now)}, now)
		all := follows.demand.tree.Aggregate(now)
		require.Equal(t, 2, all.Balancers)
		require.Equal(t, map[demand.Zone]int{"maadi": 1, "giza": 1}, all.ZoneBalancers)
		require.Equal(t, 30.0, all.Loads[lendingPoolZone("giza")].RequestRate)
		require.Equal(t, 10.0, all.Loads[lendingPoolZone("maadi")].RequestRate)
	}
}

// A balancer that starts anew has another clock, in which an old report means nothing.
func TestReportWithAnotherClockIsIgnored(t *testing.T) {
	now := time.Now()
	leads, follows := newParentAndFollower(t, now)
	report := follows.demandReportFor("10.0.0.2:1", false, now)
	report.Clock++
	leads.handleDemandReport("10.0.0.1:1", report, now)
	require.Equal(t, 1, leads.demand.tree.Aggregate(now).Balancers)
}

// A message has a bound, and pools are in it whole or not at all.
func TestReportSizeIsBounded(t *testing.T) {
	made := demandOf("maadi", 1, 1, time.Now())
	clear(made.Loads)
	for pool := range 100 {
		for _, zone := range []demand.Zone{"zone-a", "zone-b", "zone-c"} {
			made.Loads[demand.PoolZone{Pool: demand.Pool(fmt.Sprintf("pool-%04d", pool)), Zone: zone}] = demand.Load{
				InFlight: 1, NewFlows: 2, Responses: 3, Refusals: 4, RequestRate: float64(pool)}
		}
	}
	encoded := encodeAggregate(made, made.At)
	require.LessOrEqual(t, len(encoded.GetPlaces()), maxReportPoolZones)
	require.LessOrEqual(t, proto.Size(encoded), 50*maxReportPoolZones)
	counts := make(map[string]int)
	for _, each := range encoded.GetPlaces() {
		counts[each.GetPool()]++
		require.Less(t, each.GetPool(), fmt.Sprintf("pool-%04d", maxReportPoolZones/3), "the last by name are left out, whatever they ask")
	}
	require.Len(t, counts, maxReportPoolZones/3)
	for pool, count := range counts {
		require.Equal(t, 3, count, pool)
	}
}

// Balancers that see different demand leave out the same pools, so that what all are told of a
// pool is the sum over all who see it. Those with the least demand of each were left out.
func TestReportedPoolsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		all := make(map[demand.PoolZone]float64)
		sum := demand.Aggregate{At: now, Balancers: 2, Loads: make(map[demand.PoolZone]demand.Load)}
		for range 2 {
			part := demand.Aggregate{At: now, Balancers: 1, Loads: make(map[demand.PoolZone]demand.Load)}
			for pool := range 90 {
				for zone := range rapid.IntRange(0, 3).Draw(t, "zones") {
					place := demand.PoolZone{Pool: demand.Pool(fmt.Sprintf("pool-%02d", pool)), Zone: demand.Zone(fmt.Sprint(zone))}
					part.Loads[place] = demand.Load{RequestRate: float64(rapid.IntRange(1, 9).Draw(t, "asks"))}
					all[place] += part.Loads[place].RequestRate
				}
			}
			for place, load := range decodeAggregate(encodeAggregate(part, now), now).Loads {
				sum.Loads[place] = sum.Loads[place].Plus(load)
			}
		}
		for place, load := range decodeAggregate(encodeAggregate(sum, now), now).Loads {
			require.InDelta(t, all[place], load.RequestRate, 1e-6, place)
		}
	})
}

// What is no number of requests, told by one balancer, would spoil the sum of all.
func TestInvalidLoadsAreDecodedAsZero(t *testing.T) {
	for _, told := range []float32{float32(math.NaN()), float32(math.Inf(1)), float32(math.Inf(-1)), -3} {
		encoded := &apiv1.DemandReport{Balancers: 1, Places: []*apiv1.PlaceLoad{{Pool: "lending", Zone: "maadi",
			Waiting: told, Openings: told, Answers: told, Refusals: told, Asks: 5}}}
		read := decodeAggregate(encoded, time.Now())
		require.Equal(t, demand.Load{RequestRate: 5}, read.Loads[lendingPoolZone("maadi")])
	}
}

// Followers are answered some three times a second each. Told with each answer, the picture
// took 13.4 of the 22 kB a second that control may take.
func TestTotalDemandIsSentOncePerSecond(t *testing.T) {
	now := time.Now()
	leads, _ := newParentAndFollower(t, now)
	place := lendingPoolZone("maadi")
	leads.demand.capacity.slots = map[demand.PoolZone]float64{place: 10}
	tell := func(waiting float64) (told int) {
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(30 * time.Millisecond) {
			leads.demand.tree.SetOwn(demandOf("maadi", 10, waiting, now), demand.Position{})
			asking := &followCall{caller: replication.Caller{Address: "10.0.0.1:1"}, receivedAt: now, deadline: now, wantsTestimony: true,
				reply: make(chan *apiv1.FollowReply, 1)}
			leads.enqueueFollow(asking)
			leads.answerWaiting(now)
			if (<-asking.reply).GetDemand() != nil {
				told++
			}
		}
		return told
	}
	require.InDelta(t, 10, tell(1), 1)
	require.InDelta(t, 11, tell(8), 1, "one more, since pressure has moved")

	asked := func(address string) *apiv1.DemandReport { return leads.totalDemandFor(address, now) }
	one, other := asked("10.0.0.8:1"), asked("10.0.0.9:1")
	require.Same(t, one.GetPlaces()[0], other.GetPlaces()[0], "encoded once")
	require.Nil(t, asked("10.0.0.9:1"))
	now = now.Add(shareUpdateInterval + time.Millisecond)
	leads.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{})
	require.Nil(t, asked("10.0.0.9:1"), "nor sooner than soonPause")
	now = now.Add(urgentFeedInterval - shareUpdateInterval)
	require.NotNil(t, asked("10.0.0.9:1"), "its pressure has moved")
	for range 3 {
		now = now.Add(feedTTL)
		asked("10.0.0.7:1")
	}
	require.Len(t, leads.demand.demandFeed.sent, 1, "who does not call is forgotten")
}

// Calls that are answered a little sooner than each second bring the picture nearly all.
func TestTotalDemandIsSentWithRepliesNearlyASecondApart(t *testing.T) {
	now := time.Now()
	leads, _ := newParentAndFollower(t, now)
	told, last, longest := 0, now, time.Duration(0)
	for range 100 {
		now = now.Add(920 * time.Millisecond)
		leads.demand.tree.SetOwn(demandOf("maadi", 10, 1, now), demand.Position{})
		if leads.totalDemandFor("10.0.0.1:1", now) != nil {
			told++
			longest, last = max(longest, now.Sub(last)), now
		}
	}
	require.GreaterOrEqual(t, told, 75)
	require.LessOrEqual(t, told, 93, "one a second")
	require.LessOrEqual(t, longest, 2*920*time.Millisecond)
}

// newThreeZoneControl is a balancer of maadi, which has 4 back ends while giza has 8 and fayum 4, with a
// picture of what the zones ask.
func newThreeZoneControl(maadi, giza, fayum, waiting float64) (*control, time.Time) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	control.addBackends("lending", "fayum", 4, now)
	control.balancersByZone = map[demand.Zone]int{"maadi": 1, "giza": 1, "fayum": 1}
	control.measureCapacity(nil, now)
	picture := demand.Aggregate{At: now, Balancers: 3, ZoneBalancers: map[demand.Zone]int{"maadi": 1, "giza": 1, "fayum": 1},
		Loads: map[demand.PoolZone]demand.Load{lendingPoolZone("maadi"): {RequestRate: maadi, InFlight: waiting}, lendingPoolZone("giza"): {RequestRate: giza},
			lendingPoolZone("fayum"): {RequestRate: fayum}}}
	control.demand.aggregate.Store(picture.WithCapacity(control.demand.capacity.slots))
	return control, now
}

func (control *control) zoneWeights(now time.Time) map[string]uint32 {
	weigh := control.weightFunc(nil, now)
	made := make(map[string]uint32)
	for _, zone := range []string{"maadi", "giza", "fayum"} {
		made[zone] = weigh(directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Pool: "lending", Zone: zone}})
	}
	return made
}

// A zone in more demand than it has room for sends its surplus to the one that has room, and
// none to the one that is as full. All others alike got it before, by what one zone saw.
func TestSurplusGoesToZonesWithFreeCapacity(t *testing.T) {
	slots := newTestControl()
	now := time.Now()
	slots.addBackends("lending", "maadi", 4, now)
	slots.measureCapacity(nil, now)
	each := slots.demand.capacity.slots[lendingPoolZone("maadi")] / 4
	control, now := newThreeZoneControl(200, 100, 200, 20*each)
	require.True(t, control.planZoneShares(now))
	weights := control.zoneWeights(now)
	require.Equal(t, uint32(rule.MaximumWeight), weights["maadi"])
	require.LessOrEqual(t, weights["fayum"], uint32(rule.MaximumWeight/1000))
	// All keep 125 for each four back ends, so of 200 it sends 75 to the eight.
	require.InDelta(t, rule.MaximumWeight*75/8/(125.0/4), float64(weights["giza"]), 2)
	require.False(t, control.planZoneShares(now), "the table was made with it")
	require.True(t, control.newWeights(nil, now).zoneChosenByWeights("lending"))
	control.balancer.disabled, _ = mechanism.Parse([]string{string(mechanism.DemandShares)})
	require.True(t, control.planZoneShares(now))
	require.Equal(t, control.zoneWeights(now)["giza"], control.zoneWeights(now)["fayum"], "without it all others are alike")
}

// A zone without back ends takes the least used of all the others.
func TestZoneWithoutBackendsUsesLeastUsedOfAllZones(t *testing.T) {
	control, now := newThreeZoneControl(200, 100, 200, 50)
	control.measureCapacity(map[string]uint64{"maadi": 7}, now)
	picture := *control.demand.aggregate.Load()
	control.demand.aggregate.Store(picture.WithCapacity(control.demand.capacity.slots))
	require.True(t, control.planZoneShares(now))
	require.Zero(t, control.observed.plannedShares["lending"]["maadi"])
	weights := control.newWeights(map[string]uint64{"maadi": 7}, now)
	require.NotNil(t, weights.poolShares("lending"))
	require.False(t, weights.zoneChosenByWeights("lending"))
}

// An old picture is no ground to send flows anywhere.
func TestStaleAggregatePlansNoShares(t *testing.T) {
	control, now := newThreeZoneControl(200, 100, 200, 50)
	require.True(t, control.planZoneShares(now))
	control.zoneWeights(now)
	require.True(t, control.planZoneShares(now.Add(demand.MaximumAge+time.Millisecond)))
	require.Nil(t, control.observed.plannedShares)
}

// Room is what takes new flows.
func TestCapacityCountsBackendsThatTakeNewFlows(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	control.measureCapacity(nil, now)
	whole := control.demand.capacity.slots[lendingPoolZone("giza")]
	require.Positive(t, whole)
	require.InDelta(t, 2, whole/control.demand.capacity.slots[lendingPoolZone("maadi")], 1e-9)
	control.measureCapacity(map[string]uint64{"giza": 7}, now)
	require.NotContains(t, control.demand.capacity.slots, lendingPoolZone("giza"), "an evacuated zone has none")
}

// Where there is no room at all, that is told, and not left out.
func TestPressureMetricIsInfiniteWithoutCapacity(t *testing.T) {
	now := time.Now()
	picture := demandOf("maadi", 10, 2, now)
	picture.Loads[lendingPoolZone("giza")] = demand.Load{RequestRate: 5, Refusals: 5}
	picture.Loads[lendingPoolZone("fayum")] = demand.Load{RequestRate: 5}
	told := make(map[string]float64)
	collectDemand(picture.WithCapacity(map[demand.PoolZone]float64{lendingPoolZone("maadi"): 4}),
		func(description *prometheus.Desc, value float64, labels ...string) {
			if description == pressureDescription {
				told[labels[1]] = value
			}
		})
	require.Equal(t, map[string]float64{"maadi": 0.5, "giza": math.Inf(1), "fayum": 0}, told,
		"clients of fayum are served elsewhere")
}
