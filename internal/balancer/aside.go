package balancer

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/aside"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// strugglingMaxAge is the silence after which what others said of who struggles counts no
// more. Followers call twice a second, or each second while there is no news.
const strugglingMaxAge = replication.FollowWait + 500*time.Millisecond

// withdrawalState is what control knows of who carries its share.
type withdrawalState struct {
	core    *aside.Core
	reports aside.Picture
	// lastReportAt is when another balancer last told who struggles, or that nobody does.
	lastReportAt time.Time
	// ranks are the places of the balancers of this zone, by name, in an order that
	// all know.
	ranks map[string]int
}

// updateWithdrawal looks at how long new flows took to open here, and steps aside or comes
// back by it. Routers ask for readiness twice a second and turn away after two
// refusals; open flows then pass other balancers, which resolve their tokens as well.
func (c *control) updateWithdrawal(now time.Time) {
	if c.balancer.traffic == nil || c.balancer.disabled.Has(mechanism.StepAside) {
		return
	}
	flows := c.balancer.traffic.flows
	counts := aside.Counts{Missed: flows.Missed.Load()}
	for step := range flows.Opened {
		counts.Opened[step] = flows.Opened[step].Load()
	}
	core := c.withdrawal.core
	if !core.Look(counts, c.withdrawalZone(now), now) {
		return
	}
	c.balancer.withdrawn.Store(core.Aside())
	if !core.Aside() {
		c.balancer.logger.Info("Control: back from aside.")
		return
	}
	c.balancer.withdrawals.Add(1)
	seen := core.Seen()
	c.balancer.logger.Warn("Control: stepped aside, packets wait too long here.", "for", core.Stay(),
		"opened_promptly", seen.Prompt, "slowly", seen.Slow, "not_in_time", seen.Missed)
}

// withdrawalZone is what is known of this zone by now.
func (c *control) withdrawalZone(now time.Time) aside.Zone {
	name := c.balancer.settings.Load().GetName()
	rank, listed := c.withdrawal.ranks[name]
	if !listed {
		return aside.Zone{} // the others don't count on it
	}
	reporting := now.Sub(c.withdrawal.lastReportAt) < strugglingMaxAge && c.withdrawal.reports.Whole()
	zone := aside.Zone{Place: rank, Size: len(c.withdrawal.ranks), Heard: reporting}
	for _, report := range c.withdrawal.reports.Now(now) {
		if peerRank, inZone := c.withdrawal.ranks[report.Name]; inZone && report.Name != name {
			zone.Others = append(zone.Others, aside.Other{Place: peerRank, Away: report.Away})
		}
	}
	return zone
}

// strugglingReports are the statements on who struggles for a message, this balancer
// among them.
func (c *control) strugglingReports(now time.Time) []*apiv1.Struggling {
	name := c.balancer.settings.Load().GetName()
	if c.withdrawal.core.Struggles() {
		c.withdrawal.reports.Take(aside.Statement{Name: name, Away: c.withdrawal.core.Aside(), At: now})
	} else {
		c.withdrawal.reports.Drop(name)
	}
	var reports []*apiv1.Struggling
	for _, report := range c.withdrawal.reports.Now(now) {
		reports = append(reports, &apiv1.Struggling{Name: report.Name, Away: report.Away,
			Milliseconds: uint32(now.Sub(report.At).Milliseconds())})
	}
	return reports
}

// handleStrugglingReports takes statements of another balancer. What is said of this one it
// knows better. One that tells nothing of the kind, as an older program, is not heard: in a
// rolling release all of a zone would take its silence for a zone that is well.
func (c *control) handleStrugglingReports(reports []*apiv1.Struggling, supported bool, now time.Time) {
	if !supported {
		return
	}
	c.withdrawal.lastReportAt = now
	for _, report := range reports {
		if report.GetName() == c.balancer.settings.Load().GetName() {
			continue
		}
		c.withdrawal.reports.Take(aside.Statement{Name: report.GetName(), Away: report.GetAway(),
			At: now.Add(-time.Duration(report.GetMilliseconds()) * time.Millisecond)})
	}
}

// rankZoneBalancers puts the balancers of this zone in an order that all know. It goes by a
// hash of the names, so that neither strength nor naming decides.
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

// withdrawalHash is the place of a balancer in that order.
func withdrawalHash(name string) uint64 { return nameHash("aside/" + name) }
