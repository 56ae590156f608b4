package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
