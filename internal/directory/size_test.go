package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// sizes are the numbers of back ends that costs are measured for. The largest is that of two years
// of operation.
var sizes = []int{1_000, 10_000, 140_000}

func manyBackends(count int) *apiv1.DirectoryBatch {
	snapshot := &apiv1.DirectoryBatch{Revision: uint64(count), Complete: true}
	for number := range count {
		change := backendChange(uint64(number+1), fmt.Sprintf("i-%010x", number), false, false)
		change.GetBackend().Number = uint64(number)
		change.GetBackend().Pool = fmt.Sprintf("pool-%d", number/6)
		change.GetBackend().Zone = "maadi"
		change.GetBackend().Capacity = 2
		snapshot.Changes = append(snapshot.Changes, change)
	}
	return snapshot
}

// BenchmarkSnapshot measures merging all entries, and their size in bytes and memory.
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

// BenchmarkOneChange measures merging one change and passing it on.
func BenchmarkOneChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dir := New(time.Minute)
			dir.Apply(manyBackends(size), start)
			revision := dir.Revision()
			for b.Loop() {
				revision++
				dir.Apply(batch(revision, false, backendChange(revision, "i-0000000000", revision%2 == 0, false)), start)
				reported := dir.Since(revision - 1)
				if len(reported.GetChanges()) != 1 {
					b.Fatal("want one change")
				}
			}
			b.ReportMetric(float64(proto.Size(dir.Since(revision-1))), "bytes")
		})
	}
}

// BenchmarkMemory measures the memory of a directory.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				dir := New(time.Minute)
				dir.Apply(manyBackends(size), start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/backend")
				runtime.KeepAlive(dir)
			}
		})
	}
}

// BenchmarkExpire measures a call of Expire, which comes with each event, while there is one
// tombstone.
func BenchmarkExpire(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dir := New(time.Minute)
			dir.Apply(manyBackends(size), start)
			dir.Apply(batch(uint64(size)+1, false, backendChange(uint64(size)+1, "i-0000000000", false, true)), start)
			for b.Loop() {
				dir.Expire(start)
			}
		})
	}
}

// BenchmarkExpireOneTombstone measures the expiry of one tombstone. With 10,000 back ends it took
// 0.36 ms when all entries were examined, and takes 2.3 us when only tombstones are.
func BenchmarkExpireOneTombstone(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			dir := New(time.Minute)
			dir.Apply(manyBackends(size), start)
			revision, now := uint64(size), start
			for b.Loop() {
				revision++
				now = now.Add(2 * time.Minute)
				dir.Apply(batch(revision, false, backendChange(revision, "j-1", false, false)), now)
				revision++
				dir.Apply(batch(revision, false, backendChange(revision, "j-1", false, true)), now)
				if !dir.Expire(now.Add(time.Minute)) {
					b.Fatal("tombstone did not expire")
				}
			}
		})
	}
}
