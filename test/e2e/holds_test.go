package e2e

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// holds tells which balancers are away, that is down or paused, and whose settings
// file is changed. One step has balancers away at a time, or several up to a limit of
// balancers if one is set; a balancer isn't away while its file is changed. The zero
// value holds none.
type holds struct {
	mutex    sync.Mutex
	limit    int
	away     []int
	changing map[int]bool
}

// takeAway holds balancers as away, if that may be.
func (holds *holds) takeAway(places []int) bool {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	held := func(place int) bool { return holds.changing[place] || slices.Contains(holds.away, place) }
	if len(holds.away) > 0 && len(holds.away)+len(places) > holds.limit || slices.ContainsFunc(places, held) {
		return false
	}
	holds.away = append(holds.away, places...)
	return true
}

// back ends what takeAway began with the same places.
func (holds *holds) back(places []int) {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	holds.away = slices.DeleteFunc(holds.away, func(place int) bool { return slices.Contains(places, place) })
}

// change holds a balancer as one whose settings file is changed, if that may be.
func (holds *holds) change(place int) bool {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	if holds.changing[place] || slices.Contains(holds.away, place) {
		return false
	}
	if holds.changing == nil {
		holds.changing = make(map[int]bool)
	}
	holds.changing[place] = true
	return true
}

// changed ends what change began.
func (holds *holds) changed(place int) {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	delete(holds.changing, place)
}

// A changed settings file holds its own balancer only.
func TestHolds(t *testing.T) {
	t.Parallel()
	var held holds
	require.True(t, held.change(2))
	require.False(t, held.change(2))
	require.False(t, held.takeAway([]int{1, 2}))
	require.True(t, held.takeAway([]int{1}), "settings of another balancer change")
	require.False(t, held.takeAway([]int{3}), "one is away")
	require.False(t, held.change(1), "it is away")
	require.True(t, held.change(3), "another is away")
	held.back([]int{1})
	held.changed(2)
	require.True(t, held.takeAway([]int{1, 2}))
	several := holds{limit: 2}
	require.True(t, several.takeAway([]int{0}))
	require.False(t, several.takeAway([]int{0}), "it is away")
	require.True(t, several.takeAway([]int{4}))
	require.False(t, several.takeAway([]int{3}), "two are away")
	several.back([]int{0})
	require.True(t, several.takeAway([]int{3}))
}
