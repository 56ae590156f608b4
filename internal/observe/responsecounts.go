package observe

import (
	"math/bits"
	"time"
)

// Histograms have two buckets for each doubling of the value. Lengths are counted
// in bytes, times in units of timeUnit.
const (
	bucketsPerOctave = 2
	buckets          = 40
	// firstLengthBit is the bit length that stands for the first octave of response
	// lengths, which starts at 16 bytes. Shorter lengths share its bucket.
	firstLengthBit = 5
	timeUnit       = 250 * time.Microsecond
)

// ResponseCounts counts the responses of one back end by their length and by the
// time until their first acknowledgement. Counts decay.
type ResponseCounts struct {
	lengths, times histogram
}

// histogram counts values by bucket. The field total is the sum of all counts.
type histogram struct {
	counts [buckets]float32
	total  float32
}

// AddLength counts a response of a length in bytes.
func (c *ResponseCounts) AddLength(length uint32) {
	c.lengths.add(bucketOf(uint64(length), firstLengthBit))
}

// AddTime counts a response whose first part was acknowledged after a time.
func (c *ResponseCounts) AddTime(responseTime time.Duration) {
	c.times.add(bucketOf(uint64(max(responseTime, 0)/timeUnit), 0))
}

// Decay multiplies every count by factor.
func (c *ResponseCounts) Decay(factor float32) {
	c.lengths.decay(factor)
	c.times.decay(factor)
}

// merge adds other counts to these.
func (c *ResponseCounts) merge(other *ResponseCounts) {
	c.lengths.addAll(&other.lengths)
	c.times.addAll(&other.times)
}

// Empty reports whether the counts have decayed to almost nothing.
func (c *ResponseCounts) Empty() bool { return c.lengths.total < 0.5 && c.times.total < 0.5 }

// bucketOf returns the bucket of a value. Values of at most firstBit bits are counted
// in bucket 0. Each octave above has two buckets, one for each half of it.
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

func (h *histogram) add(bucket int) {
	h.counts[bucket]++
	h.total++
}

func (h *histogram) addAll(other *histogram) {
	for bucket, count := range other.counts {
		h.counts[bucket] += count
	}
	h.total += other.total
}

func (h *histogram) decay(factor float32) {
	for bucket := range h.counts {
		h.counts[bucket] *= factor
	}
	h.total *= factor
}
