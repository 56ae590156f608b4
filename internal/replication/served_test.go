package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// site is a number of balancers listed, with the deadline of changes and the rate limit of
// the store that such sites have.
type site struct {
	listed         int
	deadline       time.Duration
	readsPerSecond int
}

var sites = []site{
	{listed: 3, deadline: 3 * time.Second, readsPerSecond: 2000},
	{listed: 11, deadline: 3 * time.Second, readsPerSecond: 2000},
	{listed: 60, deadline: 3 * time.Second, readsPerSecond: 2000},
	{listed: 88, deadline: 5 * time.Second, readsPerSecond: 6000},
	{listed: 330, deadline: 6 * time.Second, readsPerSecond: 16_000},
	{listed: 985, deadline: 8 * time.Second, readsPerSecond: 16_000},
	{listed: 12_000, deadline: 11 * time.Second, readsPerSecond: 16_000},
}

// timing returns the timing that the settings derive from the deadline.
func (s site) timing() Timing {
	poll := min(s.deadline/3, 2*time.Second)
	return NewTiming(poll, MinStaleAge(poll), s.deadline)
}

func forSites(t *testing.T, test func(t *testing.T, s site)) {
	t.Parallel()
	for _, s := range sites {
		t.Run(fmt.Sprintf("%d listed, %s", s.listed, s.deadline), func(t *testing.T) {
			t.Parallel()
			test(t, s)
		})
	}
}

// On sites of more than simulatedLimit balancers, most are dead, and only the first and
// the last of the order are simulated: simulatedEnds of each.
const (
	simulatedLimit = 330
	simulatedEnds  = 12
)

// newListedFleet returns a fleet that is listed in full and up to date. Of a large one,
// only the first and the last of the order are alive.
func newListedFleet(t *testing.T, s site) *fleet {
	f := newStoppedFleet(t, s.listed)
	f.timing = s.timing()
	f.revision = 2
	entries := make([]*apiv1.Balancer, 0, s.listed)
	for _, node := range f.nodes {
		entries = append(entries, node.entry)
	}
	f.lists = []listing{{revision: f.revision, entries: entries}}
	for index, node := range f.nodes {
		if s.listed > simulatedLimit && index >= simulatedEnds && index < s.listed-simulatedEnds {
			continue
		}
		f.start(node)
		f.apply(node, f.revision, f.now)
		node.core.PollSucceeded(PollSnapshot, false, f.now)
		node.core.caughtUp = true
	}
	f.run(3 * time.Second)
	return f
}

// lastOfOrder returns the balancer that is the last to read the store for others.
func (f *fleet) lastOfOrder() *fleetNode {
	var last *fleetNode
	for _, node := range f.nodes {
		if node.alive && (last == nil || node.core.tree.rank() > last.core.tree.rank()) {
			last = node
		}
	}
	return last
}

// Guards against a balancer that leaves the store to others for longer than changes may
// take to come into effect. When the first eight of the order were dead or refused by the
// store, the others read it after a random time that grew with the number listed, and
// that began again whenever a balancer with stale data had a little more of it. New flows
// went to leaving back ends for up to 8.8 s.
func TestServedBalancerIsCurrentWhoeverElseFails(t *testing.T) {
	failures := map[string]func(f *fleet, served *fleetNode){
		"others are dead": func(f *fleet, served *fleetNode) {
			f.killOthers(served, func(*fleetNode) bool { return true })
		},
		"others have no power": func(f *fleet, served *fleetNode) {
			f.poweredOff = true
			f.killOthers(served, func(*fleetNode) bool { return true })
		},
		"others are refused": func(f *fleet, served *fleetNode) {
			f.storeRefuses = func(node *fleetNode) bool { return node != served }
		},
		"others get no answer from the store": func(f *fleet, served *fleetNode) {
			f.refusalDelay = time.Second
			f.storeRefuses = func(node *fleetNode) bool { return node != served }
		},
		"half are dead, others are refused": func(f *fleet, served *fleetNode) {
			f.killOthers(served, func(node *fleetNode) bool { return node.index%2 == 0 })
			f.storeRefuses = func(node *fleetNode) bool { return node != served }
		},
		"others are partitioned": func(f *fleet, served *fleetNode) {
			f.isPartitioned = func(a, b *fleetNode) bool { return a == served || b == served }
		},
		"others restart one after another and are refused": func(f *fleet, served *fleetNode) {
			f.storeRefuses = func(node *fleetNode) bool { return node != served }
			for index, node := range f.nodes {
				if node != served && node.alive {
					f.kill(node, time.Second+time.Duration(index%8)*time.Second)
				}
			}
		},
	}
	forSites(t, func(t *testing.T, s site) {
		for name, fail := range failures {
			t.Run(name, func(t *testing.T) {
				f := newListedFleet(t, s)
				served := f.lastOfOrder()
				fail(f, served)
				oldest := time.Duration(0)
				for end := f.now.Add(20 * time.Second); f.now.Before(end); {
					f.step()
					age, _ := served.core.Age(f.now)
					oldest = max(oldest, age)
				}
				// A ping and a read take two steps each.
				require.LessOrEqual(t, oldest, f.timing.ReadAge+5*simulationStep)
				require.Less(t, oldest, s.deadline*4/5)
			})
		}
	})
}

