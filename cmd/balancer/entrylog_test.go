package main

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/platform"
)

func TestEntryLoggerLimitsRate(t *testing.T) {
	var written bytes.Buffer
	log := &entryLogger{logger: slog.New(slog.NewTextHandler(&written, nil))}
	for range 1000 {
		log.warn(errors.New("key servers/i-1: zone is missing"))
	}
	require.Equal(t, 1, strings.Count(written.String(), "\n"))
	require.Contains(t, written.String(), "zone is missing")
	require.Equal(t, 999, log.suppressed)
}

// An operator learns of each odd entry, however often others are read, and of none too often.
func TestEntryLoggerNamesEachKey(t *testing.T) {
	var written bytes.Buffer
	log := &entryLogger{logger: slog.New(slog.NewTextHandler(&written, nil))}
	now := time.Now()
	warnAll := func(keys, seconds int) {
		for range seconds {
			for number := range keys {
				key := fmt.Sprintf("servers/i-%d", number)
				log.warnAt(&platform.UnreadableEntryError{Key: key, Cause: errors.New("zone is missing")}, now)
			}
			now = now.Add(time.Second)
		}
	}
	warnAll(12, 3)
	for number := range 12 {
		require.Equal(t, 1, strings.Count(written.String(), fmt.Sprintf("i-%d:", number)), "key %d", number)
	}
	warnAll(12, 30)
	require.Equal(t, 12, strings.Count(written.String(), "\n"), "no key again within a minute")
	warnAll(12, 60)
	require.Equal(t, 24, strings.Count(written.String(), "\n"))
	written.Reset()
	warnAll(10_000, 1)
	require.Equal(t, maxEntryLines, strings.Count(written.String(), "\n"))
	warnAll(10_000, 1)
	require.Equal(t, maxEntryLines+entryLinesPerSecond, strings.Count(written.String(), "\n"), "others are named later")
	require.Regexp(t, "left_out=[1-9]", written.String())
}
