package demand

import (
	"maps"
	"time"
)

// Address is the network address of a balancer, and identifies it.
type Address string

const (
	// MaximumReportInterval is the longest time between two reports of a live follower: it
	// reports each second at least, and a machine with 0.06 cores may be late by half a second.
	MaximumReportInterval = 1500 * time.Millisecond
	// maximumHeight is how many levels of balancers may be below one. Below the root are the
	// heads of the zones, and below the head of a zone of 1,200 balancers three more levels.
	// Higher reports are rejected, which also breaks cycles.
	maximumHeight = 4
	// MaximumAge is the age up to which decisions may be based on an aggregate. Sums go up
	// within some 0.3 s a level, and the aggregate of all comes down within 1 to 1.5 s a level:
	// with three levels that is 5.4 s if every level takes the longest, and mostly 3 to 4 s.
	MaximumAge = 5 * time.Second
)

// Position is where a balancer is in the tree.
type Position struct {
	// Depth is the number of levels above the balancer, and TreeHeight the number of levels
	// below the root, which is the balancer that reads the store.
	Depth, TreeHeight int
}

// LeaseTime returns for how long a load counts in all sums that it was added to, if the
// balancer that it belongs to is at the given depth. Each level above passes on what it
// received up to a MaximumReportInterval ago.
func LeaseTime(depth int) time.Duration {
	return time.Duration(min(depth, maximumHeight)+1) * MaximumReportInterval
}

// Report is the demand that a balancer and its followers measured.
type Report struct {
	Aggregate
	// ExpiresAt is when the report ceases to count in all sums that it was added to. It is no
	// later than the expiry of any of its parts.
	ExpiresAt time.Time
	// Height is the number of levels of balancers below the sender that are included.
	Height int
}

// Tree adds up the loads of this balancer and of its followers, and keeps the aggregate of all
// balancers that its parent, the balancer that it follows, passes down.
//
// A load is leased to one balancer at a time. The lease ends there, and in every sum that
// includes the load, at a time that the load's owner knows. So an owner that moves, restarts or
// fails is never counted twice, and not indefinitely.
type Tree struct {
	startedAt time.Time
	own       Aggregate
	followers map[Address]Report
	parent    Aggregate
	position  Position
	// parentDepth is the depth of the parent as it reported last, and parentDepthAt when that
	// was.
	parentDepth   int
	parentDepthAt time.Time
	// leaseHolder is the balancer that the own load was reported to last, and leaseUntil is
	// when the lease ends there.
	leaseHolder Address
	leaseUntil  time.Time
}

// NewTree returns the tree of a balancer that has just started. Leases of an earlier run of it
// may still count.
func NewTree(now time.Time) *Tree {
	return &Tree{startedAt: now, followers: make(map[Address]Report)}
}

// SetOwn sets the load and the position of this balancer.
func (t *Tree) SetOwn(own Aggregate, position Position) { t.own, t.position = own, position }

// SetFollowerReport stores the report of a follower, in place of an earlier one.
func (t *Tree) SetFollowerReport(from Address, report Report, now time.Time) {
	maps.DeleteFunc(t.followers, func(_ Address, each Report) bool { return !now.Before(each.ExpiresAt) })
	fromParent := from == t.leaseHolder && now.Before(t.leaseUntil)
	// No lease is longer than LeaseTime(maximumHeight).
	if fromParent || report.Height >= maximumHeight || !now.Before(report.ExpiresAt) || report.ExpiresAt.After(now.Add(LeaseTime(maximumHeight))) {
		return
	}
	t.followers[from] = report
}

// minimumCoverage is the fraction of the balancers of a fresh aggregate that a new one must
// include to replace it.
const minimumCoverage = 0.5

// SetParentAggregate stores the aggregate of all balancers that the parent passes down. A
// parent that has just started, or is partitioned, knows hardly more than its own load for a
// while.
func (t *Tree) SetParentAggregate(aggregate Aggregate, now time.Time) {
	if t.parent.Fresh(now) && float64(aggregate.Balancers) < minimumCoverage*float64(t.parent.Balancers) {
		return
	}
	t.parent = aggregate
}

// SetParentDepth stores the depth that the parent reports of itself. A balancer may follow one
// at its own depth, because its regular parent is silent or because the two know different
// members. Then it leases its load for as long as one more level needs; otherwise the load would
// never count there.
func (t *Tree) SetParentDepth(depth int, now time.Time) { t.parentDepth, t.parentDepthAt = depth, now }

// Depth returns the number of levels above this balancer. It is at most one more than the
// height of the tree, which also bounds the leases of an earlier run.
func (t *Tree) Depth(now time.Time) int {
	if t.parentDepthAt.IsZero() || now.Sub(t.parentDepthAt) > MaximumAge {
		return t.position.Depth
	}
	return min(max(t.position.Depth, t.parentDepth+1), t.position.TreeHeight+1)
}

// ReportTo leases the loads of this balancer and of its followers to another balancer. It
// returns false if they may still count elsewhere.
func (t *Tree) ReportTo(to Address, now time.Time) (Report, bool) {
	elsewhere := to != t.leaseHolder && now.Before(t.leaseUntil)
	if elsewhere || now.Before(t.startedAt.Add(LeaseTime(t.position.TreeHeight+1))) {
		return Report{}, false
	}
	report := Report{Aggregate: t.own, ExpiresAt: now.Add(LeaseTime(t.Depth(now)))}
	for _, each := range t.followers {
		if !t.isCurrent(each, now) {
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

// isCurrent reports whether a report counts here and is passed on. The report of a live follower
// has lost at most a MaximumReportInterval of its lease at each level. Others would outlast
// their expiry in the sum, and make it old.
func (t *Tree) isCurrent(report Report, now time.Time) bool {
	return report.ExpiresAt.Sub(now) >= LeaseTime(t.Depth(now))
}

// subtree returns the demand that this balancer and its followers measured.
func (t *Tree) subtree(now time.Time) Aggregate {
	sum := t.own
	for _, each := range t.followers {
		if t.isCurrent(each, now) {
			sum = sum.plus(each.Aggregate)
		}
	}
	return sum
}

// Aggregate returns the demand that all balancers measured, or, while the parent has not
// passed that down for too long, the demand that this balancer and its followers measured.
func (t *Tree) Aggregate(now time.Time) Aggregate {
	if t.parent.Fresh(now) {
		return t.parent
	}
	return t.subtree(now)
}
