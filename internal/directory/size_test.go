package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// sizes are the numbers of back ends for which costs are measured; the largest
// is that of two years.
var sizes = []int{1_000, 10_000, 140_000}

func manyBackends(count int) *apiv1.DirectoryBatch {
	made := &apiv1.DirectoryBatch{Revision: uint64(count), Complete: true}
	for number := range count {
		change := backendChange(uint64(number+1), fmt.Sprintf("i-%010x", number), false, false)
		change.GetBackend().Number = uint64(number)
		change.GetBackend().Pool = fmt.Sprintf("pool-%d", number/6)
		change.GetBackend().Zone = "maadi"
		change.GetBackend().Capacity = 2
		made.Changes = append(made.Changes, change)
	}
	return made
}

// BenchmarkSnapshot is the cost of merging everything, and its bytes and memory.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			batch := manyBackends(size)
			for b.Loop() {
				New(time.Minute).Apply(batch, start)
			}
			b.ReportMetric(float64(proto.Size(batch)), "bytes")
		})
	}
}

// BenchmarkOneChange is the cost of merging one change and of telling it.
func BenchmarkOneChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			known := New(time.Minute)
			known.Apply(manyBackends(size), start)
			revision := known.Revision()
			for b.Loop() {
				revision++
				known.Apply(batch(revision, false, backendChange(revision, "i-0000000000", revision%2 == 0, false)), start)
				told := known.Since(revision - 1)
				if len(told.GetChanges()) != 1 {
					b.Fatal("one change is told")
				}
			}
			b.ReportMetric(float64(proto.Size(known.Since(revision-1))), "bytes")
		})
	}
}

// BenchmarkMemory is the memory of a directory.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				known := New(time.Minute)
				known.Apply(manyBackends(size), start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/backend")
				runtime.KeepAlive(known)
			}
		})
	}
}

// BenchmarkExpire is the cost of a look for tombstones to drop, which comes with
// each event, while there is one.
func BenchmarkExpire(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			known := New(time.Minute)
			known.Apply(manyBackends(size), start)
			known.Apply(batch(uint64(size)+1, false, backendChange(uint64(size)+1, "i-0000000000", false, true)), start)
			for b.Loop() {
				known.Expire(start)
			}
		})
	}
}

// BenchmarkExpireOneTombstone is the cost of a tombstone that has had its time: 0.36 ms beside 10,000
// back ends while all entries were looked at, 2.3 us since only tombstones are.
func BenchmarkExpireOneTombstone(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			known := New(time.Minute)
			known.Apply(manyBackends(size), start)
			revision, now := uint64(size), start
			for b.Loop() {
				revision++
				now = now.Add(2 * time.Minute)
				known.Apply(batch(revision, false, backendChange(revision, "j-1", false, false)), now)
				revision++
				known.Apply(batch(revision, false, backendChange(revision, "j-1", false, true)), now)
				if !known.Expire(now.Add(time.Minute)) {
					b.Fatal("it has had its time")
				}
			}
		})
	}
}
