// Package asynclog writes log lines asynchronously, so that an output that stalls loses
// lines but never blocks the program. Lines wait in a bounded queue; lines that do not fit
// are dropped and counted, and their number is logged.
//
// # Usage
//
//	writer := asynclog.New(os.Stderr)
//	defer writer.Close(time.Second)
//	logger := slog.New(slog.NewTextHandler(writer, nil))
package asynclog

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLimit bounds the number of queued lines.
	queueLimit = 2048
	// flushInterval is the longest time that a line waits for others to be written
	// in the same call.
	flushInterval = 50 * time.Millisecond
	bufferSize    = 32 << 10
)

// Writer is an io.Writer that never blocks. Each call of Write passes one line.
type Writer struct {
	output  *bufio.Writer
	queue   chan []byte
	stop    chan struct{}
	stopped chan struct{}
	dropped atomic.Uint64
}

// New starts a Writer to an output. Close stops it.
func New(output io.Writer) *Writer {
	writer := &Writer{
		output:  bufio.NewWriterSize(output, bufferSize),
		queue:   make(chan []byte, queueLimit),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write queues a copy of a line, or drops it if the queue is full. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.queue <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (writer *Writer) Dropped() uint64 { return writer.dropped.Load() }

// Close writes the queued lines and stops the writer. It returns after the limit even if
// the output still stalls.
func (writer *Writer) Close(limit time.Duration) {
	close(writer.stop)
	select {
	case <-writer.stopped:
	case <-time.After(limit):
	}
}

func (writer *Writer) run() {
	defer close(writer.stopped)
	reported := uint64(0)
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
		if dropped := writer.Dropped(); dropped != reported {
			_, _ = fmt.Fprintf(writer.output, "level=WARN msg=\"Log lines left out.\" lines=%d\n", dropped-reported)
			reported = dropped
		}
		_ = writer.output.Flush()
	}
}

// writeBatch waits for more lines, so that they are written to the output in one call.
func (writer *Writer) writeBatch() {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-writer.stop:
	}
	writer.writeQueued()
}

// writeQueued writes the lines that are in the queue to the buffer.
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
