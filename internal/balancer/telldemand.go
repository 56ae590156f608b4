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
	aggregate demand.Picture
	encodedAt time.Time
	// pressures are those of seen, never changed but replaced.
	pressures map[demand.Place]float64
	sent      map[string]feedState
}

// feedState is when a follower was told, and of which pressures, and when the next is due.
type feedState struct {
	sentAt, dueAt time.Time
	pressures     map[demand.Place]float64
}

// next is what follows a telling at a time, or none if it must wait.
func (t feedState) next(pressures map[demand.Place]float64, now time.Time) (feedState, bool) {
	made := feedState{sentAt: now, dueAt: now.Add(feedInterval), pressures: pressures}
	if now.Before(t.dueAt.Add(-feedTolerance)) {
		return made, now.Sub(t.sentAt) >= urgentFeedInterval && pressureChanged(t.pressures, pressures)
	}
	if now.Before(t.dueAt) {
		made.dueAt = t.dueAt.Add(feedInterval)
	}
	return made, true
}

// totalDemandFor returns what a follower is told of all, or nil while it was told of late. The
// picture is encoded once a look for all of them.
func (c *control) totalDemandFor(follower string, now time.Time) *apiv1.DemandReport {
	t := &c.demand.feed
	if t.encoded == nil || now.Sub(t.encodedAt) >= lookPause {
		t.refresh(c.demand.tree.Picture(now), c.demand.capacity.slots, now)
	}
	next, may := t.sent[follower].next(t.pressures, now)
	if !may {
		return nil
	}
	t.sent[follower] = next
	return &apiv1.DemandReport{
		Balancers:       t.encoded.GetBalancers(),
		AgeMilliseconds: uint32(max(0, t.aggregate.Age(now)).Milliseconds()),
		Zones:           t.encoded.GetZones(),
		Places:          t.encoded.GetPlaces(),
		Above:           uint32(c.demand.tree.Above(now)),
	}
}

// refresh encodes a picture, and forgets the followers that no longer call.
func (t *demandFeed) refresh(picture demand.Picture, room map[demand.Place]float64, now time.Time) {
	t.encoded, t.aggregate, t.encodedAt = encodeAggregate(picture, now), picture, now
	t.pressures = make(map[demand.Place]float64, len(picture.Places))
	withRoom := picture.WithRoom(room)
	for place := range picture.Places {
		t.pressures[place] = withRoom.Pressure(place)
	}
	if t.sent == nil {
		t.sent = make(map[string]feedState)
	}
	for follower, last := range t.sent {
		if now.Sub(last.sentAt) > feedTTL {
			delete(t.sent, follower)
		}
	}
}

// pressureChanged tells whether the pressure of a place has moved by enough to be told sooner. Places
// without room are beyond all pressure before and after.
func pressureChanged(before, after map[demand.Place]float64) bool {
	differs := func(a, b float64) bool { return a != b && math.Abs(a-b) > minPressureChange }
	for place, pressure := range after {
		if differs(before[place], pressure) {
			return true
		}
	}
	for place, pressure := range before {
		if _, found := after[place]; !found && differs(pressure, 0) {
			return true
		}
	}
	return false
}
