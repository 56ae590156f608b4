package tokenroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

var start = time.Now()

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func routes(revision uint64, table ...*apiv1.ServiceRoute) *apiv1.DirectoryChange {
	return &apiv1.DirectoryChange{Revision: revision, Entry: &apiv1.DirectoryChange_Routes{
		Routes: &apiv1.RouteTable{Version: revision, Routes: table}}}
}

func route(address uint32, shares ...*apiv1.PoolShare) *apiv1.ServiceRoute {
	return &apiv1.ServiceRoute{Name: fmt.Sprintf("route-%d", address), Address: address, Port: 443, Pools: shares}
}

func share(pool string, weight uint32) *apiv1.PoolShare {
	return &apiv1.PoolShare{Pool: pool, Weight: weight}
}

func backend(revision, number uint64, pool string) *apiv1.DirectoryChange {
	return &apiv1.DirectoryChange{Revision: revision, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{
		Id: fmt.Sprintf("i-%016x", number), Number: number, Pool: pool, Address: 0x0a000001 + uint32(number), Port: 80}}}
}

func draining(change *apiv1.DirectoryChange) *apiv1.DirectoryChange {
	change.GetBackend().Draining = true
	return change
}

func gone(change *apiv1.DirectoryChange) *apiv1.DirectoryChange {
	change.Gone = true
	return change
}

func newDirectory(changes ...*apiv1.DirectoryChange) *directory.Directory {
	made := directory.New(time.Minute)
	made.Apply(&apiv1.DirectoryBatch{Changes: changes, Revision: 100}, start)
	return made
}

func equalWeight(directory.BackendEntry) uint32 { return rule.MaximumWeight }

func defaultOptions() Options {
	return Options{WeightOf: equalWeight, EmptyPoolGrace: 1500 * time.Millisecond, Now: start}
}

func key(port int) flow.Key {
	return flow.Key{Source: [4]byte{100, 64, 0, 1}, Destination: [4]byte{0, 0, 0, 1},
		SourcePort: uint16(port), DestinationPort: 443, Protocol: flow.ProtocolTCP}
}

func firstPacket(port int) Packet { return Packet{Key: key(port), First: true} }

func laterPacket(port int, token Token) Packet { return Packet{Key: key(port), Token: token} }

func TestPacketsAreDroppedWithoutTable(t *testing.T) {
	flows := NewFlows(mechanism.Set{})
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonNoTable}, flows.Decide(nil, firstPacket(1), start))
}

func TestAnyBalancerResolvesToken(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 7, "lending"), backend(3, 9, "lending")), defaultOptions())
	opened := NewFlows(mechanism.Set{}).Decide(table, firstPacket(1), start)
	require.Equal(t, Forward, opened.Verdict)
	other := NewFlows(mechanism.Set{}).Decide(table, laterPacket(1, opened.Backend.Token), start)
	require.Equal(t, Decision{Verdict: Forward, Reason: ReasonToken, Backend: opened.Backend}, other)
}

func TestUnresolvedPacketsOfOpenFlowsAreDropped(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 7, "lending"), backend(3, 9, "covers")), defaultOptions())
	flows := NewFlows(mechanism.Set{})
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonUnknownToken}, flows.Decide(table, laterPacket(1, 55), start))
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonForeignToken}, flows.Decide(table, laterPacket(1, 9), start))
	unrouted := laterPacket(1, 7)
	unrouted.Key.Destination[3] = 9
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonNoRoute}, flows.Decide(table, unrouted, start))
}

func TestNewFlowsAreRefusedWithoutRouteOrBackend(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 1)))), defaultOptions())
	flows := NewFlows(mechanism.Set{})
	require.Equal(t, Decision{Verdict: Refuse, Reason: ReasonNoBackend}, flows.Decide(table, firstPacket(1), start))
	unrouted := firstPacket(1)
	unrouted.Key.Destination[3] = 9
	require.Equal(t, Decision{Verdict: Refuse, Reason: ReasonNoRoute}, flows.Decide(table, unrouted, start))
}

func TestDrainingAndRemovedBackendsKeepOnlyOpenFlows(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 1))),
		draining(backend(2, 7, "lending")), gone(backend(3, 8, "lending")), backend(4, 9, "lending"), backend(5, 10, "lending")), defaultOptions())
	flows := NewFlows(mechanism.Set{})
	for port := range 200 {
		chosen := flows.Decide(table, firstPacket(port), start).Backend
		require.Contains(t, []uint64{9, 10}, chosen.Number)
	}
	require.Equal(t, uint64(7), flows.Decide(table, laterPacket(1000, 7), start).Backend.Number)
	require.Equal(t, uint64(8), flows.Decide(table, laterPacket(1001, 8), start).Backend.Number)
}

