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
	built := directory.New(time.Minute)
	built.Apply(&apiv1.DirectoryBatch{Changes: changes, Revision: 100}, start)
	return built
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
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonMisroutedToken}, flows.Decide(table, laterPacket(1, 9), start))
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

// disappearingPool returns a directory with a pool of four back ends, two of which disappear at the
// start, one of them marked as draining before. With it, tests check that back ends whose entries
// the store drops are still used for the grace period, and no longer.
func disappearingPool() *directory.Directory {
	entries := newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 7, "lending"), backend(3, 8, "lending"),
		backend(4, 9, "lending"), draining(backend(5, 10, "lending")))
	entries.Apply(&apiv1.DirectoryBatch{Revision: 110, Changes: []*apiv1.DirectoryChange{
		gone(backend(108, 7, "lending")), gone(backend(110, 10, "lending"))}}, start)
	return entries
}

// After an outage of the store, entries that expired have two seconds to come back, however large
// their share of the pool. That doesn't apply to back ends that were draining, nor to one that had
// disappeared before the outage.
func TestExpiredBackendsTakeFlowsDuringStoreRecovery(t *testing.T) {
	entries := disappearingPool()
	after := defaultOptions()
	after.StoreRecovery = StoreRecovery{Since: start, Until: at(2000)}
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackends(NewTable(entries, after)))
	after.Now = at(2000)
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(entries, after)))
	before := defaultOptions()
	before.StoreRecovery = StoreRecovery{Since: at(1), Until: at(2000)}
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(entries, before)))
}

// Without an outage, a back end whose entry disappeared has ended.
func TestVanishedBackendsTakeNoFlows(t *testing.T) {
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackends(NewTable(disappearingPool(), defaultOptions())))
}

// A pool that has disappeared as a whole is used for a short time rather than refusing every flow.
func TestVanishedPoolIsUsedDuringGracePeriod(t *testing.T) {
	entries := disappearingPool()
	entries.Apply(&apiv1.DirectoryBatch{Revision: 112, Changes: []*apiv1.DirectoryChange{
		gone(backend(111, 8, "lending")), gone(backend(112, 9, "lending"))}}, start)
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackends(NewTable(entries, defaultOptions())))
	late := defaultOptions()
	late.Now = at(1500)
	flows := NewFlows(mechanism.Set{})
	require.Equal(t, ReasonNoBackend, flows.Decide(NewTable(entries, late), firstPacket(1), start).Reason)
}

// Guards against new flows to back ends that are gone while the control goroutine is late: a table
// that was due to be replaced stays in use, but its exceptions for back ends without an entry end.
func TestExceptionsForRemovedBackendsEndWithoutNewTable(t *testing.T) {
	recovery := defaultOptions()
	recovery.StoreRecovery = StoreRecovery{Since: start, Until: at(2000)}
	entries := disappearingPool()
	table := NewTable(entries, recovery)
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackendsAt(table, at(1999)))
	require.Equal(t, map[uint64]bool{8: true, 9: true}, chosenBackendsAt(table, at(2000)))
	entries.Apply(&apiv1.DirectoryBatch{Revision: 112, Changes: []*apiv1.DirectoryChange{
		gone(backend(111, 8, "lending")), gone(backend(112, 9, "lending"))}}, start)
	table = NewTable(entries, defaultOptions())
	require.Equal(t, map[uint64]bool{7: true, 8: true, 9: true}, chosenBackendsAt(table, at(1499)))
	require.Equal(t, Decision{Verdict: Refuse, Reason: ReasonNoBackend}, NewFlows(mechanism.Set{}).Decide(table, firstPacket(1), at(1500)))

	flows := NewFlows(mechanism.Set{})
	require.Equal(t, Forward, flows.Decide(table, firstPacket(1), at(1450)).Verdict)
	require.Equal(t, Refuse, flows.Decide(table, firstPacket(1), at(1550)).Verdict, "a retransmission is not an exception")
}

// Guards against flows that a balancer breaks after it stood still: the SYNs that it finds in its
// socket are of flows that have opened through other balancers, or were given up. A back end
// that gets one now answers, and the flow's token then names that back end, which does not hold
// the flow. A SYN whose client still waits is sent on, however long it waited.
func TestFirstPacketOfEndedOpeningIsDropped(t *testing.T) {
	table := NewTable(newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 7, "lending")), defaultOptions())
	for _, each := range []struct {
		waited         time.Duration
		retransmission bool
		verdict        Verdict
	}{
		{waited: 0, verdict: Forward},
		{waited: 1399 * time.Millisecond, verdict: Forward},
		{waited: 1400 * time.Millisecond, verdict: Drop},
		{waited: 1199 * time.Millisecond, retransmission: true, verdict: Forward},
		{waited: 1200 * time.Millisecond, retransmission: true, verdict: Drop},
	} {
		packet := firstPacket(1)
		packet.Waited, packet.Retransmission = each.waited, each.retransmission
		require.Equal(t, each.verdict, NewFlows(mechanism.Set{}).Decide(table, packet, start).Verdict, "%+v", each)
	}
	later := laterPacket(1, 7)
	later.Waited = time.Minute
	require.Equal(t, Forward, NewFlows(mechanism.Set{}).Decide(table, later, start).Verdict, "packets of open flows are not first packets")
}

// A tombstone that was received as such may be of any age, so there is no grace period (soak seeds
// 22 and 23).
func TestReceivedTombstonesHaveNoGracePeriod(t *testing.T) {
	entries := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 7, "lending")), gone(backend(3, 8, "lending")),
		backend(4, 9, "lending"))
	require.Equal(t, map[uint64]bool{9: true}, chosenBackends(NewTable(entries, defaultOptions())))
}

