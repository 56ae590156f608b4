package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// gap is what a message takes in the fleets that are played, and wave the time between
	// two answers that followers wait for: the reader reads the store about so often.
	gap  = 10 * time.Millisecond
	wave = 920 * time.Millisecond
)

// tier is balancers in a tree in virtual time: the reader, heads of zones, and two levels
// in each zone. All calls are answered with each confirmation of the store, level by level;
// callers call again at once with what they know then.
type tier struct {
	now     time.Time
	nodes   []*tierNode
	mail    map[time.Time][]func()
	reports int
	// alone lets reports go in calls of their own.
	alone bool
	// oldest and sum are over the ages of pictures, and looks how many there were.
	oldest, sum time.Duration
	looks       int
}

type tierNode struct {
	name   string
	parent *tierNode
	below  []*tierNode
	levels Position
	tree   *Tree
	pace   ReportSchedule
}

func newTier(alone bool) *tier {
	made := &tier{now: begin, mail: make(map[time.Time][]func()), alone: alone}
	reader := made.add(nil, 0)
	for range 2 {
		head := made.add(reader, 1)
		for range 4 {
			inner := made.add(head, 2)
			for range 8 {
				made.add(inner, 3)
			}
		}
	}
	return made
}

func (f *tier) add(parent *tierNode, above int) *tierNode {
	node := &tierNode{name: fmt.Sprintf("b%d", len(f.nodes)), parent: parent, tree: NewTree(begin.Add(-time.Minute)),
		levels: Position{Depth: above, TreeHeight: 3}}
	f.nodes = append(f.nodes, node)
	if parent != nil {
		parent.below = append(parent.below, node)
	}
	return node
}

func (f *tier) send(act func()) {
	f.mail[f.now.Add(gap)] = append(f.mail[f.now.Add(gap)], act)
}

// report hands a node's parts to its parent.
func (f *tier) report(node *tierNode, alone bool) {
	if node.parent == nil {
		return
	}
	report, may := node.tree.ReportTo(Address(node.parent.name), f.now)
	if !may {
		return
	}
	node.pace.Reported(alone, f.now)
	if alone {
		f.reports++
	}
	f.send(func() {
		node.parent.tree.SetFollowerReport(Address(node.name), report, f.now)
		node.parent.pace.FollowerReported(f.now)
	})
}

// answer answers the calls of a node's followers.
func (f *tier) answer(node *tierNode) {
	for _, each := range node.below {
		picture := node.tree.Aggregate(f.now)
		f.send(func() {
			each.tree.SetParentAggregate(picture, f.now)
			f.answer(each)
			f.report(each, false)
		})
	}
}

func (f *tier) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(gap) {
		if f.now.Sub(begin)%wave == 0 {
			f.answer(f.nodes[0])
		}
		acts := f.mail[f.now]
		delete(f.mail, f.now)
		for _, act := range acts {
			act()
		}
		for _, node := range f.nodes {
			// A summary is made four times a second.
			if f.now.Sub(begin)%(250*time.Millisecond) == 0 {
				node.tree.SetOwn(part(node.name, f.now), node.levels)
			}
			if f.alone && node.pace.Due(f.now) {
				f.report(node, true)
			}
			f.look(node)
		}
	}
}

func (f *tier) look(node *tierNode) {
	if f.now.Sub(begin) < 10*time.Second {
		return
	}
	picture := node.tree.Aggregate(f.now)
	age := picture.Age(f.now)
	f.oldest = max(f.oldest, age)
	f.sum += age
	f.looks++
}

// Over three levels, the pictures of 75 balancers are 1.5 s old on average and 2.1 s at most;
// where reports go with other calls only, each level adds the time of one.
func TestAgeOfPicturesOverThreeLevels(t *testing.T) {
	for _, alone := range []bool{true, false} {
		f := newTier(alone)
		f.run(40 * time.Second)
		mean := f.sum / time.Duration(f.looks)
		t.Logf("alone %v: mean age %v, oldest %v, %d reports of their own in 40 s", alone, mean, f.oldest, f.reports)
		for _, node := range f.nodes {
			require.Equal(t, len(f.nodes), node.tree.Aggregate(f.now).Balancers)
		}
		if alone {
			require.Less(t, mean, 1700*time.Millisecond)
			require.Less(t, f.oldest, 2200*time.Millisecond)
			require.LessOrEqual(t, f.reports, 3*40*10, "of those that have followers, three a second at most")
		} else {
			require.Greater(t, mean, 2*time.Second)
		}
	}
}