// When the store drops the entries of most of a pool at once, the back ends
// are still used for the grace, and no longer.
// vanishing is a pool of four, two of which vanish at the start, one of them
// with a notice.
func vanishingPool() *directory.Directory {
	all := newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 7, "lending"), backend(3, 8, "lending"),
		backend(4, 9, "lending"), draining(backend(5, 10, "lending")))
	all.Apply(&apiv1.DirectoryBatch{Revision: 110, Changes: []*apiv1.DirectoryChange{
		gone(backend(108, 7, "lending")), gone(backend(110, 10, "lending"))}}, start)
	return all
}

// After an outage of the store, entries that lapsed have two seconds to come
// back, whatever share of the pool they are; back ends that left with a notice
// have not, nor has one that had vanished before.
func TestExpiredBackendsTakeFlowsDuringStoreRecovery(t *testing.T) {
	all := vanishingPool()
	after := defaultOptions()
	after.StoreRecovery = StoreRecovery{Since: start, Until: at(2000)}
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackends(NewTable(all, after)))
	after.Now = at(2000)
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(all, after)))
	before := defaultOptions()
	before.StoreRecovery = StoreRecovery{Since: at(1), Until: at(2000)}
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(all, before)))
}

// Without an outage, a back end that vanished has ended.
func TestVanishedBackendsTakeNoFlows(t *testing.T) {
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(vanishingPool(), defaultOptions())))
}

// A pool that has vanished as a whole is used for a moment, rather than refuse
// every flow.
func TestVanishedPoolIsUsedDuringGracePeriod(t *testing.T) {
	all := vanishingPool()
	all.Apply(&apiv1.DirectoryBatch{Revision: 112, Changes: []*apiv1.DirectoryChange{
		gone(backend(111, 8, "lending")), gone(backend(112, 9, "lending"))}}, start)
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackends(NewTable(all, defaultOptions())))
	late := defaultOptions()
	late.Now = at(1500)
	flows := NewFlows(mechanism.Set{})
	require.Equal(t, ReasonNoBackend, flows.Decide(NewTable(all, late), firstPacket(1), start).Reason)
}

// A tombstone that was learned as such may be of any age: no grace. Found by
// soak seeds 22 and 23.
func TestReceivedTombstonesHaveNoGracePeriod(t *testing.T) {
	all := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 7, "lending")), gone(backend(3, 8, "lending")),
		backend(4, 9, "lending"))
	require.Equal(t, map[uint64]bool{9: true}, chosenBackends(NewTable(all, defaultOptions())))
}

func chosenBackends(table *Table) map[uint64]bool {
	seen := make(map[uint64]bool)
	flows := NewFlows(mechanism.Set{})
	for port := range 300 {
		seen[flows.Decide(table, firstPacket(port), start).Backend.Number] = true
	}
	return seen
}

func TestSplitFollowsWeights(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 900), share("covers", 100))),
		backend(2, 7, "lending"), backend(3, 8, "covers")), defaultOptions())
	flows := NewFlows(mechanism.Set{})
	covers := 0
	for port := range 10000 {
		if flows.Decide(table, firstPacket(port), start).Backend.Pool == "covers" {
			covers++
		}
	}
	require.InDelta(t, 1000, covers, 120)
}

func TestSharedTokens(t *testing.T) {
	const high = uint64(1) << 32
	all := newDirectory(routes(1, route(1, share("lending", 1)), route(2, share("covers", 1))),
		backend(2, 7, "lending"), backend(3, high+7, "lending"), backend(4, 2*high+7, "covers"))
	table := NewTable(all, defaultOptions())
	require.Equal(t, map[uint64]bool{7: true}, chosenBackends(table), "only the holder takes new flows")
	other := laterPacket(1, 7)
	other.Key.Destination[3] = 2
	require.Equal(t, 2*high+7, NewFlows(mechanism.Set{}).Decide(table, other, start).Backend.Number, "the route's pool decides")
	require.NotEqual(t, NoToken, TokenOf(high), "no back end has the token of none")
}

// Open flows stay on a pool that their route no longer names.
func TestFormerPools(t *testing.T) {
	all := newDirectory(routes(1, route(1, share("covers", 1))), backend(2, 7, "lending"), backend(3, 8, "covers"))
	strict := NewTable(all, defaultOptions())
	require.Equal(t, ReasonForeignToken, NewFlows(mechanism.Set{}).Decide(strict, laterPacket(1, 7), start).Reason)
	former := defaultOptions()
	former.FormerPools = map[flow.Address]map[string]bool{key(1).Address(): {"lending": true}}
	require.Equal(t, uint64(7), NewFlows(mechanism.Set{}).Decide(NewTable(all, former), laterPacket(1, 7), start).Backend.Number)
	young := defaultOptions()
	young.AdmitAllPools = true
	require.Equal(t, uint64(7), NewFlows(mechanism.Set{}).Decide(NewTable(all, young), laterPacket(1, 7), start).Backend.Number)
}

