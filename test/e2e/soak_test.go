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
	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

// The settings of a soak, from the environment: make soak sets them.
const (
	soakSecondsVariable = "INDIGOBARROW_SOAK_SECONDS"
	soakSeedVariable    = "INDIGOBARROW_SOAK_SEED"
	// soakBalancersVariable is how many balancers there are.
	soakBalancersVariable = "INDIGOBARROW_SOAK_BALANCERS"
	// soakPlanVariable is a file with a plan to play in place of the seed's.
	soakPlanVariable   = "INDIGOBARROW_SOAK_PLAN"
	soakDefaultSeconds = 24
	soakDefaultSeed    = 1
	// restoreDefaultSeconds is two series of drills.
	restoreDefaultSeconds = 30
)

const (
	// soakNetworks are the loopback networks that soaks run in, by their seeds. Soaks of
	// drills have others: one process may play both, and back ends keep their addresses.
	soakNetworks        = 50
	soakFirstNetwork    = 20
	restoreFirstNetwork = soakFirstNetwork + soakNetworks

	soakLendingBackends = 8
	soakCoversBackends  = 4
	soakDeskBackends    = 3
	soakClients         = 24
	requestsPerFlow     = 12
	requestInterval     = 60 * time.Millisecond
	// burstCallers ask the desk's back ends without a pause in a burst: some 900
	// times a second in all. They can do 300.
	burstCallers = 60
	// retryPause is after how long a caller that was refused or shed tries again.
	retryPause = 50 * time.Millisecond
)

// soakBalancers is how many balancers a soak has. The plans that are kept are for five.
var soakBalancers = soakNumber(soakBalancersVariable, 5)

// deskLoad is what a back end of the desk can do at a time.
var deskLoad = echonet.LoadModel{Slots: 2, QueueLength: 8, ServiceTime: 20 * time.Millisecond, MinimumResponseSize: 600}

