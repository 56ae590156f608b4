// Package demand adds up what balancers see of the demand on back ends, so that
// each knows the demand on the whole fleet and the room that is left. It is a core
// without I/O.
//
// A balancer sees one part in so many of the flows. It counts what its own flows ask
// of each Place, the back ends of a pool in a zone. Parts of different balancers add
// up: each balancer adds those of the balancers that follow it to its own, and the
// sum of all, the Picture, is told back.
//
// # Usage
//
//	own.Take(places, at)
//	tree.See(own.Picture(zone, now))
//	report, may := tree.Hand(parent, now) // tells the parent what is seen here
//	picture := tree.Picture(now)
//	load := picture.Places[demand.Place{Pool: pool, Zone: zone}]
package demand

import (
	"math"
	"time"
)

// Pool is the name of a pool of back ends.
type Pool string

// Zone is the name of a zone.
type Zone string

// Place is the back ends of a pool in a zone.
type Place struct {
	Pool Pool
	Zone Zone
}

// Load is the demand on a place.
type Load struct {
	// Waiting is how many requests are at the back ends at a time, worked on or in queues:
	// those that wait for an answer, less the time of the way there and back.
	Waiting float64
	// Openings are new flows sent there, Answers requests answered, and Refusals new
	// flows refused for want of room, each a second.
	Openings, Answers, Refusals float64
	// Asks are the new flows, and the requests beyond the first of each flow, that the
	// balancers of the zone were asked to carry a second, wherever they went, those that
	// were refused included. They tell of the zone's clients, the others of its back ends.
	// A client that tries again from another port asks again: one that is refused or shed
	// counts up to three times. Where zones shed unlike, that gives the fuller one more.
	Asks float64
}

// Plus adds what other balancers see.
func (l Load) Plus(other Load) Load {
	return Load{
		Waiting:  l.Waiting + other.Waiting,
		Openings: l.Openings + other.Openings,
		Answers:  l.Answers + other.Answers,
		Refusals: l.Refusals + other.Refusals,
		Asks:     l.Asks + other.Asks,
	}
}

// Picture is the demand that a number of balancers see. It is immutable.
type Picture struct {
	// At is when the oldest part of it was seen; zero is never.
	At time.Time
	// Balancers is how many balancers see it, and Zones how many of each zone carry traffic.
	Balancers int
	Zones     map[Zone]int
	Places    map[Place]Load
	// Room is how many requests the back ends of a place that take new flows handle at
	// once. Each balancer adds it from its own directory.
	Room map[Place]float64
	// pools are the places with demand or room of each pool that somebody asks for.
	pools map[Pool][]Place
}

// Age is the time since the oldest part was seen.
func (p *Picture) Age(now time.Time) time.Duration { return now.Sub(p.At) }

// Fresh tells whether decisions may rest on the picture. A nil picture is not fresh.
func (p *Picture) Fresh(now time.Time) bool {
	return p != nil && !p.At.IsZero() && p.Age(now) <= FreshFor
}

// Pressure is the part of a place's room that is in use: from 1 on requests wait for a
// slot. It is 0 where nobody asks, and infinite where requests wait or were refused and
// there is no room.
func (p *Picture) Pressure(place Place) float64 {
	load, room := p.Places[place], p.Room[place]
	switch {
	case room > 0:
		return load.Waiting / room
	case load.Waiting > 0 || load.Refusals > 0:
		return math.Inf(1)
	}
	return 0
}

// WithRoom returns the picture with the room of places.
func (p Picture) WithRoom(room map[Place]float64) *Picture {
	p.Room = room
	p.pools = make(map[Pool][]Place)
	for place := range p.Places {
		p.pools[place.Pool] = append(p.pools[place.Pool], place)
	}
	for place := range room {
		_, asked := p.Places[place]
		if places, found := p.pools[place.Pool]; found && !asked {
			p.pools[place.Pool] = append(places, place)
		}
	}
	return &p
}

// Pools are the places with demand or room of each pool that somebody asks for, of a picture
// with its room.
func (p *Picture) Pools() map[Pool][]Place {
	if p == nil {
		return nil
	}
	return p.pools
}

// Whole is how many requests are at the back ends of a pool, and its room.
func (p *Picture) Whole(pool Pool) (waiting, room float64) {
	for _, place := range p.pools[pool] {
		waiting += p.Places[place].Waiting
		room += p.Room[place]
	}
	return waiting, room
}

// plus adds what other balancers see.
func (p Picture) plus(other Picture) Picture {
	joined := Picture{
		At:        p.At,
		Balancers: p.Balancers + other.Balancers,
		Zones:     make(map[Zone]int, len(p.Zones)),
		Places:    make(map[Place]Load, len(p.Places)),
	}
	if joined.At.IsZero() || other.At.Before(joined.At) {
		joined.At = other.At
	}
	for _, each := range []Picture{p, other} {
		for zone, count := range each.Zones {
			joined.Zones[zone] += count
		}
		for place, load := range each.Places {
			joined.Places[place] = joined.Places[place].Plus(load)
		}
	}
	return joined
}
