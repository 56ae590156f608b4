package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A small fleet in virtual time: clients that try three times, balancers that each see
// one part of the flows, and back ends of 2 slots and a queue of 8 that shed the rest.
const (
	fleetBalancers = 4
	fleetBackends  = 16
	fleetSlots     = 2
	fleetQueue     = 8
	triesAtMost    = 3
	urgentAim      = 600 * time.Millisecond
	burstFrom      = 10 * time.Second
	burstUntil     = 16 * time.Second
	playUntil      = 24 * time.Second
)

type try struct {
	urgency Priority
	begun   time.Duration
	number  int
	// open is set for requests on flows that are open, which nobody refuses.
	open     bool
	balancer int
}

type account struct {
	asked, inTime, lost, arrivals, refused int
}

type fleet struct {
	chance   *rand.Rand
	gates    []*Controller
	levels   []*Refusals
	waiting  []int
	followed []float64
	backends [fleetBackends][]try
	working  [fleetBackends]int
	later    map[time.Duration][]func(now time.Duration)
	tallies  map[string]*account
}

func newFleet(seed uint64, gated bool) *fleet {
	made := &fleet{chance: rand.New(rand.NewPCG(seed, 1)), later: make(map[time.Duration][]func(time.Duration)),
		tallies: make(map[string]*account), waiting: make([]int, fleetBalancers), followed: make([]float64, fleetBalancers),
		levels: make([]*Refusals, fleetBalancers)}
	for range fleetBalancers {
		if gated {
			made.gates = append(made.gates, NewController())
		}
	}
	return made
}

func (f *fleet) after(now, pause time.Duration, do func(time.Duration)) {
	at := (now + pause).Truncate(time.Millisecond) + time.Millisecond
	f.later[at] = append(f.later[at], do)
}

// tally is the account of requests of an urgency that begin in a part of the play.
func (f *fleet) tally(t try) *account {
	part := "before"
	switch {
	case t.begun >= burstUntil+2*time.Second:
		part = "after"
	case t.begun >= burstUntil:
		part = "end"
	case t.begun >= burstFrom:
		part = "burst"
	}
	name := fmt.Sprint(part, t.urgency)
	if f.tallies[name] == nil {
		f.tallies[name] = &account{}
	}
	return f.tallies[name]
}

func (f *fleet) begin(t try, now time.Duration) {
	t.balancer = f.chance.IntN(fleetBalancers)
	if !t.open && f.levels[t.balancer].Match("pool", t.urgency, f.chance.Uint64()) != nil {
		f.tally(t).refused++
		f.again(t, now)
		return
	}
	f.tally(t).arrivals++
	f.waiting[t.balancer]++
	place := f.chance.IntN(fleetBackends)
	if f.working[place] == fleetSlots && len(f.backends[place]) == fleetQueue {
		f.after(now, 100*time.Millisecond, func(now time.Duration) { f.waiting[t.balancer]--; f.again(t, now) })
		return
	}
	f.backends[place] = append(f.backends[place], t)
	f.work(place, now)
}

func (f *fleet) again(t try, now time.Duration) {
	t.number, t.open = t.number+1, false
	if t.number == triesAtMost {
		f.tally(t).lost++
		return
	}
	f.after(now, time.Duration(20+f.chance.IntN(80))*time.Millisecond, func(now time.Duration) { f.begin(t, now) })
}

func (f *fleet) work(place int, now time.Duration) {
	for f.working[place] < fleetSlots && len(f.backends[place]) > 0 {
		t := f.backends[place][0]
		f.backends[place] = f.backends[place][1:]
		f.working[place]++
		f.after(now, time.Duration(20+f.chance.IntN(80))*time.Millisecond, func(now time.Duration) {
			f.working[place]--
			f.waiting[t.balancer]--
			if now-t.begun <= urgentAim {
				f.tally(t).inTime++
			}
			f.work(place, now)
		})
	}
}

// look lets each balancer move its gate by what waits there, told a second old.
func (f *fleet) look(now time.Duration) {
	clock := time.Unix(0, 0).Add(now)
	for place, gate := range f.gates {
		f.followed[place] += 0.5 * (float64(f.waiting[place]) - f.followed[place])
		pressure := f.followed[place] * fleetBalancers / (fleetBackends * fleetSlots)
		f.levels[place] = gate.Update([]PoolState{{Pool: "pool", Priorities: []Priority{1, 2},
			Pressure: Pressure{RequestsPerSlot: pressure, SeenAt: clock.Add(-time.Second)}}}, clock)
	}
}

// play asks for 0.7 of what the back ends can do, and in the burst for 2.2 times as much:
// a third urgent on flows of their own, and half of the others on open flows.
func (f *fleet) play() {
	const usual = 0.7 * fleetBackends * fleetSlots / 60 // a millisecond
	for now := time.Duration(0); now < playUntil; now += time.Millisecond {
		if now%(250*time.Millisecond) == 0 {
			f.look(now)
		}
		rate := usual
		if now >= burstFrom && now < burstUntil {
			rate *= 2.2
		}
		for range 4 {
			if f.chance.Float64() < rate/4 {
				t := try{urgency: Priority(1 + min(f.chance.IntN(3), 1)), begun: now}
				t.open = t.urgency == 2 && f.chance.IntN(2) == 0
				f.tally(t).asked++
				f.begin(t, now)
			}
		}
		for _, do := range f.later[now] {
			do(now)
		}
		delete(f.later, now)
	}
}

func (a *account) inTimePart() float64 { return float64(a.inTime) / float64(a.asked) }

// Callers of urgent requests are served in time through a burst of more than the back
// ends can do, fewer tries reach full back ends, and two seconds after its end nobody is
// refused any more. Without a gate four of ten urgent ones are late or lost, and each
// request arrives twice.
func TestBurstEndsWithItsCause(t *testing.T) {
	for seed := range uint64(5) {
		gated, open := newFleet(seed, true), newFleet(seed, false)
		gated.play()
		open.play()
		urgent, other := gated.tallies["burst1"], gated.tallies["burst2"]
		require.Greater(t, urgent.inTimePart(), 0.9, "%+v", urgent)
		require.Less(t, open.tallies["burst1"].inTimePart(), 0.7, "the load is hard without a gate")
		perRequest := float64(urgent.arrivals+other.arrivals) / float64(urgent.asked+other.asked)
		require.Less(t, perRequest, 1.15, "%+v %+v", urgent, other)
		for _, part := range []string{"before1", "before2", "after1", "after2"} {
			quiet := gated.tallies[part]
			require.Zero(t, quiet.refused, "%s %+v", part, quiet)
			require.Zero(t, quiet.lost, "%s %+v", part, quiet)
		}
		served := func(f *fleet) int { return f.tallies["burst1"].inTime + f.tallies["burst2"].inTime }
		require.Greater(t, served(gated), served(open)*98/100, "slots are not left idle for it")
	}
}
