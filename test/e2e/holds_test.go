package e2e

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// reservations tells which balancers are away, that is down or paused, and whose settings
// file is changed. One step has balancers away at a time, or several up to a limit of
// balancers if one is set; a balancer isn't away while its file is changed. The zero
// value holds none.
type reservations struct {
	mutex            sync.Mutex
	limit            int
	unavailable      []int
	changingSettings map[int]bool
}

// reserve holds balancers as away, if that may be.
func (holds *reservations) reserve(places []int) bool {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	held := func(place int) bool {
		return holds.changingSettings[place] || slices.Contains(holds.unavailable, place)
	}
	if len(holds.unavailable) > 0 && len(holds.unavailable)+len(places) > holds.limit || slices.ContainsFunc(places, held) {
		return false
	}
	holds.unavailable = append(holds.unavailable, places...)
	return true
}

// release ends what reserve began with the same places.
func (holds *reservations) release(places []int) {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	holds.unavailable = slices.DeleteFunc(holds.unavailable, func(place int) bool { return slices.Contains(places, place) })
}

// reserveSettings holds a balancer as one whose settings file is changed, if that may be.
func (holds *reservations) reserveSettings(place int) bool {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	if holds.changingSettings[place] || slices.Contains(holds.unavailable, place) {
		return false
	}
	if holds.changingSettings == nil {
		holds.changingSettings = make(map[int]bool)
	}
	holds.changingSettings[place] = true
	return true
}

// releaseSettings ends what change began.
func (holds *reservations) releaseSettings(place int) {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	delete(holds.changingSettings, place)
}

// A changed settings file holds its own balancer only.
func TestReservations(t *testing.T) {
	t.Parallel()
	var held reservations
	require.True(t, held.reserveSettings(2))
	require.False(t, held.reserveSettings(2))
	require.False(t, held.reserve([]int{1, 2}))
	require.True(t, held.reserve([]int{1}), "settings of another balancer change")
	require.False(t, held.reserve([]int{3}), "one is away")
	require.False(t, held.reserveSettings(1), "it is away")
	require.True(t, held.reserveSettings(3), "another is away")
	held.release([]int{1})
	held.releaseSettings(2)
	require.True(t, held.reserve([]int{1, 2}))
	several := reservations{limit: 2}
	require.True(t, several.reserve([]int{0}))
	require.False(t, several.reserve([]int{0}), "it is away")
	require.True(t, several.reserve([]int{4}))
	require.False(t, several.reserve([]int{3}), "two are away")
	several.release([]int{0})
	require.True(t, several.reserve([]int{3}))
}
