package balancer

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// maxReportPoolZones bounds the pool zones in one message: at about 50 bytes each, that is 6 kB. A
// balancer sends one message a second to its parent, or three if it has followers itself, and one a
// second to each follower, more often while pressure changes (feedInterval, urgentFeedInterval).
const maxReportPoolZones = 128

// demandState is what the control goroutine knows of the demand on back ends.
type demandState struct {
	local    demand.LocalLoad
	tree     *demand.Tree
	capacity capacity
	// aggregate is the latest one, readable from all goroutines; nil means none.
	aggregate atomic.Pointer[demand.Aggregate]
	// schedule spaces the reports, and sending is set while a report is being sent in a call of
	// its own.
	schedule   demand.ReportSchedule
	sending    bool
	demandFeed demandFeed
	// staleAt is when an aggregate that shares were planned with was last found to be too old. It
	// is zero once aggregates have been fresh for recoveryDelay again.
	staleAt time.Time
	// complete is set while the demand seen by all balancers is known.
	complete bool
}

// DemandAggregate returns the latest aggregate of demand and capacity, or nil if there is none. It
// is safe for concurrent use.
func (b *Balancer) DemandAggregate() *demand.Aggregate { return b.control.demand.aggregate.Load() }

// updateDemand takes in what the traffic goroutine observed and builds a new aggregate.
func (c *control) updateDemand(now time.Time) {
	d := &c.demand
	if summary := c.balancer.traffic.latestSummary.Load(); summary != nil {
		d.local.Observe(summary.Loads, summary.At)
		d.capacity.updateFailed(summary, c.balancer.table.Load(), now)
	}
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	depth, height := c.core.Levels()
	d.tree.SetOwn(d.local.Aggregate(zone, now), demand.Position{Depth: depth, TreeHeight: height})
	d.capacity.addWarmed(now)
	aggregate := d.tree.Aggregate(now)
	d.aggregate.Store(aggregate.WithCapacity(d.capacity.liveSlots(now)))
	c.logCompleteness(aggregate, now)
}

// completeFraction is the fraction of all balancers that an aggregate must cover to be logged as
// complete.
const completeFraction = 0.9

// logCompleteness logs when the demand of all balancers becomes known, and when it is no longer
// known.
func (c *control) logCompleteness(aggregate demand.Aggregate, now time.Time) {
	listed := c.balancersByZone.total()
	if listed == 0 {
		return
	}
	complete := aggregate.Fresh(now) && float64(aggregate.Balancers) >= completeFraction*float64(listed)
	if complete == c.demand.complete {
		return
	}
	c.demand.complete = complete
	message := "Control: demand of all is known."
	if !complete {
		message = "Control: demand of all is not known, a partial count is used."
	}
	c.balancer.logger.Info(message, "balancers", aggregate.Balancers, "listed", listed,
		"age", aggregate.Age(now).Round(time.Millisecond))
}

// handleDemandReport stores the report of a follower. A report whose times are in another clock is
// ignored, since they cannot be converted.
func (c *control) handleDemandReport(from string, encoded *apiv1.DemandReport, now time.Time) {
	if from == "" || encoded == nil || encoded.GetClock() != c.observations.clock {
		return
	}
	report := demand.Report{
		Aggregate: decodeAggregate(encoded, now),
		ExpiresAt: c.balancer.started.Add(time.Duration(encoded.GetUntilMilliseconds()) * time.Millisecond),
		Height:    int(encoded.GetHeight()),
	}
	c.demand.tree.SetFollowerReport(demand.Address(from), report, now)
	c.demand.schedule.FollowerReported(now)
}

// handleTotalDemand stores what the parent reports about the demand of all balancers.
func (c *control) handleTotalDemand(news *apiv1.DirectoryNews, now time.Time) {
	if news.GetDemand() == nil {
		return
	}
	sentAt := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	c.demand.tree.SetParentAggregate(decodeAggregate(news.GetDemand(), sentAt), now)
	c.demand.tree.SetParentDepth(int(news.GetDemand().GetAbove()), now)
}

// demandReportFor returns the report for the parent, or nil if the parent must not be sent one now.
// The report is sent in a call of its own if alone is set, or else with another call.
func (c *control) demandReportFor(parent string, alone bool, now time.Time) *apiv1.DemandReport {
	parentClock := c.observations.parentClock
	if parent != c.observations.parent || !parentClock.Known() || !c.core.MayReportTo(parent) {
		return nil
	}
	report, ok := c.demand.tree.ReportTo(demand.Address(parent), now)
	if !ok {
		return nil
	}
	c.demand.schedule.Reported(alone, now)
	encoded := encodeAggregate(report.Aggregate, now)
	encoded.Clock = parentClock.ID
	encoded.UntilMilliseconds = uint64(max(0, parentClock.LowerBound(report.ExpiresAt)).Milliseconds())
	encoded.Height = uint32(report.Height)
	return encoded
}

