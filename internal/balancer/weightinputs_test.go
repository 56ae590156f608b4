package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// observeWaiting applies summaries with the same number of waiting requests for two seconds and
// reports whether any of them required a new table.
func (control *control) observeWaiting(pool string, waiting float64, from time.Time) bool {
	changed := false
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 250 * time.Millisecond {
		summary := &observe.Summary{At: from.Add(elapsed), InFlight: map[string]float64{pool: waiting}}
		changed = control.weightInputs.update(summary, from.Add(elapsed)) || changed
	}
	return changed
}

// With uneven demand between zones, the back ends of the smallest zone rejected requests that those
// of the other zones had capacity for: only 0.81 of the requests were served on a day without
// faults.
func TestOverloadedZoneSharesWithOthers(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	remote := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Pool: "lending", Zone: "giza"}}
	few := control.weightFunc(nil, now)(remote)
	require.LessOrEqual(t, few, uint32(rule.MaximumWeight/100))
	require.False(t, control.observeWaiting("lending", 1, now), "a zone with free capacity needs no new table")
	require.True(t, control.observeWaiting("lending", 3.5, now.Add(10*time.Second)))
	more := control.weightFunc(nil, now.Add(10*time.Second))(remote)
	require.Greater(t, more, 20*few)
	control.observeWaiting("lending", 400, now.Add(20*time.Second))
	require.InDelta(t, rule.MaximumWeight, control.weightFunc(nil, now.Add(20*time.Second))(remote), 10, "at most the same weight as the local zone")
}

// Routers spread a zone's packets over its balancers, so each sees only a fraction of them.
func TestDemandIncludesOtherBalancersOfZone(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	remote := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Pool: "lending", Zone: "giza"}}
	control.observeWaiting("lending", 1, now)
	alone := control.weightFunc(nil, now)(remote)
	control.weightInputs.zoneBalancers = control.countByZone([]*apiv1.Balancer{
		{Name: "edge-1", Zone: "maadi"}, {Name: "edge-2", Zone: "maadi"}, {Name: "edge-3", Zone: "maadi"}, {Name: "edge-4", Zone: "giza"}})["maadi"]
	require.Equal(t, 3, control.weightInputs.zoneBalancers)
	require.Greater(t, control.weightFunc(nil, now)(remote), alone)
}

// An old summary is no reason to send flows to other zones.
func TestStaleSummaryClearsDemand(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	control.addBackends("lending", "maadi", 4, now)
	control.addBackends("lending", "giza", 8, now)
	control.observeWaiting("lending", 400, now)
	require.NotEmpty(t, control.weightInputs.inFlight)
	old := &observe.Summary{At: now.Add(2 * time.Second), InFlight: map[string]float64{"lending": 400}}
	control.weightInputs.update(old, now.Add(10*time.Second))
	require.Empty(t, control.weightInputs.inFlight)
}
