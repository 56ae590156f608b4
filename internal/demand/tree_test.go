package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1e9, 0)

// loadOf returns the aggregate of a balancer: one request in a PoolZone that no other balancer
// has, so that a sum shows which balancers are included and how often.
func loadOf(name string, at time.Time) Aggregate {
	zone := Zone("z")
	return Aggregate{At: at, Balancers: 1, ZoneBalancers: map[Zone]int{zone: 1},
		Loads: map[PoolZone]Load{{Pool: Pool(name), Zone: zone}: {InFlight: 1}}}
}

// lease is the lease time of a leaf of the tested trees, which have two levels below the
// root.
var lease = LeaseTime(2)

// positions has the positions of balancers that are not leaves, by name.
var positions = map[string]Position{"root": {TreeHeight: 2}, "middle": {Depth: 1, TreeHeight: 2}}

func positionOf(name string) Position {
	if found, ok := positions[name]; ok {
		return found
	}
	return Position{Depth: 2, TreeHeight: 2}
}

// newStarted returns the tree of a balancer that has run for long enough to report its load.
func newStarted(name string, now time.Time) *Tree {
	tree := NewTree(now.Add(-2 * lease))
	tree.SetOwn(loadOf(name, now), positionOf(name))
	return tree
}

func sendReport(t require.TestingT, from, to *Tree, name string, now time.Time) {
	report, ok := from.ReportTo("parent", now)
	require.True(t, ok)
	to.SetFollowerReport(Address(name), report, now)
}

func TestLoadsOfAllBalancersAddUp(t *testing.T) {
	now := epoch
	root, middle, leaf := newStarted("root", now), newStarted("middle", now), newStarted("leaf", now.Add(-time.Second))
	sendReport(t, leaf, middle, "leaf", now)
	sendReport(t, middle, root, "middle", now)
	sendReport(t, middle, root, "middle", now.Add(time.Second/2))
	all := root.Aggregate(now.Add(time.Second / 2))
	require.Equal(t, 3, all.Balancers)
	require.Equal(t, map[Zone]int{"z": 3}, all.ZoneBalancers)
	require.Len(t, all.Loads, 3)
	for poolZone, load := range all.Loads {
		require.Equal(t, 1.0, load.InFlight, poolZone)
	}
	require.Equal(t, now.Add(-time.Second), all.At, "its age is that of the oldest part")
	leaf.SetParentAggregate(all, now)
	require.Equal(t, all, leaf.Aggregate(now.Add(time.Second)))
}

// A partitioned balancer uses its own load, and the aggregate shows that it is the only one.
func TestPartitionedBalancerUsesItsOwnLoad(t *testing.T) {
	now := epoch
	leaf := newStarted("leaf", now)
	all := loadOf("leaf", now)
	leaf.SetParentAggregate(all.plus(loadOf("other", now)), now)
	require.Equal(t, 2, leaf.Aggregate(now.Add(MaximumAge)).Balancers)
	later := now.Add(MaximumAge + time.Millisecond)
	leaf.SetOwn(loadOf("leaf", later), positionOf("leaf"))
	alone := leaf.Aggregate(later)
	require.Equal(t, 1, alone.Balancers)
	require.True(t, alone.Fresh(later))
}

// The load of a failed balancer expires everywhere, including sums that were passed on.
func TestLoadOfFailedBalancerExpires(t *testing.T) {
	now := epoch
	root, middle, leaf := newStarted("root", now), newStarted("middle", now), newStarted("leaf", now)
	sendReport(t, leaf, middle, "leaf", now)
	for elapsed := time.Duration(0); elapsed <= 2*lease; elapsed += time.Second {
		at := now.Add(elapsed)
		middle.SetOwn(loadOf("middle", at), positionOf("middle"))
		sendReport(t, middle, root, "middle", at)
		all := root.Aggregate(at)
		root.SetOwn(loadOf("root", at), positionOf("root"))
		all = root.Aggregate(at)
		require.Equal(t, 1.0, all.Loads[PoolZone{"middle", "z"}].InFlight, "a failed balancer must not remove the load of others")
		if elapsed > MaximumReportInterval {
			require.NotContains(t, all.Loads, PoolZone{"leaf", "z"})
			require.Equal(t, at.Add(-time.Second/2), all.At.Add(-time.Second/2), "nor make the aggregate old")
		}
	}
}

