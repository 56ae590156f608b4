package asynclog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	var output bytes.Buffer
	writer := New(&output)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := writer.Write([]byte(line))
		require.NoError(t, err)
	}
	writer.Close(time.Second)
	require.Equal(t, "one\ntwo\nthree\n", output.String())
}

// stalledWriter is an output that takes nothing until it is released.
type stalledWriter struct {
	released chan struct{}
	written  bytes.Buffer
}

func (stalled *stalledWriter) Write(content []byte) (int, error) {
	<-stalled.released
	return stalled.written.Write(content)
}

func TestStalledOutputDropsLinesWithoutBlocking(t *testing.T) {
	output := &stalledWriter{released: make(chan struct{})}
	writer := New(output)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	began := time.Now()
	for range 3 * queueLimit {
		_, _ = writer.Write(line)
	}
	require.Less(t, time.Since(began), time.Second)
	require.Positive(t, writer.Dropped())
	close(output.released)
	writer.Close(5 * time.Second)
	require.Contains(t, output.written.String(), "Log lines left out.")
}
