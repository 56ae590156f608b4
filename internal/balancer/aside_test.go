package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/aside"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// newWithdrawalControl is the control state of a balancer that may step aside, with the
// memory of its traffic goroutine.
func newWithdrawalControl() *control {
	control := newTestControl()
	control.balancer.traffic = &traffic{flows: tokenroute.NewFlows(mechanism.Set{})}
	control.balancer.table.Store(&tokenroute.Table{})
	control.withdrawal.ranks = map[string]int{"edge-1": 0, "edge-2": 1, "edge-3": 2, "edge-4": 3, "edge-5": 4}
	return control
}

// openFlows lets flows open, each in so long, and control look at it for a time. Beside
// those that take long some are not answered in time.
func (control *control) openFlows(took, length time.Duration, now time.Time) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(aside.SampleInterval) {
		control.balancer.traffic.flows.OpenedByTime[aside.BucketOf(took)].Add(12)
		if took > 50*time.Millisecond {
			control.balancer.traffic.flows.Unanswered.Add(4)
		}
		control.updateWithdrawal(now)
	}
	return now
}

// Routers leave out who is not ready, and come back to who is.
func TestSlowBalancerIsTemporarilyNotReady(t *testing.T) {
	control := newWithdrawalControl()
	now := control.openFlows(2*time.Millisecond, 3*time.Second, time.Now())
	require.True(t, control.balancer.Ready())
	now = control.openFlows(80*time.Millisecond, 2*time.Second, now)
	require.False(t, control.balancer.Ready())
	require.Equal(t, uint64(1), control.balancer.withdrawals.Load())
	control.openFlows(2*time.Millisecond, 10*time.Second, now)
	require.True(t, control.balancer.Ready())
}

func TestWithdrawalCanBeDisabled(t *testing.T) {
	control := newWithdrawalControl()
	off, err := mechanism.Parse([]string{"step_aside"})
	require.NoError(t, err)
	control.balancer.disabled = off
	now := control.openFlows(2*time.Millisecond, 3*time.Second, time.Now())
	control.openFlows(80*time.Millisecond, 5*time.Second, now)
	require.True(t, control.balancer.Ready())
}

// All balancers of a zone agree on the places, whatever they know of other zones, and
// one that is not listed has none.
func TestRanksOfZoneBalancersAreConsistent(t *testing.T) {
	var known []*apiv1.Balancer
	for number := range 12 {
		known = append(known, &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", number), Zone: "maadi"})
		known = append(known, &apiv1.Balancer{Name: fmt.Sprintf("far-%d", number), Zone: "nasr"})
	}
	places := make(map[int]bool)
	for number := range 12 {
		control := newTestControl()
		control.balancer.settings.Load().Name = fmt.Sprintf("edge-%d", number)
		control.rankZoneBalancers(known)
		zone := control.withdrawalZone(time.Now())
		require.Equal(t, 12, zone.Size)
		places[zone.Rank] = true
	}
	require.Len(t, places, 12)
	control := newTestControl()
	control.balancer.settings.Load().Name = "new"
	control.rankZoneBalancers(known)
	require.Equal(t, aside.Zone{}, control.withdrawalZone(time.Now()))
}

// What one says of itself reaches the others of its zone through the one that they
// follow, fades when it is not renewed, and is passed on no longer than it holds.
func TestStrugglingReportsAreRelayedByParent(t *testing.T) {
	now := time.Now()
	leaf, parent, other := newWithdrawalControl(), newWithdrawalControl(), newWithdrawalControl()
	leaf.balancer.settings.Load().Name = "edge-2"
	parent.balancer.settings.Load().Name = "edge-3"
	now = leaf.openFlows(2*time.Millisecond, 3*time.Second, now)
	now = leaf.openFlows(80*time.Millisecond, aside.SampleInterval, now)
	parent.handleStrugglingReports(leaf.strugglingReports(now), true, now)
	other.handleStrugglingReports(parent.strugglingReports(now.Add(time.Second)), true, now.Add(time.Second))
	require.Equal(t, []aside.Peer{{Rank: 1}}, other.withdrawalZone(now.Add(time.Second)).Struggling)
	parent.handleStrugglingReports(other.strugglingReports(now.Add(2*time.Second)), true, now.Add(2*time.Second))
	require.Empty(t, parent.strugglingReports(now.Add(4*time.Second)), "an echo renews nothing")
	require.Empty(t, other.withdrawalZone(now.Add(4*time.Second)).Struggling)
}

// An older program tells nothing of who struggles. In a rolling release its silence is no
// sign that the zone is well: 15 of 15 went by it.
func TestOlderVersionsAreNotCountedAsReporting(t *testing.T) {
	now := time.Now()
	control := newWithdrawalControl()
	control.handleStrugglingReports(nil, false, now)
	require.False(t, control.withdrawalZone(now).ReportsComplete)
	control.handleStrugglingReports(nil, true, now)
	require.True(t, control.withdrawalZone(now).ReportsComplete)
}
