package observe

import (
	"math/bits"
	"time"
)

// Answers are counted in steps of half an octave: lengths in bytes, times in
// units of timeUnit.
const (
	bucketsPerOctave = 2
	buckets          = 40
	// firstLengthBit is the octave of the shortest length told apart, 16 bytes.
	firstLengthBit = 5
	timeUnit       = 250 * time.Microsecond
)

// ResponseCounts counts the answers of one back end by their length and by the time
// until their first acknowledgement. Counts fade.
type ResponseCounts struct {
	lengths, times histogram
}

// histogram counts by step; total is the sum.
type histogram struct {
	counts [buckets]float32
	total  float32
}

// AddLength counts an answer of so many bytes.
func (t *ResponseCounts) AddLength(length uint32) {
	t.lengths.add(bucketOf(uint64(length), firstLengthBit))
}

// AddTime counts an answer whose first part was acknowledged after a time.
func (t *ResponseCounts) AddTime(took time.Duration) {
	t.times.add(bucketOf(uint64(max(took, 0)/timeUnit), 0))
}

// Decay keeps a part of every count.
func (t *ResponseCounts) Decay(part float32) {
	t.lengths.decay(part)
	t.times.decay(part)
}

// merge adds the counts of another tally.
func (t *ResponseCounts) merge(other *ResponseCounts) {
	t.lengths.addAll(&other.lengths)
	t.times.addAll(&other.times)
}

// Empty tells whether next to nothing is counted any more.
func (t *ResponseCounts) Empty() bool { return t.lengths.total < 0.5 && t.times.total < 0.5 }

// bucketOf is the place of a value: its octave, counted from a bit length, and the
// half of it.
func bucketOf(value uint64, firstBit int) int {
	length := bits.Len64(value)
	if length <= firstBit {
		return 0
	}
	half := 0
	if length > 1 {
		half = int(value>>(length-2)) & 1
	}
	return min((length-firstBit)*bucketsPerOctave+half, buckets-1)
}

func (h *histogram) add(place int) {
	h.counts[place]++
	h.total++
}

func (h *histogram) addAll(other *histogram) {
	for place, count := range other.counts {
		h.counts[place] += count
	}
	h.total += other.total
}

func (h *histogram) decay(part float32) {
	for place := range h.counts {
		h.counts[place] *= part
	}
	h.total *= part
}
