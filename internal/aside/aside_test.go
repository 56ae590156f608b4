package aside

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// machine is a balancer in virtual time. What it opens in each look is given.
type machine struct {
	core   *Detector
	counts Counts
	zone   Zone
	now    time.Time
	// left counts how often it stepped aside.
	left int
}

func newMachine(place, size int) *machine {
	return &machine{core: New(), zone: Zone{Rank: place, Size: size, ReportsComplete: true}, now: time.Unix(1000, 0)}
}

// opened are flows that opened within so many milliseconds each.
func opened(prompt, slow, missed uint64) Counts {
	made := Counts{Unanswered: missed}
	made.Opened[BucketOf(2*time.Millisecond)] = prompt
	made.Opened[BucketOf(60*time.Millisecond)] = slow
	return made
}

// What a machine sees in a look: one that is well, one whose packets wait, one beside
// back ends of which half answer nobody, and one to whom nobody answers.
var (
	well      = opened(12, 0, 0)
	slow      = opened(2, 7, 3)
	halfDead  = opened(6, 0, 6)
	unheard   = opened(0, 0, 12)
	nothing   = Counts{}
	oneOfFour = opened(9, 3, 0)
)

// pass lets time pass in which each look sees the same. One that is aside sees nothing.
func (m *machine) pass(each Counts, length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(SampleInterval) {
		if !m.core.Withdrawn() {
			for step, count := range each.Opened {
				m.counts.Opened[step] += count
			}
			m.counts.Unanswered += each.Unanswered
		}
		if m.core.Observe(m.counts, m.zone, m.now) && m.core.Withdrawn() {
			m.left++
		}
	}
}

func TestSlowMachineStepsAsideAndReturns(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(well, 10*time.Second)
	require.False(t, machine.core.Withdrawn())
	machine.pass(slow, badSampleThreshold*SampleInterval)
	require.False(t, machine.core.Withdrawn(), "the others may not have heard yet")
	machine.pass(slow, SampleInterval)
	require.True(t, machine.core.Withdrawn())
	require.Equal(t, Sample{OnTime: 2, Slow: 7, Unanswered: 3}, machine.core.LastSample(), "the log says why")
	machine.pass(nothing, minWithdrawal)
	require.False(t, machine.core.Withdrawn())
	machine.pass(well, time.Minute)
	require.Equal(t, 1, machine.left)
}

// Clients repeat after 200 ms, so a machine that stands still for a while has one or
// two looks full of late openings.
func TestMachineThatStalledOnceStays(t *testing.T) {
	for looks := range 3 { // up to a second
		machine := newMachine(0, 12)
		machine.pass(well, 5*time.Second)
		for range 20 {
			machine.pass(slow, time.Duration(looks)*SampleInterval)
			machine.pass(well, 5*time.Second)
		}
		require.Zero(t, machine.left)
	}
}

// A narrow link is full by fits and starts: two bad looks for each good one are enough,
// one for each is not.
func TestBadLooksOutweighGoodOnes(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(well, 5*time.Second)
	for range 60 {
		machine.pass(slow, SampleInterval)
		machine.pass(well, SampleInterval)
	}
	require.Zero(t, machine.left)
	for range 3 {
		machine.pass(slow, 2*SampleInterval)
		machine.pass(well, SampleInterval)
	}
	require.Equal(t, 1, machine.left)
}

// A look without a new flow says nothing, and ends no series.
func TestQuietLooksSayNothing(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(well, 5*time.Second)
	for range badSampleThreshold {
		machine.pass(nothing, 3*SampleInterval)
		require.False(t, machine.core.Withdrawn())
		machine.pass(slow, SampleInterval)
	}
	require.True(t, machine.core.Withdrawn())
}

func TestBackendsThatAnswerNobodyAreNotItsOwnFault(t *testing.T) {
	for _, each := range []Counts{halfDead, unheard, oneOfFour, opened(0, 2, 1)} {
		machine := newMachine(0, 12)
		machine.pass(each, time.Minute)
		require.Zero(t, machine.left, "%+v", each)
	}
}