// sendDemandReport sends a report that does not wait for the next call.
func (c *control) sendDemandReport(ctx context.Context, now time.Time) {
	d := &c.demand
	if d.sending || c.observations.sending || c.balancer.traffic == nil || !d.schedule.Due(now) {
		return
	}
	parent := c.observations.parent
	report := c.demandReportFor(parent, true, now)
	if report == nil {
		return
	}
	d.sending = true
	request := &apiv1.TestifyRequest{FromAddress: c.balancer.settings.Load().GetPeerAddress(), Demand: report}
	client := c.observations.client
	go func() {
		err := client.Testify(ctx, parent, request)
		c.balancer.peerCalls.count(err)
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Reported: true}, err)
	}()
}

// handleDemandReportResult handles the end of a call that sent a report.
func (c *control) handleDemandReportResult(news *apiv1.DirectoryNews, now time.Time) {
	c.demand.sending = false
	if news.GetError() != "" {
		c.demand.schedule.Failed(now)
	}
}

// encodeAggregate encodes an aggregate for a message. If it has too many pool zones, whole pools
// are left out, the last by name first. All balancers leave out the same pools, so that what is
// reported about the other pools is the sum over all balancers at every level of the tree.
func encodeAggregate(aggregate demand.Aggregate, now time.Time) *apiv1.DemandReport {
	encoded := &apiv1.DemandReport{
		Balancers:       uint32(aggregate.Balancers),
		AgeMilliseconds: uint32(max(0, aggregate.Age(now)).Milliseconds()),
	}
	for _, zone := range slices.Sorted(maps.Keys(aggregate.ZoneBalancers)) {
		encoded.Zones = append(encoded.Zones, &apiv1.ZoneCount{Zone: string(zone), Balancers: uint32(aggregate.ZoneBalancers[zone])})
	}
	pools := make(map[demand.Pool][]*apiv1.PlaceLoad)
	for poolZone, load := range aggregate.Loads {
		pools[poolZone.Pool] = append(pools[poolZone.Pool], encodeLoad(poolZone, load))
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if len(encoded.Places)+len(pools[pool]) > maxReportPoolZones {
			break
		}
		encoded.Places = append(encoded.Places, pools[pool]...)
	}
	return encoded
}

func encodeLoad(poolZone demand.PoolZone, load demand.Load) *apiv1.PlaceLoad {
	return &apiv1.PlaceLoad{
		Pool:     string(poolZone.Pool),
		Zone:     string(poolZone.Zone),
		Waiting:  float32(load.InFlight),
		Openings: float32(load.NewFlows),
		Answers:  float32(load.Responses),
		Refusals: float32(load.Refusals),
		Asks:     float32(load.RequestRate),
	}
}

// decodeAggregate decodes an aggregate from a message that was sent, or received, at the given
// time.
func decodeAggregate(encoded *apiv1.DemandReport, at time.Time) demand.Aggregate {
	aggregate := demand.Aggregate{
		At:            at.Add(-time.Duration(encoded.GetAgeMilliseconds()) * time.Millisecond),
		Balancers:     int(encoded.GetBalancers()),
		ZoneBalancers: make(map[demand.Zone]int, len(encoded.GetZones())),
		Loads:         make(map[demand.PoolZone]demand.Load, len(encoded.GetPlaces())),
	}
	for _, zone := range encoded.GetZones() {
		aggregate.ZoneBalancers[demand.Zone(zone.GetZone())] = int(zone.GetBalancers())
	}
	for _, load := range encoded.GetPlaces() {
		poolZone := demand.PoolZone{Pool: demand.Pool(load.GetPool()), Zone: demand.Zone(load.GetZone())}
		aggregate.Loads[poolZone] = demand.Load{
			InFlight:    decodeNumber(load.GetWaiting()),
			NewFlows:    decodeNumber(load.GetOpenings()),
			Responses:   decodeNumber(load.GetAnswers()),
			Refusals:    decodeNumber(load.GetRefusals()),
			RequestRate: decodeNumber(load.GetAsks()),
		}
	}
	return aggregate
}

// decodeNumber reads a count or rate of requests. Invalid values count as 0: one balancer that
// sends one would spoil the sum over all.
func decodeNumber(value float32) float64 {
	number := float64(value)
	if math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0
	}
	return number
}
