package balancer

import (
	"math"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
)

const (
	// feedInterval is the mean time between two tellings of the picture to one follower, whose
	// calls are answered one to three times a second; each telling is some 50 bytes a place.
	// One may be feedTolerance early: with calls answered each 0.92 s, one in two would else be
	// told nothing, and pictures be a second older at each level.
	feedInterval  = time.Second
	feedTolerance = 250 * time.Millisecond
	// urgentFeedInterval is the same while the pressure of a place has moved by more than
	// minPressureChange since, in requests for each slot: a quarter of the room crosses zones
	// then that did not, or no longer.
	urgentFeedInterval = 300 * time.Millisecond
	minPressureChange  = 0.25
	// feedTTL is how long a follower that does not call is remembered.
	feedTTL = 10 * time.Second
)

// demandFeed are what followers were told of the picture.
type demandFeed struct {
	// encoded is the picture encoded, as at a time, and seen the picture.
	encoded   *apiv1.DemandReport
	aggregate demand.Aggregate
	encodedAt time.Time
	// pressures are those of seen, never changed but replaced.
	pressures map[demand.ZonePool]float64
	sent      map[string]feedState
}

// feedState is when a follower was told, and of which pressures, and when the next is due.
type feedState struct {
	sentAt, dueAt time.Time
	pressures     map[demand.ZonePool]float64
}

// next is what follows a telling at a time, or none if it must wait.
func (s feedState) next(pressures map[demand.ZonePool]float64, now time.Time) (feedState, bool) {
	next := feedState{sentAt: now, dueAt: now.Add(feedInterval), pressures: pressures}
	if now.Before(s.dueAt.Add(-feedTolerance)) {
		return next, now.Sub(s.sentAt) >= urgentFeedInterval && pressureChanged(s.pressures, pressures)
	}
	if now.Before(s.dueAt) {
		next.dueAt = s.dueAt.Add(feedInterval)
	}
	return next, true
}

// totalDemandFor returns what a follower is told of all, or nil while it was told of late. The
// picture is encoded once a look for all of them.
func (c *control) totalDemandFor(follower string, now time.Time) *apiv1.DemandReport {
	f := &c.demand.feed
	if f.encoded == nil || now.Sub(f.encodedAt) >= observationInterval {
		f.refresh(c.demand.tree.Aggregate(now), c.demand.capacity.slots, now)
	}
	next, due := f.sent[follower].next(f.pressures, now)
	if !due {
		return nil
	}
	f.sent[follower] = next
	return &apiv1.DemandReport{
		Balancers:       f.encoded.GetBalancers(),
		AgeMilliseconds: uint32(max(0, f.aggregate.Age(now)).Milliseconds()),
		Zones:           f.encoded.GetZones(),
		Places:          f.encoded.GetPlaces(),
		Above:           uint32(c.demand.tree.Depth(now)),
	}
}

// refresh encodes a picture, and forgets the followers that no longer call.
func (f *demandFeed) refresh(aggregate demand.Aggregate, slots map[demand.ZonePool]float64, now time.Time) {
	f.encoded, f.aggregate, f.encodedAt = encodeAggregate(aggregate, now), aggregate, now
	f.pressures = make(map[demand.ZonePool]float64, len(aggregate.Loads))
	withRoom := aggregate.WithSlots(slots)
	for poolZone := range aggregate.Loads {
		f.pressures[poolZone] = withRoom.Pressure(poolZone)
	}
	if f.sent == nil {
		f.sent = make(map[string]feedState)
	}
	for follower, last := range f.sent {
		if now.Sub(last.sentAt) > feedTTL {
			delete(f.sent, follower)
		}
	}
}

// pressureChanged tells whether the pressure of a place has moved by enough to be told sooner. Places
// without room are beyond all pressure before and after.
func pressureChanged(before, after map[demand.ZonePool]float64) bool {
	differs := func(a, b float64) bool { return a != b && math.Abs(a-b) > minPressureChange }
	for poolZone, pressure := range after {
		if differs(before[poolZone], pressure) {
			return true
		}
	}
	for poolZone, pressure := range before {
		if _, found := after[poolZone]; !found && differs(pressure, 0) {
			return true
		}
	}
	return false
}
