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

// maxReportPoolZones bounds the places in one message: some 50 bytes each, so 6 kB. A balancer tells
// one a second up, three where others follow it, and one a second to each of those, more
// while pressure moves (feedInterval, urgentFeedInterval).
const maxReportPoolZones = 128

// demandState is what the control goroutine knows of the demand on back ends.
type demandState struct {
	local    demand.LocalLoad
	tree     *demand.Tree
	capacity capacity
	// aggregate is the latest one, for all goroutines; nil is none.
	aggregate atomic.Pointer[demand.Aggregate]
	// schedule is that of reports, and telling is set while one is under way that does not go
	// with another call.
	schedule   demand.ReportSchedule
	sending    bool
	demandFeed demandFeed
	// staleAt is when a picture that was planned by was last found too old; zero is since
	// it was fresh for long enough.
	staleAt time.Time
	// complete is set while the demand of all is known.
	complete bool
}

// DemandAggregate is the latest picture of demand and room, or nil. Any goroutine may ask.
func (b *Balancer) DemandAggregate() *demand.Aggregate { return b.control.demand.aggregate.Load() }

// updateDemand takes what the traffic goroutine has observed and makes a new picture.
func (c *control) updateDemand(now time.Time) {
	d := &c.demand
	if summary := c.balancer.traffic.latestSummary.Load(); summary != nil {
		d.local.Observe(summary.Loads, summary.At)
		d.capacity.updateFailed(summary, c.balancer.table.Load(), now)
	}
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	above, all := c.core.Levels()
	d.tree.SetOwn(d.local.Aggregate(zone, now), demand.Position{Depth: above, TreeHeight: all})
	d.capacity.addWarmed(now)
	picture := d.tree.Aggregate(now)
	d.aggregate.Store(picture.WithCapacity(d.capacity.liveSlots(now)))
	c.logCompleteness(picture, now)
}

// completeFraction is the part of all balancers that a picture counts that is told to be whole.
const completeFraction = 0.9

// logCompleteness logs when the demand of all becomes known, or is known no longer.
func (c *control) logCompleteness(picture demand.Aggregate, now time.Time) {
	listed := c.balancersByZone.total()
	if listed == 0 {
		return
	}
	whole := picture.Fresh(now) && float64(picture.Balancers) >= completeFraction*float64(listed)
	if whole == c.demand.complete {
		return
	}
	c.demand.complete = whole
	message := "Control: demand of all is known."
	if !whole {
		message = "Control: demand of all is not known, a part must do."
	}
	c.balancer.logger.Info(message, "balancers", picture.Balancers, "listed", listed,
		"age", picture.Age(now).Round(time.Millisecond))
}

// handleDemandReport takes the report of a follower. One in another clock means nothing.
func (c *control) handleDemandReport(from string, encoded *apiv1.DemandReport, now time.Time) {
	if from == "" || encoded == nil || encoded.GetClock() != c.testimony.clock {
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

// handleTotalDemand takes what the balancer that is followed says of all.
func (c *control) handleTotalDemand(news *apiv1.DirectoryNews, now time.Time) {
	if news.GetDemand() == nil {
		return
	}
	left := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	c.demand.tree.SetParentAggregate(decodeAggregate(news.GetDemand(), left), now)
	c.demand.tree.SetParentDepth(int(news.GetDemand().GetAbove()), now)
}

// demandReportFor returns the report for the balancer that is followed, or nil while it must not
// be told. It goes alone or with another call.
func (c *control) demandReportFor(parent string, alone bool, now time.Time) *apiv1.DemandReport {
	theirs := c.testimony.parentClock
	if parent != c.testimony.parent || !theirs.Known() || !c.core.MayReportTo(parent) {
		return nil
	}
	report, may := c.demand.tree.ReportTo(demand.Address(parent), now)
	if !may {
		return nil
	}
	c.demand.schedule.Reported(alone, now)
	encoded := encodeAggregate(report.Aggregate, now)
	encoded.Clock = theirs.ID
	encoded.UntilMilliseconds = uint64(max(0, theirs.LowerBound(report.ExpiresAt)).Milliseconds())
	encoded.Height = uint32(report.Height)
	return encoded
}

// sendDemandReport tells a report that does not wait for the next call.
func (c *control) sendDemandReport(ctx context.Context, now time.Time) {
	d := &c.demand
	if d.sending || c.testimony.sending || c.balancer.traffic == nil || !d.schedule.Due(now) {
		return
	}
	parent := c.testimony.parent
	report := c.demandReportFor(parent, true, now)
	if report == nil {
		return
	}
	d.sending = true
	request := &apiv1.TestifyRequest{FromAddress: c.balancer.settings.Load().GetPeerAddress(), Demand: report}
	client := c.testimony.client
	go func() {
		err := client.Testify(ctx, parent, request)
		c.balancer.peerCalls.count(err)
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Reported: true}, err)
	}()
}