// controlLateness is how late the control goroutine of a balancer that is in touch may
// run once.
const controlLateness = time.Second

// Guards against waits that leave no time for a control goroutine that runs late: the
// data of the balancer that the store serves stays within the deadline if its control
// goroutine runs a second late, either before the ping or between the ping and the read,
// and the ping comes as late as it may.
func TestServedBalancerIsCurrentThoughControlIsLate(t *testing.T) {
	moments := map[string]func(f *fleet, served *fleetNode) bool{
		"when a call is due":       func(f *fleet, served *fleetNode) bool { return served.core.NextPoll(f.now) != PollNone },
		"when a ping was answered": func(_ *fleet, served *fleetNode) bool { return served.core.pingAnswered },
	}
	forSites(t, func(t *testing.T, s site) {
		f := newListedFleet(t, s)
		served := f.lastOfOrder()
		for name, reached := range moments {
			f.storeRefuses = func(node *fleetNode) bool { return node != served }
			oldest, wasLate := time.Duration(0), false
			for end := f.now.Add(s.deadline); f.now.Before(end); {
				if served.core.Stale(f.now) && served.core.pingAge == 0 {
					served.core.pingAge = f.timing.StaleAge + f.timing.pingPeriod(s.listed)
				}
				if !wasLate && served.core.Stale(f.now) && reached(f, served) {
					wasLate, served.lateUntil = true, f.now.Add(controlLateness)
				}
				f.step()
				age, _ := served.core.Age(f.now)
				oldest = max(oldest, age)
			}
			require.True(t, wasLate || served.core.mayReadForOthers(), name)
			require.LessOrEqual(t, oldest, f.timing.ReadAge+controlLateness+5*simulationStep, name)
			require.Less(t, oldest, s.deadline-5*simulationStep, name)
			f.storeRefuses = func(*fleetNode) bool { return false }
			f.run(s.timing().StaleAge)
		}
	})
}

// killOthers kills the balancers except one that match.
func (f *fleet) killOthers(served *fleetNode, matches func(*fleetNode) bool) {
	for _, node := range f.nodes {
		if node != served && node.alive && matches(node) {
			f.kill(node, 0)
		}
	}
}

// A balancer that the store serves again, while all others are dead or refused, is up to
// date within the deadline, as a balancer that is in touch with the store must be.
func TestBalancerServedAgainIsCurrentWithinDeadline(t *testing.T) {
	forSites(t, func(t *testing.T, s site) {
		for _, delay := range []time.Duration{0, time.Second} {
			for _, refused := range []time.Duration{2 * time.Second, 9 * time.Second} {
				f := newListedFleet(t, s)
				served := f.lastOfOrder()
				f.killOthers(served, func(node *fleetNode) bool { return node.index%2 == 0 })
				f.refusalDelay = delay
				f.storeRefuses = func(*fleetNode) bool { return true }
				f.run(refused)
				f.storeRefuses = func(node *fleetNode) bool { return node != served }
				f.run(s.deadline)
				age, _ := served.core.Age(f.now)
				require.Less(t, age, f.timing.ReadAge+5*simulationStep, "after %s", refused)
			}
		}
	})
}