// What is late, but in time, costs clients no repetition.
func TestMachineThatIsLateInTimeStays(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(well, 5*time.Second)
	machine.pass(opened(0, 12, 1), time.Minute)
	require.Zero(t, machine.left)
}

// Callers that are far away take long to open a flow through anybody.
func TestWhatIsUsualIsNotSlow(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(opened(0, 12, 4), time.Minute)
	require.Zero(t, machine.left)
	far := Counts{Unanswered: 4}
	far.Opened[BucketOf(130*time.Millisecond)] = 12
	machine.pass(far, (badSampleThreshold+1)*SampleInterval)
	require.True(t, machine.core.Withdrawn())
}

func TestMachineThatStaysSlowDoesNotFlap(t *testing.T) {
	machine := newMachine(0, 12)
	machine.pass(well, 5*time.Second)
	machine.pass(slow, 2*time.Minute)
	require.LessOrEqual(t, machine.left, 7)
	require.Equal(t, maxWithdrawal, machine.core.WithdrawalDuration())
	machine.pass(well, maxWithdrawal+relapseWindow+time.Second)
	machine.pass(slow, (badSampleThreshold+1)*SampleInterval)
	require.Equal(t, minWithdrawal, machine.core.WithdrawalDuration(), "an old relapse is forgotten")
}

// fleet is a zone in virtual time, with messages that take a while.
type fleet struct {
	machines []*machine
	pictures []ReportSet
	// under are statements under way, by the looks that they still take.
	under map[int][]Report
}

// deliveryLooks is the longest that a statement is under way: two calls up and down a
// tree, of half a second each.
const deliveryLooks = 2

func newFleet(size int) *fleet {
	made := &fleet{machines: make([]*machine, size), pictures: make([]ReportSet, size), under: make(map[int][]Report)}
	for place := range made.machines {
		made.machines[place] = newMachine(place, size)
		made.machines[place].pass(well, 2*time.Second)
	}
	return made
}

func nameOf(place int) string { return fmt.Sprintf("edge-%02d", place) }

// look lets all machines look once. The delay of each statement is given.
func (f *fleet) look(seen func(place int) Counts, delay func() int) (away int) {
	arrived := f.under[0]
	for looks := range deliveryLooks {
		f.under[looks] = f.under[looks+1]
	}
	f.under[deliveryLooks] = nil
	for place, machine := range f.machines {
		for _, statement := range arrived {
			if statement.Name != nameOf(place) {
				f.pictures[place].Add(statement)
			}
		}
		machine.zone.Struggling = nil
		for _, statement := range f.pictures[place].Current(machine.now) {
			var other int
			_, _ = fmt.Sscanf(statement.Name, "edge-%d", &other)
			machine.zone.Struggling = append(machine.zone.Struggling, Peer{Rank: other, Withdrawn: statement.Withdrawn})
		}
		at := machine.now
		machine.pass(seen(place), SampleInterval)
		if machine.core.Struggling() {
			looks := delay() - 1
			f.under[looks] = append(f.under[looks], Report{Name: nameOf(place), Withdrawn: machine.core.Withdrawn(), At: at})
		}
		if machine.core.Withdrawn() {
			away++
		}
	}
	return away
}

// A zone all of whose machines are slow keeps most of them, whatever each sees, when,
// and however late it hears of the others; a zone of few keeps all.
func TestZoneKeepsMostOfItsMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		fleet := newFleet(size)
		kinds := []Counts{slow, slow, slow, well, nothing}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			away := fleet.look(
				func(int) Counts { return rapid.SampledFrom(kinds).Draw(t, "seen") },
				func() int { return rapid.IntRange(1, deliveryLooks).Draw(t, "delay") })
			require.LessOrEqual(t, 2*away, size, "more than half")
			require.True(t, size >= minZoneSize || away == 0)
			for _, machine := range fleet.machines {
				machine.zone.ReportsComplete = rapid.Bool().Draw(t, "heard")
			}
		}
	})
}

