package e2e

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// reservations records which balancers are unavailable, that is down or paused, and whose
// settings file is being changed. Only one step at a time may make balancers unavailable,
// or several steps up to limit balancers if a limit is set. A balancer can't be unavailable
// while its settings file is being changed. The zero value has no reservations.
type reservations struct {
	mutex            sync.Mutex
	limit            int
	unavailable      []int
	changingSettings map[int]bool
}

// reserve marks balancers as unavailable. It returns false and does nothing if that isn't
// permitted.
func (reservations *reservations) reserve(balancers []int) bool {
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	reserved := func(balancer int) bool {
		return reservations.changingSettings[balancer] || slices.Contains(reservations.unavailable, balancer)
	}
	if len(reservations.unavailable) > 0 && len(reservations.unavailable)+len(balancers) > reservations.limit || slices.ContainsFunc(balancers, reserved) {
		return false
	}
	reservations.unavailable = append(reservations.unavailable, balancers...)
	return true
}

// release undoes reserve for the same balancers.
func (reservations *reservations) release(balancers []int) {
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	reservations.unavailable = slices.DeleteFunc(reservations.unavailable, func(balancer int) bool { return slices.Contains(balancers, balancer) })
}

// reserveSettings marks a balancer's settings file as being changed. It returns false and does
// nothing if the file is being changed already or the balancer is unavailable.
func (reservations *reservations) reserveSettings(balancer int) bool {
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	if reservations.changingSettings[balancer] || slices.Contains(reservations.unavailable, balancer) {
		return false
	}
	if reservations.changingSettings == nil {
		reservations.changingSettings = make(map[int]bool)
	}
	reservations.changingSettings[balancer] = true
	return true
}

// releaseSettings undoes reserveSettings.
func (reservations *reservations) releaseSettings(balancer int) {
	reservations.mutex.Lock()
	defer reservations.mutex.Unlock()
	delete(reservations.changingSettings, balancer)
}

// A change of a settings file must block only steps that affect the same balancer, and the
// number of unavailable balancers must respect the limit.
func TestReservations(t *testing.T) {
	t.Parallel()
	var reserved reservations
	require.True(t, reserved.reserveSettings(2))
	require.False(t, reserved.reserveSettings(2))
	require.False(t, reserved.reserve([]int{1, 2}))
	require.True(t, reserved.reserve([]int{1}), "settings of another balancer change")
	require.False(t, reserved.reserve([]int{3}), "one is unavailable")
	require.False(t, reserved.reserveSettings(1), "it is unavailable")
	require.True(t, reserved.reserveSettings(3), "another is unavailable")
	reserved.release([]int{1})
	reserved.releaseSettings(2)
	require.True(t, reserved.reserve([]int{1, 2}))
	several := reservations{limit: 2}
	require.True(t, several.reserve([]int{0}))
	require.False(t, several.reserve([]int{0}), "it is unavailable")
	require.True(t, several.reserve([]int{4}))
	require.False(t, several.reserve([]int{3}), "two are unavailable")
	several.release([]int{0})
	require.True(t, several.reserve([]int{3}))
}
