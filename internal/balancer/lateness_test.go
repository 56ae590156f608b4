package balancer

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// logInto makes a control write its log into the returned buffer.
func logInto(control *control) *bytes.Buffer {
	var written bytes.Buffer
	control.balancer.logger = slog.New(slog.NewTextHandler(&written, nil))
	control.lateness.logger = control.balancer.logger
	return &written
}

// The log tells whether this balancer ran late, so that a call that got no answer in time
// can be attributed to the other side.
func TestLatenessTellsWaitsFromRuns(t *testing.T) {
	control := newTestControl()
	written, start := logInto(control), time.Now()
	l := &control.lateness
	l.running(start)
	l.waiting(start.Add(10 * time.Millisecond))
	l.running(start.Add(60 * time.Millisecond))
	require.Empty(t, written.String(), "a wait for the ticker is not late")
	l.waiting(start.Add(400 * time.Millisecond))
	require.Contains(t, written.String(), "Control: goroutine ran late.\" ran=340ms")
	l.running(start.Add(1450 * time.Millisecond))
	require.Contains(t, written.String(), "Control: goroutine ran late.\" waited=1s")
	require.Equal(t, []int64{int64(340 * time.Millisecond), int64(time.Second)}, []int64{l.runs.Load(), l.waits.Load()})
}

// When stale data is confirmed, the log tells which part of its age is due to calls that
// failed or were slow, and which to this balancer.
func TestLogTellsWhyDataWasStale(t *testing.T) {
	control := newTestControl()
	written, confirmedAt := logInto(control), time.Now()
	at := func(after time.Duration) (time.Time, int64) {
		moment := confirmedAt.Add(after)
		return moment, control.sinceStart(moment)
	}
	control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(5), AsOfNanoseconds: control.sinceStart(confirmedAt)}, confirmedAt)
	_, pingSent := at(7 * time.Second)
	pingEnded, pingFailed := at(8 * time.Second)
	control.handleNews(&apiv1.DirectoryNews{Poll: uint32(replication.PollPing), AsOfNanoseconds: pingSent, LeftBeforeNanoseconds: pingFailed,
		Error: "no answer"}, pingEnded)
	_, readSent := at(9 * time.Second)
	_, readEnded := at(9100 * time.Millisecond)
	handled, _ := at(9400 * time.Millisecond)
	control.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(6), AsOfNanoseconds: readSent, LeftBeforeNanoseconds: readEnded}, handled)
	require.Contains(t, written.String(), `"Control: stale data was confirmed." age=9.4s peer="" failed_store_calls=1 longest_store_call=1s handled_after=300ms`)
}
