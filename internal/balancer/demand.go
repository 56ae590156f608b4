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

// placesLimit bounds the places in one message: some 50 bytes each, so 6 kB. A balancer tells
// one a second up, three where others follow it, and one a second to each of those, more
// while pressure moves (tellPause, soonPause).
const placesLimit = 128

// demandState is what the control goroutine knows of the demand on back ends.
type demandState struct {
	own  demand.LocalLoad
	tree *demand.Tree
	room room
	// picture is the latest one, for all goroutines; nil is none.
	picture atomic.Pointer[demand.Aggregate]
	// pace is that of reports, and telling is set while one is under way that does not go
	// with another call.
	pace     demand.ReportSchedule
	telling  bool
	tellings tellings
	// lapsedAt is when a picture that was planned by was last found too old; zero is since
	// it was fresh for long enough.
	lapsedAt time.Time
	// whole is set while the demand of all is known.
	whole bool
}

// Picture is the latest picture of demand and room, or nil. Any goroutine may ask.
func (b *Balancer) Picture() *demand.Aggregate { return b.control.demand.picture.Load() }

// takeDemand takes what the traffic goroutine has observed and makes a new picture.
func (c *control) takeDemand(now time.Time) {
	d := &c.demand
	if summary := c.balancer.traffic.latestSummary.Load(); summary != nil {
		d.own.Observe(summary.Loads, summary.At)
		d.room.takeDead(summary, c.balancer.table.Load(), now)
	}
	zone := demand.Zone(c.balancer.settings.Load().GetZone())
	above, all := c.core.Levels()
	d.tree.SetOwn(d.own.Aggregate(zone, now), demand.Position{Depth: above, TreeHeight: all})
	d.room.look(now)
	picture := d.tree.Aggregate(now)
	d.picture.Store(picture.WithSlots(d.room.living(now)))
	c.tellWhetherWhole(picture, now)
}

// wholePart is the part of all balancers that a picture counts that is told to be whole.
const wholePart = 0.9

// tellWhetherWhole logs when the demand of all becomes known, or is known no longer.
func (c *control) tellWhetherWhole(picture demand.Aggregate, now time.Time) {
	listed := c.balancersByZone.total()
	if listed == 0 {
		return
	}
	whole := picture.Fresh(now) && float64(picture.Balancers) >= wholePart*float64(listed)
	if whole == c.demand.whole {
		return
	}
	c.demand.whole = whole
	message := "Control: demand of all is known."
	if !whole {
		message = "Control: demand of all is not known, a part must do."
	}
	c.balancer.logger.Info(message, "balancers", picture.Balancers, "listed", listed,
		"age", picture.Age(now).Round(time.Millisecond))
}

// takeReport takes the report of a follower. One in another clock means nothing.
func (c *control) takeReport(from string, encoded *apiv1.DemandReport, now time.Time) {
	if from == "" || encoded == nil || encoded.GetClock() != c.testimony.clock {
		return
	}
	report := demand.Report{
		Aggregate: decodePicture(encoded, now),
		ExpiresAt: c.balancer.started.Add(time.Duration(encoded.GetUntilMilliseconds()) * time.Millisecond),
		Height:    int(encoded.GetHeight()),
	}
	c.demand.tree.SetFollowerReport(demand.Address(from), report, now)
	c.demand.pace.FollowerReported(now)
}

// takeWhole takes what the balancer that is followed says of all.
func (c *control) takeWhole(news *apiv1.DirectoryNews, now time.Time) {
	if news.GetDemand() == nil {
		return
	}
	left := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	c.demand.tree.SetParentAggregate(decodePicture(news.GetDemand(), left), now)
	c.demand.tree.SetParentDepth(int(news.GetDemand().GetAbove()), now)
}

