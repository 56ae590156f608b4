package main

import (
	"log/slog"
	"sync"
	"time"
)

// entryLogInterval spaces the lines on entries that can't be read. A store of many such
// entries is read each second or two, and would else fill the log.
const entryLogInterval = time.Second

// entryLogger logs entries of the store that can't be read, a line in entryLogInterval. It is
// safe for use by many goroutines.
type entryLogger struct {
	logger     *slog.Logger
	mutex      sync.Mutex
	nextLine   time.Time
	suppressed int
}

// warn logs an entry, or counts it for the next line.
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
