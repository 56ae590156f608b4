package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// starvedPause is how often the system is asked how long threads have waited for
	// a processor.
	starvedPause = 100 * time.Millisecond
	// starvedTime is the wait of a thread from which on its process counts as starved.
	// Two of them, on the way there and in the test, hold up a request as long as one
	// copy of a packet that was lost.
	starvedTime = 100 * time.Millisecond
)

// waits are how long each thread has waited for a processor, by its directory.
type waits map[string]time.Duration

// waitsOf reads the waits of a process's threads.
func waitsOf(process int) waits {
	read := make(waits)
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process))
	for _, file := range files {
		content, _ := os.ReadFile(file)
		var ran, waited int64
		if _, err := fmt.Sscan(string(content), &ran, &waited); err == nil {
			read[file] = time.Duration(waited)
		}
	}
	return read
}

// longest is the longest wait of a thread since it was read before. A wait is told
// when it is over.
func (read waits) longest(before waits) time.Duration {
	longest := time.Duration(0)
	for thread, waited := range read {
		longest = max(longest, waited-before[thread])
	}
	return longest
}

// watchStarvation notes when the machine kept a balancer, or this process, from a
// processor, until the context ends.
func (soak *soak) watchStarvation(ctx context.Context) {
	before := make(map[int]waits)
	for ctx.Err() == nil {
		time.Sleep(starvedPause)
		soak.noteStarved(os.Getpid(), before, nil)
		for place := range soakBalancers {
			soak.noteStarved(soak.process(place).command.Process.Pid, before, []int{place})
		}
	}
}

func (soak *soak) noteStarved(process int, before map[int]waits, places []int) {
	read := waitsOf(process)
	longest := read.longest(before[process])
	_, known := before[process]
	before[process] = read
	if !known || longest < starvedTime {
		return
	}
	now := time.Now()
	soak.record.Lock()
	defer soak.record.Unlock()
	starved := span{from: now.Add(-longest - starvedPause), until: now}
	soak.history.starved = append(soak.history.starved, trouble{span: starved, places: places})
}

// The longest wait of one thread counts, not the sum over many short ones.
func TestWaits(t *testing.T) {
	t.Parallel()
	before := waits{"a": time.Second, "b": 0}
	read := waits{"a": time.Second + 30*time.Millisecond, "b": 20 * time.Millisecond, "c": 10 * time.Millisecond}
	require.Equal(t, 30*time.Millisecond, read.longest(before))
	require.Zero(t, before.longest(read))
	require.NotEmpty(t, waitsOf(os.Getpid()))
	require.Empty(t, waitsOf(-1))
}
