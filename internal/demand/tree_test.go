package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var begin = time.Unix(1e9, 0)

// part is what a balancer sees: one request at a place that no other sees, so that a sum
// tells who is in it and how often.
func part(name string, at time.Time) Aggregate {
	zone := Zone("z")
	return Aggregate{At: at, Balancers: 1, ZoneBalancers: map[Zone]int{zone: 1},
		Loads: map[PoolZone]Load{{Pool: Pool(name), Zone: zone}: {InFlight: 1}}}
}

// lease is that of a leaf of the trees that are played, which have two levels below the
// root.
var lease = LeaseTime(2)

// placed are the levels of balancers by their names.
var placed = map[string]Position{"root": {TreeHeight: 2}, "middle": {Depth: 1, TreeHeight: 2}}

func levelsOf(name string) Position {
	if found, ok := placed[name]; ok {
		return found
	}
	return Position{Depth: 2, TreeHeight: 2}
}

// started is a balancer that has started long enough ago to lend its part.
func started(name string, now time.Time) *Tree {
	made := NewTree(now.Add(-2 * lease))
	made.SetOwn(part(name, now), levelsOf(name))
	return made
}

func hand(t require.TestingT, from, to *Tree, name string, now time.Time) {
	report, may := from.ReportTo("parent", now)
	require.True(t, may)
	to.SetFollowerReport(Address(name), report, now)
}

func TestPartsOfAllAddUp(t *testing.T) {
	now := begin
	root, middle, leaf := started("root", now), started("middle", now), started("leaf", now.Add(-time.Second))
	hand(t, leaf, middle, "leaf", now)
	hand(t, middle, root, "middle", now)
	hand(t, middle, root, "middle", now.Add(time.Second/2))
	all := root.Aggregate(now.Add(time.Second / 2))
	require.Equal(t, 3, all.Balancers)
	require.Equal(t, map[Zone]int{"z": 3}, all.ZoneBalancers)
	require.Len(t, all.Loads, 3)
	for place, load := range all.Loads {
		require.Equal(t, 1.0, load.InFlight, place)
	}
	require.Equal(t, now.Add(-time.Second), all.At, "as old as its oldest part")
	leaf.SetParentAggregate(all, now)
	require.Equal(t, all, leaf.Aggregate(now.Add(time.Second)))
}

// A balancer that is cut off goes on with its own part, and knows that it is the only one.
func TestCutOffBalancerGoesOnAlone(t *testing.T) {
	now := begin
	leaf := started("leaf", now)
	all := part("leaf", now)
	leaf.SetParentAggregate(all.plus(part("other", now)), now)
	require.Equal(t, 2, leaf.Aggregate(now.Add(MaximumAge)).Balancers)
	later := now.Add(MaximumAge + time.Millisecond)
	leaf.SetOwn(part("leaf", later), levelsOf("leaf"))
	alone := leaf.Aggregate(later)
	require.Equal(t, 1, alone.Balancers)
	require.True(t, alone.Fresh(later))
}

// The part of a balancer that vanished ends everywhere, also in sums that were passed on.
func TestVanishedBalancerEnds(t *testing.T) {
	now := begin
	root, middle, leaf := started("root", now), started("middle", now), started("leaf", now)
	hand(t, leaf, middle, "leaf", now)
	for elapsed := time.Duration(0); elapsed <= 2*lease; elapsed += time.Second {
		at := now.Add(elapsed)
		middle.SetOwn(part("middle", at), levelsOf("middle"))
		hand(t, middle, root, "middle", at)
		all := root.Aggregate(at)
		root.SetOwn(part("root", at), levelsOf("root"))
		all = root.Aggregate(at)
		require.Equal(t, 1.0, all.Loads[PoolZone{"middle", "z"}].InFlight, "a dead one takes nobody with it")
		if elapsed > MaximumReportInterval {
			require.NotContains(t, all.Loads, PoolZone{"leaf", "z"})
			require.Equal(t, at.Add(-time.Second/2), all.At.Add(-time.Second/2), "nor makes it the picture old")
		}
	}
}

