package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Story: a back end's entry went while the balancer that reads the store was turned away. Another
// one, in touch with the store all the while, read it in that one's place 1.3 s later, took what was
// missing for lapsed in an outage, and sent the back end new flows for 2 s more: 3.05 s after it
// had gone.
//
// Evidence: the log of a soak shows the read 1.31 s after the removal and a new flow 1.74 s after
// the read; knowledge had been stale for 1.65 s, in which no entry can lapse, since one does after
// three heartbeats of silence.
func TestShortStoreGapGivesNoGrace(t *testing.T) {
	control := newTestControl()
	control.balancer.settings.Load().DrainMilliseconds = 3000
	told := time.Now()
	holds := routesBatch(5)
	holds.Changes = append(holds.Changes, &apiv1.DirectoryChange{Revision: 4, Entry: &apiv1.DirectoryChange_Backend{
		Backend: &apiv1.PoolBackend{Id: "i-1", Number: 1, Pool: "one", Zone: "maadi", Address: 1, Port: 1, Capacity: 1}}})
	control.handleNews(&apiv1.DirectoryNews{Batch: holds, AsOfNanoseconds: control.sinceStart(told)}, told)
	read := told.Add(1650 * time.Millisecond)
	control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(6), AsOfNanoseconds: control.sinceStart(read)}, read)
	require.True(t, control.replica.Backends()[0].Gone)
	lapse := control.storeRecovery()
	require.False(t, lapse.Until.After(told.Add(3*time.Second)), "new flows until %s after it may have gone", lapse.Until.Sub(told))
}

// After a gap in which entries may have lapsed they have their time to come back, but none takes
// new flows beyond the time of a leaving back end, counted from the last confirmation before the
// gap, while that has not passed.
func TestExpiredEntriesGetNoMoreTimeThanLeavingOnes(t *testing.T) {
	for _, each := range []struct{ gap, until time.Duration }{
		{gap: 2300 * time.Millisecond, until: 0},
		{gap: 2500 * time.Millisecond, until: 3 * time.Second},
		{gap: 2900 * time.Millisecond, until: 3 * time.Second},
		{gap: 10 * time.Second, until: 12 * time.Second},
	} {
		control := newTestControl()
		loaded := control.balancer.settings.Load()
		loaded.DrainMilliseconds, loaded.HeartbeatMilliseconds, loaded.LapseMilliseconds = 3000, 1200, 2000
		told := time.Now()
		for revision, at := range []time.Time{told, told.Add(each.gap)} {
			control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(uint64(revision + 5)), AsOfNanoseconds: control.sinceStart(at)}, at)
		}
		lapse := control.storeRecovery()
		if each.until == 0 {
			require.Zero(t, lapse, "no entry lapses within %s", each.gap)
			continue
		}
		require.InDelta(t, each.until.Seconds(), lapse.Until.Sub(told).Seconds(), 0.001, "after a gap of %s", each.gap)
	}
}
