package withdrawal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testBalancer is a balancer in virtual time. The flows that it opens in each sample are
// given.
type testBalancer struct {
	detector *Detector
	counts   Counts
	zone     Zone
	now      time.Time
	// withdrawals counts how often it withdrew.
	withdrawals int
}

func newTestBalancer(rank, size int) *testBalancer {
	return &testBalancer{detector: New(), zone: Zone{Rank: rank, Size: size, ReportsComplete: true}, now: time.Unix(1000, 0)}
}

// countsOf returns the counts of flows that opened within 2 ms, of flows that opened within
// 60 ms, and of unanswered first packets.
func countsOf(onTime, slow, unanswered uint64) Counts {
	counts := Counts{Unanswered: unanswered}
	counts.Opened[BucketOf(2*time.Millisecond)] = onTime
	counts.Opened[BucketOf(60*time.Millisecond)] = slow
	return counts
}

// These are the counts of one sample of a balancer: when it is healthy, when its packets are
// delayed, when half of the back ends do not answer, when none does, without flows, and when
// a quarter of the flows are slow.
var (
	healthyCounts  = countsOf(12, 0, 0)
	slowCounts     = countsOf(2, 7, 3)
	halfUnanswered = countsOf(6, 0, 6)
	allUnanswered  = countsOf(0, 0, 12)
	noFlows        = Counts{}
	quarterSlow    = countsOf(9, 3, 0)
)

// observe lets time pass in which each sample counts the same. A withdrawn balancer counts
// nothing.
func (b *testBalancer) observe(perSample Counts, length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(SampleInterval) {
		if !b.detector.Withdrawn() {
			for bucket, count := range perSample.Opened {
				b.counts.Opened[bucket] += count
			}
			b.counts.Unanswered += perSample.Unanswered
		}
		if b.detector.Observe(b.counts, b.zone, b.now) && b.detector.Withdrawn() {
			b.withdrawals++
		}
	}
}

func TestSlowBalancerWithdrawsAndReturns(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(healthyCounts, 10*time.Second)
	require.False(t, balancer.detector.Withdrawn())
	balancer.observe(slowCounts, badSampleThreshold*SampleInterval)
	require.False(t, balancer.detector.Withdrawn(), "the reports may not have reached the others yet")
	balancer.observe(slowCounts, SampleInterval)
	require.True(t, balancer.detector.Withdrawn())
	require.Equal(t, Sample{OnTime: 2, Slow: 7, Unanswered: 3}, balancer.detector.LastSample(), "the sample is available for the log")
	balancer.observe(noFlows, minWithdrawal)
	require.False(t, balancer.detector.Withdrawn())
	balancer.observe(healthyCounts, time.Minute)
	require.Equal(t, 1, balancer.withdrawals)
}

// Clients retransmit after 200 ms, so a machine that stalls for a while has one or two
// samples full of slow openings.
func TestBalancerThatStalledOnceDoesNotWithdraw(t *testing.T) {
	for samples := range 3 { // up to a second
		balancer := newTestBalancer(0, 12)
		balancer.observe(healthyCounts, 5*time.Second)
		for range 20 {
			balancer.observe(slowCounts, time.Duration(samples)*SampleInterval)
			balancer.observe(healthyCounts, 5*time.Second)
		}
		require.Zero(t, balancer.withdrawals)
	}
}

// A slow link is congested intermittently: two bad samples for each good one suffice for a
// withdrawal, one for each does not.
func TestBadSamplesMustOutweighGoodOnes(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(healthyCounts, 5*time.Second)
	for range 60 {
		balancer.observe(slowCounts, SampleInterval)
		balancer.observe(healthyCounts, SampleInterval)
	}
	require.Zero(t, balancer.withdrawals)
	for range 3 {
		balancer.observe(slowCounts, 2*SampleInterval)
		balancer.observe(healthyCounts, SampleInterval)
	}
	require.Equal(t, 1, balancer.withdrawals)
}

// A sample without new flows carries no information and does not end a series of bad ones.
func TestSamplesWithoutFlowsAreIgnored(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(healthyCounts, 5*time.Second)
	for range badSampleThreshold {
		balancer.observe(noFlows, 3*SampleInterval)
		require.False(t, balancer.detector.Withdrawn())
		balancer.observe(slowCounts, SampleInterval)
	}
	require.True(t, balancer.detector.Withdrawn())
}

