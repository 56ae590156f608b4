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
	// LookInterval is the time between two looks: routers ask twice a second, and
	// clients repeat first packets after 200 ms, so that each look takes in whole
	// tries.
	LookInterval = 500 * time.Millisecond
	// slowAfter is how much longer than usual a flow must take to open to count as
	// slow. An upload takes some five such round trips; at 25 ms more each, half of
	// the tightest target, 250 ms, is lost here.
	slowAfter = 25 * time.Millisecond
	// usualRise is by what part of itself what is usual may rise from one look to
	// the next: it doubles in a minute, as when callers come from further away.
	usualRise = 0.006
	// leastOpenings is how many flows must have been opened, or tried, in a look.
	leastOpenings = 4
	// looksNeeded is how many bad looks it takes, less the good ones among them: a
	// narrow link is full by fits and starts. A pause for the collection of garbage
	// or the building of a table lies within one or two.
	looksNeeded = 3
	// pictureTime is how long a balancer has said that it struggles before it goes
	// by what others say: longer than that takes to reach all of a zone.
	pictureTime = 1400 * time.Millisecond
	// shortest and longest are for how long a balancer stays aside; each relapse
	// within relapseTime doubles it.
	shortest    = 4 * time.Second
	longest     = 32 * time.Second
	relapseTime = 30 * time.Second
)

// Core is the state of one balancer. It belongs to one goroutine.
type Core struct {
	before   Counts
	lookedAt time.Time
	// badLooks counts up with each bad look, and down with each good one.
	badLooks int
	// struggledAt is when the first of them was.
	struggledAt time.Time
	// usual is how long a flow takes to open while nothing is wrong; 0 is not known.
	usual time.Duration
	// seen is what the last look saw.
	seen Seen
	// until is up to when it is aside; backAt is when it last came back, and stay
	// how long it stayed.
	until, backAt time.Time
	stay          time.Duration
	aside         bool
}

// New makes the state of a balancer that carries its share.
func New() *Core { return &Core{} }

// Aside tells whether the balancer is aside.
func (c *Core) Aside() bool { return c.aside }

// Struggles tells whether late looks were bad more often than good, or the balancer is
// aside.
func (c *Core) Struggles() bool { return c.aside || c.badLooks > 0 }

// Seen is what the last look saw.
func (c *Core) Seen() Seen { return c.seen }

// Stay is for how long the balancer last stepped aside.
func (c *Core) Stay() time.Duration { return c.stay }

// Look takes the counts as they are now, each LookInterval at most, and tells whether
// the balancer has stepped aside or come back by it.
func (c *Core) Look(counts Counts, zone Zone, now time.Time) bool {
	if c.aside {
		return c.comeBack(counts, now)
	}
	if now.Sub(c.lookedAt) < LookInterval {
		return false
	}
	seen := counts.since(c.before)
	c.before, c.lookedAt = counts, now
	c.learn(seen)
	c.seen = seen.split(c.usual + slowAfter)
	switch {
	case c.seen.bad():
		if c.badLooks == 0 {
			c.struggledAt = now
		}
		c.badLooks++
	case c.seen.Prompt > 0:
		c.badLooks = max(c.badLooks-1, 0)
	}
	if c.badLooks < looksNeeded || !zone.mayGo(now.Sub(c.struggledAt)) {
		return false
	}
	c.stepAside(now)
	return true
}

// learn takes what is usual: the median of a look, or a little more than before.
func (c *Core) learn(seen Counts) {
	if seen.answered() < leastOpenings {
		return
	}
	median := seen.median()
	if c.usual == 0 || median < c.usual {
		c.usual = median
		return
	}
	c.usual = min(median, c.usual+time.Duration(usualRise*float64(c.usual)))
}

func (c *Core) stepAside(now time.Time) {
	c.badLooks = 0
	c.aside = true
	if c.backAt.IsZero() || now.Sub(c.backAt) > relapseTime {
		c.stay = shortest
	} else {
		c.stay = min(2*c.stay, longest)
	}
	c.until = now.Add(c.stay)
}

// comeBack ends the time aside. What passed meanwhile says nothing of what comes.
func (c *Core) comeBack(counts Counts, now time.Time) bool {
	if now.Before(c.until) {
		return false
	}
	c.aside, c.backAt = false, now
	c.before, c.lookedAt = counts, now
	return true
}
