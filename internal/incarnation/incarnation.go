// Package incarnation tells the starts of a back end apart.
//
// A back end that starts again comes under another number or under the one that it
// had. In either case it holds no flow and knows nothing from before. So whatever is
// learned of a back end (what it left unanswered, how it answers, what it has in hand)
// belongs to one start of it and is kept by its ID; what must stay as it was for the
// same number, such as the choice by a hash, goes by the number alone.
//
// # Usage
//
//	known := judged[backend.Incarnation()]
//	if told != backend.Incarnation() { ... it speaks of another start ... }
package incarnation

import "time"

// Start is the Unix time in milliseconds at which a back end says that it started; 0 is
// that of one that does not say.
type Start uint64

// ID names one start of a back end.
type ID struct {
	// Number is that of the back end, the same for all of its starts.
	Number uint64
	Start  Start
}

// clockSkewMargin is by how much a flow must be older than a start to have been opened
// before it. Clocks of machines differ, and are set by some seconds at times. A clock that
// is behind shows itself (Age) unless it is so by less than the news of the start took,
// which is a second or two while the store answers.
const clockSkewMargin = 5 * time.Second

// Age is how long ago a back end started by the clock of this machine, and whether that
// can be told: it cannot without a start, or when the start lies ahead.
func (s Start) Age(now time.Time) (time.Duration, bool) {
	if s == 0 {
		return 0, false
	}
	age := now.Sub(time.UnixMilli(int64(s)))
	return age, age >= 0
}

// PrecededBy tells whether something of a certain age is surely older than the start, so
// that it concerns an earlier one.
func (s Start) PrecededBy(age time.Duration, now time.Time) bool {
	started, told := s.Age(now)
	return told && age > started+clockSkewMargin
}
