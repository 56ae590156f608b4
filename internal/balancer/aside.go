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
	core    *aside.Detector
	reports aside.ReportSet
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
	counts := aside.Counts{Unanswered: flows.Unanswered.Load()}
	for step := range flows.OpenedByTime {
		counts.Opened[step] = flows.OpenedByTime[step].Load()
	}
	core := c.withdrawal.core
	if !core.Observe(counts, c.withdrawalZone(now), now) {
		return
	}
	c.balancer.withdrawn.Store(core.Withdrawn())
	if !core.Withdrawn() {
		c.balancer.logger.Info("Control: back from aside.")
		return
	}
	c.balancer.withdrawals.Add(1)
	seen := core.LastSample()
	c.balancer.logger.Warn("Control: stepped aside, packets wait too long here.", "for", core.WithdrawalDuration(),
		"opened_promptly", seen.OnTime, "slowly", seen.Slow, "not_in_time", seen.Unanswered)
}

// withdrawalZone is what is known of this zone by now.
func (c *control) withdrawalZone(now time.Time) aside.Zone {
	name := c.balancer.settings.Load().GetName()
	place, listed := c.withdrawal.ranks[name]
	if !listed {
		return aside.Zone{} // the others don't count on it
	}
	heard := now.Sub(c.withdrawal.lastReportAt) < strugglingMaxAge && c.withdrawal.reports.Complete()
	zone := aside.Zone{Rank: place, Size: len(c.withdrawal.ranks), ReportsComplete: heard}
	for _, statement := range c.withdrawal.reports.Current(now) {
		if other, here := c.withdrawal.ranks[statement.Name]; here && statement.Name != name {
			zone.Struggling = append(zone.Struggling, aside.Peer{Rank: other, Withdrawn: statement.Withdrawn})
		}
	}
	return zone
}

// strugglingReports are the statements on who struggles for a message, this balancer
// among them.
func (c *control) strugglingReports(now time.Time) []*apiv1.Struggling {
	name := c.balancer.settings.Load().GetName()
	if c.withdrawal.core.Struggling() {
		c.withdrawal.reports.Add(aside.Report{Name: name, Withdrawn: c.withdrawal.core.Withdrawn(), At: now})
	} else {
		c.withdrawal.reports.Remove(name)
	}
	var told []*apiv1.Struggling
	for _, statement := range c.withdrawal.reports.Current(now) {
		told = append(told, &apiv1.Struggling{Name: statement.Name, Away: statement.Withdrawn,
			Milliseconds: uint32(now.Sub(statement.At).Milliseconds())})
	}
	return told
}

// handleStrugglingReports takes statements of another balancer. What is said of this one it
// knows better. One that tells nothing of the kind, as an older program, is not heard: in a
// rolling release all of a zone would take its silence for a zone that is well.
func (c *control) handleStrugglingReports(told []*apiv1.Struggling, tells bool, now time.Time) {
	if !tells {
		return
	}
	c.withdrawal.lastReportAt = now
	for _, each := range told {
		if each.GetName() == c.balancer.settings.Load().GetName() {
			continue
		}
		c.withdrawal.reports.Add(aside.Report{Name: each.GetName(), Withdrawn: each.GetAway(),
			At: now.Add(-time.Duration(each.GetMilliseconds()) * time.Millisecond)})
	}
}

// rankZoneBalancers puts the balancers of this zone in an order that all know. It goes by a
// hash of the names, so that neither strength nor naming decides.
func (c *control) rankZoneBalancers(known []*apiv1.Balancer) {
	zone := c.balancer.settings.Load().GetZone()
	var names []string
	for _, b := range known {
		if b.GetZone() == zone {
			names = append(names, b.GetName())
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(withdrawalHash(a), withdrawalHash(b)), cmp.Compare(a, b))
	})
	c.withdrawal.ranks = make(map[string]int, len(names))
	for place, name := range names {
		c.withdrawal.ranks[name] = place
	}
}

// withdrawalHash is the place of a balancer in that order.
func withdrawalHash(name string) uint64 { return nameHash("aside/" + name) }
