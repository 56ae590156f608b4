package demand

import (
	"maps"
	"time"
)

// Address is where a balancer is reached, and names it.
type Address string

const (
	// MaximumReportInterval is the longest time between two reports of a follower that lives: it reports
	// each second at least, and a machine of 0.06 cores may be late by half of one.
	MaximumReportInterval = 1500 * time.Millisecond
	// maximumHeight is how many levels of balancers may stand below one: three in a zone of
	// 1,200, its head and the reader. Reports of more are not taken, which also ends what
	// would go round in a circle.
	maximumHeight = 4
	// MaximumAge is the age up to which decisions rest on a picture. Sums go up within some
	// 0.3 s a level, and what all see comes down within 1 to 1.5 s a level: with three
	// levels that is 5.4 s where all are as late as they may be, and 3 to 4 s mostly.
	MaximumAge = 5 * time.Second
)

// Position are where a balancer stands in the tree.
type Position struct {
	// Depth is how many levels of balancers are above it, and All how many are below the
	// reader.
	Depth, TreeHeight int
}

// LeaseTime is for how long a part counts, wherever it was added in, whose owner has so many
// levels above it. Each of them passes on what it took up to a Step ago.
func LeaseTime(above int) time.Duration {
	return time.Duration(min(above, maximumHeight)+1) * MaximumReportInterval
}

// Report is what a balancer and those that follow it see.
type Report struct {
	Aggregate
	// ExpiresAt is when it counts no longer, wherever it was added in, and no later than the
	// end of any of its parts.
	ExpiresAt time.Time
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
	own       Aggregate
	followers map[Address]Report
	parent    Aggregate
	position  Position
	// parentDepth is how many levels the balancer that is followed said are above it, and
	// parentDepthAt when.
	parentDepth   int
	parentDepthAt time.Time
	// leaseHolder is whom the own part was told last, and leaseUntil when it ends there.
	leaseHolder Address
	leaseUntil  time.Time
}

// NewTree makes the tree of a balancer that has just started. What an earlier run of it
// has lent may still count.
func NewTree(now time.Time) *Tree {
	return &Tree{startedAt: now, followers: make(map[Address]Report)}
}

// SetOwn takes the own part, and where this balancer stands.
func (t *Tree) SetOwn(own Aggregate, levels Position) { t.own, t.position = own, levels }

// SetFollowerReport takes the report of a balancer that follows this one. It takes the place
// of an earlier one.
func (t *Tree) SetFollowerReport(from Address, report Report, now time.Time) {
	maps.DeleteFunc(t.followers, func(_ Address, each Report) bool { return !now.Before(each.ExpiresAt) })
	fromAbove := from == t.leaseHolder && now.Before(t.leaseUntil)
	// Nobody lends for longer than a Lease.
	if fromAbove || report.Height >= maximumHeight || !now.Before(report.ExpiresAt) || report.ExpiresAt.After(now.Add(LeaseTime(maximumHeight))) {
		return
	}
	t.followers[from] = report
}

// minimumCoverage is the part of the balancers that a picture must count to take the place of one
// on which decisions may still rest.
const minimumCoverage = 0.5

// SetParentAggregate takes what the balancer that is followed says of all. One that has just
// started, or is cut off, hardly knows more than its own part for a while.
func (t *Tree) SetParentAggregate(all Aggregate, now time.Time) {
	if t.parent.Fresh(now) && float64(all.Balancers) < minimumCoverage*float64(t.parent.Balancers) {
		return
	}
	t.parent = all
}

// SetParentDepth takes how many levels the balancer that is followed says are above it. Who follows
// one of its own level, since its parent is silent or it knows other members, lends for as
// long as one more level needs: else its part would never count there.
func (t *Tree) SetParentDepth(above int, now time.Time) { t.parentDepth, t.parentDepthAt = above, now }

// Depth is how many levels are above this balancer. It is one more than all are below the
// reader at most, which also bounds what an earlier run may have lent.
func (t *Tree) Depth(now time.Time) int {
	if t.parentDepthAt.IsZero() || now.Sub(t.parentDepthAt) > MaximumAge {
		return t.position.Depth
	}
	return min(max(t.position.Depth, t.parentDepth+1), t.position.TreeHeight+1)
}

// ReportTo lends the parts of this balancer and of its followers to another one, unless they
// still count elsewhere.
func (t *Tree) ReportTo(to Address, now time.Time) (Report, bool) {
	elsewhere := to != t.leaseHolder && now.Before(t.leaseUntil)
	if elsewhere || now.Before(t.startedAt.Add(LeaseTime(t.position.TreeHeight+1))) {
		return Report{}, false
	}
	report := Report{Aggregate: t.own, ExpiresAt: now.Add(LeaseTime(t.Depth(now)))}
	for _, each := range t.followers {
		if !t.current(each, now) {
			continue
		}
		report.Aggregate = report.plus(each.Aggregate)
		report.Height = max(report.Height, each.Height+1)
	}
	t.leaseHolder = to
	if report.ExpiresAt.After(t.leaseUntil) {
		t.leaseUntil = report.ExpiresAt
	}
	return report, true
}

// current tells whether a report counts here and is passed on: one of a follower that
// lives has lost at most a Step at each level. Others would outlast their end in the sum,
// and make it old.
func (t *Tree) current(report Report, now time.Time) bool {
	return report.ExpiresAt.Sub(now) >= LeaseTime(t.Depth(now))
}

// subtree is what this balancer and those that follow it see.
func (t *Tree) subtree(now time.Time) Aggregate {
	joined := t.own
	for _, each := range t.followers {
		if t.current(each, now) {
			joined = joined.plus(each.Aggregate)
		}
	}
	return joined
}

// Aggregate is what all balancers see, or, while nobody has told that of late, what this
// one and those that follow it do.
func (t *Tree) Aggregate(now time.Time) Aggregate {
	if t.parent.Fresh(now) {
		return t.parent
	}
	return t.subtree(now)
}
