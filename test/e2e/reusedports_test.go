package e2e

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

const (
	// reusedPortsNetworks is the number of loopback networks for soaks of reused ports; the seed
	// selects one. They lie below those of the other tests, which leave none above.
	reusedPortsFirstNetwork = -90
	reusedPortsNetworks     = 40
	// reusedPortsDefaultSeconds is enough for several series of each kind.
	reusedPortsDefaultSeconds = 30
	// reusedPortsDown is how many balancers may be down at a time, and reusedPortsBalancers how many
	// there are at least.
	reusedPortsDown      = 3
	reusedPortsBalancers = 6
	// reusingCallers open flows of reusedRequests requests one after the other.
	reusingCallers = 60
	reusedRequests = 3
	// longestReusePause is the longest pause between two requests of a flow.
	longestReusePause = 1500 * time.Millisecond
)

// reusedRoutes are the routes of the callers that use ports again. One of them moves between pools.
var reusedRoutes = []string{"lending", "moving"}

// runReusingCaller opens flows one after the other and sends few requests on each, so that flows of
// one port pass through different balancers while these stop and start.
func (soak *soak) runReusingCaller(ctx context.Context, number int) {
	for round := 0; ctx.Err() == nil; round++ {
		route, name := reusedRoutes[number%len(reusedRoutes)], fmt.Sprintf("reuse-%d-%d", number, round)
		flow, server, err := soak.openFlow(route, name)
		for request := 1; request < reusedRequests && err == nil && ctx.Err() == nil; request++ {
			time.Sleep(rand.N(longestReusePause))
			body := fmt.Sprintf("%s-%d", name, request)
			if request == reusedRequests-1 && number%4 < 2 {
				body = echonet.ClosePrefix + body
			}
			err = soak.sendRequest(flow, attempt{route: route, previousServer: server, body: body})
		}
		flow.Close()
		if err != nil {
			time.Sleep(retryPause)
		}
	}
}

// Series of planned stops, of kills and of changes overlap in soaks of reused ports.
var (
	stopSeries    = []string{"stop-now", "stop-now", "stop-now", "settings"}
	killSeries    = []string{"kill", "stop-now", "crash"}
	releaseSeries = []string{"leave", "vanish", "move", "move", "leave"}
)

func init() {
	soakSteps["stop-now"] = func(soak *soak, next event) { soak.stopNow(next.balancer, next.duration) }
}

// stopNow stops a balancer as planned, or does nothing if too many are down.
func (soak *soak) stopNow(balancer int, downtime time.Duration) {
	if !soak.terminate([]int{balancer}, syscall.SIGTERM, downtime) {
		soak.markSkipped()
		return
	}
	soak.stopCount.Add(1)
}

// makeReusedPortsPlan generates the plan for a seed in which series of stops, of kills and of
// changes overlap. Balancers are back so soon that the flows which they hand over come back to
// balancers that still know earlier flows of the same ports.
func makeReusedPortsPlan(seed int, duration time.Duration) plan {
	random := rand.New(rand.NewPCG(uint64(seed), 6))
	var events plan
	addSeries := func(steps []string, first, pause, longest time.Duration) {
		for at := first; at < duration; at += pause/2 + time.Duration(random.Int64N(int64(pause))) {
			events = append(events, event{at: at, step: steps[random.IntN(len(steps))], balancer: random.IntN(soakBalancers),
				duration: time.Duration(random.Int64N(int64(longest)))})
		}
	}
	addSeries(stopSeries, time.Second, 400*time.Millisecond, 600*time.Millisecond)
	addSeries(killSeries, 2*time.Second, 6*time.Second, 2*time.Second)
	addSeries(releaseSeries, 3*time.Second, 1500*time.Millisecond, time.Second)
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// TestSoakOfReusedPorts guards against what a balancer remembers of a flow and applies to a later one
// with the same addresses and ports: open flows that are reset or answered by another back end, and
// new flows that go to leaving back ends or by an older configuration.
func TestSoakOfReusedPorts(t *testing.T) {
	fewer := soakBalancers
	soakBalancers = max(soakBalancers, reusedPortsBalancers)
	t.Cleanup(func() { soakBalancers = fewer })
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	duration := time.Duration(soakNumber(soakSecondsVariable, reusedPortsDefaultSeconds)) * time.Second
	soak := newSoak(t, reusedPortsFirstNetwork+seed%reusedPortsNetworks, makeReusedPortsPlan(seed, duration))
	soak.reservations.limit = reusedPortsDown
	// Seeds play both hashes of routers.
	soak.router.SetModulo(seed%2 == 1)
	soak.keepingCallers, soak.reusingCallers = keepingCallers, reusingCallers
	runSoak(t, soak, seed)
}
