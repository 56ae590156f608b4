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
//	load := picture.Places[demand.PoolZone{Pool: pool, Zone: zone}]
package demand

import (
	"math"
	"time"
)

// Pool is the name of a pool of back ends.
type Pool string

// Zone is the name of a zone.
type Zone string

// PoolZone is the back ends of a pool in a zone.
type PoolZone struct {
	Pool Pool
	Zone Zone
}

// Load is the demand on a place.
type Load struct {
	// InFlight is how many requests are at the back ends at a time, worked on or in queues:
	// those that wait for an answer, less the time of the way there and back.
	InFlight float64
	// NewFlows are new flows sent there, Answers requests answered, and Refusals new
	// flows refused for want of room, each a second.
	NewFlows, Responses, Refusals float64
	// RequestRate are the new flows, and the requests beyond the first of each flow, that the
	// balancers of the zone were asked to carry a second, wherever they went, those that
	// were refused included. They tell of the zone's clients, the others of its back ends.
	// A client that tries again from another port asks again: one that is refused or shed
	// counts up to three times. Where zones shed unlike, that gives the fuller one more.
	RequestRate float64
}

// Plus adds what other balancers see.
func (l Load) Plus(other Load) Load {
	return Load{
		InFlight:    l.InFlight + other.InFlight,
		NewFlows:    l.NewFlows + other.NewFlows,
		Responses:   l.Responses + other.Responses,
		Refusals:    l.Refusals + other.Refusals,
		RequestRate: l.RequestRate + other.RequestRate,
	}
}

// Aggregate is the demand that a number of balancers see. It is immutable.
type Aggregate struct {
	// At is when the oldest part of it was seen; zero is never.
	At time.Time
	// Balancers is how many balancers see it, and Zones how many of each zone carry traffic.
	Balancers     int
	ZoneBalancers map[Zone]int
	Loads         map[PoolZone]Load
	// Capacity is how many requests the back ends of a place that take new flows handle at
	// once. Each balancer adds it from its own directory.
	Capacity map[PoolZone]float64
	// poolZones are the places with demand or room of each pool that somebody asks for.
	poolZones map[Pool][]PoolZone
}

// Age is the time since the oldest part was seen.
func (p *Aggregate) Age(now time.Time) time.Duration { return now.Sub(p.At) }

// Fresh tells whether decisions may rest on the picture. A nil picture is not fresh.
func (p *Aggregate) Fresh(now time.Time) bool {
	return p != nil && !p.At.IsZero() && p.Age(now) <= MaximumAge
}

// Pressure is the part of a place's room that is in use: from 1 on requests wait for a
// slot. It is 0 where nobody asks, and infinite where requests wait or were refused and
// there is no room.
func (p *Aggregate) Pressure(place PoolZone) float64 {
	load, room := p.Loads[place], p.Capacity[place]
	switch {
	case room > 0:
		return load.InFlight / room
	case load.InFlight > 0 || load.Refusals > 0:
		return math.Inf(1)
	}
	return 0
}

// WithCapacity returns the picture with the room of places.
func (p Aggregate) WithCapacity(room map[PoolZone]float64) *Aggregate {
	p.Capacity = room
	p.poolZones = make(map[Pool][]PoolZone)
	for place := range p.Loads {
		p.poolZones[place.Pool] = append(p.poolZones[place.Pool], place)
	}
	for place := range room {
		_, asked := p.Loads[place]
		if places, found := p.poolZones[place.Pool]; found && !asked {
			p.poolZones[place.Pool] = append(places, place)
		}
	}
	return &p
}

// PoolZones are the places with demand or room of each pool that somebody asks for, of a picture
// with its room.
func (p *Aggregate) PoolZones() map[Pool][]PoolZone {
	if p == nil {
		return nil
	}
	return p.poolZones
}

// PoolTotals is how many requests are at the back ends of a pool, and its room.
func (p *Aggregate) PoolTotals(pool Pool) (waiting, room float64) {
	for _, place := range p.poolZones[pool] {
		waiting += p.Loads[place].InFlight
		room += p.Capacity[place]
	}
	return waiting, room
}

// plus adds what other balancers see.
func (p Aggregate) plus(other Aggregate) Aggregate {
	joined := Aggregate{
		At:            p.At,
		Balancers:     p.Balancers + other.Balancers,
		ZoneBalancers: make(map[Zone]int, len(p.ZoneBalancers)),
		Loads:         make(map[PoolZone]Load, len(p.Loads)),
	}
	if joined.At.IsZero() || other.At.Before(joined.At) {
		joined.At = other.At
	}
	for _, each := range []Aggregate{p, other} {
		for zone, count := range each.ZoneBalancers {
			joined.ZoneBalancers[zone] += count
		}
		for place, load := range each.Loads {
			joined.Loads[place] = joined.Loads[place].Plus(load)
		}
	}
	return joined
}
