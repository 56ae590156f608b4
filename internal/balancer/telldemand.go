package balancer

import (
	"math"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
)

const (
	// tellPause is the mean time between two tellings of the picture to one follower, whose
	// calls are answered one to three times a second; each telling is some 50 bytes a place.
	// One may be tellEarly early: with calls answered each 0.92 s, one in two would else be
	// told nothing, and pictures be a second older at each level.
	tellPause = time.Second
	tellEarly = 250 * time.Millisecond
	// soonPause is the same while the pressure of a place has moved by more than
	// pressureStep since, in requests for each slot: a quarter of the room crosses zones
	// then that did not, or no longer.
	soonPause    = 300 * time.Millisecond
	pressureStep = 0.25
	// toldFor is how long a follower that does not call is remembered.
	toldFor = 10 * time.Second
)

// tellings are what followers were told of the picture.
type tellings struct {
	// whole is the picture encoded, as at a time, and seen the picture.
	whole  *apiv1.DemandReport
	seen   demand.Aggregate
	madeAt time.Time
	// pressures are those of seen, never changed but replaced.
	pressures map[demand.ZonePool]float64
	told      map[string]telling
}

// telling is when a follower was told, and of which pressures, and when the next is due.
type telling struct {
	at, dueAt time.Time
	pressures map[demand.ZonePool]float64
}

// next is what follows a telling at a time, or none if it must wait.
func (t telling) next(pressures map[demand.ZonePool]float64, now time.Time) (telling, bool) {
	made := telling{at: now, dueAt: now.Add(tellPause), pressures: pressures}
	if now.Before(t.dueAt.Add(-tellEarly)) {
		return made, now.Sub(t.at) >= soonPause && moved(t.pressures, pressures)
	}
	if now.Before(t.dueAt) {
		made.dueAt = t.dueAt.Add(tellPause)
	}
	return made, true
}

// wholeFor returns what a follower is told of all, or nil while it was told of late. The
// picture is encoded once a look for all of them.
func (c *control) wholeFor(follower string, now time.Time) *apiv1.DemandReport {
	t := &c.demand.tellings
	if t.whole == nil || now.Sub(t.madeAt) >= shareUpdateInterval {
		t.renew(c.demand.tree.Aggregate(now), c.demand.room.slots, now)
	}
	next, may := t.told[follower].next(t.pressures, now)
	if !may {
		return nil
	}
	t.told[follower] = next
	return &apiv1.DemandReport{
		Balancers:       t.whole.GetBalancers(),
		AgeMilliseconds: uint32(max(0, t.seen.Age(now)).Milliseconds()),
		Zones:           t.whole.GetZones(),
		Places:          t.whole.GetPlaces(),
		Above:           uint32(c.demand.tree.Depth(now)),
	}
}

// renew encodes a picture, and forgets the followers that no longer call.
func (t *tellings) renew(picture demand.Aggregate, room map[demand.ZonePool]float64, now time.Time) {
	t.whole, t.seen, t.madeAt = encodePicture(picture, now), picture, now
	t.pressures = make(map[demand.ZonePool]float64, len(picture.Loads))
	withRoom := picture.WithSlots(room)
	for place := range picture.Loads {
		t.pressures[place] = withRoom.Pressure(place)
	}
	if t.told == nil {
		t.told = make(map[string]telling)
	}
	for follower, last := range t.told {
		if now.Sub(last.at) > toldFor {
			delete(t.told, follower)
		}
	}
}

// moved tells whether the pressure of a place has moved by enough to be told sooner. Places
// without room are beyond all pressure before and after.
func moved(before, after map[demand.ZonePool]float64) bool {
	differs := func(a, b float64) bool { return a != b && math.Abs(a-b) > pressureStep }
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