// The calls of all balancers together stay within the rate limit of the store, during an
// outage and when it ends, also if the balancers cannot reach each other.
func TestRestoredStoreIsAskedWithinItsRate(t *testing.T) {
	forSites(t, func(t *testing.T, s site) {
		if s.listed > simulatedLimit {
			return // see TestTriesOfAllBalancersAreWithinTheRate
		}
		for _, partitioned := range []bool{false, true} {
			f := newListedFleet(t, s)
			f.storeRefuses = func(*fleetNode) bool { return true }
			f.isPartitioned = func(_, _ *fleetNode) bool { return partitioned }
			mostExact, mostStale := 0, 0
			for second := range 20 {
				if second == 12 {
					f.storeRefuses = func(*fleetNode) bool { return false }
				}
				mostExact = max(mostExact, f.countExactCalls(time.Second))
				mostStale = max(mostStale, f.staleCalls)
			}
			t.Logf("partitioned %t: at most %d exact and %d stale calls a second", partitioned, mostExact, mostStale)
			require.LessOrEqual(t, mostExact, s.callsPerSecond())
			require.LessOrEqual(t, mostStale, s.callsPerSecond())
			require.Less(t, s.callsPerSecond(), s.readsPerSecond)
			for _, node := range f.nodes {
				require.False(t, !partitioned && node.core.Stale(f.now), node.entry.GetName())
			}
		}
	})
}

// callsPerSecond returns the bound of the calls to the store at each price. The first of
// the order may all act as readers, and write what is missing. Each of the others makes one
// call in the time over which they are spread, or one and then one in half of RetryDelay.
// Those that hear nobody are not spread.
func (s site) callsPerSecond() int {
	timing := s.timing()
	byReaders := standbyCount * (time.Second/timing.ChangesDelay + time.Second/writeDelay)
	spread := min(timing.RetryDelay, timing.pingPeriod(s.listed)) / 2
	first := max(1, float64(time.Second)/float64(spread))
	repeated := 1 + float64(time.Second)/float64(timing.RetryDelay/2)
	return int(byReaders) + int(float64(s.listed)*min(first, repeated))
}

// The worst case of an outage and its end: balancers hear from others, none of which ever
// has newer data.
func TestTriesOfAllBalancersAreWithinTheRate(t *testing.T) {
	forSites(t, func(t *testing.T, s site) {
		const tick, back = 50 * time.Millisecond, 10 * time.Second
		cores := newUpToDateCores(t, s)
		exact, stale := 0, 0
		for elapsed := time.Duration(0); elapsed < 2*back; elapsed += tick {
			now := startTime.Add(elapsed)
			if elapsed%time.Second == 0 {
				require.LessOrEqual(t, exact, min(s.callsPerSecond(), s.readsPerSecond), "at %s", elapsed)
				require.LessOrEqual(t, stale, s.callsPerSecond(), "at %s", elapsed)
				exact, stale = 0, 0
			}
			for _, core := range cores {
				core.RecordActivity(address(0), now)
				poll := core.NextPoll(now)
				if poll == PollNone {
					continue
				}
				core.PollStarted(poll, now)
				if poll == PollPing {
					stale++
				} else {
					exact++
				}
				if elapsed < back {
					core.PollFailed(now)
					continue
				}
				core.PollSucceeded(poll, false, now)
				if poll != PollPing {
					core.Confirm(now)
				}
			}
		}
	})
}

// Guards against more calls than the store allows when it forgets its history while the first
// of the order cannot read it: all the others lost the history at once, and each read all
// pages at full price. Nobody receives newer data from another one.
func TestLostHistoryIsReadWithinTheRate(t *testing.T) {
	forSites(t, func(t *testing.T, s site) {
		const tick = 50 * time.Millisecond
		cores := newUpToDateCores(t, s)
		pages := s.listed*entriesPerBalancer/pageSize + 1
		exact, current := 0, 0
		forgotten := make(map[*Core]bool)
		for elapsed := time.Duration(0); elapsed < s.deadline+s.timing().RetryDelay; elapsed += tick {
			now := startTime.Add(elapsed)
			if elapsed%time.Second == 0 {
				require.LessOrEqual(t, exact, s.readsPerSecond, "at %s", elapsed)
				exact = 0
			}
			for _, core := range cores {
				core.RecordActivity(address(0), now)
				poll := core.NextPoll(now)
				if poll == PollNone || core.confirmedAt.After(startTime) {
					continue
				}
				core.PollStarted(poll, now)
				switch poll {
				case PollSnapshot:
					exact += pages
				case PollCatchUp, PollChanges, PollFirstPage:
					exact++
				case PollNone, PollPing, PollMembers, PollStaleSnapshot:
				}
				switch {
				case core.mayReadForOthers():
					core.PollFailed(now)
				case poll == PollCatchUp && !forgotten[core]:
					forgotten[core] = true
					core.HistoryLost(now)
				default:
					core.PollSucceeded(poll, false, now)
					if poll != PollPing && poll != PollStaleSnapshot {
						core.Confirm(now)
						current++
					}
				}
			}
		}
		require.Equal(t, len(cores), current+min(standbyCount, len(cores)), "all that the store serves are up to date")
	})
}

