package balancer

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/withdrawal"
)

// strugglingMaxAge is the time without reports after which those received no longer count.
// Followers call twice a second, or once a second while there are no changes.
const strugglingMaxAge = replication.FollowWait + 500*time.Millisecond

// withdrawalState is what the control goroutine knows of the balancers of its zone that struggle,
// that is, do not carry their share of the traffic.
type withdrawalState struct {
	detector *withdrawal.Detector
	reports  withdrawal.ReportSet
	// lastReportAt is when another balancer last reported which balancers struggle, or that none
	// does.
	lastReportAt time.Time
	// ranks maps the balancers of this zone, by name, to their position in an order that is the
	// same on all of them.
	ranks map[string]int
}

// updateWithdrawal checks how long new flows took to open through this balancer, and withdraws it
// from traffic or puts it back accordingly. Routers check readiness twice a second and route
// elsewhere after two failed checks; open flows then pass through other balancers, which can
// resolve their tokens as well.
func (c *control) updateWithdrawal(now time.Time) {
	if c.balancer.traffic == nil || c.balancer.disabled.Has(mechanism.StepAside) {
		return
	}
	flows := c.balancer.traffic.flows
	counts := withdrawal.Counts{Unanswered: flows.Unanswered.Load()}
	for step := range flows.OpenedByTime {
		counts.Opened[step] = flows.OpenedByTime[step].Load()
	}
	detector := c.withdrawal.detector
	if !detector.Observe(counts, c.withdrawalZone(now), now) {
		return
	}
	c.balancer.withdrawn.Store(detector.Withdrawn())
	if !detector.Withdrawn() {
		c.balancer.logger.Info("Control: back from aside.")
		return
	}
	c.balancer.withdrawals.Add(1)
	seen := detector.LastSample()
	c.balancer.logger.Warn("Control: stepped aside, packets wait too long here.", "for", detector.WithdrawalDuration(),
		"opened_promptly", seen.OnTime, "slowly", seen.Slow, "not_in_time", seen.Unanswered)
}

// withdrawalZone returns what is known about the balancers of this zone at the given time.
func (c *control) withdrawalZone(now time.Time) withdrawal.Zone {
	name := c.balancer.settings.Load().GetName()
	rank, listed := c.withdrawal.ranks[name]
	if !listed {
		return withdrawal.Zone{} // the others do not count this balancer
	}
	reporting := now.Sub(c.withdrawal.lastReportAt) < strugglingMaxAge && c.withdrawal.reports.Complete()
	zone := withdrawal.Zone{Rank: rank, Size: len(c.withdrawal.ranks), ReportsComplete: reporting}
	for _, report := range c.withdrawal.reports.Current(now) {
		if peerRank, inZone := c.withdrawal.ranks[report.Name]; inZone && report.Name != name {
			zone.Struggling = append(zone.Struggling, withdrawal.Peer{Rank: peerRank, Withdrawn: report.Withdrawn})
		}
	}
	return zone
}

// strugglingReports returns the reports about struggling balancers to send to another balancer,
// with this balancer's own report if it struggles.
func (c *control) strugglingReports(now time.Time) []*apiv1.Struggling {
	name := c.balancer.settings.Load().GetName()
	if c.withdrawal.detector.Struggling() {
		c.withdrawal.reports.Add(withdrawal.Report{Name: name, Withdrawn: c.withdrawal.detector.Withdrawn(), At: now})
	} else {
		c.withdrawal.reports.Remove(name)
	}
	var encoded []*apiv1.Struggling
	for _, report := range c.withdrawal.reports.Current(now) {
		encoded = append(encoded, &apiv1.Struggling{Name: report.Name, Away: report.Withdrawn,
			Milliseconds: uint32(now.Sub(report.At).Milliseconds())})
	}
	return encoded
}

// handleStrugglingReports stores the reports of another balancer. Reports about this balancer are
// ignored, since it knows its own state better. A peer that does not support such reports, like one
// of an older version, does not count as having reported: in a rolling upgrade, a whole zone would
// take its silence to mean that no balancer struggles.
func (c *control) handleStrugglingReports(encoded []*apiv1.Struggling, supported bool, now time.Time) {
	if !supported {
		return
	}
	c.withdrawal.lastReportAt = now
	for _, report := range encoded {
		if report.GetName() == c.balancer.settings.Load().GetName() {
			continue
		}
		c.withdrawal.reports.Add(withdrawal.Report{Name: report.GetName(), Withdrawn: report.GetAway(),
			At: now.Add(-time.Duration(report.GetMilliseconds()) * time.Millisecond)})
	}
}

// rankZoneBalancers puts the balancers of this zone into an order that is the same on all of them.
// It sorts by a hash of the names, so that neither capacity nor naming decides.
func (c *control) rankZoneBalancers(balancers []*apiv1.Balancer) {
	zone := c.balancer.settings.Load().GetZone()
	var names []string
	for _, b := range balancers {
		if b.GetZone() == zone {
			names = append(names, b.GetName())
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(withdrawalHash(a), withdrawalHash(b)), cmp.Compare(a, b))
	})
	c.withdrawal.ranks = make(map[string]int, len(names))
	for rank, name := range names {
		c.withdrawal.ranks[name] = rank
	}
}

// withdrawalHash returns the key by which rankZoneBalancers sorts.
func withdrawalHash(name string) uint64 { return nameHash("aside/" + name) }
