package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// messageDelay is how long a message takes in the simulated trees, and answerInterval is
	// the time between two answers that followers wait for: the root reads the store about as
	// often.
	messageDelay   = 10 * time.Millisecond
	answerInterval = 920 * time.Millisecond
)

// simulatedTree is a tree of balancers in virtual time: the root, heads of zones, and two levels
// in each zone. All calls are answered with each confirmation of the store, level by level;
// callers call again at once with what they know then.
type simulatedTree struct {
	now      time.Time
	nodes    []*treeNode
	messages map[time.Time][]func()
	reports  int
	// separate allows reports in separate calls.
	separate bool
	// oldest is the greatest and sum the sum of the ages of aggregates, and samples is how
	// many were examined.
	oldest, sum time.Duration
	samples     int
}

type treeNode struct {
	name      string
	parent    *treeNode
	followers []*treeNode
	position  Position
	tree      *Tree
	schedule  ReportSchedule
}

func newSimulatedTree(separate bool) *simulatedTree {
	f := &simulatedTree{now: epoch, messages: make(map[time.Time][]func()), separate: separate}
	root := f.add(nil, 0)
	for range 2 {
		head := f.add(root, 1)
		for range 4 {
			inner := f.add(head, 2)
			for range 8 {
				f.add(inner, 3)
			}
		}
	}
	return f
}

func (f *simulatedTree) add(parent *treeNode, depth int) *treeNode {
	node := &treeNode{name: fmt.Sprintf("b%d", len(f.nodes)), parent: parent, tree: NewTree(epoch.Add(-time.Minute)),
		position: Position{Depth: depth, TreeHeight: 3}}
	f.nodes = append(f.nodes, node)
	if parent != nil {
		parent.followers = append(parent.followers, node)
	}
	return node
}

func (f *simulatedTree) send(deliver func()) {
	f.messages[f.now.Add(messageDelay)] = append(f.messages[f.now.Add(messageDelay)], deliver)
}

// report reports a node's load to its parent.
func (f *simulatedTree) report(node *treeNode, separate bool) {
	if node.parent == nil {
		return
	}
	report, ok := node.tree.ReportTo(Address(node.parent.name), f.now)
	if !ok {
		return
	}
	node.schedule.Reported(separate, f.now)
	if separate {
		f.reports++
	}
	f.send(func() {
		node.parent.tree.SetFollowerReport(Address(node.name), report, f.now)
		node.parent.schedule.FollowerReported(f.now)
	})
}

// answer answers the calls of a node's followers.
func (f *simulatedTree) answer(node *treeNode) {
	for _, each := range node.followers {
		aggregate := node.tree.Aggregate(f.now)
		f.send(func() {
			each.tree.SetParentAggregate(aggregate, f.now)
			f.answer(each)
			f.report(each, false)
		})
	}
}

func (f *simulatedTree) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(messageDelay) {
		if f.now.Sub(epoch)%answerInterval == 0 {
			f.answer(f.nodes[0])
		}
		deliveries := f.messages[f.now]
		delete(f.messages, f.now)
		for _, deliver := range deliveries {
			deliver()
		}
		for _, node := range f.nodes {
			// Loads are measured four times a second.
			if f.now.Sub(epoch)%(250*time.Millisecond) == 0 {
				node.tree.SetOwn(loadOf(node.name, f.now), node.position)
			}
			if f.separate && node.schedule.Due(f.now) {
				f.report(node, true)
			}
			f.sample(node)
		}
	}
}

func (f *simulatedTree) sample(node *treeNode) {
	if f.now.Sub(epoch) < 10*time.Second {
		return
	}
	aggregate := node.tree.Aggregate(f.now)
	age := aggregate.Age(f.now)
	f.oldest = max(f.oldest, age)
	f.sum += age
	f.samples++
}

// Over three levels, the aggregates of 75 balancers are 1.5 s old on average and 2.1 s at most.
// Where reports go with other calls only, each level adds the time between two of them.
func TestAgeOfAggregatesOverThreeLevels(t *testing.T) {
	for _, separate := range []bool{true, false} {
		f := newSimulatedTree(separate)
		f.run(40 * time.Second)
		mean := f.sum / time.Duration(f.samples)
		t.Logf("separate calls %v: mean age %v, oldest %v, %d reports in separate calls in 40 s", separate, mean, f.oldest, f.reports)
		for _, node := range f.nodes {
			require.Equal(t, len(f.nodes), node.tree.Aggregate(f.now).Balancers)
		}
		if separate {
			require.Less(t, mean, 1700*time.Millisecond)
			require.Less(t, f.oldest, 2200*time.Millisecond)
			require.LessOrEqual(t, f.reports, 3*40*10, "at most three a second of each balancer with followers")
		} else {
			require.Greater(t, mean, 2*time.Second)
		}
	}
}
