package observe

import (
	"math/bits"
	"time"
)

// Answers are counted in steps of half an octave: lengths in bytes, times in
// units of timeUnit.
const (
	stepsPerOctave = 2
	steps          = 40
	// firstLengthBit is the octave of the shortest length told apart, 16 bytes.
	firstLengthBit = 5
	timeUnit       = 250 * time.Microsecond
)

// Tally counts the answers of one back end by their length and by the time
// until their first acknowledgement. Counts fade.
type Tally struct {
	lengths, times histogram
}

// histogram counts by step; total is the sum.
type histogram struct {
	counts [steps]float32
	total  float32
}

// Length counts an answer of so many bytes.
func (t *Tally) Length(length uint32) { t.lengths.add(step(uint64(length), firstLengthBit)) }

// Time counts an answer whose first part was acknowledged after a time.
func (t *Tally) Time(took time.Duration) { t.times.add(step(uint64(max(took, 0)/timeUnit), 0)) }

// Fade keeps a part of every count.
func (t *Tally) Fade(part float32) {
	t.lengths.fade(part)
	t.times.fade(part)
}

// add adds the counts of another tally.
func (t *Tally) add(other *Tally) {
	t.lengths.plus(&other.lengths)
	t.times.plus(&other.times)
}

// Empty tells whether next to nothing is counted any more.
func (t *Tally) Empty() bool { return t.lengths.total < 0.5 && t.times.total < 0.5 }

// step is the place of a value: its octave, counted from a bit length, and the
// half of it.
func step(value uint64, firstBit int) int {
	length := bits.Len64(value)
	if length <= firstBit {
		return 0
	}
	half := 0
	if length > 1 {
		half = int(value>>(length-2)) & 1
	}
	return min((length-firstBit)*stepsPerOctave+half, steps-1)
}

func (h *histogram) add(place int) {
	h.counts[place]++
	h.total++
}

func (h *histogram) plus(other *histogram) {
	for place, count := range other.counts {
		h.counts[place] += count
	}
	h.total += other.total
}

func (h *histogram) fade(part float32) {
	for place := range h.counts {
		h.counts[place] *= part
	}
	h.total *= part
}