func manyBackends(count int) *Table {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	for number := range count {
		changes = append(changes, backend(uint64(number+2), uint64(number+1), "lending"))
	}
	return NewTable(newDirectory(changes...), defaultOptions())
}

func TestRetransmittedFirstPackets(t *testing.T) {
	table := manyBackends(5)
	flows := NewFlows(mechanism.Set{})
	one := flows.Decide(table, firstPacket(1), at(0)).Backend
	require.Equal(t, one, flows.Decide(table, firstPacket(1), at(100)).Backend, "before the answer was due")
	two := flows.Decide(table, firstPacket(1), at(200)).Backend
	require.NotEqual(t, one, two, "after a silence")
	three := flows.Decide(table, firstPacket(1), at(600)).Backend
	require.NotContains(t, []*Backend{one, two}, three)
	require.Equal(t, three, flows.Decide(table, firstPacket(1), at(1400)).Backend, "no more than three")
	require.Equal(t, one, NewFlows(mechanism.Set{}).Decide(table, firstPacket(1), at(200)).Backend,
		"a balancer that saw no earlier copy takes the first choice")
}

// Two back ends have answered: the flow stays with the one that the client
// went on with, whatever the token of a later answer says.
func TestFlowAnsweredByTwoBackendsStaysWithOpener(t *testing.T) {
	table := manyBackends(5)
	flows := NewFlows(mechanism.Set{})
	one := flows.Decide(table, firstPacket(1), at(0)).Backend
	two := flows.Decide(table, firstPacket(1), at(200)).Backend
	require.Equal(t, one, flows.Decide(table, laterPacket(1, one.Token), at(210)).Backend)
	for millisecond := 220; millisecond < 60_000; millisecond += 1000 {
		kept := flows.Decide(table, laterPacket(1, two.Token), at(millisecond))
		require.Equal(t, Decision{Verdict: Forward, Reason: ReasonOpenedElsewhere, Backend: one}, kept)
	}
	end := laterPacket(1, two.Token)
	end.Closing = true
	flows.Decide(table, end, at(60_000))
	last := flows.Decide(table, laterPacket(1, two.Token), at(60_010))
	require.Equal(t, one, last.Backend, "the last packets too")
}

func TestSilentBackendIsAvoidedThenRetried(t *testing.T) {
	table := manyBackends(4)
	flows := NewFlows(mechanism.Set{})
	silent := flows.Decide(table, firstPacket(1), at(0)).Backend
	for port := 2; port < 300; port++ {
		chosen := flows.Decide(table, firstPacket(port), at(200)).Backend
		require.NotEqual(t, silent, chosen)
		flows.Decide(table, laterPacket(port, chosen.Token), at(201))
	}
	again := 0
	for port := 1000; port < 1300; port++ {
		chosen := flows.Decide(table, firstPacket(port), at(1400)).Backend
		if chosen == silent {
			again++
		}
		flows.Decide(table, laterPacket(port, chosen.Token), at(1401))
	}
	require.Positive(t, again)
}

func TestBackendIsChosenWhenAllAreSilent(t *testing.T) {
	table := manyBackends(2)
	flows := NewFlows(mechanism.Set{})
	for port := range 50 {
		flows.Decide(table, firstPacket(port), at(0))
	}
	require.Equal(t, Forward, flows.Decide(table, firstPacket(100), at(200)).Verdict)
}

func TestMemoryIsBounded(t *testing.T) {
	table := manyBackends(3)
	flows := NewFlows(mechanism.Set{})
	for port := range 60000 {
		flows.Decide(table, firstPacket(port), at(port/100))
	}
	require.LessOrEqual(t, len(flows.flowCache.current)+len(flows.flowCache.previous), 2*maxGenerationFlows)
	require.LessOrEqual(t, len(flows.pendingOpenings), maxGenerationFlows)
	flows.Decide(table, firstPacket(1), at(600_000))
	flows.Decide(table, firstPacket(2), at(610_000))
	require.LessOrEqual(t, len(flows.flowCache.current)+len(flows.flowCache.previous), 2)
}

func BenchmarkDecideToken(b *testing.B) {
	table := manyBackends(200)
	flows := NewFlows(mechanism.Set{})
	packet := laterPacket(1, 77)
	b.ReportAllocs()
	for b.Loop() {
		flows.Decide(table, packet, start)
	}
}

