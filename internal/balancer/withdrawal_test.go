package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
	"github.com/indigobarrow/indigobarrow/internal/withdrawal"
)

// newWithdrawalControl returns the control state of a balancer that may withdraw, with the flow
// cache of its traffic goroutine.
func newWithdrawalControl() *control {
	control := newTestControl()
	control.balancer.traffic = &traffic{flows: tokenroute.NewFlows(mechanism.Set{})}
	control.balancer.table.Store(&tokenroute.Table{})
	control.withdrawal.ranks = map[string]int{"edge-1": 0, "edge-2": 1, "edge-3": 2, "edge-4": 3, "edge-5": 4}
	return control
}

// openFlows opens flows that each take the given time to open, and runs the withdrawal check for
// the given length of time. If flows take long, some are also not answered in time.
func (control *control) openFlows(took, length time.Duration, now time.Time) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(withdrawal.SampleInterval) {
		control.balancer.traffic.flows.OpenedByTime[withdrawal.BucketOf(took)].Add(12)
		if took > 50*time.Millisecond {
			control.balancer.traffic.flows.Unanswered.Add(4)
		}
		control.updateWithdrawal(now)
	}
	return now
}

// Routers stop sending to a balancer that is not ready, and resume once it is ready again.
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
	disabled, err := mechanism.Parse([]string{"step_aside"})
	require.NoError(t, err)
	control.balancer.disabled = disabled
	now := control.openFlows(2*time.Millisecond, 3*time.Second, time.Now())
	control.openFlows(80*time.Millisecond, 5*time.Second, now)
	require.True(t, control.balancer.Ready())
}

// All balancers of a zone agree on the ranks, whatever they know of other zones. A balancer that is
// not listed has no rank.
func TestRanksOfZoneBalancersAreConsistent(t *testing.T) {
	var balancers []*apiv1.Balancer
	for number := range 12 {
		balancers = append(balancers, &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", number), Zone: "maadi"})
		balancers = append(balancers, &apiv1.Balancer{Name: fmt.Sprintf("far-%d", number), Zone: "nasr"})
	}
	ranks := make(map[int]bool)
	for number := range 12 {
		control := newTestControl()
		control.balancer.settings.Load().Name = fmt.Sprintf("edge-%d", number)
		control.rankZoneBalancers(balancers)
		zone := control.withdrawalZone(time.Now())
		require.Equal(t, 12, zone.Size)
		ranks[zone.Rank] = true
	}
	require.Len(t, ranks, 12)
	control := newTestControl()
	control.balancer.settings.Load().Name = "new"
	control.rankZoneBalancers(balancers)
	require.Equal(t, withdrawal.Zone{}, control.withdrawalZone(time.Now()))
}

// A balancer's report about itself reaches the others of its zone through their common parent,
// expires if it is not renewed, and is not relayed after it has expired.
func TestStrugglingReportsAreRelayedByParent(t *testing.T) {
	now := time.Now()
	leaf, parent, other := newWithdrawalControl(), newWithdrawalControl(), newWithdrawalControl()
	leaf.balancer.settings.Load().Name = "edge-2"
	parent.balancer.settings.Load().Name = "edge-3"
	now = leaf.openFlows(2*time.Millisecond, 3*time.Second, now)
	now = leaf.openFlows(80*time.Millisecond, withdrawal.SampleInterval, now)
	parent.handleStrugglingReports(leaf.strugglingReports(now), true, now)
	other.handleStrugglingReports(parent.strugglingReports(now.Add(time.Second)), true, now.Add(time.Second))
	require.Equal(t, []withdrawal.Peer{{Rank: 1}}, other.withdrawalZone(now.Add(time.Second)).Struggling)
	parent.handleStrugglingReports(other.strugglingReports(now.Add(2*time.Second)), true, now.Add(2*time.Second))
	require.Empty(t, parent.strugglingReports(now.Add(4*time.Second)), "a relayed report must not renew itself")
	require.Empty(t, other.withdrawalZone(now.Add(4*time.Second)).Struggling)
}

// An older version sends no reports of struggling balancers. In a rolling upgrade its silence does
// not mean that no balancer of the zone struggles: 15 of 15 balancers acted on that assumption.
func TestOlderVersionsAreNotCountedAsReporting(t *testing.T) {
	now := time.Now()
	control := newWithdrawalControl()
	control.handleStrugglingReports(nil, false, now)
	require.False(t, control.withdrawalZone(now).ReportsComplete)
	control.handleStrugglingReports(nil, true, now)
	require.True(t, control.withdrawalZone(now).ReportsComplete)
}
