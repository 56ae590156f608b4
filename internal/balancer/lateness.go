package balancer

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// latenessThreshold is the lateness of the control goroutine from which it is logged.
const latenessThreshold = 250 * time.Millisecond

// lateness measures how late the control goroutine runs. The goroutine waits for its
// ticker at most. A longer wait means that the process did not get a processor, and a
// long run that the goroutine itself was busy, or did not get one meanwhile. If neither
// was long, a call that got no answer was not delayed by this balancer.
type lateness struct {
	logger *slog.Logger
	// waitingSince is when the goroutine began to wait, and runningSince when it last
	// stopped waiting.
	waitingSince, runningSince time.Time
	// waits and runs add up what exceeded latenessThreshold, in nanoseconds.
	waits, runs atomic.Int64
}

// waiting records that the goroutine begins to wait for an event.
func (l *lateness) waiting(now time.Time) {
	l.waitingSince = now
	l.record(&l.runs, "ran", now.Sub(l.runningSince))
}

// running records that an event, or the ticker, has ended the wait.
func (l *lateness) running(now time.Time) {
	l.runningSince = now
	if !l.waitingSince.IsZero() {
		l.record(&l.waits, "waited", now.Sub(l.waitingSince)-tickInterval)
	}
}

func (l *lateness) record(sum *atomic.Int64, state string, late time.Duration) {
	if late < latenessThreshold {
		return
	}
	sum.Add(int64(late))
	l.logger.Info("Control: goroutine ran late.", state, late.Round(time.Millisecond))
}

// staleSpell describes how data that had become stale was confirmed again.
type staleSpell struct {
	// failedCalls counts the calls to the store that failed since the last confirmation,
	// and longestCall is the longest of all calls to it.
	failedCalls int
	longestCall time.Duration
}

// recordStoreCall records a call to the store that took the given time.
func (s *staleSpell) recordStoreCall(took time.Duration, failed bool) {
	s.longestCall = max(s.longestCall, took)
	if failed {
		s.failedCalls++
	}
}
