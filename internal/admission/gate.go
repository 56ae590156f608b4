package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lowestPriorityTarget is the pressure at which the less urgent give way. Flows fall on back ends
	// by chance, so that with three requests for each slot none idles, some back ends
	// have queues near their end, and an answer takes three times its work. At 4 urgent
	// requests met full queues a fifth more often.
	lowestPriorityTarget = 3.0
	// otherPrioritiesTarget is the pressure from which on the more urgent are refused too: a refusal
	// costs its client one of three tries, and only where most back ends shed is that
	// dearer. At 5 one urgent request of twenty was refused for good, at 8 one of 300.
	otherPrioritiesTarget = 8.0
	// idlePressure is the pressure below which slots may be free, and nobody is refused:
	// what is seen of it is uncertain by a third.
	idlePressure = 1.5
	// maximumPressureAge is the age from which on a pressure is unknown. Pictures are one to two
	// seconds old, and of one it is only taken which part of all a balancer sees.
	maximumPressureAge = 4 * time.Second
	// startupDelay is how long a gate only looks on.
	startupDelay = 2 * time.Second
	// rampTime is the time in which the part refused goes from nothing to all at twice
	// the pressure that is aimed at. A burst fills all queues within a second; much
	// faster, it follows what is chance in the pressure.
	rampTime = 500 * time.Millisecond
	// proportionalGain is the part that is refused at once at twice that pressure.
	proportionalGain = 0.3
	// minimumAdmitted is the part of the most urgent that passes in any case: what is
	// served tells when there is room again.
	minimumAdmitted = 0.1
)

// PoolState is what a gate decides on a pool by.
type PoolState struct {
	Pool string
	// Priorities are those of the pool's routes, each once.
	Priorities []Priority
	Pressure   Pressure
}

// integrals is what a gate holds on a pool: yielding is the part of the least urgent that is
// refused, and shedding how many ranks of the others, from the less urgent on.
type integrals struct {
	lowestPriority, otherPriorities float64
}

// Controller moves the levels of pools. It belongs to one goroutine.
type Controller struct {
	startedAt time.Time
	updatedAt time.Time
	pools     map[string]*integrals
}

// NewController makes a gate that refuses nobody.
func NewController() *Controller { return &Controller{pools: make(map[string]*integrals)} }

// Update follows the demand on all pools and returns the levels in force, nil when
// nobody is refused.
func (g *Controller) Update(demands []PoolState, now time.Time) *Refusals {
	if g.startedAt.IsZero() {
		g.startedAt, g.updatedAt = now, now
	}
	passed := min(now.Sub(g.updatedAt), rampTime)
	g.updatedAt = now
	made := &Refusals{pools: make(map[string][]Refusal)}
	known := make(map[string]*integrals, len(demands))
	for _, demand := range demands {
		if now.Sub(g.startedAt) < startupDelay || !demand.Pressure.usable(now) {
			continue
		}
		pool := g.pools[demand.Pool]
		if pool == nil {
			pool = &integrals{}
		}
		known[demand.Pool] = pool
		if levels := demand.update(pool, passed); len(levels) > 0 {
			made.pools[demand.Pool] = levels
		}
	}
	g.pools = known
	if len(made.pools) == 0 {
		return nil
	}
	return made
}

func (p Pressure) usable(now time.Time) bool {
	return !p.SeenAt.IsZero() && p.Age(now) < maximumPressureAge
}

// update moves what is refused and returns the levels above nothing. Others follow the
// least urgent only when all of those give way and it is not enough; where requests are
// of one urgency, nobody gives way to another.
func (d *PoolState) update(held *integrals, passed time.Duration) []Refusal {
	if d.Pressure.RequestsPerSlot < idlePressure {
		held.lowestPriority, held.otherPriorities = 0, 0
		return nil
	}
	step := passed.Seconds() / rampTime.Seconds()
	ranks := float64(len(d.Priorities))
	if ranks > 1 {
		held.lowestPriority = min(max(held.lowestPriority+step*d.relativeError(lowestPriorityTarget), 0), 1)
		ranks--
	}
	shedding := held.otherPriorities + step*d.relativeError(otherPrioritiesTarget)
	if len(d.Priorities) > 1 && held.lowestPriority < 1 {
		shedding = min(shedding, held.otherPriorities)
	}
	held.otherPriorities = min(max(shedding, 0), ranks)
	return d.refusals(held)
}

// relativeError is by how much the pressure is above a target, as a part of it, -1 to 1.
func (d *PoolState) relativeError(target float64) float64 {
	return max(min((d.Pressure.RequestsPerSlot-target)/target, 1), -1)
}

// refusals are those that refuse anybody, the least urgent first.
func (d *PoolState) refusals(held *integrals) []Refusal {
	ordered := slices.Clone(d.Priorities)
	slices.SortFunc(ordered, func(a, b Priority) int { return cmp.Compare(b, a) })
	refused := make([]float64, 0, len(ordered))
	if len(ordered) > 1 {
		refused = append(refused, refusedFraction(held.lowestPriority, d.relativeError(lowestPriorityTarget), 0))
	}
	for rank := range len(ordered) - len(refused) {
		refused = append(refused, refusedFraction(held.otherPriorities, d.relativeError(otherPrioritiesTarget), rank))
	}
	last := len(refused) - 1
	refused[last] = min(refused[last], 1-minimumAdmitted)
	var levels []Refusal
	for place, part := range refused {
		if place > 0 {
			// The routes may have changed since what is held rose.
			part = min(part, refused[place-1])
		}
		if part > 0 {
			levels = append(levels, Refusal{Pool: d.Pool, Priority: ordered[place], Fraction: part, Pressure: d.Pressure})
		}
	}
	return levels
}

// refusedFraction is the part refused of a rank. Nothing is refused before what is held rises.
func refusedFraction(held, excess float64, rank int) float64 {
	if held == 0 {
		return 0
	}
	return min(max(held+proportionalGain*excess-float64(rank), 0), 1)
}
