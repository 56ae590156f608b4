package main

import (
	"log/slog"
	"sync"
	"time"
)

// entryLogInterval is the minimum time between two log lines about unreadable entries.
// The store is read every second or two, and without a limit a store with many such
// entries would fill the log.
const entryLogInterval = time.Second

// entryLogger logs entries of the store that cannot be read, at most one line in each
// entryLogInterval. It is safe for use by many goroutines.
type entryLogger struct {
	logger     *slog.Logger
	mutex      sync.Mutex
	nextLine   time.Time
	suppressed int
}

// warn logs the error of an unreadable entry, or counts it as suppressed, to be
// reported with the next line.
func (l *entryLogger) warn(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if now.Before(l.nextLine) {
		l.suppressed++
		return
	}
	l.logger.Warn("Store: entry not understood, it names no back end to use.", "error", err, "left_out", l.suppressed)
	l.nextLine, l.suppressed = now.Add(entryLogInterval), 0
}
