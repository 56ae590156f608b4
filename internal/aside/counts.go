package aside

import "time"

// Buckets is how many steps the times are counted in.
const Buckets = 16

// bucketBounds are the upper ends of the steps; what took longer counts in the last one.
var bucketBounds = func() (made [Buckets]time.Duration) {
	bound := time.Millisecond
	for step := range made {
		made[step] = bound
		bound += bound / 2
	}
	return made
}()

// BucketOf is the step in which a time counts.
func BucketOf(took time.Duration) int {
	for step, bound := range bucketBounds {
		if took <= bound {
			return step
		}
	}
	return Buckets - 1
}

// Counts are the flows of a balancer since its start.
type Counts struct {
	// Opened are those that opened, by the step of the time that it took.
	Opened [Buckets]uint64
	// Unanswered are first packets that were not answered in time.
	Unanswered uint64
}

func (c Counts) since(before Counts) Counts {
	for step := range c.Opened {
		c.Opened[step] -= before.Opened[step]
	}
	c.Unanswered -= before.Unanswered
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
			return bucketBounds[step]
		}
	}
	return bucketBounds[Buckets-1]
}

// classify tells what took longer than a bound from the rest.
func (c Counts) classify(bound time.Duration) Sample {
	seen := Sample{Unanswered: c.Unanswered}
	for step, count := range c.Opened {
		if bucketBounds[step] > bound {
			seen.Slow += count
		} else {
			seen.OnTime += count
		}
	}
	return seen
}

// Sample is what a look saw: flows that opened in the usual time, those that took much
// longer, and first packets that were not answered in time.
type Sample struct {
	OnTime, Slow, Unanswered uint64
}

// slowHere tells whether this balancer is slow, and callers pay for it. Of the flows that
// back ends answered more than a third came late, and with those that nobody answered
// half of all tries: that is how it differs from back ends that answer nobody. A tenth
// of all were not answered in time, and cost their clients a repetition, 200 ms: what
// is only late costs them less than another path may.
func (s Sample) slowHere() bool {
	answered := s.OnTime + s.Slow
	tries := answered + s.Unanswered
	return tries >= minAttempts && 3*s.Slow > answered && 2*(s.Slow+s.Unanswered) >= tries && 10*s.Unanswered >= tries
}
