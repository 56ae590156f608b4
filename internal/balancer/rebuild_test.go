package balancer

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// newFleetControl returns the control state of a balancer that knows the given number of
// other balancers, in five zones, and the given number of back ends, four fifths of them
// in one pool, with one route per forty back ends.
func newFleetControl(balancers, backends int, now time.Time) *control {
	control := newTestControl()
	settings := testSettings()
	settings.Zone = "zone-0"
	control.balancer.settings.Store(settings)
	table := &apiv1.RouteTable{Version: 1}
	for n := range backends / 40 {
		table.Routes = append(table.Routes, &apiv1.ServiceRoute{Name: fmt.Sprintf("r-%d", n), Address: uint32(n + 1), Port: 443,
			Pools: []*apiv1.PoolShare{{Pool: poolNames[n%2], Weight: 1}}})
	}
	batch := &apiv1.DirectoryBatch{Revision: 9, Complete: true, Changes: []*apiv1.DirectoryChange{
		{Revision: 1, Entry: &apiv1.DirectoryChange_Routes{Routes: table}}}}
	for n := range backends {
		batch.Changes = append(batch.Changes, fleetBackend(2, n, false))
	}
	for n := range balancers {
		batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 3, Entry: &apiv1.DirectoryChange_Balancer{
			Balancer: &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", n), Zone: fmt.Sprintf("zone-%d", n%5), PeerAddress: "10.0.0.1:1"}}})
	}
	control.replica.Apply(batch, now)
	control.core.Confirm(now)
	return control
}

var poolNames = []string{"lending", "covers"}

func fleetBackend(revision uint64, n int, draining bool) *apiv1.DirectoryChange {
	pool := poolNames[0]
	if n%5 == 0 {
		pool = poolNames[1]
	}
	return &apiv1.DirectoryChange{Revision: revision, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{
		Id: fmt.Sprintf("i-%08x", n+1), Number: uint64(n + 1), Pool: pool, Zone: fmt.Sprintf("zone-%d", n/5%5),
		Address: uint32(n + 1), Port: 80, Capacity: 2, Draining: draining}}}
}

// BenchmarkRebuildAfterOneChange measures a rebuild of the table after one back end begins
// to leave, by numbers of balancers and back ends.
func BenchmarkRebuildAfterOneChange(b *testing.B) {
	for _, size := range [][2]int{{100, 1_000}, {1_000, 10_000}, {2_000, 20_000}} {
		b.Run(fmt.Sprintf("%d/%d", size[0], size[1]), func(b *testing.B) {
			now := time.Now()
			control := newFleetControl(size[0], size[1], now)
			control.rebuildTable(now)
			now = now.Add(time.Minute)
			control.core.Confirm(now)
			revision := uint64(10)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				control.replica.Apply(&apiv1.DirectoryBatch{Revision: revision,
					Changes: []*apiv1.DirectoryChange{fleetBackend(revision, 7, revision%2 == 0)}}, now)
				control.rebuildTable(now)
			}
		})
	}
}