func TestStartingBalancerReportsNothingYet(t *testing.T) {
	fresh := NewTree(epoch)
	fresh.SetOwn(loadOf("leaf", epoch), positionOf("leaf"))
	// It may have followed a balancer of its own level.
	longest := LeaseTime(positionOf("leaf").TreeHeight + 1)
	_, ok := fresh.ReportTo("parent", epoch.Add(longest-time.Millisecond))
	require.False(t, ok, "the load of an earlier run may still count elsewhere")
	_, ok = fresh.ReportTo("parent", epoch.Add(longest))
	require.True(t, ok)
}

// While the parent is replaced, the next one has few loads for some seconds. The previous
// aggregate of all balancers is used as long as it is fresh.
func TestAggregateWithFewerBalancersDoesNotReplaceAFreshOne(t *testing.T) {
	now := epoch
	leaf := newStarted("leaf", now)
	all := loadOf("a", now).plus(loadOf("b", now)).plus(loadOf("leaf", now))
	leaf.SetParentAggregate(all, now)
	leaf.SetParentAggregate(loadOf("a", now.Add(time.Second)), now.Add(time.Second))
	require.Equal(t, 3, leaf.Aggregate(now.Add(time.Second)).Balancers)
	late := now.Add(MaximumAge + time.Second)
	leaf.SetParentAggregate(loadOf("a", late), late)
	require.Equal(t, 1, leaf.Aggregate(late).Balancers)
}

func TestReportsInACycleAreRejected(t *testing.T) {
	now := epoch
	one, other := newStarted("one", now), newStarted("other", now)
	report, _ := one.ReportTo("other", now)
	other.SetFollowerReport("one", report, now)
	report, _ = other.ReportTo("one", now)
	one.SetFollowerReport("other", report, now)
	require.Equal(t, 1, one.Aggregate(now).Balancers, "the report of a balancer's parent is rejected")
}

// No sum outlasts the loads that it includes. Otherwise their owner would count there and where
// it has moved to.
func TestSumExpiresNoLaterThanItsParts(t *testing.T) {
	now := epoch
	for elapsed := time.Duration(0); elapsed < lease; elapsed += 100 * time.Millisecond {
		root, middle, leaf := newStarted("root", now), newStarted("middle", now), newStarted("leaf", now)
		sendReport(t, leaf, middle, "leaf", now)
		sendReport(t, middle, root, "middle", now.Add(elapsed))
		_, ok := leaf.ReportTo("elsewhere", now.Add(lease-time.Millisecond))
		require.False(t, ok)
		moved := now.Add(lease)
		report, ok := leaf.ReportTo("elsewhere", moved)
		require.True(t, ok)
		root.SetFollowerReport("leaf", report, moved)
		require.Equal(t, 1.0, root.Aggregate(moved).Loads[PoolZone{"leaf", "z"}].InFlight)
	}
}

// A later report may expire before an earlier one to the same balancer, and may be lost.
func TestLatestExpiryOfAllReportsCounts(t *testing.T) {
	now := epoch
	leaf := newStarted("leaf", now)
	_, ok := leaf.ReportTo("middle", now)
	require.True(t, ok)
	soon := now.Add(time.Second)
	leaf.SetOwn(loadOf("leaf", soon), Position{TreeHeight: 2})
	_, ok = leaf.ReportTo("middle", soon)
	require.True(t, ok, "this one is lost")
	_, ok = leaf.ReportTo("elsewhere", now.Add(lease-time.Millisecond))
	require.False(t, ok)
	_, ok = leaf.ReportTo("elsewhere", now.Add(lease))
	require.True(t, ok)
}

// fleet is a set of balancers that report to any balancer before them in an order, whichever
// they take for their parent at the time, and receive any depth from it. Messages are late,
// lost and duplicated; balancers restart and fail.
type fleet struct {
	now      time.Time
	nodes    []*fleetNode
	messages []fleetMessage
	// failedAt is when balancers failed.
	failedAt map[string]time.Time
}

type fleetNode struct {
	tree *Tree
	down bool
}

type fleetMessage struct {
	from, to int
	run      *Tree
	report   Report
	at       time.Time
}

func name(node int) string { return fmt.Sprintf("b%d", node) }

// position returns the position in a chain, since each balancer may follow the one before it.
func (f *fleet) position(node int) Position {
	return Position{Depth: node, TreeHeight: len(f.nodes) - 1}
}

func (f *fleet) wait(length time.Duration) {
	f.now = f.now.Add(length)
	kept := f.messages[:0]
	for _, each := range f.messages {
		if f.now.Before(each.at) {
			kept = append(kept, each)
			continue
		}
		// Times in the clock of an earlier run are meaningless.
		if to := f.nodes[each.to]; !to.down && to.tree == each.run {
			to.tree.SetFollowerReport(Address(name(each.from)), each.report, f.now)
		}
	}
	f.messages = kept
	for index, node := range f.nodes {
		if !node.down {
			node.tree.SetOwn(loadOf(name(index), f.now), f.position(index))
		}
	}
}

