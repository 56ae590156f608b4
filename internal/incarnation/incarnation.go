// Package incarnation identifies the starts of a back end.
//
// A back end that restarts comes back under another number or under the one that it had.
// In either case it holds no flow and knows nothing of the time before. So whatever is
// learned about a back end (what it left unanswered, how it responds, what it is working
// on) belongs to one start of it and is kept by its ID. What must stay the same for the
// same number, such as the choice by a hash, depends on the number alone.
//
// # Usage
//
//	state := stateByID[backend.Incarnation()]
//	if reported != backend.Incarnation() { ... the report is about another start ... }
package incarnation

import "time"

// Start is the Unix time in milliseconds at which a back end reports that it started; 0
// means that the back end does not report it.
type Start uint64

// ID identifies one start of a back end.
type ID struct {
	// Number is the number of the back end, the same for all of its starts.
	Number uint64
	Start  Start
}

// clockSkewMargin is by how much a flow must be older than a start to count as opened
// before it. The clocks of machines differ, and are at times adjusted by some seconds. A
// local clock that is behind is detected, since the start then lies in the future (Age),
// unless it is behind by less than the time in which the start became known here, which is
// a second or two while the store answers.
const clockSkewMargin = 5 * time.Second

// Age returns how long ago a back end started by the clock of this machine, and whether
// that is known: it is not without a start, or when the start lies in the future.
func (s Start) Age(now time.Time) (time.Duration, bool) {
	if s == 0 {
		return 0, false
	}
	age := now.Sub(time.UnixMilli(int64(s)))
	return age, age >= 0
}

// PrecededBy reports whether something of the given age is certainly older than the start,
// so that it belongs to an earlier start.
func (s Start) PrecededBy(age time.Duration, now time.Time) bool {
	startAge, known := s.Age(now)
	return known && age > startAge+clockSkewMargin
}