// handleDemandReportResult takes the end of a call that told a report.
func (c *control) handleDemandReportResult(news *apiv1.DirectoryNews, now time.Time) {
	c.demand.sending = false
	if news.GetError() != "" {
		c.demand.schedule.Failed(now)
	}
}

// encodeAggregate returns a picture for a message. Where there are too many places, pools are
// left out whole, the last by name: all balancers leave out the same, so that what is told of
// the others is the sum of all, and is told at each level.
func encodeAggregate(picture demand.Aggregate, now time.Time) *apiv1.DemandReport {
	encoded := &apiv1.DemandReport{
		Balancers:       uint32(picture.Balancers),
		AgeMilliseconds: uint32(max(0, picture.Age(now)).Milliseconds()),
	}
	for _, zone := range slices.Sorted(maps.Keys(picture.ZoneBalancers)) {
		encoded.Zones = append(encoded.Zones, &apiv1.ZoneCount{Zone: string(zone), Balancers: uint32(picture.ZoneBalancers[zone])})
	}
	pools := make(map[demand.Pool][]*apiv1.PlaceLoad)
	for place, load := range picture.Loads {
		pools[place.Pool] = append(pools[place.Pool], encodeLoad(place, load))
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if len(encoded.Places)+len(pools[pool]) > maxReportPoolZones {
			break
		}
		encoded.Places = append(encoded.Places, pools[pool]...)
	}
	return encoded
}

func encodeLoad(place demand.PoolZone, load demand.Load) *apiv1.PlaceLoad {
	return &apiv1.PlaceLoad{
		Pool:     string(place.Pool),
		Zone:     string(place.Zone),
		Waiting:  float32(load.InFlight),
		Openings: float32(load.NewFlows),
		Answers:  float32(load.Responses),
		Refusals: float32(load.Refusals),
		Asks:     float32(load.RequestRate),
	}
}

// decodeAggregate reads a picture from a message that left, or came, at a time.
func decodeAggregate(encoded *apiv1.DemandReport, at time.Time) demand.Aggregate {
	made := demand.Aggregate{
		At:            at.Add(-time.Duration(encoded.GetAgeMilliseconds()) * time.Millisecond),
		Balancers:     int(encoded.GetBalancers()),
		ZoneBalancers: make(map[demand.Zone]int, len(encoded.GetZones())),
		Loads:         make(map[demand.PoolZone]demand.Load, len(encoded.GetPlaces())),
	}
	for _, zone := range encoded.GetZones() {
		made.ZoneBalancers[demand.Zone(zone.GetZone())] = int(zone.GetBalancers())
	}
	for _, each := range encoded.GetPlaces() {
		place := demand.PoolZone{Pool: demand.Pool(each.GetPool()), Zone: demand.Zone(each.GetZone())}
		made.Loads[place] = demand.Load{
			InFlight:    decodeNumber(each.GetWaiting()),
			NewFlows:    decodeNumber(each.GetOpenings()),
			Responses:   decodeNumber(each.GetAnswers()),
			Refusals:    decodeNumber(each.GetRefusals()),
			RequestRate: decodeNumber(each.GetAsks()),
		}
	}
	return made
}

// decodeNumber reads a number of requests. What is none counts as 0: one balancer that tells
// it would spoil the sum of all.
func decodeNumber(told float32) float64 {
	load := float64(told)
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return 0
	}
	return load
}
