package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// yieldAt is the pressure at which the less urgent give way. Flows fall on back ends
	// by chance, so that with three requests for each slot none idles, some back ends
	// have queues near their end, and an answer takes three times its work. At 4 urgent
	// requests met full queues a fifth more often.
	yieldAt = 3.0
	// shedAt is the pressure from which on the more urgent are refused too: a refusal
	// costs its client one of three tries, and only where most back ends shed is that
	// dearer. At 5 one urgent request of twenty was refused for good, at 8 one of 300.
	shedAt = 8.0
	// freeBelow is the pressure below which slots may be free, and nobody is refused:
	// what is seen of it is uncertain by a third.
	freeBelow = 1.5
	// oldAfter is the age from which on a pressure is unknown. Pictures are one to two
	// seconds old, and of one it is only taken which part of all a balancer sees.
	oldAfter = 4 * time.Second
	// startTime is how long a gate only looks on.
	startTime = 2 * time.Second
	// riseTime is the time in which the part refused goes from nothing to all at twice
	// the pressure that is aimed at. A burst fills all queues within a second; much
	// faster, it follows what is chance in the pressure.
	riseTime = 500 * time.Millisecond
	// swing is the part that is refused at once at twice that pressure.
	swing = 0.3
	// leastAdmitted is the part of the most urgent that passes in any case: what is
	// served tells when there is room again.
	leastAdmitted = 0.1
)

// Demand is what a gate decides on a pool by.
type Demand struct {
	Pool string
	// Urgencies are those of the pool's routes, each once.
	Urgencies []Urgency
	Pressure  Pressure
}

// held is what a gate holds on a pool: yielding is the part of the least urgent that is
// refused, and shedding how many ranks of the others, from the less urgent on.
type held struct {
	yielding, shedding float64
}

// Gate moves the levels of pools. It belongs to one goroutine.
type Gate struct {
	startedAt time.Time
	steppedAt time.Time
	pools     map[string]*held
}

// NewGate makes a gate that refuses nobody.
func NewGate() *Gate { return &Gate{pools: make(map[string]*held)} }

// Step follows the demand on all pools and returns the levels in force, nil when
// nobody is refused.
func (g *Gate) Step(demands []Demand, now time.Time) *Levels {
	if g.startedAt.IsZero() {
		g.startedAt, g.steppedAt = now, now
	}
	passed := min(now.Sub(g.steppedAt), riseTime)
	g.steppedAt = now
	made := &Levels{pools: make(map[string][]Level)}
	known := make(map[string]*held, len(demands))
	for _, demand := range demands {
		if now.Sub(g.startedAt) < startTime || !demand.Pressure.known(now) {
			continue
		}
		pool := g.pools[demand.Pool]
		if pool == nil {
			pool = &held{}
		}
		known[demand.Pool] = pool
		if levels := demand.move(pool, passed); len(levels) > 0 {
			made.pools[demand.Pool] = levels
		}
	}
	g.pools = known
	if len(made.pools) == 0 {
		return nil
	}
	return made
}

func (p Pressure) known(now time.Time) bool {
	return !p.SeenAt.IsZero() && p.Age(now) < oldAfter
}

// move moves what is refused and returns the levels above nothing. Others follow the
// least urgent only when all of those give way and it is not enough; where requests are
// of one urgency, nobody gives way to another.
func (d *Demand) move(held *held, passed time.Duration) []Level {
	if d.Pressure.Waiting < freeBelow {
		held.yielding, held.shedding = 0, 0
		return nil
	}
	step := passed.Seconds() / riseTime.Seconds()
	ranks := float64(len(d.Urgencies))
	if ranks > 1 {
		held.yielding = min(max(held.yielding+step*d.excess(yieldAt), 0), 1)
		ranks--
	}
	shedding := held.shedding + step*d.excess(shedAt)
	if len(d.Urgencies) > 1 && held.yielding < 1 {
		shedding = min(shedding, held.shedding)
	}
	held.shedding = min(max(shedding, 0), ranks)
	return d.levels(held)
}

// excess is by how much the pressure is above a target, as a part of it, -1 to 1.
func (d *Demand) excess(target float64) float64 {
	return max(min((d.Pressure.Waiting-target)/target, 1), -1)
}

// levels are those that refuse anybody, the least urgent first.
func (d *Demand) levels(held *held) []Level {
	ordered := slices.Clone(d.Urgencies)
	slices.SortFunc(ordered, func(a, b Urgency) int { return cmp.Compare(b, a) })
	refused := make([]float64, 0, len(ordered))
	if len(ordered) > 1 {
		refused = append(refused, swung(held.yielding, d.excess(yieldAt), 0))
	}
	for rank := range len(ordered) - len(refused) {
		refused = append(refused, swung(held.shedding, d.excess(shedAt), rank))
	}
	last := len(refused) - 1
	refused[last] = min(refused[last], 1-leastAdmitted)
	var levels []Level
	for place, part := range refused {
		if place > 0 {
			// The routes may have changed since what is held rose.
			part = min(part, refused[place-1])
		}
		if part > 0 {
			levels = append(levels, Level{Pool: d.Pool, Urgency: ordered[place], Refused: part, Pressure: d.Pressure})
		}
	}
	return levels
}

// swung is the part refused of a rank. Nothing is refused before what is held rises.
func swung(held, excess float64, rank int) float64 {
	if held == 0 {
		return 0
	}
	return min(max(held+swing*excess-float64(rank), 0), 1)
}