// Flows that back ends do not answer must not make the balancer withdraw.
func TestUnansweringBackendsCauseNoWithdrawal(t *testing.T) {
	for _, counts := range []Counts{halfUnanswered, allUnanswered, quarterSlow, countsOf(0, 2, 1)} {
		balancer := newTestBalancer(0, 12)
		balancer.observe(counts, time.Minute)
		require.Zero(t, balancer.withdrawals, "%+v", counts)
	}
}

// Flows that open slowly, but before the clients retransmit, are not worth a withdrawal.
func TestSlowButAnsweredFlowsCauseNoWithdrawal(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(healthyCounts, 5*time.Second)
	balancer.observe(countsOf(0, 12, 1), time.Minute)
	require.Zero(t, balancer.withdrawals)
}

// Distant callers take long to open a flow through any balancer.
func TestSlownessIsRelativeToBaseline(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(countsOf(0, 12, 4), time.Minute)
	require.Zero(t, balancer.withdrawals)
	slower := Counts{Unanswered: 4}
	slower.Opened[BucketOf(130*time.Millisecond)] = 12
	balancer.observe(slower, (badSampleThreshold+1)*SampleInterval)
	require.True(t, balancer.detector.Withdrawn())
}

// Relapses double the duration of the withdrawal.
func TestPersistentlySlowBalancerDoesNotFlap(t *testing.T) {
	balancer := newTestBalancer(0, 12)
	balancer.observe(healthyCounts, 5*time.Second)
	balancer.observe(slowCounts, 2*time.Minute)
	require.LessOrEqual(t, balancer.withdrawals, 7)
	require.Equal(t, maxWithdrawal, balancer.detector.WithdrawalDuration())
	balancer.observe(healthyCounts, maxWithdrawal+relapseWindow+time.Second)
	balancer.observe(slowCounts, (badSampleThreshold+1)*SampleInterval)
	require.Equal(t, minWithdrawal, balancer.detector.WithdrawalDuration(), "a withdrawal long ago does not count as a relapse")
}

// testZone is a zone in virtual time, with reports that are delayed.
type testZone struct {
	balancers []*testBalancer
	reports   []ReportSet
	// inFlight are undelivered reports, by the number of samples until they arrive.
	inFlight map[int][]Report
}

// maxDeliverySamples is the longest delay of a report, in samples: two calls up and down a
// tree, of half a second each.
const maxDeliverySamples = 2

func newTestZone(size int) *testZone {
	zone := &testZone{balancers: make([]*testBalancer, size), reports: make([]ReportSet, size), inFlight: make(map[int][]Report)}
	for rank := range zone.balancers {
		zone.balancers[rank] = newTestBalancer(rank, size)
		zone.balancers[rank].observe(healthyCounts, 2*time.Second)
	}
	return zone
}

func nameOf(rank int) string { return fmt.Sprintf("edge-%02d", rank) }

// step takes one sample on each balancer and returns how many are withdrawn. The counts and
// the delay of each report are given.
func (z *testZone) step(countsAt func(rank int) Counts, delay func() int) (withdrawn int) {
	arrived := z.inFlight[0]
	for samples := range maxDeliverySamples {
		z.inFlight[samples] = z.inFlight[samples+1]
	}
	z.inFlight[maxDeliverySamples] = nil
	for rank, balancer := range z.balancers {
		for _, report := range arrived {
			if report.Name != nameOf(rank) {
				z.reports[rank].Add(report)
			}
		}
		balancer.zone.Struggling = nil
		for _, report := range z.reports[rank].Current(balancer.now) {
			var other int
			_, _ = fmt.Sscanf(report.Name, "edge-%d", &other)
			balancer.zone.Struggling = append(balancer.zone.Struggling, Peer{Rank: other, Withdrawn: report.Withdrawn})
		}
		at := balancer.now
		balancer.observe(countsAt(rank), SampleInterval)
		if balancer.detector.Struggling() {
			samples := delay() - 1
			z.inFlight[samples] = append(z.inFlight[samples], Report{Name: nameOf(rank), Withdrawn: balancer.detector.Withdrawn(), At: at})
		}
		if balancer.detector.Withdrawn() {
			withdrawn++
		}
	}
	return withdrawn
}

// A zone keeps at least half of its balancers in service, whatever each of them counts and
// however late it receives the reports of the others; a small zone keeps all.
func TestZoneKeepsMostOfItsBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "size")
		zone := newTestZone(size)
		choices := []Counts{slowCounts, slowCounts, slowCounts, healthyCounts, noFlows}
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			withdrawn := zone.step(
				func(int) Counts { return rapid.SampledFrom(choices).Draw(t, "seen") },
				func() int { return rapid.IntRange(1, maxDeliverySamples).Draw(t, "delay") })
			require.LessOrEqual(t, 2*withdrawn, size, "more than half of the zone is withdrawn")
			require.True(t, size >= minZoneSize || withdrawn == 0)
			for _, balancer := range zone.balancers {
				balancer.zone.ReportsComplete = rapid.Bool().Draw(t, "heard")
			}
		}
	})
}

