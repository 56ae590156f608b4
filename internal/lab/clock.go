// Package lab is the emulator of indigobarrow, a discrete-event simulation: it
// runs many nodes, their network, the platform's store, back ends and clients in
// one process and in virtual time.
//
// The nodes run the real control state (package core) and the real routing
// (package router); only sockets and clocks are modeled. A run is determined by
// its settings and seed, except for the order in which the core iterates over its
// maps, which Go randomizes: counts differ a little from run to run. Since the
// simulation has access to the state of every node, it checks the invariants
// throughout a run.
//
// [Scenario.Run] runs one scenario with given [Settings]; [Plan.Run] does so for
// one of the predefined settings and returns a [Row] for [WriteReport].
// [RunLoadTrust] runs the experiments on load trust.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock keeps virtual time and runs events from a queue in the order of their
// times.
type Clock struct {
	now    time.Duration
	events eventQueue
	order  uint64
	Random *rand.Rand
}

type event struct {
	at     time.Duration
	order  uint64
	action func()
}

type eventQueue []event

// Len implements heap.Interface.
func (queue eventQueue) Len() int { return len(queue) }

// Less implements heap.Interface: it orders events by time, and events of the
// same time by the order in which they were scheduled.
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].order < queue[j].order
}

// Swap implements heap.Interface.
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*queue = old[:len(old)-1]
	return last
}

// NewClock returns a clock at time 0 with a random number generator that is
// initialized from the seed.
func NewClock(seed uint64) *Clock {
	return &Clock{Random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the time since the start of the run.
func (clock *Clock) Now() time.Duration { return clock.now }

// Milliseconds returns the time since the start of the run in whole milliseconds.
func (clock *Clock) Milliseconds() uint32 { return uint32(clock.now / time.Millisecond) }

// After schedules an action to run after a delay; a negative delay counts as 0.
func (clock *Clock) After(delay time.Duration, action func()) {
	clock.order++
	heap.Push(&clock.events, event{at: clock.now + max(delay, 0), order: clock.order, action: action})
}

// RunUntil runs the events that are due up to and including a time, and sets the
// clock to that time.
func (clock *Clock) RunUntil(end time.Duration) {
	for len(clock.events) > 0 && clock.events[0].at <= end {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.action()
	}
	clock.now = end
}

// Exponential returns a random, exponentially distributed duration with the given
// mean.
func (clock *Clock) Exponential(mean time.Duration) time.Duration {
	return time.Duration(clock.Random.ExpFloat64() * float64(mean))
}