func BenchmarkDecideNewFlow(b *testing.B) {
	table := manyBackends(200)
	flows := NewFlows(mechanism.Set{})
	b.ReportAllocs()
	port := 0
	for b.Loop() {
		port++
		flows.Decide(table, firstPacket(port), start)
	}
}

// BenchmarkNewTable is the cost of a table, by back ends in pools of six.
func BenchmarkNewTable(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 140_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var changes []*apiv1.DirectoryChange
			var table []*apiv1.ServiceRoute
			for number := range size {
				pool := fmt.Sprintf("pool-%d", number/6)
				if number%6 == 0 {
					table = append(table, route(uint32(number+1), share(pool, 1)))
				}
				changes = append(changes, backend(uint64(number+2), uint64(number+1), pool))
			}
			all := newDirectory(append(changes, routes(1, table...))...)
			for b.Loop() {
				NewTable(all, defaultOptions())
			}
		})
	}
}

// Chance alone left the busiest back end of a pool with 1.4 times the mean on
// every day, and bursts of users were shed by some while others stood idle.
func TestNewFlowsGoToLeastLoaded(t *testing.T) {
	const backends = 12
	table, flows := manyBackends(backends), NewFlows(mechanism.Set{})
	counts := make(map[uint64]int)
	for port := range 20 * backends {
		chosen := flows.Decide(table, firstPacket(port), at(port)).Backend
		flows.Decide(table, laterPacket(port, chosen.Token), at(port+1))
		counts[chosen.Number]++
	}
	for number, count := range counts {
		require.InDelta(t, 20, count, 2, "back end %d", number)
	}
}

// A back end that has died is used by nobody, so it looks the least used: each
// time its avoidance ended, all new flows went there (warraq-nile, days of
// crashes, worth 0.887 instead of 0.926 without the comparison of use).
func TestSilentBackendIsRetriedByOneFlowAtATime(t *testing.T) {
	table, flows := manyBackends(4), NewFlows(mechanism.Set{})
	silent := flows.Decide(table, firstPacket(1), at(0)).Backend
	tried := 0
	for now := 200; now < 8200; now += 4 {
		packet := firstPacket(now)
		chosen := flows.Decide(table, packet, at(now)).Backend
		if chosen == silent {
			tried++
			continue
		}
		flows.Decide(table, laterPacket(now, chosen.Token), at(now+1))
	}
	require.Positive(t, tried)
	require.LessOrEqual(t, tried, 5)
}

// A flow that has ended, or that no packet passed for of late, uses nothing.
func TestEndedAndExpiredFlowsAddNoLoad(t *testing.T) {
	table, flows := manyBackends(1), NewFlows(mechanism.Set{})
	only := flows.Decide(table, firstPacket(1), at(0)).Backend
	flows.Decide(table, laterPacket(1, only.Token), at(5))
	request := laterPacket(1, only.Token)
	request.Length = 100
	flows.Decide(table, request, at(10))
	require.Equal(t, 1+inFlightWeight, flows.usage(only), "a flow, and an answer that it waits for")
	answer := laterPacket(1, only.Token)
	answer.Acknowledged = 900
	flows.Decide(table, answer, at(60))
	require.Equal(t, 1, flows.usage(only))
	end := laterPacket(1, only.Token)
	end.Closing = true
	flows.Decide(table, end, at(70))
	require.Zero(t, flows.usage(only))
	flows.Decide(table, firstPacket(2), at(80))
	require.Equal(t, 1, flows.usage(only))
	flows.rotate(at(10_000))
	flows.rotate(at(20_000))
	require.Zero(t, flows.usage(only))
}

// Flows remember their back ends for seconds. Where tables follow each other, each holding
// ten thousand of its own, they would keep many copies.
func TestUnchangedBackendsAreReused(t *testing.T) {
	all := newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 2, "lending"), backend(3, 3, "lending"))
	before := NewTable(all, defaultOptions())
	all.Apply(&apiv1.DirectoryBatch{Revision: 101, Changes: []*apiv1.DirectoryChange{
		draining(backend(101, 3, "lending")), backend(101, 4, "lending")}}, start)
	following := defaultOptions()
	following.Previous = before
	after := NewTable(all, following)
	require.Same(t, before.tokens.backends(2)[0], after.tokens.backends(2)[0])
	all.Apply(&apiv1.DirectoryBatch{Revision: 102, Changes: []*apiv1.DirectoryChange{gone(backend(102, 2, "lending"))}}, start)
	following.Previous = after
	last := NewTable(all, following)
	require.True(t, last.tokens.backends(2)[0].Gone)
	require.False(t, after.tokens.backends(2)[0].Gone, "a table that was given out never changes")
	require.Same(t, after.tokens.backends(4)[0], last.tokens.backends(4)[0])
}
