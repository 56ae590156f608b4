// Package aside decides when a balancer that can't carry its share steps aside: when
// its link is full, its processor starved, or its machine slow. It is a core without
// I/O: counts and times in, a state out.
//
// A balancer can't see how long a packet waited before it was read. But a new flow
// takes two passes through it: its first packet, and what its client sends once a
// back end has answered. The time between the two is that of the network, some
// milliseconds, and what the packets waited here. Back ends answer before they work,
// so that time does not grow with their load; those that are dead or full answer
// nobody, whoever forwards, which is why what was not answered at all counts only
// beside what was answered late.
//
// Invariants:
//
//   - Two bad looks never suffice: a machine that stood still once stays.
//   - Less than half of a zone is ever aside, and nobody asks for leave: the first
//     places of an order that all know may go, the others where the picture of who
//     struggles leaves room (Zone). Where nearly all struggle, or few are known, all stay.
//   - Who comes back and goes again stays aside longer each time, so nobody flaps.
//
// # Usage
//
//	core := aside.New()
//	core.Look(counts, aside.Zone{Place: 3, Size: 14, Others: others, Heard: true}, now)
//	if core.Aside() { ... }
package aside

import "time"

const (
	// SampleInterval is the time between two looks: routers ask twice a second, and
	// clients repeat first packets after 200 ms, so that each look takes in whole
	// tries.
	SampleInterval = 500 * time.Millisecond
	// slowMargin is how much longer than usual a flow must take to open to count as
	// slow. An upload takes some five such round trips; at 25 ms more each, half of
	// the tightest target, 250 ms, is lost here.
	slowMargin = 25 * time.Millisecond
	// baselineGrowth is by what part of itself what is usual may rise from one look to
	// the next: it doubles in a minute, as when callers come from further away.
	baselineGrowth = 0.006
	// minAttempts is how many flows must have been opened, or tried, in a look.
	minAttempts = 4
	// badSampleThreshold is how many bad looks it takes, less the good ones among them: a
	// narrow link is full by fits and starts. A pause for the collection of garbage
	// or the building of a table lies within one or two.
	badSampleThreshold = 3
	// propagationTime is how long a balancer has said that it struggles before it goes
	// by what others say: longer than that takes to reach all of a zone.
	propagationTime = 1400 * time.Millisecond
	// minWithdrawal and longest are for how long a balancer stays aside; each relapse
	// within relapseWindow doubles it.
	minWithdrawal = 4 * time.Second
	maxWithdrawal = 32 * time.Second
	relapseWindow = 30 * time.Second
)

// Detector is the state of one balancer. It belongs to one goroutine.
type Detector struct {
	previous  Counts
	sampledAt time.Time
	// badSamples counts up with each bad look, and down with each good one.
	badSamples int
	// strugglingSince is when the first of them was.
	strugglingSince time.Time
	// baseline is how long a flow takes to open while nothing is wrong; 0 is not known.
	baseline time.Duration
	// lastSample is what the last look saw.
	lastSample Sample
	// withdrawnUntil is up to when it is aside; returnedAt is when it last came back, and stay
	// how long it stayed.
	withdrawnUntil, returnedAt time.Time
	withdrawalDuration         time.Duration
	withdrawn                  bool
}

// New makes the state of a balancer that carries its share.
func New() *Detector { return &Detector{} }

// Withdrawn tells whether the balancer is aside.
func (c *Detector) Withdrawn() bool { return c.withdrawn }

// Struggling tells whether late looks were bad more often than good, or the balancer is
// aside.
func (c *Detector) Struggling() bool { return c.withdrawn || c.badSamples > 0 }

// LastSample is what the last look saw.
func (c *Detector) LastSample() Sample { return c.lastSample }

// WithdrawalDuration is for how long the balancer last stepped aside.
func (c *Detector) WithdrawalDuration() time.Duration { return c.withdrawalDuration }

// Observe takes the counts as they are now, each SampleInterval at most, and tells whether
// the balancer has stepped aside or come back by it.
func (c *Detector) Observe(counts Counts, zone Zone, now time.Time) bool {
	if c.withdrawn {
		return c.endWithdrawal(counts, now)
	}
	if now.Sub(c.sampledAt) < SampleInterval {
		return false
	}
	seen := counts.since(c.previous)
	c.previous, c.sampledAt = counts, now
	c.updateBaseline(seen)
	c.lastSample = seen.classify(c.baseline + slowMargin)
	switch {
	case c.lastSample.slowHere():
		if c.badSamples == 0 {
			c.strugglingSince = now
		}
		c.badSamples++
	case c.lastSample.OnTime > 0:
		c.badSamples = max(c.badSamples-1, 0)
	}
	if c.badSamples < badSampleThreshold || !zone.mayWithdraw(now.Sub(c.strugglingSince)) {
		return false
	}
	c.withdraw(now)
	return true
}

// updateBaseline takes what is usual: the median of a look, or a little more than before.
func (c *Detector) updateBaseline(seen Counts) {
	if seen.answered() < minAttempts {
		return
	}
	median := seen.median()
	if c.baseline == 0 || median < c.baseline {
		c.baseline = median
		return
	}
	c.baseline = min(median, c.baseline+time.Duration(baselineGrowth*float64(c.baseline)))
}

func (c *Detector) withdraw(now time.Time) {
	c.badSamples = 0
	c.withdrawn = true
	if c.returnedAt.IsZero() || now.Sub(c.returnedAt) > relapseWindow {
		c.withdrawalDuration = minWithdrawal
	} else {
		c.withdrawalDuration = min(2*c.withdrawalDuration, maxWithdrawal)
	}
	c.withdrawnUntil = now.Add(c.withdrawalDuration)
}

// endWithdrawal ends the time aside. What passed meanwhile says nothing of what comes.
func (c *Detector) endWithdrawal(counts Counts, now time.Time) bool {
	if now.Before(c.withdrawnUntil) {
		return false
	}
	c.withdrawn, c.returnedAt = false, now
	c.previous, c.sampledAt = counts, now
	return true
}
