// Package lab is the emulator of indigobarrow: many nodes, their network, the
// platform's store, back ends and callers in one process and in virtual time.
//
// The nodes run the real control state (package core) and the real routing
// (package router); only sockets and clocks are modelled. A run follows from its
// settings and seed, up to the order in which the core goes over its maps, which
// Go varies: counts differ a little from run to run. The world sees everything,
// so it checks all the time what must always hold.
package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Clock is virtual time with an event queue.
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

// Less implements heap.Interface: earlier events first, in order of planning.
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

// NewClock makes a clock at 0 whose randomness follows from the seed.
func NewClock(seed uint64) *Clock {
	return &Clock{Random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the time since the start of the run.
func (clock *Clock) Now() time.Duration { return clock.now }

// Milliseconds returns the time since the start of the run.
func (clock *Clock) Milliseconds() uint32 { return uint32(clock.now / time.Millisecond) }

// After runs an action after a delay.
func (clock *Clock) After(delay time.Duration, action func()) {
	clock.order++
	heap.Push(&clock.events, event{at: clock.now + max(delay, 0), order: clock.order, action: action})
}

// RunUntil runs the events up to a time and sets the clock to it.
func (clock *Clock) RunUntil(end time.Duration) {
	for len(clock.events) > 0 && clock.events[0].at <= end {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.action()
	}
	clock.now = end
}

// Exponential draws an exponentially distributed duration.
func (clock *Clock) Exponential(mean time.Duration) time.Duration {
	return time.Duration(clock.Random.ExpFloat64() * float64(mean))
}
