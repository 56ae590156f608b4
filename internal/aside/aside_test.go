package aside

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testBalancer is a balancer in virtual time. What it opens in each look is given.
type testBalancer struct {
	detector *Detector
	counts   Counts
	zone     Zone
	now      time.Time
	// withdrawals counts how often it stepped aside.
	withdrawals int
}

func newTestBalancer(place, size int) *testBalancer {
	return &testBalancer{detector: New(), zone: Zone{Rank: place, Size: size, ReportsComplete: true}, now: time.Unix(1000, 0)}
}

// countsOf are flows that opened within so many milliseconds each.
func countsOf(prompt, slow, missed uint64) Counts {
	made := Counts{Unanswered: missed}
	made.Opened[BucketOf(2*time.Millisecond)] = prompt
	made.Opened[BucketOf(60*time.Millisecond)] = slow
	return made
}

// What a machine sees in a look: one that is well, one whose packets wait, one beside
// back ends of which half answer nobody, and one to whom nobody answers.
var (
	healthyCounts  = countsOf(12, 0, 0)
	slowCounts     = countsOf(2, 7, 3)
	halfUnanswered = countsOf(6, 0, 6)
	allUnanswered  = countsOf(0, 0, 12)
	noFlows        = Counts{}
	quarterSlow    = countsOf(9, 3, 0)
)

// observe lets time pass in which each look sees the same. One that is aside sees nothing.
func (m *testBalancer) observe(each Counts, length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(SampleInterval) {
		if !m.detector.Withdrawn() {
			for step, count := range each.Opened {
				m.counts.Opened[step] += count
			}
			m.counts.Unanswered += each.Unanswered
		}
		if m.detector.Observe(m.counts, m.zone, m.now) && m.detector.Withdrawn() {
			m.withdrawals++
		}
	}
}

func TestSlowBalancerWithdrawsAndReturns(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(healthyCounts, 10*time.Second)
	require.False(t, machine.detector.Withdrawn())
	machine.observe(slowCounts, badSampleThreshold*SampleInterval)
	require.False(t, machine.detector.Withdrawn(), "the others may not have heard yet")
	machine.observe(slowCounts, SampleInterval)
	require.True(t, machine.detector.Withdrawn())
	require.Equal(t, Sample{OnTime: 2, Slow: 7, Unanswered: 3}, machine.detector.LastSample(), "the log says why")
	machine.observe(noFlows, minWithdrawal)
	require.False(t, machine.detector.Withdrawn())
	machine.observe(healthyCounts, time.Minute)
	require.Equal(t, 1, machine.withdrawals)
}

// Clients repeat after 200 ms, so a machine that stands still for a while has one or
// two looks full of late openings.
func TestBalancerThatStalledOnceDoesNotWithdraw(t *testing.T) {
	for looks := range 3 { // up to a second
		machine := newTestBalancer(0, 12)
		machine.observe(healthyCounts, 5*time.Second)
		for range 20 {
			machine.observe(slowCounts, time.Duration(looks)*SampleInterval)
			machine.observe(healthyCounts, 5*time.Second)
		}
		require.Zero(t, machine.withdrawals)
	}
}

// A narrow link is full by fits and starts: two bad looks for each good one are enough,
// one for each is not.
func TestBadSamplesMustOutweighGoodOnes(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(healthyCounts, 5*time.Second)
	for range 60 {
		machine.observe(slowCounts, SampleInterval)
		machine.observe(healthyCounts, SampleInterval)
	}
	require.Zero(t, machine.withdrawals)
	for range 3 {
		machine.observe(slowCounts, 2*SampleInterval)
		machine.observe(healthyCounts, SampleInterval)
	}
	require.Equal(t, 1, machine.withdrawals)
}

// A look without a new flow says nothing, and ends no series.
func TestSamplesWithoutFlowsAreIgnored(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(healthyCounts, 5*time.Second)
	for range badSampleThreshold {
		machine.observe(noFlows, 3*SampleInterval)
		require.False(t, machine.detector.Withdrawn())
		machine.observe(slowCounts, SampleInterval)
	}
	require.True(t, machine.detector.Withdrawn())
}

func TestUnansweringBackendsCauseNoWithdrawal(t *testing.T) {
	for _, each := range []Counts{halfUnanswered, allUnanswered, quarterSlow, countsOf(0, 2, 1)} {
		machine := newTestBalancer(0, 12)
		machine.observe(each, time.Minute)
		require.Zero(t, machine.withdrawals, "%+v", each)
	}
}

// What is late, but in time, costs clients no repetition.
func TestSlowButAnsweredFlowsCauseNoWithdrawal(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(healthyCounts, 5*time.Second)
	machine.observe(countsOf(0, 12, 1), time.Minute)
	require.Zero(t, machine.withdrawals)
}

// Callers that are far away take long to open a flow through anybody.
func TestSlownessIsRelativeToBaseline(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(countsOf(0, 12, 4), time.Minute)
	require.Zero(t, machine.withdrawals)
	far := Counts{Unanswered: 4}
	far.Opened[BucketOf(130*time.Millisecond)] = 12
	machine.observe(far, (badSampleThreshold+1)*SampleInterval)
	require.True(t, machine.detector.Withdrawn())
}

func TestPersistentlySlowBalancerDoesNotFlap(t *testing.T) {
	machine := newTestBalancer(0, 12)
	machine.observe(healthyCounts, 5*time.Second)
	machine.observe(slowCounts, 2*time.Minute)
	require.LessOrEqual(t, machine.withdrawals, 7)
	require.Equal(t, maxWithdrawal, machine.detector.WithdrawalDuration())
	machine.observe(healthyCounts, maxWithdrawal+relapseWindow+time.Second)
	machine.observe(slowCounts, (badSampleThreshold+1)*SampleInterval)
	require.Equal(t, minWithdrawal, machine.detector.WithdrawalDuration(), "an old relapse is forgotten")
}