// If a third of a zone is slow, whatever its ranks, most of that third withdraws within 2 s.
func TestMostSlowBalancersWithdraw(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	withdrew, slow := 0, 0
	for range 100 {
		zone := newTestZone(15)
		slowRanks := make(map[int]bool)
		for _, rank := range random.Perm(15)[:5] {
			slowRanks[rank] = true
		}
		withdrawn := 0
		for range 4 {
			withdrawn = zone.step(func(rank int) Counts {
				if slowRanks[rank] {
					return slowCounts
				}
				return healthyCounts
			}, func() int { return 1 + random.IntN(maxDeliverySamples) })
		}
		withdrew, slow = withdrew+withdrawn, slow+5
	}
	require.Greater(t, float64(withdrew)/float64(slow), 0.75)
}

// A zone that is overloaded as a whole keeps all its balancers: those that withdrew would
// leave their load to the rest.
func TestOverloadedZoneKeepsAllBalancers(t *testing.T) {
	zone := newTestZone(15)
	for range 60 {
		require.Zero(t, zone.step(func(int) Counts { return slowCounts }, func() int { return maxDeliverySamples }))
	}
}

// Without reports from others only the first ranks withdraw, a quarter of the zone.
func TestWithoutReportsOnlyFirstRanksWithdraw(t *testing.T) {
	withdrawn := 0
	for rank := range 15 {
		balancer := newTestBalancer(rank, 15)
		balancer.zone.ReportsComplete = false
		balancer.observe(healthyCounts, 5*time.Second)
		balancer.observe(slowCounts, 3*time.Second)
		withdrawn += balancer.withdrawals
	}
	require.Equal(t, 3, withdrawn)
}

func TestReportSetKeepsTheLatestAndExpires(t *testing.T) {
	at := time.Unix(1000, 0)
	var reports ReportSet
	reports.Add(Report{Name: "edge-1", Withdrawn: true, At: at})
	reports.Add(Report{Name: "edge-1", At: at.Add(-time.Second)})
	require.Equal(t, []Report{{Name: "edge-1", Withdrawn: true, At: at}}, reports.Current(at.Add(reportLifetime)))
	require.Empty(t, reports.Current(at.Add(reportLifetime+time.Millisecond)))
	for number := range 2 * maxReports {
		reports.Add(Report{Name: nameOf(number), At: at})
	}
	require.Len(t, reports.Current(at), maxReports)
}

func TestUnlistedBalancerDoesNotWithdraw(t *testing.T) {
	balancer := newTestBalancer(0, 0)
	balancer.observe(slowCounts, time.Minute)
	require.Zero(t, balancer.withdrawals)
}

// In a large zone messages hold only some of the struggling balancers: each balancer knows
// of 64 at most, and the zone seems to have room for more withdrawals. Unless incomplete
// reports are recognized, all 1,200 balancers of a zone withdraw.
func TestTruncatedReportsLimitWithdrawalInLargeZones(t *testing.T) {
	for _, size := range []int{100, 150, 1200} {
		var reports ReportSet
		at := time.Unix(1000, 0)
		for rank := range size {
			reports.Add(Report{Name: nameOf(rank), Withdrawn: true, At: at})
		}
		var struggling []Peer
		for rank := range reports.Current(at) {
			struggling = append(struggling, Peer{Rank: size - 1 - rank, Withdrawn: false})
		}
		withdrawn := 0
		for rank := range size {
			zone := Zone{Rank: rank, Size: size, Struggling: struggling, ReportsComplete: reports.Complete()}
			if zone.mayWithdraw(propagationTime) {
				withdrawn++
			}
		}
		require.LessOrEqual(t, 4*withdrawn, size, "only the first ranks may withdraw")
	}
}

// With a tenth of a zone down, such as two balancers of 20, and the maximum withdrawn, half
// of it is still in service.
func TestMaxWithdrawnLeavesSpareForFailures(t *testing.T) {
	for _, size := range []int{10, 15, 20, 30, 60, 1200} {
		remaining := size - size/spareDivisor - Zone{Size: size}.maxWithdrawn()
		require.GreaterOrEqual(t, 2*remaining, size)
	}
}