const (
	// entriesPerBalancer is the number of entries in the store for each balancer, most of
	// them of back ends, and pageSize the number of entries on a page.
	entriesPerBalancer = 13
	pageSize           = 500
)

// If the store has lost the changes since the stale snapshot as well, the exact snapshot is
// read.
func TestExactSnapshotFollowsUselessStaleOne(t *testing.T) {
	cores := newUpToDateCores(t, site{listed: 60, deadline: 5 * time.Second, readsPerSecond: 6000})
	core, now := cores[len(cores)-1], startTime.Add(10*time.Second)
	var polls []Poll
	for range 4 {
		core.RecordActivity(address(0), now)
		now = now.Add(5 * time.Second)
		poll := core.NextPoll(now)
		polls = append(polls, poll)
		core.PollStarted(poll, now)
		if poll == PollCatchUp {
			core.HistoryLost(now)
			continue
		}
		core.PollSucceeded(poll, false, now)
	}
	require.Equal(t, []Poll{PollCatchUp, PollStaleSnapshot, PollCatchUp, PollSnapshot}, polls)
	require.False(t, core.staleSnapshotRead)
}

// Guards against tries of all others each time that the data gets stale while the store serves
// one balancer only: the one that has read it in their place reads again before they try, as
// long as the store serves it.
func TestBalancerThatReadForOthersReadsFirst(t *testing.T) {
	s := site{listed: 88, deadline: 5 * time.Second, readsPerSecond: 6000}
	cores := newUpToDateCores(t, s)
	served, others := cores[len(cores)-1], cores[:len(cores)-1]
	now := startTime.Add(s.timing().ReadAge)
	for _, poll := range []Poll{PollPing, PollCatchUp} {
		now = now.Add(time.Millisecond)
		served.RecordActivity(address(0), now)
		require.Equal(t, poll, served.NextPoll(now))
		served.PollStarted(poll, now)
		served.PollSucceeded(poll, false, now)
	}
	for _, core := range cores {
		core.Confirm(now)
		require.True(t, core.ReadsStore() || core.NextPoll(now.Add(s.timing().PollInterval)) == PollNone)
	}
	head := s.timing().pingPeriod(s.listed) / headStartDivisor
	now = now.Add(s.timing().StaleAge + head - time.Millisecond)
	served.RecordActivity(address(0), now)
	require.Equal(t, PollCatchUp, served.NextPoll(now), "it does not ping first")
	for _, core := range others {
		if core.mayReadForOthers() {
			continue
		}
		core.RecordActivity(address(0), now)
		require.Equal(t, PollNone, core.NextPoll(now))
		require.GreaterOrEqual(t, core.ageToPing(), s.timing().StaleAge+head)
		require.LessOrEqual(t, core.ageToPing(), s.timing().ReadAge)
	}
	served.PollFailed(now)
	now = now.Add(s.timing().ReadAge)
	served.RecordActivity(address(0), now)
	require.Equal(t, PollPing, served.NextPoll(now), "the store serves it no longer")
}

// newUpToDateCores returns all balancers of a site. They share one tree, in which each has
// its own position.
func newUpToDateCores(t *testing.T, s site) []*Core {
	f := newStoppedFleet(t, s.listed)
	f.timing = s.timing()
	entries := make([]*apiv1.Balancer, 0, s.listed)
	for _, node := range f.nodes {
		entries = append(entries, node.entry)
	}
	shared := newTree(entries[0], entries, DefaultSharedOrderLimit, DefaultTreeFanout)
	cores := make([]*Core, 0, s.listed)
	for zone, balancers := range shared.zones {
		for position := range balancers {
			f.start(f.nodes[len(cores)])
			core := f.nodes[len(cores)].core
			placed := *shared
			placed.zoneIndex, placed.position = zone, position
			placed.parentCandidates = placed.findParentCandidates()
			core.tree = &placed
			core.Confirm(f.now)
			core.PollSucceeded(PollSnapshot, false, f.now)
			core.readAsStandby = false // it follows another one
			cores = append(cores, core)
		}
	}
	return cores
}
