package admission

import (
	"math"
	"time"
)

// Priority orders requests, 0 first.
type Priority uint32

// Refusal is the part of a pool's new flows of one urgency that is refused. It is
// immutable.
type Refusal struct {
	Pool     string
	Priority Priority
	// Fraction is that part, 0 to 1.
	Fraction float64
	// Pressure is what it was decided by.
	Pressure Pressure
}

// Refusals are those in force. They are immutable; nil refuses nobody.
type Refusals struct {
	pools map[string][]Refusal
}

// Match returns the level by which a new flow is refused, or nil when it may
// pass. Draw is a number that is even over flows.
func (l *Refusals) Match(pool string, urgency Priority, draw uint64) *Refusal {
	if l == nil {
		return nil
	}
	levels := l.pools[pool]
	for place := range levels {
		level := &levels[place]
		if level.Priority == urgency && level.matches(draw) {
			return level
		}
	}
	return nil
}

// All are the levels that refuse anybody.
func (l *Refusals) All() []Refusal {
	var all []Refusal
	if l == nil {
		return nil
	}
	for _, levels := range l.pools {
		all = append(all, levels...)
	}
	return all
}

func (l *Refusal) matches(draw uint64) bool {
	return float64(IndependentHash(draw)>>32) < l.Fraction*(math.MaxUint32+1)
}

// IndependentHash makes of the hash of a flow a number that is independent of the one that
// orders back ends (the finalizer of splitmix64).
func IndependentHash(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Pressure is how many requests wait for each slot that takes new flows.
type Pressure struct {
	RequestsPerSlot float64
	// SeenAt is when the oldest part of it was seen; zero is never.
	SeenAt time.Time
}

// Age is how old the pressure is.
func (p Pressure) Age(now time.Time) time.Duration { return now.Sub(p.SeenAt) }