func chosenBackends(table *Table) map[uint64]bool { return chosenBackendsAt(table, start) }

func chosenBackendsAt(table *Table, now time.Time) map[uint64]bool {
	seen := make(map[uint64]bool)
	flows := NewFlows(mechanism.Set{})
	for port := range 300 {
		seen[flows.Decide(table, firstPacket(port), now).Backend.Number] = true
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
	entries := newDirectory(routes(1, route(1, share("lending", 1)), route(2, share("covers", 1))),
		backend(2, 7, "lending"), backend(3, high+7, "lending"), backend(4, 2*high+7, "covers"))
	table := NewTable(entries, defaultOptions())
	require.Equal(t, map[uint64]bool{7: true}, chosenBackends(table), "only the owner of the token takes new flows")
	other := laterPacket(1, 7)
	other.Key.Destination[3] = 2
	require.Equal(t, 2*high+7, NewFlows(mechanism.Set{}).Decide(table, other, start).Backend.Number, "the token is looked up in the route's pool")
	require.NotEqual(t, NoToken, TokenOf(high), "no back end has NoToken")
}

// Open flows stay in a pool that their route no longer names.
func TestFormerPools(t *testing.T) {
	entries := newDirectory(routes(1, route(1, share("covers", 1))), backend(2, 7, "lending"), backend(3, 8, "covers"))
	strict := NewTable(entries, defaultOptions())
	require.Equal(t, ReasonMisroutedToken, NewFlows(mechanism.Set{}).Decide(strict, laterPacket(1, 7), start).Reason)
	withFormerPools := defaultOptions()
	withFormerPools.FormerPools = map[flow.Address]map[string]bool{key(1).Address(): {"lending": true}}
	require.Equal(t, uint64(7), NewFlows(mechanism.Set{}).Decide(NewTable(entries, withFormerPools), laterPacket(1, 7), start).Backend.Number)
	admittingAll := defaultOptions()
	admittingAll.AdmitAllPools = true
	require.Equal(t, uint64(7), NewFlows(mechanism.Set{}).Decide(NewTable(entries, admittingAll), laterPacket(1, 7), start).Backend.Number)
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
	require.NotEqual(t, one, two, "after the answer was due")
	three := flows.Decide(table, firstPacket(1), at(600)).Backend
	require.NotContains(t, []*Backend{one, two}, three)
	require.Equal(t, three, flows.Decide(table, firstPacket(1), at(1400)).Backend, "no more than three back ends are tried")
	require.Equal(t, one, NewFlows(mechanism.Set{}).Decide(table, firstPacket(1), at(200)).Backend,
		"a balancer that saw no earlier copy makes the same first choice")
}

// If two back ends have answered, the flow stays with the one with which the client continued,
// whatever token a later answer carries.
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
	require.Equal(t, one, last.Backend, "also after the closing packet")
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
	retries := 0
	for port := 1000; port < 1300; port++ {
		chosen := flows.Decide(table, firstPacket(port), at(1400)).Backend
		if chosen == silent {
			retries++
		}
		flows.Decide(table, laterPacket(port, chosen.Token), at(1401))
	}
	require.Positive(t, retries)
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

// BenchmarkNewTable measures building a table for various numbers of back ends in pools of six.
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
			entries := newDirectory(append(changes, routes(1, table...))...)
			for b.Loop() {
				NewTable(entries, defaultOptions())
			}
		})
	}
}

// Random choice alone gave the busiest back end of a pool 1.4 times the mean load on every day, and
// some back ends rejected bursts of users while others were idle.
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

// A failed back end has no flows, so it looks the least loaded: each time its avoidance ended, all
// new flows went there. On the days with crashes of the scenario warraq-nile, the score was 0.887
// with that fault, and 0.926 without the comparison of loads.
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

// A flow that has ended, or that no packet has passed for recently, adds no load.
func TestEndedAndExpiredFlowsAddNoLoad(t *testing.T) {
	table, flows := manyBackends(1), NewFlows(mechanism.Set{})
	only := flows.Decide(table, firstPacket(1), at(0)).Backend
	flows.Decide(table, laterPacket(1, only.Token), at(5))
	request := laterPacket(1, only.Token)
	request.Length = 100
	flows.Decide(table, request, at(10))
	require.Equal(t, 1+inFlightWeight, flows.usage(only), "one open flow, and one outstanding answer")
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

// Flows refer to their back ends for seconds. If each of a series of tables held its own ten
// thousand back ends, many copies would stay in memory.
func TestUnchangedBackendsAreReused(t *testing.T) {
	entries := newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 2, "lending"), backend(3, 3, "lending"))
	before := NewTable(entries, defaultOptions())
	entries.Apply(&apiv1.DirectoryBatch{Revision: 101, Changes: []*apiv1.DirectoryChange{
		draining(backend(101, 3, "lending")), backend(101, 4, "lending")}}, start)
	following := defaultOptions()
	following.Previous = before
	after := NewTable(entries, following)
	require.Same(t, before.tokens.backends(2)[0], after.tokens.backends(2)[0])
	entries.Apply(&apiv1.DirectoryBatch{Revision: 102, Changes: []*apiv1.DirectoryChange{gone(backend(102, 2, "lending"))}}, start)
	following.Previous = after
	last := NewTable(entries, following)
	require.True(t, last.tokens.backends(2)[0].Gone)
	require.False(t, after.tokens.backends(2)[0].Gone, "a table never changes")
	require.Same(t, after.tokens.backends(4)[0], last.tokens.backends(4)[0])
}
