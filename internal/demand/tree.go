package demand

import (
	"maps"
	"time"
)

// Address is where a balancer is reached, and names it.
type Address string

const (
	// Step is the longest time between two reports of a follower that lives: it reports
	// each second at least, and a machine of 0.06 cores may be late by half of one.
	Step = 1500 * time.Millisecond
	// levelsLimit is how many levels of balancers may stand below one: three in a zone of
	// 1,200, its head and the reader. Reports of more are not taken, which also ends what
	// would go round in a circle.
	levelsLimit = 4
	// FreshFor is the age up to which decisions rest on a picture. Sums go up within some
	// 0.3 s a level, and what all see comes down within 1 to 1.5 s a level: with three
	// levels that is 5.4 s where all are as late as they may be, and 3 to 4 s mostly.
	FreshFor = 5 * time.Second
)

// Levels are where a balancer stands in the tree.
type Levels struct {
	// Above is how many levels of balancers are above it, and All how many are below the
	// reader.
	Above, All int
}

// Lease is for how long a part counts, wherever it was added in, whose owner has so many
// levels above it. Each of them passes on what it took up to a Step ago.
func Lease(above int) time.Duration { return time.Duration(min(above, levelsLimit)+1) * Step }

// Report is what a balancer and those that follow it see.
type Report struct {
	Picture
	// Until is when it counts no longer, wherever it was added in, and no later than the
	// end of any of its parts.
	Until time.Time
	// Height is how many levels of balancers it is the sum of, besides the sender.
	Height int
}

// Tree adds up the parts of this balancer and of those that follow it, and keeps what
// the one that this one follows says of all.
//
// A part is lent to one balancer at a time. It ends there, and in every sum that it went
// into, at a time that its owner knows, so that an owner that moves, starts anew or
// vanishes is never counted twice, and not for ever.
type Tree struct {
	startedAt time.Time
	own       Picture
	followers map[Address]Report
	parent    Picture
	levels    Levels
	// parentAbove is how many levels the balancer that is followed said are above it, and
	// belowAt when.
	parentAbove int
	belowAt     time.Time
	// lender is whom the own part was told last, and lentUntil when it ends there.
	lender    Address
	lentUntil time.Time
}

// NewTree makes the tree of a balancer that has just started. What an earlier run of it
// has lent may still count.
func NewTree(now time.Time) *Tree {
	return &Tree{startedAt: now, followers: make(map[Address]Report)}
}

// See takes the own part, and where this balancer stands.
func (t *Tree) See(own Picture, levels Levels) { t.own, t.levels = own, levels }

// TakeFollower takes the report of a balancer that follows this one. It takes the place
// of an earlier one.
func (t *Tree) TakeFollower(from Address, report Report, now time.Time) {
	maps.DeleteFunc(t.followers, func(_ Address, each Report) bool { return !now.Before(each.Until) })
	fromAbove := from == t.lender && now.Before(t.lentUntil)
	// Nobody lends for longer than a Lease.
	if fromAbove || report.Height >= levelsLimit || !now.Before(report.Until) || report.Until.After(now.Add(Lease(levelsLimit))) {
		return
	}
	t.followers[from] = report
}

// poorer is the part of the balancers that a picture must count to take the place of one
// on which decisions may still rest.
const poorer = 0.5

// TakeParent takes what the balancer that is followed says of all. One that has just
// started, or is cut off, hardly knows more than its own part for a while.
func (t *Tree) TakeParent(all Picture, now time.Time) {
	if t.parent.Fresh(now) && float64(all.Balancers) < poorer*float64(t.parent.Balancers) {
		return
	}
	t.parent = all
}

// TakeLevel takes how many levels the balancer that is followed says are above it. Who follows
// one of its own level, since its parent is silent or it knows other members, lends for as
// long as one more level needs: else its part would never count there.
func (t *Tree) TakeLevel(above int, now time.Time) { t.parentAbove, t.belowAt = above, now }

// Above is how many levels are above this balancer. It is one more than all are below the
// reader at most, which also bounds what an earlier run may have lent.
func (t *Tree) Above(now time.Time) int {
	if t.belowAt.IsZero() || now.Sub(t.belowAt) > FreshFor {
		return t.levels.Above
	}
	return min(max(t.levels.Above, t.parentAbove+1), t.levels.All+1)
}

// Hand lends the parts of this balancer and of its followers to another one, unless they
// still count elsewhere.
func (t *Tree) Hand(to Address, now time.Time) (Report, bool) {
	elsewhere := to != t.lender && now.Before(t.lentUntil)
	if elsewhere || now.Before(t.startedAt.Add(Lease(t.levels.All+1))) {
		return Report{}, false
	}
	report := Report{Picture: t.own, Until: now.Add(Lease(t.Above(now)))}
	for _, each := range t.followers {
		if !t.renewed(each, now) {
			continue
		}
		report.Picture = report.plus(each.Picture)
		report.Height = max(report.Height, each.Height+1)
	}
	t.lender = to
	if report.Until.After(t.lentUntil) {
		t.lentUntil = report.Until
	}
	return report, true
}

// renewed tells whether a report counts here and is passed on: one of a follower that
// lives has lost at most a Step at each level. Others would outlast their end in the sum,
// and make it old.
func (t *Tree) renewed(report Report, now time.Time) bool {
	return report.Until.Sub(now) >= Lease(t.Above(now))
}

// here is what this balancer and those that follow it see.
func (t *Tree) here(now time.Time) Picture {
	joined := t.own
	for _, each := range t.followers {
		if t.renewed(each, now) {
			joined = joined.plus(each.Picture)
		}
	}
	return joined
}

// Picture is what all balancers see, or, while nobody has told that of late, what this
// one and those that follow it do.
func (t *Tree) Picture(now time.Time) Picture {
	if t.parent.Fresh(now) {
		return t.parent
	}
	return t.here(now)
}
