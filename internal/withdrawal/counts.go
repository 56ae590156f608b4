package withdrawal

import "time"

// Buckets is the number of histogram buckets for the times that flows take to open.
const Buckets = 16

// bucketBounds are the upper bounds of the buckets; longer times count in the last one.
var bucketBounds = func() (bounds [Buckets]time.Duration) {
	bound := time.Millisecond
	for bucket := range bounds {
		bounds[bucket] = bound
		bound += bound / 2
	}
	return bounds
}()

// BucketOf returns the bucket in which an opening time counts.
func BucketOf(openingTime time.Duration) int {
	for bucket, bound := range bucketBounds {
		if openingTime <= bound {
			return bucket
		}
	}
	return Buckets - 1
}

// Counts are the flow counters of a balancer since its start.
type Counts struct {
	// Opened counts the flows that opened, by the bucket of the time that it took.
	Opened [Buckets]uint64
	// Unanswered counts first packets that were not answered in time.
	Unanswered uint64
}

func (c Counts) since(previous Counts) Counts {
	for bucket := range c.Opened {
		c.Opened[bucket] -= previous.Opened[bucket]
	}
	c.Unanswered -= previous.Unanswered
	return c
}

func (c Counts) answered() uint64 {
	sum := uint64(0)
	for _, count := range c.Opened {
		sum += count
	}
	return sum
}

// median returns the upper bound of the bucket that holds the median.
func (c Counts) median() time.Duration {
	half, sum := (c.answered()+1)/2, uint64(0)
	for bucket, count := range c.Opened {
		sum += count
		if sum >= half {
			return bucketBounds[bucket]
		}
	}
	return bucketBounds[Buckets-1]
}

// classify separates the flows that took longer than a bound to open from the others.
func (c Counts) classify(bound time.Duration) Sample {
	sample := Sample{Unanswered: c.Unanswered}
	for bucket, count := range c.Opened {
		if bucketBounds[bucket] > bound {
			sample.Slow += count
		} else {
			sample.OnTime += count
		}
	}
	return sample
}

// Sample counts the flows of one interval: those that opened within the usual time, those
// that took much longer, and first packets that were not answered in time.
type Sample struct {
	OnTime, Slow, Unanswered uint64
}

// locallySlow reports whether this balancer is slow, and callers suffer from it. More than a
// third of the answered flows must be slow, and the slow and unanswered ones together must
// be half of all attempts: that tells a slow balancer from back ends that do not answer.
// A tenth of all attempts must be unanswered, each of which costs its client a
// retransmission, 200 ms: flows that are merely late cost clients less than moving them to
// another path may.
func (s Sample) locallySlow() bool {
	answered := s.OnTime + s.Slow
	attempts := answered + s.Unanswered
	return attempts >= minAttempts && 3*s.Slow > answered && 2*(s.Slow+s.Unanswered) >= attempts && 10*s.Unanswered >= attempts
}
