package demand

import (
	"math"
	"time"
)

const (
	// followTime is how fast the own part follows what is observed. It is short beside
	// the way of a part to all balancers; where many add up, little chance is left.
	followTime = 500 * time.Millisecond
	// observedFor is how old an observation may be. A balancer without packets makes
	// none, and asks nothing.
	observedFor = 2 * time.Second
	// nothing is what a smoothed load counts as none below, in requests.
	nothing = 1e-3
)

// Own is what this balancer's own flows ask, smoothed. The zero value asks nothing.
type Own struct {
	seenAt time.Time
	places map[Place]Load
}

// Take follows what was observed up to a time.
func (o *Own) Take(observed map[Place]Load, at time.Time) {
	if !at.After(o.seenAt) {
		return
	}
	part := 1 - math.Exp(-at.Sub(o.seenAt).Seconds()/followTime.Seconds())
	o.seenAt = at
	places := make(map[Place]Load, len(observed))
	for place, load := range o.places {
		if kept := load.times(1 - part); kept.sum() > nothing {
			places[place] = kept
		}
	}
	for place, load := range observed {
		if load.sum() > 0 {
			places[place] = places[place].Plus(load.times(part))
		}
	}
	o.places = places
}

// Picture is the part of this balancer, which stands in a zone.
func (o *Own) Picture(zone Zone, now time.Time) Picture {
	made := Picture{At: o.seenAt, Balancers: 1, Zones: map[Zone]int{zone: 1}, Places: o.places}
	if now.Sub(o.seenAt) > observedFor {
		// Others carry what its zone asks: one that is aside, or left out by the routers, would
		// else make each of them seem to carry less than it does.
		made.At, made.Places, made.Zones = now, nil, nil
	}
	return made
}

func (l Load) times(part float64) Load {
	return Load{
		Waiting:  l.Waiting * part,
		Openings: l.Openings * part,
		Answers:  l.Answers * part,
		Refusals: l.Refusals * part,
		Asks:     l.Asks * part,
	}
}

func (l Load) sum() float64 { return l.Waiting + l.Openings + l.Answers + l.Refusals + l.Asks }
