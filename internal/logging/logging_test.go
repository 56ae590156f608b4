package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestErrorsAreLoggedOnOneLineWithoutStack(t *testing.T) {
	for _, format := range []string{"text", FormatJSON} {
		var output bytes.Buffer
		logger, _ := New(&output, Options{Level: "info", Format: format, Node: "edge-1"})
		logger.Warn("Store: call failed.", "error", errors.Wrap(errors.New("status 503"), "store 10.0.0.1: read"))
		require.Equal(t, 1, strings.Count(output.String(), "\n"), format)
		require.Contains(t, output.String(), "store 10.0.0.1: read: status 503")
		require.NotContains(t, output.String(), "stack trace")
		require.Contains(t, output.String(), "edge-1")
	}
}

func TestLevelChangesAtRunTime(t *testing.T) {
	var output bytes.Buffer
	logger, level := New(&output, Options{Level: "warn"})
	logger.Info("Left out.")
	require.Empty(t, output.String())
	level.Set(slog.LevelInfo)
	logger.Info("Written.")
	require.Contains(t, output.String(), "Written.")
}