// A third of a zone is slow, wherever in the order: most of it goes within 2 s.
func TestMostOfThoseThatAreSlowGo(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	went, slowOnes := 0, 0
	for range 100 {
		fleet := newFleet(15)
		bad := make(map[int]bool)
		for _, place := range chance.Perm(15)[:5] {
			bad[place] = true
		}
		away := 0
		for range 4 {
			away = fleet.look(func(place int) Counts {
				if bad[place] {
					return slow
				}
				return well
			}, func() int { return 1 + chance.IntN(deliveryLooks) })
		}
		went, slowOnes = went+away, slowOnes+5
	}
	require.Greater(t, float64(went)/float64(slowOnes), 0.75)
}

// A zone that has too much to do as a whole keeps all: who went would leave it to the
// rest.
func TestZoneThatIsSlowAsAWholeKeepsAll(t *testing.T) {
	fleet := newFleet(15)
	for range 60 {
		require.Zero(t, fleet.look(func(int) Counts { return slow }, func() int { return deliveryLooks }))
	}
}

// Without a picture only the first places go, a quarter of the zone.
func TestWhoHearsNobodyGoesByPlaceOnly(t *testing.T) {
	away := 0
	for place := range 15 {
		machine := newMachine(place, 15)
		machine.zone.ReportsComplete = false
		machine.pass(well, 5*time.Second)
		machine.pass(slow, 3*time.Second)
		away += machine.left
	}
	require.Equal(t, 3, away)
}

func TestPictureHoldsTheLatestAndFades(t *testing.T) {
	at := time.Unix(1000, 0)
	var picture ReportSet
	picture.Add(Report{Name: "edge-1", Withdrawn: true, At: at})
	picture.Add(Report{Name: "edge-1", At: at.Add(-time.Second)})
	require.Equal(t, []Report{{Name: "edge-1", Withdrawn: true, At: at}}, picture.Current(at.Add(reportLifetime)))
	require.Empty(t, picture.Current(at.Add(reportLifetime+time.Millisecond)))
	for number := range 2 * maxReports {
		picture.Add(Report{Name: nameOf(number), At: at})
	}
	require.Len(t, picture.Current(at), maxReports)
}

func TestMachineThatTheOthersDoNotKnowStays(t *testing.T) {
	machine := newMachine(0, 0)
	machine.pass(slow, time.Minute)
	require.Zero(t, machine.left)
}

// In a zone of many, messages hold a part of those that struggle only: each knows of 64 at
// most, and the zone seems to have room. All 1,200 of one went.
func TestLargeZoneKeepsMostThoughMessagesLeaveSomeOut(t *testing.T) {
	for _, size := range []int{100, 150, 1200} {
		var picture ReportSet
		at := time.Unix(1000, 0)
		for place := range size {
			picture.Add(Report{Name: nameOf(place), Withdrawn: true, At: at})
		}
		var others []Peer
		for place := range picture.Current(at) {
			others = append(others, Peer{Rank: size - 1 - place, Withdrawn: false})
		}
		away := 0
		for place := range size {
			zone := Zone{Rank: place, Size: size, Struggling: others, ReportsComplete: picture.Complete()}
			if zone.mayWithdraw(propagationTime) {
				away++
			}
		}
		require.LessOrEqual(t, 4*away, size, "the first places only")
	}
}

// Two machines of 20 are down: with those aside, half is left in.
func TestRoomLeavesSomeForThoseThatAreGone(t *testing.T) {
	for _, size := range []int{10, 15, 20, 30, 60, 1200} {
		left := size - size/spareDivisor - Zone{Size: size}.maxWithdrawn()
		require.GreaterOrEqual(t, 2*left, size)
	}
}
