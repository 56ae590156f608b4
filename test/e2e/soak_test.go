package e2e

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
)

// The environment variables that configure a soak. "make soak" sets them.
const (
	soakSecondsVariable = "INDIGOBARROW_SOAK_SECONDS"
	soakSeedVariable    = "INDIGOBARROW_SOAK_SEED"
	// soakBalancersVariable sets the number of balancers.
	soakBalancersVariable = "INDIGOBARROW_SOAK_BALANCERS"
	// soakPlanVariable names a file with a plan to run instead of the seed's.
	soakPlanVariable   = "INDIGOBARROW_SOAK_PLAN"
	soakDefaultSeconds = 24
	soakDefaultSeed    = 1
	// restoreDefaultSeconds is enough for two series of store restores.
	restoreDefaultSeconds = 30
)

const (
	// soakNetworks is the number of loopback networks for soaks; the seed selects one. Soaks
	// of store restores use a range of their own, since one process may run both kinds of
	// soak and back ends keep their addresses.
	soakNetworks        = 50
	soakFirstNetwork    = 20
	restoreFirstNetwork = soakFirstNetwork + soakNetworks

	soakLendingBackends = 8
	soakCoversBackends  = 4
	soakDeskBackends    = 3
	soakClients         = 24
	requestsPerFlow     = 12
	requestInterval     = 60 * time.Millisecond
	// burstCallers send requests to the desk's back ends without a pause during a burst, about
	// 900 per second in all. The back ends can process 300.
	burstCallers = 60
	// retryPause is the pause of a caller after a refused or shed request.
	retryPause = 50 * time.Millisecond
)

// soakBalancers is the number of balancers of a soak. The stored plans are for five.
var soakBalancers = soakNumber(soakBalancersVariable, 5)

// deskLoad is the processing model of a back end of the desk.
var deskLoad = echonet.LoadModel{Slots: 2, QueueLength: 8, ServiceTime: 20 * time.Millisecond, MinimumResponseSize: 600}

// soak is a site under random faults, with callers and the history of their attempts. The
// seed determines the plan, but not how the operating system schedules the processes.
type soak struct {
	*site
	plan      plan
	processes []*process
	// storeProxies and peerProxies forward the connections from each balancer to the store
	// and from the other balancers to its peer socket. Both are indexed by balancer.
	storeProxies, peerProxies []*faultproxy.Proxy
	// historyMutex guards the history and the processes.
	historyMutex sync.Mutex
	history      history
	backendCount int
	// movingPool is the pool that the route "moving" leads to at present.
	movingPool   string
	startedAt    time.Time
	activeFaults sync.WaitGroup
	// eventIndex is the index of the current event in the plan.
	eventIndex   int
	reservations reservations
	refusals     refusals
	stalls       stalls
	// keepingCallers is the number of callers that keep their flows, and reusingCallers the number of
	// those that use ports again as often as they can.
	keepingCallers, reusingCallers int
	bursting                       atomic.Bool
	// stopPending is set while a planned stop waits until it may begin. stopCount counts the
	// planned stops that were carried out.
	stopPending atomic.Bool
	stopCount   atomic.Int64
}

func soakNumber(variable string, fallback int) int {
	number, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return fallback
	}
	return number
}

// TestSoak injects random faults into real processes and checks the outcomes of the callers'
// requests.
func TestSoak(t *testing.T) {
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	chosen := makePlan(seed, time.Duration(soakNumber(soakSecondsVariable, soakDefaultSeconds))*time.Second)
	if path := os.Getenv(soakPlanVariable); path != "" {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		chosen, err = parsePlan(string(text))
		require.NoError(t, err)
	}
	runSoak(t, newSoak(t, soakFirstNetwork+seed%soakNetworks, chosen), seed)
}

// TestSoakOfDrills restores the store from backups in series, during which balancers are
// stopped, killed, disconnected and given new settings, and checks the outcomes of the
// callers' requests.
func TestSoakOfDrills(t *testing.T) {
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	chosen := makeRestorePlan(seed, time.Duration(soakNumber(soakSecondsVariable, restoreDefaultSeconds))*time.Second)
	soak := newSoak(t, restoreFirstNetwork+seed%soakNetworks, chosen)
	soak.mutex.Lock()
	soak.skipUnchanged = true
	soak.mutex.Unlock()
	runSoak(t, soak, seed)
}

// runSoak carries out the plan of a soak while callers send requests on flows, which must last
// until their back ends have gone, and then checks the history.
func runSoak(t *testing.T, soak *soak, seed int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { soak.stalls.watch(ctx) })
	for number := range soakClients {
		callers.Go(func() { soak.runCaller(ctx, number) })
	}
	for number := range soak.keepingCallers {
		callers.Go(func() { soak.runKeepingCaller(ctx, number) })
	}
	for number := range soak.reusingCallers {
		callers.Go(func() { soak.runReusingCaller(ctx, number) })
	}
	for index, next := range soak.plan {
		time.Sleep(time.Until(soak.startedAt.Add(next.at)))
		soak.eventIndex = index
		soakSteps[next.step](soak, next)
	}
	soak.activeFaults.Wait()
	time.Sleep(settleTime)
	cancel()
	callers.Wait()
	soak.history.stalls = soak.stalls.recorded()
	soak.verify(seed)
}

