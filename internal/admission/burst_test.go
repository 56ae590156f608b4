package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The test simulates a small fleet in virtual time: clients that make three attempts,
// balancers that each see a fraction of the flows, and back ends with 2 slots and a queue of
// 8 that shed further requests.
const (
	fleetBalancers    = 4
	fleetBackends     = 16
	fleetSlots        = 2
	fleetQueue        = 8
	maximumAttempts   = 3
	responseTimeLimit = 600 * time.Millisecond
	burstStart        = 10 * time.Second
	burstEnd          = 16 * time.Second
	simulationEnd     = 24 * time.Second
)

type attempt struct {
	priority  Priority
	startedAt time.Duration
	number    int
	// open is set for requests on open flows, which are never refused.
	open     bool
	balancer int
}

type requestCounters struct {
	requests, inTime, lost, arrivals, refused int
}

type fleet struct {
	random      *rand.Rand
	controllers []*Controller
	refusals    []*Refusals
	inFlight    []int
	smoothed    []float64
	backends    [fleetBackends][]attempt
	working     [fleetBackends]int
	scheduled   map[time.Duration][]func(now time.Duration)
	counters    map[string]*requestCounters
}

func newFleet(seed uint64, controlled bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), scheduled: make(map[time.Duration][]func(time.Duration)),
		counters: make(map[string]*requestCounters), inFlight: make([]int, fleetBalancers), smoothed: make([]float64, fleetBalancers),
		refusals: make([]*Refusals, fleetBalancers)}
	for range fleetBalancers {
		if controlled {
			f.controllers = append(f.controllers, NewController())
		}
	}
	return f
}

func (f *fleet) after(now, delay time.Duration, do func(time.Duration)) {
	at := (now + delay).Truncate(time.Millisecond) + time.Millisecond
	f.scheduled[at] = append(f.scheduled[at], do)
}

// countersOf returns the counters of requests of a priority that begin in a phase of the
// simulation.
func (f *fleet) countersOf(a attempt) *requestCounters {
	phase := "before"
	switch {
	case a.startedAt >= burstEnd+2*time.Second:
		phase = "after"
	case a.startedAt >= burstEnd:
		phase = "end"
	case a.startedAt >= burstStart:
		phase = "burst"
	}
	name := fmt.Sprint(phase, a.priority)
	if f.counters[name] == nil {
		f.counters[name] = &requestCounters{}
	}
	return f.counters[name]
}

func (f *fleet) begin(a attempt, now time.Duration) {
	a.balancer = f.random.IntN(fleetBalancers)
	if !a.open && f.refusals[a.balancer].Match("pool", a.priority, f.random.Uint64()) != nil {
		f.countersOf(a).refused++
		f.retry(a, now)
		return
	}
	f.countersOf(a).arrivals++
	f.inFlight[a.balancer]++
	index := f.random.IntN(fleetBackends)
	if f.working[index] == fleetSlots && len(f.backends[index]) == fleetQueue {
		f.after(now, 100*time.Millisecond, func(now time.Duration) { f.inFlight[a.balancer]--; f.retry(a, now) })
		return
	}
	f.backends[index] = append(f.backends[index], a)
	f.work(index, now)
}

func (f *fleet) retry(a attempt, now time.Duration) {
	a.number, a.open = a.number+1, false
	if a.number == maximumAttempts {
		f.countersOf(a).lost++
		return
	}
	f.after(now, time.Duration(20+f.random.IntN(80))*time.Millisecond, func(now time.Duration) { f.begin(a, now) })
}

func (f *fleet) work(index int, now time.Duration) {
	for f.working[index] < fleetSlots && len(f.backends[index]) > 0 {
		a := f.backends[index][0]
		f.backends[index] = f.backends[index][1:]
		f.working[index]++
		f.after(now, time.Duration(20+f.random.IntN(80))*time.Millisecond, func(now time.Duration) {
			f.working[index]--
			f.inFlight[a.balancer]--
			if now-a.startedAt <= responseTimeLimit {
				f.countersOf(a).inTime++
			}
			f.work(index, now)
		})
	}
}

// updateControllers updates the controller of each balancer with the requests in flight there,
// measured one second ago.
func (f *fleet) updateControllers(now time.Duration) {
	clock := time.Unix(0, 0).Add(now)
	for index, controller := range f.controllers {
		f.smoothed[index] += 0.5 * (float64(f.inFlight[index]) - f.smoothed[index])
		pressure := f.smoothed[index] * fleetBalancers / (fleetBackends * fleetSlots)
		f.refusals[index] = controller.Update([]PoolState{{Pool: "pool", Priorities: []Priority{1, 2},
			Pressure: Pressure{RequestsPerSlot: pressure, SeenAt: clock.Add(-time.Second)}}}, clock)
	}
}

// run simulates a demand of 0.7 of the capacity of the back ends, and 2.2 times as much in the
// burst. A third of the requests has high priority and comes on new flows; of the others, half
// comes on open flows.
func (f *fleet) run() {
	const usual = 0.7 * fleetBackends * fleetSlots / 60 // requests a millisecond
	for now := time.Duration(0); now < simulationEnd; now += time.Millisecond {
		if now%(250*time.Millisecond) == 0 {
			f.updateControllers(now)
		}
		rate := usual
		if now >= burstStart && now < burstEnd {
			rate *= 2.2
		}
		for range 4 {
			if f.random.Float64() < rate/4 {
				a := attempt{priority: Priority(1 + min(f.random.IntN(3), 1)), startedAt: now}
				a.open = a.priority == 2 && f.random.IntN(2) == 0
				f.countersOf(a).requests++
				f.begin(a, now)
			}
		}
		for _, do := range f.scheduled[now] {
			do(now)
		}
		delete(f.scheduled, now)
	}
}

func (c *requestCounters) inTimeFraction() float64 { return float64(c.inTime) / float64(c.requests) }

// Requests of high priority get a response in time during a burst that exceeds the capacity of
// the back ends, fewer attempts reach full back ends, and two seconds after the end of the burst
// no flow is refused any more. Without a controller, four of ten requests of high priority are
// late or lost, and each request arrives twice.
func TestHighPriorityIsServedDuringABurst(t *testing.T) {
	for seed := range uint64(5) {
		controlled, uncontrolled := newFleet(seed, true), newFleet(seed, false)
		controlled.run()
		uncontrolled.run()
		high, other := controlled.counters["burst1"], controlled.counters["burst2"]
		require.Greater(t, high.inTimeFraction(), 0.9, "%+v", high)
		require.Less(t, uncontrolled.counters["burst1"].inTimeFraction(), 0.7, "many requests are late or lost without a controller")
		perRequest := float64(high.arrivals+other.arrivals) / float64(high.requests+other.requests)
		require.Less(t, perRequest, 1.15, "%+v %+v", high, other)
		for _, phase := range []string{"before1", "before2", "after1", "after2"} {
			idle := controlled.counters[phase]
			require.Zero(t, idle.refused, "%s %+v", phase, idle)
			require.Zero(t, idle.lost, "%s %+v", phase, idle)
		}
		served := func(f *fleet) int { return f.counters["burst1"].inTime + f.counters["burst2"].inTime }
		require.Greater(t, served(controlled), served(uncontrolled)*98/100, "refusals must not leave slots idle")
	}
}
