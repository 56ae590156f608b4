package admission

import (
	"math"
	"time"
)

// Priority orders requests. Priority 0 is the highest.
type Priority uint32

// Refusal is the fraction of a pool's new flows of one priority that is refused. It
// is immutable.
type Refusal struct {
	Pool     string
	Priority Priority
	// Fraction is 0 to 1.
	Fraction float64
	// Pressure is the pressure that the fraction was computed from.
	Pressure Pressure
}

// Refusals holds the refusals in force. It is immutable; a nil Refusals refuses no flow.
type Refusals struct {
	pools map[string][]Refusal
}

// Match returns the refusal that applies to a new flow, or nil if the flow is
// admitted. The hash must be uniformly distributed over flows.
func (r *Refusals) Match(pool string, priority Priority, hash uint64) *Refusal {
	if r == nil {
		return nil
	}
	refusals := r.pools[pool]
	for index := range refusals {
		refusal := &refusals[index]
		if refusal.Priority == priority && refusal.matches(hash) {
			return refusal
		}
	}
	return nil
}

// All returns all refusals whose fraction is above 0.
func (r *Refusals) All() []Refusal {
	var all []Refusal
	if r == nil {
		return nil
	}
	for _, refusals := range r.pools {
		all = append(all, refusals...)
	}
	return all
}

func (r *Refusal) matches(hash uint64) bool {
	return float64(IndependentHash(hash)>>32) < r.Fraction*(math.MaxUint32+1)
}

// IndependentHash derives from the hash of a flow a number that is independent of
// the order of back ends for the flow (the finalizer of splitmix64).
func IndependentHash(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// Pressure is the number of requests in flight for each slot of the back ends that
// take new flows.
type Pressure struct {
	RequestsPerSlot float64
	// SeenAt is when the oldest part of it was measured. The zero time means never.
	SeenAt time.Time
}

// Age returns the time since the oldest part of the pressure was measured.
func (p Pressure) Age(now time.Time) time.Duration { return now.Sub(p.SeenAt) }
