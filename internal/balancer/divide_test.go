package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// served is a balancer of maadi with a table, where lending has back ends in some zones.
func served(now time.Time, backends map[string]int) *control {
	control := newTestControl()
	batch := routesBatch(5)
	batch.Changes[0].GetRoutes().Routes = []*apiv1.ServiceRoute{{Name: "loans", Address: 1, Port: 443,
		Pools: []*apiv1.PoolShare{{Pool: "lending", Weight: 1000}}}}
	number := uint64(0)
	for zone, count := range backends {
		for range count {
			number++
			batch.Changes = append(batch.Changes, &apiv1.DirectoryChange{Revision: 5, Entry: &apiv1.DirectoryChange_Backend{
				Backend: &apiv1.PoolBackend{Id: fmt.Sprintf("%s-%d", zone, number), Number: number, Pool: "lending", Zone: zone,
					Address: uint32(number), Port: 80, Capacity: 2}}})
		}
	}
	control.learn(&apiv1.DirectoryNews{Batch: batch, AsOfNanoseconds: control.nanoseconds(now)}, now)
	control.firstAt = now.Add(-time.Hour)
	control.renewTable(now)
	return control
}

// plan gives a balancer a picture in which clients of its zone ask, and plans by it.
func (control *control) plan(now time.Time) bool {
	control.demand.tree.See(asksOf("maadi", 5, 5, now), demand.Levels{})
	picture := control.demand.tree.Picture(now)
	control.demand.picture.Store(picture.WithRoom(control.demand.room.slots))
	return control.divide(now)
}

// The picture tells of a pool for seconds after its last entry has gone. Its back ends
// still take new flows then, by the grace of pools that are empty.
func TestPlannedPoolMayVanish(t *testing.T) {
	now := time.Now()
	control := served(now, map[string]int{"maadi": 4, "giza": 4})
	require.True(t, control.plan(now))
	control.renewTable(now)
	gone := &apiv1.DirectoryBatch{Revision: 6}
	for _, each := range control.known.Backends() {
		gone.Changes = append(gone.Changes, &apiv1.DirectoryChange{Revision: 6, Gone: true,
			Entry: &apiv1.DirectoryChange_Backend{Backend: each.PoolBackend}})
	}
	now = now.Add(100 * time.Millisecond)
	control.learn(&apiv1.DirectoryNews{Batch: gone, AsOfNanoseconds: control.nanoseconds(now)}, now)
	require.NotNil(t, control.observed.planned)
	require.NotPanics(t, func() { control.renewTable(now) })
}
