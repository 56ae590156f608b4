package main

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/platform"
)

const (
	// entryLinesPerSecond limits the log lines about unreadable entries, after the first
	// maxEntryLines. The store is read every second or two, and without a limit a store with many such
	// entries would fill the log.
	entryLinesPerSecond = 5
	maxEntryLines       = 100
	// entryRepeatInterval is the minimum time between two lines about one key.
	entryRepeatInterval = time.Minute
	// maxLoggedKeys bounds the keys that are remembered as logged.
	maxLoggedKeys = 4096
)

// entryLogger logs entries of the store that cannot be read: each key once in entryRepeatInterval,
// and with a limited number of lines. A key that is left out is logged when it is read again. It
// is safe for use by many goroutines.
type entryLogger struct {
	logger *slog.Logger
	mutex  sync.Mutex
	// logged is when each key was last logged.
	logged map[string]time.Time
	// lines is by how many lines entryLinesPerSecond was exceeded up to loggedAt, the latest line.
	lines    float64
	loggedAt time.Time
	// suppressed counts the entries that were left out since the last line.
	suppressed int
}

// warn logs the error of an unreadable entry, or counts it as suppressed, to be
// reported with the next line.
func (l *entryLogger) warn(err error) { l.warnAt(err, time.Now()) }

func (l *entryLogger) warnAt(err error, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.allow(keyOf(err), now) {
		l.suppressed++
		return
	}
	l.logger.Warn("Store: entry not understood, it names no back end to use.", "error", err, "left_out", l.suppressed)
	l.suppressed = 0
}

// allow reports whether a line about a key may be written now, and records that it is.
func (l *entryLogger) allow(key string, now time.Time) bool {
	if at, found := l.logged[key]; found && now.Sub(at) < entryRepeatInterval {
		return false
	}
	lines := max(0, l.lines-entryLinesPerSecond*now.Sub(l.loggedAt).Seconds())
	if lines >= maxEntryLines {
		return false
	}
	l.lines, l.loggedAt = lines+1, now
	if l.logged == nil || len(l.logged) >= maxLoggedKeys {
		l.logged = make(map[string]time.Time)
	}
	l.logged[key] = now
	return true
}

// keyOf returns the key that an error names, or its text if it names none.
func keyOf(err error) string {
	var unreadable *platform.UnreadableEntryError
	if errors.As(err, &unreadable) {
		return unreadable.Key
	}
	return err.Error()
}
