package main

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
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
