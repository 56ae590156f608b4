// Package demand aggregates what balancers measure of the demand on back ends, so that
// each balancer knows the demand on the whole fleet and its free capacity. The package
// does no I/O.
//
// A balancer sees a fraction of all flows. It measures the load of its own flows on each
// PoolZone, the back ends of a pool in one zone. Balancers form a tree: each adds the
// loads that its followers report to its own and reports the sum to the balancer that it
// follows. The sum of all, an Aggregate, is passed back down the tree.
//
// # Usage
//
//	local.Observe(loads, at)
//	tree.SetOwn(local.Aggregate(zone, now), position)
//	report, ok := tree.ReportTo(parent, now) // the loads of this balancer and its followers
//	aggregate := tree.Aggregate(now)
//	load := aggregate.Loads[demand.PoolZone{Pool: pool, Zone: zone}]
package demand

import (
	"math"
	"time"
)

// Pool is the name of a pool of back ends.
type Pool string

// Zone is the name of a zone.
type Zone string

// PoolZone identifies the back ends of a pool in one zone.
type PoolZone struct {
	Pool Pool
	Zone Zone
}

// Load is the demand on a PoolZone.
type Load struct {
	// InFlight is the number of requests at the back ends at a time, in process or queued:
	// those that wait for a response, less the ones on the network there or back.
	InFlight float64
	// NewFlows, Responses and Refusals are rates per second: of new flows sent to the back
	// ends, of requests answered, and of new flows refused for lack of capacity.
	NewFlows, Responses, Refusals float64
	// RequestRate is how many requests a second the clients of the zone send: all new flows,
	// and the requests after the first of each flow, that the balancers of the zone receive,
	// whichever zone they are sent to, including those that are refused. It describes the
	// zone's clients, the other fields its back ends. A client that retries from another port
	// counts again: a request that is refused or shed counts up to three times. Where zones
	// shed different fractions, the more loaded zone gets a higher rate from this.
	RequestRate float64
}

// Plus returns the sum of the loads that different balancers measured.
func (l Load) Plus(other Load) Load {
	return Load{
		InFlight:    l.InFlight + other.InFlight,
		NewFlows:    l.NewFlows + other.NewFlows,
		Responses:   l.Responses + other.Responses,
		Refusals:    l.Refusals + other.Refusals,
		RequestRate: l.RequestRate + other.RequestRate,
	}
}

// Aggregate is the sum of the demand that a number of balancers measured. It is immutable.
type Aggregate struct {
	// At is when the oldest part of it was measured. The zero time means never.
	At time.Time
	// Balancers is the number of balancers included, and ZoneBalancers has how many of them
	// carry traffic in each zone.
	Balancers     int
	ZoneBalancers map[Zone]int
	Loads         map[PoolZone]Load
	// Capacity is how many requests the back ends of a PoolZone that take new flows process
	// at once. Each balancer adds it from its own directory.
	Capacity map[PoolZone]float64
	// poolZones lists, for each pool with demand, the zones with demand or capacity.
	poolZones map[Pool][]PoolZone
}

// Age returns the time since the oldest part was measured.
func (a *Aggregate) Age(now time.Time) time.Duration { return now.Sub(a.At) }

// Fresh reports whether decisions may be based on the aggregate. A nil aggregate is not
// fresh.
func (a *Aggregate) Fresh(now time.Time) bool {
	return a != nil && !a.At.IsZero() && a.Age(now) <= MaximumAge
}

// Pressure returns the fraction of the capacity of a PoolZone that is in use. From 1 on,
// requests wait for a slot. The pressure is 0 where there is no demand, and infinite where
// requests wait or were refused and there is no capacity.
func (a *Aggregate) Pressure(poolZone PoolZone) float64 {
	load, capacity := a.Loads[poolZone], a.Capacity[poolZone]
	switch {
	case capacity > 0:
		return load.InFlight / capacity
	case load.InFlight > 0 || load.Refusals > 0:
		return math.Inf(1)
	}
	return 0
}

// WithCapacity returns a copy of the aggregate with the given capacities.
func (a Aggregate) WithCapacity(capacity map[PoolZone]float64) *Aggregate {
	a.Capacity = capacity
	a.poolZones = make(map[Pool][]PoolZone)
	for poolZone := range a.Loads {
		a.poolZones[poolZone.Pool] = append(a.poolZones[poolZone.Pool], poolZone)
	}
	for poolZone := range capacity {
		_, loaded := a.Loads[poolZone]
		if others, found := a.poolZones[poolZone.Pool]; found && !loaded {
			a.poolZones[poolZone.Pool] = append(others, poolZone)
		}
	}
	return &a
}

// PoolZones returns, for each pool with demand, the zones with demand or capacity. The
// aggregate must come from WithCapacity.
func (a *Aggregate) PoolZones() map[Pool][]PoolZone {
	if a == nil {
		return nil
	}
	return a.poolZones
}

// PoolTotals returns the number of requests at the back ends of a pool in all zones, and
// their capacity.
func (a *Aggregate) PoolTotals(pool Pool) (inFlight, capacity float64) {
	for _, poolZone := range a.poolZones[pool] {
		inFlight += a.Loads[poolZone].InFlight
		capacity += a.Capacity[poolZone]
	}
	return inFlight, capacity
}

// plus returns the sum of two aggregates of different balancers, without capacities.
func (a Aggregate) plus(other Aggregate) Aggregate {
	sum := Aggregate{
		At:            a.At,
		Balancers:     a.Balancers + other.Balancers,
		ZoneBalancers: make(map[Zone]int, len(a.ZoneBalancers)),
		Loads:         make(map[PoolZone]Load, len(a.Loads)),
	}
	if sum.At.IsZero() || other.At.Before(sum.At) {
		sum.At = other.At
	}
	for _, each := range []Aggregate{a, other} {
		for zone, count := range each.ZoneBalancers {
			sum.ZoneBalancers[zone] += count
		}
		for poolZone, load := range each.Loads {
			sum.Loads[poolZone] = sum.Loads[poolZone].Plus(load)
		}
	}
	return sum
}