func TestBalancerThatStartsLendsNothingYet(t *testing.T) {
	fresh := NewTree(begin)
	fresh.SetOwn(part("leaf", begin), levelsOf("leaf"))
	// It may have followed one of its own level.
	longest := LeaseTime(levelsOf("leaf").TreeHeight + 1)
	_, may := fresh.ReportTo("parent", begin.Add(longest-time.Millisecond))
	require.False(t, may, "an earlier run may still count somewhere else")
	_, may = fresh.ReportTo("parent", begin.Add(longest))
	require.True(t, may)
}

// While the balancer that was followed is replaced, the next one knows little for some
// seconds; what is known of all serves as long as it is fresh.
func TestPoorerPicturesWait(t *testing.T) {
	now := begin
	leaf := started("leaf", now)
	all := part("a", now).plus(part("b", now)).plus(part("leaf", now))
	leaf.SetParentAggregate(all, now)
	leaf.SetParentAggregate(part("a", now.Add(time.Second)), now.Add(time.Second))
	require.Equal(t, 3, leaf.Aggregate(now.Add(time.Second)).Balancers)
	late := now.Add(MaximumAge + time.Second)
	leaf.SetParentAggregate(part("a", late), late)
	require.Equal(t, 1, leaf.Aggregate(late).Balancers)
}

func TestReportsInACircleEnd(t *testing.T) {
	now := begin
	one, other := started("one", now), started("other", now)
	report, _ := one.ReportTo("other", now)
	other.SetFollowerReport("one", report, now)
	report, _ = other.ReportTo("one", now)
	one.SetFollowerReport("other", report, now)
	require.Equal(t, 1, one.Aggregate(now).Balancers, "what one leads is not led by it")
}

// No sum outlasts the parts that went into it: else their owner would count there and where
// it has moved to.
func TestSumEndsNoLaterThanItsParts(t *testing.T) {
	now := begin
	for elapsed := time.Duration(0); elapsed < lease; elapsed += 100 * time.Millisecond {
		root, middle, leaf := started("root", now), started("middle", now), started("leaf", now)
		hand(t, leaf, middle, "leaf", now)
		hand(t, middle, root, "middle", now.Add(elapsed))
		_, may := leaf.ReportTo("elsewhere", now.Add(lease-time.Millisecond))
		require.False(t, may)
		moved := now.Add(lease)
		report, may := leaf.ReportTo("elsewhere", moved)
		require.True(t, may)
		root.SetFollowerReport("leaf", report, moved)
		require.Equal(t, 1.0, root.Aggregate(moved).Loads[PoolZone{"leaf", "z"}].InFlight)
	}
}

// A later report may end before an earlier one that went to the same balancer, and get lost.
func TestLastEndOfAllReportsCounts(t *testing.T) {
	now := begin
	leaf := started("leaf", now)
	_, may := leaf.ReportTo("middle", now)
	require.True(t, may)
	soon := now.Add(time.Second)
	leaf.SetOwn(part("leaf", soon), Position{TreeHeight: 2})
	_, may = leaf.ReportTo("middle", soon)
	require.True(t, may, "this one is lost")
	_, may = leaf.ReportTo("elsewhere", now.Add(lease-time.Millisecond))
	require.False(t, may)
	_, may = leaf.ReportTo("elsewhere", now.Add(lease))
	require.True(t, may)
}

// fleet are balancers that hand their parts to others before them in an order, whoever
// they take for their parent just then, and are told any level. Messages are late, lost and
// doubled; balancers restart and vanish.
type fleet struct {
	now   time.Time
	nodes []*fleetNode
	mail  []fleetMail
	// lostAt is when balancers vanished.
	lostAt map[string]time.Time
}

type fleetNode struct {
	tree *Tree
	down bool
}

type fleetMail struct {
	from, to int
	run      *Tree
	report   Report
	at       time.Time
}

func name(node int) string { return fmt.Sprintf("b%d", node) }

// levels are those of a chain, since each may follow the one before it.
func (f *fleet) levels(node int) Position {
	return Position{Depth: node, TreeHeight: len(f.nodes) - 1}
}