func newSoak(t *testing.T, network int, chosen plan) *soak {
	site := newSite(t, network)
	created := &soak{site: site, plan: chosen, movingPool: "lending"}
	created.history = history{pools: make(map[string][]poolSpan), leaving: make(map[string]time.Time), dead: make(map[string]time.Time),
		crashed:          make(map[string]bool),
		cuts:             make(map[string][]span),
		overloadedRoutes: map[string]bool{"urgent": true, "patient": true}}
	created.configureRoutes()
	now := time.Now()
	for route, pool := range map[string]string{"lending": "lending", "covers": "covers", "moving": "lending", "urgent": "desk", "patient": "desk"} {
		created.history.pools[route] = []poolSpan{{pool: pool, span: span{from: now}}}
	}
	for _, entry := range soakPools {
		for range entry.count {
			created.addBackend(entry.pool)
		}
	}
	for balancer := range soakBalancers {
		created.addBalancer(balancer)
	}
	site.waitReady(soakBalancers)
	created.startedAt = time.Now()
	created.history.startedAt = created.startedAt
	return created
}

// addBalancer starts a balancer. Its connections to the store, and those of its peers to it,
// go through proxies.
func (soak *soak) addBalancer(balancer int) {
	host := soak.ip(1, balancer+1)
	store := soak.storeCaller(balancer) + ":8169"
	soak.storeProxies = append(soak.storeProxies, startProxy(soak.t, store, soak.ip(0, 1)+":8169", soak.storeCaller(balancer)))
	soak.peerProxies = append(soak.peerProxies, startProxy(soak.t, host+":8166", host+":8266", ""))
	started := soak.startBalancerAt(zones[balancer%len(zones)], store, "--peer-listen", host+":8266")
	soak.processes = append(soak.processes, started)
}

// storeCaller is the source IP address of a balancer's calls at the store.
func (soak *soak) storeCaller(balancer int) string { return soak.ip(0, 10+balancer) }

func (soak *soak) addBackend(pool string) {
	soak.backendCount++
	id := fmt.Sprintf("i-%x", 0x1000+soak.backendCount)
	soak.startBackend(id, pool, zones[soak.backendCount%len(zones)], soak.backendCount)
	if pool == "desk" {
		soak.backends[id].SetLoadModel(deskLoad)
	}
}

// configureRoutes writes the configuration. The desk has two routes of different priorities.
func (soak *soak) configureRoutes() {
	soak.configure(lendingRoute, coversRoute, "r-moving 198.18.0.3 443 "+soak.movingPool,
		"r-urgent 198.18.0.4 443 desk 0 500", "r-patient 198.18.0.5 443 desk 3 2000")
}

var (
	soakTargets = map[string]string{"lending": "198.18.0.1", "covers": "198.18.0.2", "moving": "198.18.0.3",
		"urgent": "198.18.0.4", "patient": "198.18.0.5"}
	// soakPools are the numbers of back ends per pool, in the order in which they start. It
	// isn't a map, so that the site is the same in each run.
	soakPools = []struct {
		pool  string
		count int
	}{{"lending", soakLendingBackends}, {"covers", soakCoversBackends}, {"desk", soakDeskBackends}}
	soakRoutes = []string{"lending", "covers", "moving", "urgent", "patient"}
)

// collectBackendRecords adds the executions and first packets that the back ends recorded to
// the history.
func (soak *soak) collectBackendRecords() {
	soak.history.runs, soak.history.opened = make(map[string]int), make(map[echonet.FlowID]bool)
	for _, backend := range soak.backends {
		runs, opened := backend.Executions()
		for body, count := range runs {
			soak.history.runs[body] += count
		}
		for id := range opened {
			soak.history.opened[id] = true
		}
	}
}

// verify requires that no guarantee was violated and that all requests of the last second
// were answered.
func (soak *soak) verify(seed int) {
	soak.collectBackendRecords()
	lastSecond, answeredLast := 0, 0
	end := time.Now()
	for _, attempt := range soak.history.attempts {
		if end.Sub(attempt.at) < time.Second {
			lastSecond++
			if attempt.result == outcomeAnswered {
				answeredLast++
			}
		}
	}
	soak.t.Logf("seed %d: %s; %d planned stops; plan:\n%s", seed, soak.outcomeSummary(), soak.stopCount.Load(), soak.plan)
	violations := soak.history.check()
	soak.saveArtifacts(seed, violations)
	require.Empty(soak.t, violations, "violated guarantees")
	require.Positive(soak.t, lastSecond)
	require.Equal(soak.t, lastSecond, answeredLast, "served at the end")
	soak.requireNoMisrouted()
}
