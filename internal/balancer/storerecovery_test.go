package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// A back end's entry was removed while the balancer that reads the store was being refused
// by it. Another balancer, which had been in touch with the store all the time, read it as
// a stand-in 1.3 s later, took the missing entry for one that had expired during an
// outage, and sent the back end new flows for 2 s more, until 3.05 s after the removal.
//
// The log of a soak test shows the read 1.31 s after the removal and a new flow 1.74 s
// after the read. The directory had been unconfirmed for 1.65 s, in which no entry can
// expire, because an entry expires after three missed heartbeats.
func TestShortStoreGapGivesNoGrace(t *testing.T) {
	control := newTestControl()
	control.balancer.settings.Load().DrainMilliseconds = 3000
	confirmedAt := time.Now()
	initial := routesBatch(5)
	initial.Changes = append(initial.Changes, &apiv1.DirectoryChange{Revision: 4, Entry: &apiv1.DirectoryChange_Backend{
		Backend: &apiv1.PoolBackend{Id: "i-1", Number: 1, Pool: "one", Zone: "maadi", Address: 1, Port: 1, Capacity: 1}}})
	control.handleNews(&apiv1.DirectoryNews{Batch: initial, AsOfNanoseconds: control.sinceStart(confirmedAt)}, confirmedAt)
	readAt := confirmedAt.Add(1650 * time.Millisecond)
	control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(6), AsOfNanoseconds: control.sinceStart(readAt)}, readAt)
	require.True(t, control.replica.Backends()[0].Gone)
	storeRecovery := control.storeRecovery()
	require.False(t, storeRecovery.Until.After(confirmedAt.Add(3*time.Second)), "new flows are sent until %s after the back end may have gone", storeRecovery.Until.Sub(confirmedAt))
}

// After a gap in which entries may have expired, they have their time to come back. No
// expired entry takes new flows beyond the time allowed for a leaving back end, counted
// from the last confirmation before the gap, as long as that time has not passed.
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
		confirmedAt := time.Now()
		for revision, at := range []time.Time{confirmedAt, confirmedAt.Add(each.gap)} {
			control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(uint64(revision + 5)), AsOfNanoseconds: control.sinceStart(at)}, at)
		}
		storeRecovery := control.storeRecovery()
		if each.until == 0 {
			require.Zero(t, storeRecovery, "no entry expires within %s", each.gap)
			continue
		}
		require.InDelta(t, each.until.Seconds(), storeRecovery.Until.Sub(confirmedAt).Seconds(), 0.001, "after a gap of %s", each.gap)
	}
}

// Guards against new flows to back ends that are gone once the store has served this
// balancer for some time: the store did not answer it for long, and the last call was sent
// just before that ended. The call fails after a second, the next one follows after the
// longest pause, and a ping precedes the read. The entry of a back end that has gone
// meanwhile was taken for one that may come back, for up to 4.6 s after the store had begun
// to serve the balancer, which counts as in touch 4 s after that.
func TestRemovedEntriesTakeNoFlowsOnceStoreServesAgain(t *testing.T) {
	for _, lateness := range []time.Duration{0, time.Second} {
		const callTime = 10 * time.Millisecond
		control := newTestControl()
		loaded := control.balancer.settings.Load()
		loaded.DrainMilliseconds, loaded.HeartbeatMilliseconds, loaded.LapseMilliseconds = 3000, 1200, 2000
		start := time.Now()
		answer := func(poll replication.Poll, sentAt time.Time, took time.Duration, failure string) {
			news := &apiv1.DirectoryNews{Poll: uint32(poll), AsOfNanoseconds: control.sinceStart(sentAt), Error: failure}
			if failure == "" && poll != replication.PollPing {
				news.Batch = routesBatch(uint64(5 + sentAt.Sub(start).Seconds()))
			}
			control.core.PollStarted(poll, sentAt)
			control.handleNews(news, sentAt.Add(took))
		}
		answer(replication.PollFirstPage, start, 0, "")
		at, servedSince := start.Add(time.Second), time.Time{}
		for range 5 {
			servedSince = at
			answer(replication.PollPing, at, storeTimeout, "no answer")
			at = at.Add(storeTimeout + timingOf(loaded).RetryDelay)
		}
		answer(replication.PollPing, at, callTime, "")
		at = at.Add(callTime + lateness)
		answer(replication.PollFirstPage, at, callTime, "")
		require.NotZero(t, control.storeRecovery(), "entries may have expired in the gap")
		require.LessOrEqual(t, control.storeRecovery().Until.Sub(servedSince), 4*time.Second, "control goroutine %s late", lateness)
	}
}