func (f *fleet) wait(length time.Duration) {
	f.now = f.now.Add(length)
	kept := f.mail[:0]
	for _, each := range f.mail {
		if f.now.Before(each.at) {
			kept = append(kept, each)
			continue
		}
		// A report in the clock of an earlier run means nothing.
		if to := f.nodes[each.to]; !to.down && to.tree == each.run {
			to.tree.SetFollowerReport(Address(name(each.from)), each.report, f.now)
		}
	}
	f.mail = kept
	for place, node := range f.nodes {
		if !node.down {
			node.tree.SetOwn(part(name(place), f.now), f.levels(place))
		}
	}
}

// report sends the report of a balancer, up to three times, or not.
func (f *fleet) report(t *rapid.T) {
	from := rapid.IntRange(1, len(f.nodes)-1).Draw(t, "from")
	to := rapid.IntRange(0, from-1).Draw(t, "to")
	if f.nodes[from].down || f.nodes[to].down {
		return
	}
	if rapid.Bool().Draw(t, "told") {
		f.nodes[from].tree.SetParentDepth(rapid.IntRange(0, maximumHeight+1).Draw(t, "above"), f.now)
	}
	report, may := f.nodes[from].tree.ReportTo(Address(name(to)), f.now)
	if !may {
		return
	}
	for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "copies") {
		late := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 300, 6000}).Draw(t, "late")) * time.Millisecond
		f.mail = append(f.mail, fleetMail{from: from, to: to, run: f.nodes[to].tree, report: report, at: f.now.Add(late)})
	}
	f.wait(0)
}

func (f *fleet) check(t require.TestingT) {
	for _, node := range f.nodes {
		if node.down {
			continue
		}
		here := node.tree.subtree(f.now)
		require.Len(t, here.Loads, here.Balancers)
		for place, load := range here.Loads {
			require.LessOrEqual(t, load.InFlight, 1.0, "%s is counted twice", place.Pool)
			if lostAt, lost := f.lostAt[string(place.Pool)]; lost {
				require.LessOrEqual(t, f.now.Sub(lostAt), LeaseTime(maximumHeight), "%s is counted for ever", place.Pool)
			}
		}
	}
}

// Whoever moves, restarts, reports twice or vanishes, at every moment nobody counts a
// balancer twice, and none that vanished for longer than a lease.
func TestNobodyIsCountedTwiceOrForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 5).Draw(t, "balancers")
		f := &fleet{now: begin, lostAt: make(map[string]time.Time)}
		for range count {
			f.nodes = append(f.nodes, &fleetNode{tree: NewTree(begin.Add(-time.Minute))})
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
				f.nodes[node].tree.SetOwn(part(name(node), f.now), f.levels(node))
				delete(f.lostAt, name(node))
			case 4:
				node := rapid.IntRange(0, count-1).Draw(t, "vanishes")
				if !f.nodes[node].down {
					f.nodes[node].down = true
					f.lostAt[name(node)] = f.now
				}
			}
			f.check(t)
		}
	})
}

// A balancer that follows one of its own level counts there, once it has been told, and the
// one that follows it too. Its part was lent for too short a time to be passed on.
func TestFollowersOfTheSameLevelCount(t *testing.T) {
	for _, level := range []int{1, 2} {
		root, other := started("root", begin), started("other", begin)
		moved, below := started("moved", begin), started("below", begin)
		levels := Position{Depth: level, TreeHeight: 2}
		for ms := 0; ms < 20_000; ms += 100 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			root.SetOwn(part("root", now), Position{TreeHeight: 2})
			other.SetOwn(part("other", now), levels)
			moved.SetOwn(part("moved", now), levels)
			below.SetOwn(part("below", now), Position{Depth: 2, TreeHeight: 2})
			if ms%500 != 0 {
				continue
			}
			// Each hands on what it was told half a second ago.
			chain := []*Tree{root, other, moved, below}
			for place, each := range chain[1:] {
				parent := chain[place]
				hand(t, each, parent, "follower", now)
				each.SetParentDepth(parent.Depth(now), now)
			}
			if ms < 10_000 {
				continue
			}
			require.Contains(t, root.Aggregate(now).Loads, PoolZone{Pool: "moved", Zone: "z"}, "level %d", level)
		}
	}
}