// report sends the report of a balancer, zero to two times.
func (f *fleet) report(t *rapid.T) {
	from := rapid.IntRange(1, len(f.nodes)-1).Draw(t, "from")
	to := rapid.IntRange(0, from-1).Draw(t, "to")
	if f.nodes[from].down || f.nodes[to].down {
		return
	}
	if rapid.Bool().Draw(t, "told") {
		f.nodes[from].tree.SetParentDepth(rapid.IntRange(0, maximumHeight+1).Draw(t, "above"), f.now)
	}
	report, ok := f.nodes[from].tree.ReportTo(Address(name(to)), f.now)
	if !ok {
		return
	}
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "copies") {
		late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 300, 6000}).Draw(t, "late")) * time.Millisecond
		f.messages = append(f.messages, fleetMessage{from: from, to: to, run: f.nodes[to].tree, report: report, at: f.now.Add(late)})
	}
	f.wait(0)
}

func (f *fleet) check(t require.TestingT) {
	for _, node := range f.nodes {
		if node.down {
			continue
		}
		subtree := node.tree.subtree(f.now)
		require.Len(t, subtree.Loads, subtree.Balancers)
		for poolZone, load := range subtree.Loads {
			require.LessOrEqual(t, load.InFlight, 1.0, "%s is counted twice", poolZone.Pool)
			if failedAt, failed := f.failedAt[string(poolZone.Pool)]; failed {
				require.LessOrEqual(t, f.now.Sub(failedAt), LeaseTime(maximumHeight), "%s is counted after its lease", poolZone.Pool)
			}
		}
	}
}

// When balancers move, restart, report twice or fail, no balancer is counted twice at any time,
// and a failed one is not counted for longer than a lease.
func TestNoBalancerIsCountedTwiceOrIndefinitely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 5).Draw(t, "balancers")
		f := &fleet{now: epoch, failedAt: make(map[string]time.Time)}
		for range count {
			f.nodes = append(f.nodes, &fleetNode{tree: NewTree(epoch.Add(-time.Minute))})
		}
		f.wait(0)
		for range 120 {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			default:
				f.report(t)
			case 0, 1, 2:
				milliseconds := rapid.SampledFrom([]int{10, 200, 1000, 1400, 3000}).Draw(t, "wait")
				f.wait(time.Duration(milliseconds) * time.Millisecond)
			case 3:
				node := rapid.IntRange(0, count-1).Draw(t, "restarts")
				f.nodes[node] = &fleetNode{tree: NewTree(f.now)}
				f.nodes[node].tree.SetOwn(loadOf(name(node), f.now), f.position(node))
				delete(f.failedAt, name(node))
			case 4:
				node := rapid.IntRange(0, count-1).Draw(t, "vanishes")
				if !f.nodes[node].down {
					f.nodes[node].down = true
					f.failedAt[name(node)] = f.now
				}
			}
			f.check(t)
		}
	})
}

// Guards against loads that never count: a balancer that followed one of its own level leased
// its load for too short a time to be passed on. It must count there once it has received its
// parent's depth, and so must its own follower.
func TestFollowersOfTheSameLevelCount(t *testing.T) {
	for _, level := range []int{1, 2} {
		root, other := newStarted("root", epoch), newStarted("other", epoch)
		moved, follower := newStarted("moved", epoch), newStarted("below", epoch)
		position := Position{Depth: level, TreeHeight: 2}
		for ms := 0; ms < 20_000; ms += 100 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			root.SetOwn(loadOf("root", now), Position{TreeHeight: 2})
			other.SetOwn(loadOf("other", now), position)
			moved.SetOwn(loadOf("moved", now), position)
			follower.SetOwn(loadOf("below", now), Position{Depth: 2, TreeHeight: 2})
			if ms%500 != 0 {
				continue
			}
			// Each passes on what it received half a second ago.
			chain := []*Tree{root, other, moved, follower}
			for index, each := range chain[1:] {
				parent := chain[index]
				sendReport(t, each, parent, "follower", now)
				each.SetParentDepth(parent.Depth(now), now)
			}
			if ms < 10_000 {
				continue
			}
			require.Contains(t, root.Aggregate(now).Loads, PoolZone{Pool: "moved", Zone: "z"}, "level %d", level)
		}
	}
}
