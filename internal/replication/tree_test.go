package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// drawBalancers draws balancers of several zones and strengths.
func drawBalancers(t *rapid.T) []*apiv1.Balancer {
	zones := rapid.IntRange(1, 10).Draw(t, "zones")
	var found []*apiv1.Balancer
	for place := range rapid.IntRange(1, 120).Draw(t, "balancers") {
		found = append(found, &apiv1.Balancer{
			Name: name(place), PeerAddress: address(place),
			Zone:           fmt.Sprintf("zone-%d", rapid.IntRange(0, zones-1).Draw(t, "zone")),
			ProcessorCores: rapid.SampledFrom([]float64{0, 0.06, 0.8}).Draw(t, "cores"),
			LinkMegabits:   rapid.SampledFrom([]float64{0, 20, 200}).Draw(t, "link"),
		})
	}
	return found
}

// All balancers see the same tree: one reads for all, each of the others is below
// exactly one, whom it would follow first, and nobody is above one that is above it.
func TestTreesOfAllBalancersAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := drawBalancers(t)
		trees := make(map[string]*tree, len(known))
		parents := make(map[string][]string)
		readers := 0
		for _, self := range known {
			made := newTree(self, known, DefaultSharedOrderLimit, DefaultTreeFanout)
			trees[self.GetName()] = made
			require.Equal(t, len(known), made.size)
			require.Len(t, made.others, len(known)-1-len(made.parentCandidates))
			if made.rank() == 0 {
				readers++
			}
			for _, follower := range made.followers {
				parents[follower.GetName()] = append(parents[follower.GetName()], self.GetName())
			}
		}
		require.Equal(t, 1, readers)
		for name, made := range trees {
			if made.rank() == 0 {
				require.Empty(t, made.parentCandidates)
				require.Empty(t, parents[name])
				continue
			}
			require.Equal(t, []string{made.parentCandidates[0].GetName()}, parents[name])
			for _, b := range made.parentCandidates {
				require.NotContains(t, trees[b.GetName()].parentCandidates, made.ownZone()[made.position])
			}
		}
	})
}

// Until the others know a balancer, it reads for nobody, however strong it is. At
// a first start each of 300 otherwise took itself for the reader.
func TestUnlistedBalancerRanksLast(t *testing.T) {
	known := []*apiv1.Balancer{
		{Name: "edge-1", Zone: "maadi", ProcessorCores: 0.06, LinkMegabits: 20},
		{Name: "edge-2", Zone: "nasr", ProcessorCores: 0.06, LinkMegabits: 20},
	}
	for _, zone := range []string{"maadi", "nasr", "giza"} {
		for _, limit := range []int{0, DefaultSharedOrderLimit} {
			self := &apiv1.Balancer{Name: "edge-3", Zone: zone, ProcessorCores: 0.8, LinkMegabits: 200}
			require.NotZero(t, newTree(self, known, limit, DefaultTreeFanout).rank())
			require.Zero(t, newTree(self, append(known, self), limit, DefaultTreeFanout).rank())
		}
	}
}

// Three strong balancers of a zone of 63 serve all others of it, so that none
// with a link of 20 Mbit/s has to.
func TestFewStrongBalancersServeMoreFollowers(t *testing.T) {
	zone := newZone(63)
	for place, b := range zone {
		b.ProcessorCores, b.LinkMegabits = 0.061, 20
		if place%30 == 0 {
			b.ProcessorCores, b.LinkMegabits = 0.8, 200
		}
	}
	for _, self := range zone {
		made := newTree(self, zone, DefaultSharedOrderLimit, DefaultTreeFanout)
		require.LessOrEqual(t, len(made.followers), maxFanoutFactor*DefaultTreeFanout)
		if self.GetProcessorCores() < 0.1 {
			require.Empty(t, made.followers)
		}
	}
}

// With the settings that are accepted, knowledge is never stale while nothing
// fails: the figures of a pace fit each other by construction.
func TestDataStaysFreshAtAnyPollInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poll := time.Duration(rapid.IntRange(100, 60_000).Draw(t, "poll ms")) * time.Millisecond
		pace := NewTiming(poll, MinStaleAge(poll))
		call := poll / 100
		require.Less(t, pace.MaxAge(call), pace.StaleAge)
		require.Less(t, pace.StaleAge+standbyCount*pace.StandbyDelay, 2*poll, "the turns of the standbys end in time")
	})
}

// BenchmarkTree is the cost of taking a list of balancers in which one has changed,
// at today's largest size and at that of two years.
func BenchmarkTree(b *testing.B) {
	for _, size := range []int{300, 12_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var known []*apiv1.Balancer
			for place := range size {
				strength := 0.5
				if place%20 == 0 {
					strength = 4
				}
				known = append(known, &apiv1.Balancer{Name: name(place), PeerAddress: address(place),
					Zone: fmt.Sprintf("zone-%d", place%10), ProcessorCores: 0.1 * strength, LinkMegabits: 100 * strength})
			}
			b.ReportAllocs()
			for b.Loop() {
				newTree(known[size/2], known, DefaultSharedOrderLimit, DefaultTreeFanout)
			}
		})
	}
}
