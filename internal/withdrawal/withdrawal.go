// Package withdrawal decides when a balancer that cannot carry its share withdraws, that is,
// reports itself as not ready: when its link is congested, its processor starved, or its
// machine slow. It does no I/O: counters and times go in, a state comes out.
//
// A balancer cannot see how long a packet waited before it was read. But a new flow
// passes through it twice: with its first packet, and with what its client sends once a
// back end has answered. The time between the two is the network's, some milliseconds,
// plus the time the packets waited on this balancer. Back ends answer the first
// packet before they process the request, so that time does not grow with their load. Back
// ends that are down or full do not answer, whichever balancer forwards to them, so
// unanswered packets count only together with late answers.
//
// Invariants:
//
//   - Two bad samples never suffice: a machine that stalled once does not withdraw.
//   - Less than half of a zone is ever withdrawn, and no balancer asks for permission: the
//     first ranks of an order that all balancers know may withdraw, the others if the
//     reports of struggling balancers leave room (Zone). Where nearly all struggle, or
//     only a few balancers are known, all stay.
//   - A balancer that returns and withdraws again stays withdrawn longer each time, so
//     that it does not flap.
//
// # Usage
//
//	detector := withdrawal.New()
//	zone := withdrawal.Zone{Rank: 3, Size: 14, Struggling: peers, ReportsComplete: true}
//	detector.Observe(counts, zone, now)
//	if detector.Withdrawn() { ... }
package withdrawal

import "time"

const (
	// SampleInterval is the time between two samples. Routers probe readiness twice a
	// second, and clients retransmit first packets after 200 ms, so each sample covers
	// whole attempts.
	SampleInterval = 500 * time.Millisecond
	// slowMargin is how far above the baseline the time to open a flow must be for the
	// flow to count as slow. An upload takes about five such round trips; at 25 ms more
	// each, it loses half of the tightest latency target, 250 ms, on this balancer.
	slowMargin = 25 * time.Millisecond
	// baselineGrowth is the fraction by which the baseline may grow from one sample to
	// the next: it doubles in a minute, which allows for callers from further away.
	baselineGrowth = 0.006
	// minAttempts is how many flows must have been opened, or attempted, in a sample
	// for it to count.
	minAttempts = 4
	// badSampleThreshold is how many more bad samples than good ones it takes to
	// withdraw: a slow link is congested intermittently. A pause for garbage collection
	// or for building a table affects one or two samples only.
	badSampleThreshold = 3
	// propagationTime is how long a balancer must have reported that it struggles
	// before it relies on the reports of others. It exceeds the time that a report takes
	// to reach the whole zone.
	propagationTime = 1400 * time.Millisecond
	// minWithdrawal and maxWithdrawal bound how long a balancer stays withdrawn; each
	// relapse within relapseWindow doubles the duration.
	minWithdrawal = 4 * time.Second
	maxWithdrawal = 32 * time.Second
	relapseWindow = 30 * time.Second
)

// Detector holds the state of one balancer. It must be used by one goroutine only.
type Detector struct {
	previous  Counts
	sampledAt time.Time
	// badSamples is incremented by each bad sample and decremented by each good one.
	badSamples int
	// strugglingSince is the time of the first of the current bad samples.
	strugglingSince time.Time
	// baseline is how long a flow takes to open under normal conditions; 0 means unknown.
	baseline time.Duration
	// lastSample has the flows that the last sample counted.
	lastSample Sample
	// withdrawnUntil is when the current withdrawal ends. returnedAt is when the last one
	// ended, and withdrawalDuration is the length of the latest.
	withdrawnUntil, returnedAt time.Time
	withdrawalDuration         time.Duration
	withdrawn                  bool
}

// New returns the detector of a balancer that is not withdrawn.
func New() *Detector { return &Detector{} }

// Withdrawn reports whether the balancer is withdrawn.
func (d *Detector) Withdrawn() bool { return d.withdrawn }

// Struggling reports whether recent samples were bad more often than good, or the
// balancer is withdrawn.
func (d *Detector) Struggling() bool { return d.withdrawn || d.badSamples > 0 }

// LastSample returns the flows that the last sample counted.
func (d *Detector) LastSample() Sample { return d.lastSample }

// WithdrawalDuration returns the duration of the latest withdrawal.
func (d *Detector) WithdrawalDuration() time.Duration { return d.withdrawalDuration }

// Observe takes the current counters, sampling them at most once per SampleInterval, and
// reports whether the balancer has withdrawn or returned as a result.
func (d *Detector) Observe(counts Counts, zone Zone, now time.Time) bool {
	if d.withdrawn {
		return d.endWithdrawal(counts, now)
	}
	if now.Sub(d.sampledAt) < SampleInterval {
		return false
	}
	interval := counts.since(d.previous)
	d.previous, d.sampledAt = counts, now
	d.updateBaseline(interval)
	d.lastSample = interval.classify(d.baseline + slowMargin)
	switch {
	case d.lastSample.locallySlow():
		if d.badSamples == 0 {
			d.strugglingSince = now
		}
		d.badSamples++
	case d.lastSample.OnTime > 0:
		d.badSamples = max(d.badSamples-1, 0)
	}
	if d.badSamples < badSampleThreshold || !zone.mayWithdraw(now.Sub(d.strugglingSince)) {
		return false
	}
	d.withdraw(now)
	return true
}

// updateBaseline sets the baseline to the median of a sample, but raises it by no more
// than baselineGrowth.
func (d *Detector) updateBaseline(interval Counts) {
	if interval.answered() < minAttempts {
		return
	}
	median := interval.median()
	if d.baseline == 0 || median < d.baseline {
		d.baseline = median
		return
	}
	d.baseline = min(median, d.baseline+time.Duration(baselineGrowth*float64(d.baseline)))
}

func (d *Detector) withdraw(now time.Time) {
	d.badSamples = 0
	d.withdrawn = true
	if d.returnedAt.IsZero() || now.Sub(d.returnedAt) > relapseWindow {
		d.withdrawalDuration = minWithdrawal
	} else {
		d.withdrawalDuration = min(2*d.withdrawalDuration, maxWithdrawal)
	}
	d.withdrawnUntil = now.Add(d.withdrawalDuration)
}

// endWithdrawal returns the balancer to service once its time is up. The counts of the
// withdrawal are skipped, since they do not predict what follows.
func (d *Detector) endWithdrawal(counts Counts, now time.Time) bool {
	if now.Before(d.withdrawnUntil) {
		return false
	}
	d.withdrawn, d.returnedAt = false, now
	d.previous, d.sampledAt = counts, now
	return true
}
