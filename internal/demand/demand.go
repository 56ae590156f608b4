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
//	part = part.Plus(other)
//	load := picture.Places[demand.Place{Pool: pool, Zone: zone}]
package demand

import "time"

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
	// Waiting is how many requests wait for an answer at a time.
	Waiting float64
	// Openings are new flows sent there, Answers requests answered, and Refusals new
	// flows refused for want of room, each a second.
	Openings, Answers, Refusals float64
}

// Plus adds what other balancers see.
func (l Load) Plus(other Load) Load {
	return Load{
		Waiting:  l.Waiting + other.Waiting,
		Openings: l.Openings + other.Openings,
		Answers:  l.Answers + other.Answers,
		Refusals: l.Refusals + other.Refusals,
	}
}

// Picture is the demand that a number of balancers see. It is immutable.
type Picture struct {
	// At is when the oldest part of it was seen; zero is never.
	At time.Time
	// Balancers is how many balancers see it.
	Balancers int
	Places    map[Place]Load
}
