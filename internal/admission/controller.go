package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lowestPriorityTarget is the pressure from which on flows of the lowest priority are
	// refused. Flows are distributed over back ends at random, so that with three requests
	// for each slot no slot idles, some back ends have almost full queues, and a response
	// takes three times as long as its processing. At 4, requests of high priority met full
	// queues a fifth more often.
	lowestPriorityTarget = 3.0
	// otherPrioritiesTarget is the pressure from which on higher priorities are refused too.
	// A refusal costs the client one of its three attempts; letting the flow pass costs more
	// only where most back ends shed. At 5, one request of high priority in twenty ran out of
	// attempts, at 8 one in 300.
	otherPrioritiesTarget = 8.0
	// idlePressure is the pressure below which slots may be free and no flow is refused. The
	// measured pressure is uncertain by a third.
	idlePressure = 1.5
	// maximumPressureAge is the age from which on a pressure counts as unknown. Aggregates
	// are one to two seconds old, and only the fraction of all requests that this balancer
	// sees is taken from them.
	maximumPressureAge = 4 * time.Second
	// startupDelay is for how long a new controller refuses no flow.
	startupDelay = 2 * time.Second
	// rampTime is the time in which the refused fraction rises from 0 to 1 at twice the
	// target pressure. A burst fills all queues within a second. A much shorter ramp would
	// follow random variations of the pressure.
	rampTime = 500 * time.Millisecond
	// proportionalGain is the fraction that is refused at once at twice the target pressure.
	proportionalGain = 0.3
	// minimumAdmitted is the fraction of the highest priority that is always admitted.
	// Without served requests the recovery of a pool could not be detected.
	minimumAdmitted = 0.1
)

// PoolState is the input of a controller for one pool.
type PoolState struct {
	Pool string
	// Priorities lists the priorities of the pool's routes, each once.
	Priorities []Priority
	Pressure   Pressure
}

// integrals has the integral terms of the controller for a pool. The field lowestPriority
// is the fraction of the lowest priority that is refused, and otherPriorities is how many of
// the other priorities are refused, from the lowest of them on, which need not be an integer.
type integrals struct {
	lowestPriority, otherPriorities float64
}

// Controller adjusts the refusals of pools by proportional-integral control of their
// pressure. It must be used from one goroutine only.
type Controller struct {
	startedAt time.Time
	updatedAt time.Time
	pools     map[string]*integrals
}

// NewController returns a controller that refuses no flow.
func NewController() *Controller { return &Controller{pools: make(map[string]*integrals)} }

// Update takes the states of all pools and returns the refusals in force, or nil if no
// flow is refused.
func (c *Controller) Update(states []PoolState, now time.Time) *Refusals {
	if c.startedAt.IsZero() {
		c.startedAt, c.updatedAt = now, now
	}
	elapsed := min(now.Sub(c.updatedAt), rampTime)
	c.updatedAt = now
	result := &Refusals{pools: make(map[string][]Refusal)}
	usable := make(map[string]*integrals, len(states))
	for _, state := range states {
		if now.Sub(c.startedAt) < startupDelay || !state.Pressure.usable(now) {
			continue
		}
		pool := c.pools[state.Pool]
		if pool == nil {
			pool = &integrals{}
		}
		usable[state.Pool] = pool
		if refusals := state.update(pool, elapsed); len(refusals) > 0 {
			result.pools[state.Pool] = refusals
		}
	}
	c.pools = usable
	if len(result.pools) == 0 {
		return nil
	}
	return result
}

func (p Pressure) usable(now time.Time) bool {
	return !p.SeenAt.IsZero() && p.Age(now) < maximumPressureAge
}

// update adjusts the integrals and returns the refusals with a fraction above 0. Higher
// priorities are refused only when the lowest one is refused as a whole and that is not
// enough. Where all requests have the same priority, it is treated as a higher one.
func (s *PoolState) update(integrals *integrals, elapsed time.Duration) []Refusal {
	if s.Pressure.RequestsPerSlot < idlePressure {
		integrals.lowestPriority, integrals.otherPriorities = 0, 0
		return nil
	}
	step := elapsed.Seconds() / rampTime.Seconds()
	ranks := float64(len(s.Priorities))
	if ranks > 1 {
		integrals.lowestPriority = min(max(integrals.lowestPriority+step*s.relativeError(lowestPriorityTarget), 0), 1)
		ranks--
	}
	otherPriorities := integrals.otherPriorities + step*s.relativeError(otherPrioritiesTarget)
	if len(s.Priorities) > 1 && integrals.lowestPriority < 1 {
		otherPriorities = min(otherPriorities, integrals.otherPriorities)
	}
	integrals.otherPriorities = min(max(otherPriorities, 0), ranks)
	return s.refusals(integrals)
}

// relativeError returns the difference between the pressure and a target, as a fraction of
// the target, limited to -1 to 1.
func (s *PoolState) relativeError(target float64) float64 {
	return max(min((s.Pressure.RequestsPerSlot-target)/target, 1), -1)
}

// refusals returns the refusals with a fraction above 0, the lowest priority first.
func (s *PoolState) refusals(integrals *integrals) []Refusal {
	ordered := slices.Clone(s.Priorities)
	slices.SortFunc(ordered, func(a, b Priority) int { return cmp.Compare(b, a) })
	fractions := make([]float64, 0, len(ordered))
	if len(ordered) > 1 {
		fractions = append(fractions, refusedFraction(integrals.lowestPriority, s.relativeError(lowestPriorityTarget), 0))
	}
	for rank := range len(ordered) - len(fractions) {
		fractions = append(fractions, refusedFraction(integrals.otherPriorities, s.relativeError(otherPrioritiesTarget), rank))
	}
	last := len(fractions) - 1
	fractions[last] = min(fractions[last], 1-minimumAdmitted)
	var refusals []Refusal
	for index, fraction := range fractions {
		if index > 0 {
			// The routes may have changed since the integrals rose.
			fraction = min(fraction, fractions[index-1])
		}
		if fraction > 0 {
			refusals = append(refusals, Refusal{Pool: s.Pool, Priority: ordered[index], Fraction: fraction, Pressure: s.Pressure})
		}
	}
	return refusals
}

// refusedFraction returns the fraction that is refused of the priority at a rank, from 0 for
// the lowest priority that the integral covers. It is 0 until the integral rises.
func refusedFraction(integral, relativeError float64, rank int) float64 {
	if integral == 0 {
		return 0
	}
	return min(max(integral+proportionalGain*relativeError-float64(rank), 0), 1)
}
