// Package asynclog writes log lines in a goroutine of its own, so that an
// output that stalls costs lines and never time. Lines wait in a bounded queue;
// those that find no room are left out, counted, and told of.
package asynclog

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLimit bounds the lines that wait.
	queueLimit = 2048
	// flushInterval is how long a line waits at most for others to be written
	// with it.
	flushInterval = 50 * time.Millisecond
	bufferSize    = 32 << 10
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	output  *bufio.Writer
	queue   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Uint64
}

// New starts a writer to an output.
func New(output io.Writer) *Writer {
	made := &Writer{
		output:  bufio.NewWriterSize(output, bufferSize),
		queue:   make(chan []byte, queueLimit),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go made.run()
	return made
}

// Write queues a copy of a line, or leaves it out. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.queue <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines left out since the start.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() }

// Close writes what waits and ends the goroutine. It gives up on an output that
// stalls for longer than the limit.
func (writer *Writer) Close(limit time.Duration) {
	close(writer.stop)
	select {
	case <-writer.stopped:
	case <-time.After(limit):
	}
}

func (writer *Writer) run() {
	defer close(writer.stopped)
	told := uint64(0)
	for {
		select {
		case line := <-writer.queue:
			_, _ = writer.output.Write(line)
			writer.writeBatch()
		case <-writer.stop:
			writer.writeQueued()
			_ = writer.output.Flush()
			return
		}
		if left := writer.Dropped(); left != told {
			_, _ = fmt.Fprintf(writer.output, "level=WARN msg=\"Log lines left out.\" lines=%d\n", left-told)
			told = left
		}
		_ = writer.output.Flush()
	}
}

// writeBatch lets more lines come, so that they are written in one call.
func (writer *Writer) writeBatch() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-writer.stop:
	}
	writer.writeQueued()
}

func (writer *Writer) writeQueued() {
	for {
		select {
		case line := <-writer.queue:
			_, _ = writer.output.Write(line)
		default:
			return
		}
	}
}