// soak is a site under random faults, with callers and the record of what they
// saw. The seed decides the plan; when processes are scheduled is not decided.
type soak struct {
	*site
	plan      plan
	processes []*process
	// storeProxies and peers stand before the store and before each balancer's socket
	// for the others, by the balancers' places.
	storeProxies, peerProxies []*swallow.Proxy
	historyMutex              sync.Mutex
	history                   history
	backendCount              int
	movingPool                string
	startedAt                 time.Time
	activeFaults              sync.WaitGroup
	// eventIndex is the place in the plan of the step of now.
	eventIndex   int
	reservations reservations
	bursting     atomic.Bool
	// stopPending is set while a planned stop waits for its turn; stops counts those done.
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

// TestSoak injects faults into real processes and judges what the callers saw.
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

// TestSoakOfDrills has the store come back from copies in series, over which balancers are
// stopped, killed, cut off and changed, and judges what the callers saw.
func TestSoakOfDrills(t *testing.T) {
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	chosen := makeRestorePlan(seed, time.Duration(soakNumber(soakSecondsVariable, restoreDefaultSeconds))*time.Second)
	soak := newSoak(t, restoreFirstNetwork+seed%soakNetworks, chosen)
	soak.mutex.Lock()
	soak.skipUnchanged = true
	soak.mutex.Unlock()
	runSoak(t, soak, seed)
}

// runSoak plays a plan before callers who keep their flows until their back ends have gone.
func runSoak(t *testing.T, soak *soak, seed int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for number := range soakClients {
		callers.Go(func() { soak.runCaller(ctx, number) })
	}
	for step, next := range soak.plan {
		time.Sleep(time.Until(soak.startedAt.Add(next.at)))
		soak.eventIndex = step
		soakSteps[next.step](soak, next)
	}
	soak.activeFaults.Wait()
	time.Sleep(settleTime)
	cancel()
	callers.Wait()
	soak.verify(seed)
}

func newSoak(t *testing.T, network int, chosen plan) *soak {
	site := newSite(t, network)
	made := &soak{site: site, plan: chosen, movingPool: "lending"}
	made.history = history{pools: make(map[string][]poolSpan), leaving: make(map[string]time.Time), dead: make(map[string]time.Time),
		crashed:          make(map[string]bool),
		overloadedRoutes: map[string]bool{"urgent": true, "patient": true}}
	made.configureRoutes()
	now := time.Now()
	for route, pool := range map[string]string{"lending": "lending", "covers": "covers", "moving": "lending", "urgent": "desk", "patient": "desk"} {
		made.history.pools[route] = []poolSpan{{pool: pool, span: span{from: now}}}
	}
	for _, each := range soakPools {
		for range each.count {
			made.addBackend(each.pool)
		}
	}
	for place := range soakBalancers {
		made.addBalancer(place)
	}
	site.waitReady(soakBalancers)
	made.startedAt = time.Now()
	made.history.startedAt = made.startedAt
	return made
}

// addBalancer starts a balancer that calls the store, and is called by the others,
// through proxies.
func (soak *soak) addBalancer(place int) {
	host := soak.ip(1, place+1)
	store := soak.storeCaller(place) + ":8169"
	soak.storeProxies = append(soak.storeProxies, startProxy(soak.t, store, soak.ip(0, 1)+":8169", soak.storeCaller(place)))
	soak.peerProxies = append(soak.peerProxies, startProxy(soak.t, host+":8166", host+":8266", ""))
	started := soak.startBalancerAt(zones[place%len(zones)], store, "--peer-listen", host+":8266")
	soak.processes = append(soak.processes, started)
}

// storeCaller is the IP from which a balancer's calls come to the store.
func (soak *soak) storeCaller(place int) string { return soak.ip(0, 10+place) }

func (soak *soak) addBackend(pool string) {
	soak.backendCount++
	id := fmt.Sprintf("i-%x", 0x1000+soak.backendCount)
	soak.startBackend(id, pool, zones[soak.backendCount%len(zones)], soak.backendCount)
	if pool == "desk" {
		soak.backends[id].SetLoadModel(deskLoad)
	}
}

// configureRoutes writes the configuration. The desk has two routes of different
// urgency.
func (soak *soak) configureRoutes() {
	soak.configure(lendingRoute, coversRoute, "r-moving 198.18.0.3 443 "+soak.movingPool,
		"r-urgent 198.18.0.4 443 desk 0 500", "r-patient 198.18.0.5 443 desk 3 2000")
}

var (
	soakTargets = map[string]string{"lending": "198.18.0.1", "covers": "198.18.0.2", "moving": "198.18.0.3",
		"urgent": "198.18.0.4", "patient": "198.18.0.5"}
	// soakPools are the back ends by their pools, in the order in which they start, so
	// that the site is the same each time.
	soakPools = []struct {
		pool  string
		count int
	}{{"lending", soakLendingBackends}, {"covers", soakCoversBackends}, {"desk", soakDeskBackends}}
	soakRoutes = []string{"lending", "covers", "moving", "urgent", "patient"}
)

// collectBackendRecords adds what the back ends have seen to the history.
func (soak *soak) collectBackendRecords() {
	soak.history.runs, soak.history.openedPorts = make(map[string]int), make(map[uint16]bool)
	for _, backend := range soak.backends {
		runs, took := backend.Executions()
		for body, count := range runs {
			soak.history.runs[body] += count
		}
		for port := range took {
			soak.history.openedPorts[port] = true
		}
	}
}

// verify requires that no promise was broken and that everything is served at
// the end.
func (soak *soak) verify(seed int) {
	soak.collectBackendRecords()
	lastSecond, answeredLast := 0, 0
	end := time.Now()
	for _, seen := range soak.history.attempts {
		if end.Sub(seen.at) < time.Second {
			lastSecond++
			if seen.result == outcomeAnswered {
				answeredLast++
			}
		}
	}
	soak.t.Logf("seed %d: %s; %d planned stops; plan:\n%s", seed, soak.outcomeSummary(), soak.stopCount.Load(), soak.plan)
	broken := soak.history.check()
	soak.saveArtifacts(seed, broken)
	require.Empty(soak.t, broken, "broken promises")
	require.Positive(soak.t, lastSecond)
	require.Equal(soak.t, lastSecond, answeredLast, "served at the end")
	soak.requireNoMisrouted()
}