// reportTo returns the report for the balancer that is followed, or nil while it must not
// be told. It goes alone or with another call.
func (c *control) reportTo(parent string, alone bool, now time.Time) *apiv1.DemandReport {
	theirs := c.testimony.theirs
	if parent != c.testimony.parent || !theirs.Known() || !c.core.Leads(parent) {
		return nil
	}
	report, may := c.demand.tree.ReportTo(demand.Address(parent), now)
	if !may {
		return nil
	}
	c.demand.pace.Reported(alone, now)
	encoded := encodePicture(report.Aggregate, now)
	encoded.Clock = theirs.ID
	encoded.UntilMilliseconds = uint64(max(0, theirs.LowerBound(report.ExpiresAt)).Milliseconds())
	encoded.Height = uint32(report.Height)
	return encoded
}

// startReport tells a report that does not wait for the next call.
func (c *control) startReport(ctx context.Context, now time.Time) {
	d := &c.demand
	if d.telling || c.testimony.telling || c.balancer.traffic == nil || !d.pace.Due(now) {
		return
	}
	parent := c.testimony.parent
	report := c.reportTo(parent, true, now)
	if report == nil {
		return
	}
	d.telling = true
	request := &apiv1.TestifyRequest{FromAddress: c.balancer.settings.Load().GetPeerAddress(), Demand: report}
	client := c.testimony.client
	go func() {
		err := client.Testify(ctx, parent, request)
		c.balancer.peerCalls.count(err)
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Reported: true}, err)
	}()
}

// reported takes the end of a call that told a report.
func (c *control) reported(news *apiv1.DirectoryNews, now time.Time) {
	c.demand.telling = false
	if news.GetError() != "" {
		c.demand.pace.Failed(now)
	}
}

// encodePicture returns a picture for a message. Where there are too many places, pools are
// left out whole, the last by name: all balancers leave out the same, so that what is told of
// the others is the sum of all, and is told at each level.
func encodePicture(picture demand.Aggregate, now time.Time) *apiv1.DemandReport {
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
		if len(encoded.Places)+len(pools[pool]) > placesLimit {
			break
		}
		encoded.Places = append(encoded.Places, pools[pool]...)
	}
	return encoded
}

func encodeLoad(place demand.ZonePool, load demand.Load) *apiv1.PlaceLoad {
	return &apiv1.PlaceLoad{
		Pool:     string(place.Pool),
		Zone:     string(place.Zone),
		Waiting:  float32(load.InFlight),
		Openings: float32(load.NewFlows),
		Answers:  float32(load.Responses),
		Refusals: float32(load.Refusals),
		Asks:     float32(load.Offered),
	}
}

// decodePicture reads a picture from a message that left, or came, at a time.
func decodePicture(encoded *apiv1.DemandReport, at time.Time) demand.Aggregate {
	made := demand.Aggregate{
		OldestAt:      at.Add(-time.Duration(encoded.GetAgeMilliseconds()) * time.Millisecond),
		Balancers:     int(encoded.GetBalancers()),
		ZoneBalancers: make(map[demand.Zone]int, len(encoded.GetZones())),
		Loads:         make(map[demand.ZonePool]demand.Load, len(encoded.GetPlaces())),
	}
	for _, zone := range encoded.GetZones() {
		made.ZoneBalancers[demand.Zone(zone.GetZone())] = int(zone.GetBalancers())
	}
	for _, each := range encoded.GetPlaces() {
		place := demand.ZonePool{Pool: demand.Pool(each.GetPool()), Zone: demand.Zone(each.GetZone())}
		made.Loads[place] = demand.Load{
			InFlight:  decodeLoad(each.GetWaiting()),
			NewFlows:  decodeLoad(each.GetOpenings()),
			Responses: decodeLoad(each.GetAnswers()),
			Refusals:  decodeLoad(each.GetRefusals()),
			Offered:   decodeLoad(each.GetAsks()),
		}
	}
	return made
}

// decodeLoad reads a number of requests. What is none counts as 0: one balancer that tells
// it would spoil the sum of all.
func decodeLoad(told float32) float64 {
	load := float64(told)
	if math.IsNaN(load) || math.IsInf(load, 0) || load < 0 {
		return 0
	}
	return load
}
