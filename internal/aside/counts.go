package aside

import "time"

// Steps is how many steps the times are counted in.
const Steps = 16

// bounds are the upper ends of the steps; what took longer counts in the last one.
var bounds = func() (made [Steps]time.Duration) {
	bound := time.Millisecond
	for step := range made {
		made[step] = bound
		bound += bound / 2
	}
	return made
}()

// StepOf is the step in which a time counts.
func StepOf(took time.Duration) int {
	for step, bound := range bounds {
		if took <= bound {
			return step
		}
	}
	return Steps - 1
}

// Counts are the flows of a balancer since its start.
type Counts struct {
	// Opened are those that opened, by the step of the time that it took.
	Opened [Steps]uint64
	// Missed are first packets that were not answered in time.
	Missed uint64
}

func (c Counts) since(before Counts) Counts {
	for step := range c.Opened {
		c.Opened[step] -= before.Opened[step]
	}
	c.Missed -= before.Missed
	return c
}

func (c Counts) answered() uint64 {
	sum := uint64(0)
	for _, count := range c.Opened {
		sum += count
	}
	return sum
}

// median is the upper end of the step in which the median lies.
func (c Counts) median() time.Duration {
	half, sum := (c.answered()+1)/2, uint64(0)
	for step, count := range c.Opened {
		sum += count
		if sum >= half {
			return bounds[step]
		}
	}
	return bounds[Steps-1]
}

// split tells what took longer than a bound from the rest.
func (c Counts) split(bound time.Duration) Seen {
	seen := Seen{Missed: c.Missed}
	for step, count := range c.Opened {
		if bounds[step] > bound {
			seen.Slow += count
		} else {
			seen.Prompt += count
		}
	}
	return seen
}

// Seen is what a look saw: flows that opened in the usual time, those that took much
// longer, and first packets that were not answered in time.
type Seen struct {
	Prompt, Slow, Missed uint64
}

// bad tells whether this balancer is slow, and callers pay for it. Of the flows that
// back ends answered more than a third came late, and with those that nobody answered
// half of all tries: that is how it differs from back ends that answer nobody. A tenth
// of all were not answered in time, and cost their clients a repetition, 200 ms: what
// is only late costs them less than another path may.
func (s Seen) bad() bool {
	answered := s.Prompt + s.Slow
	tries := answered + s.Missed
	return tries >= leastOpenings && 3*s.Slow > answered && 2*(s.Slow+s.Missed) >= tries && 10*s.Missed >= tries
}