// testZone is a zone in virtual time, with messages that take a while.
type testZone struct {
	balancers []*testBalancer
	reports   []ReportSet
	// inFlight are statements under way, by the looks that they still take.
	inFlight map[int][]Report
}

// maxDeliverySamples is the longest that a statement is under way: two calls up and down a
// tree, of half a second each.
const maxDeliverySamples = 2

func newTestZone(size int) *testZone {
	made := &testZone{balancers: make([]*testBalancer, size), reports: make([]ReportSet, size), inFlight: make(map[int][]Report)}
	for place := range made.balancers {
		made.balancers[place] = newTestBalancer(place, size)
		made.balancers[place].observe(healthyCounts, 2*time.Second)
	}
	return made
}

func nameOf(place int) string { return fmt.Sprintf("edge-%02d", place) }

// step lets all machines look once. The delay of each statement is given.
func (f *testZone) step(seen func(place int) Counts, delay func() int) (away int) {
	arrived := f.inFlight[0]
	for looks := range maxDeliverySamples {
		f.inFlight[looks] = f.inFlight[looks+1]
	}
	f.inFlight[maxDeliverySamples] = nil
	for place, machine := range f.balancers {
		for _, statement := range arrived {
			if statement.Name != nameOf(place) {
				f.reports[place].Add(statement)
			}
		}
		machine.zone.Struggling = nil
		for _, statement := range f.reports[place].Current(machine.now) {
			var other int
			_, _ = fmt.Sscanf(statement.Name, "edge-%d", &other)
			machine.zone.Struggling = append(machine.zone.Struggling, Peer{Rank: other, Withdrawn: statement.Withdrawn})
		}
		at := machine.now
		machine.observe(seen(place), SampleInterval)
		if machine.detector.Struggling() {
			looks := delay() - 1
			f.inFlight[looks] = append(f.inFlight[looks], Report{Name: nameOf(place), Withdrawn: machine.detector.Withdrawn(), At: at})
		}
		if machine.detector.Withdrawn() {
			away++
		}
	}
	return away
}

// A zone all of whose machines are slow keeps most of them, whatever each sees, when,
// and however late it hears of the others; a zone of few keeps all.
func TestZoneKeepsMostOfItsBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		fleet := newTestZone(size)
		kinds := []Counts{slowCounts, slowCounts, slowCounts, healthyCounts, noFlows}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			away := fleet.step(
				func(int) Counts { return rapid.SampledFrom(kinds).Draw(t, "seen") },
				func() int { return rapid.IntRange(1, maxDeliverySamples).Draw(t, "delay") })
			require.LessOrEqual(t, 2*away, size, "more than half")
			require.True(t, size >= minZoneSize || away == 0)
			for _, machine := range fleet.balancers {
				machine.zone.ReportsComplete = rapid.Bool().Draw(t, "heard")
			}
		}
	})
}

// A third of a zone is slow, wherever in the order: most of it goes within 2 s.
func TestMostSlowBalancersWithdraw(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	went, slowOnes := 0, 0
	for range 100 {
		fleet := newTestZone(15)
		bad := make(map[int]bool)
		for _, place := range chance.Perm(15)[:5] {
			bad[place] = true
		}
		away := 0
		for range 4 {
			away = fleet.step(func(place int) Counts {
				if bad[place] {
					return slowCounts
				}
				return healthyCounts
			}, func() int { return 1 + chance.IntN(maxDeliverySamples) })
		}
		went, slowOnes = went+away, slowOnes+5
	}
	require.Greater(t, float64(went)/float64(slowOnes), 0.75)
}

// A zone that has too much to do as a whole keeps all: who went would leave it to the
// rest.
func TestOverloadedZoneKeepsAllBalancers(t *testing.T) {
	fleet := newTestZone(15)
	for range 60 {
		require.Zero(t, fleet.step(func(int) Counts { return slowCounts }, func() int { return maxDeliverySamples }))
	}
}

// Without a picture only the first places go, a quarter of the zone.
func TestWithoutReportsOnlyFirstRanksWithdraw(t *testing.T) {
	away := 0
	for place := range 15 {
		machine := newTestBalancer(place, 15)
		machine.zone.ReportsComplete = false
		machine.observe(healthyCounts, 5*time.Second)
		machine.observe(slowCounts, 3*time.Second)
		away += machine.withdrawals
	}
	require.Equal(t, 3, away)
}

func TestReportSetKeepsTheLatestAndExpires(t *testing.T) {
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

func TestUnlistedBalancerDoesNotWithdraw(t *testing.T) {
	machine := newTestBalancer(0, 0)
	machine.observe(slowCounts, time.Minute)
	require.Zero(t, machine.withdrawals)
}

// In a zone of many, messages hold a part of those that struggle only: each knows of 64 at
// most, and the zone seems to have room. All 1,200 of one went.
func TestTruncatedReportsLimitWithdrawalInLargeZones(t *testing.T) {
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
func TestMaxWithdrawnLeavesSpareForFailures(t *testing.T) {
	for _, size := range []int{10, 15, 20, 30, 60, 1200} {
		left := size - size/spareDivisor - Zone{Size: size}.maxWithdrawn()
		require.GreaterOrEqual(t, 2*left, size)
	}
}
