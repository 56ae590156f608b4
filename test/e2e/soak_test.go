package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

// The settings of a soak, from the environment: make soak sets them.
const (
	soakSecondsVariable = "INDIGOBARROW_SOAK_SECONDS"
	soakSeedVariable    = "INDIGOBARROW_SOAK_SEED"
	soakDefaultSeconds  = 24
	soakDefaultSeed     = 1
)

const (
	// soakNetworks are the loopback networks that soaks run in, by their seeds.
	soakNetworks  = 50
	soakBalancers = 5
	soakLending   = 8
	soakClients   = 24
	soakRequests  = 12
	soakPause     = 60 * time.Millisecond
	movingRoute   = "r-moving 198.18.0.3 443 "
)

// soak is a site under random faults, with callers and the record of what they
// saw. The seed decides the plan; when processes are scheduled is not decided.
type soak struct {
	*site
	chance    *rand.Rand
	processes []*process
	record    sync.Mutex
	history   history
	plan      []string
	hosts     int
	numbers   int
	moved     string
	began     time.Time
	faults    sync.WaitGroup
	// away is set while a balancer is down.
	away atomic.Bool
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
	length := time.Duration(soakNumber(soakSecondsVariable, soakDefaultSeconds)) * time.Second
	soak := newSoak(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for number := range soakClients {
		callers.Go(func() { soak.call(ctx, number) })
	}
	for time.Since(soak.began) < length {
		time.Sleep(time.Duration(200+soak.chance.IntN(1200)) * time.Millisecond)
		soak.step()
	}
	soak.faults.Wait()
	time.Sleep(calmTime)
	cancel()
	callers.Wait()
	soak.judge(seed)
}

func newSoak(t *testing.T, seed int) *soak {
	site := newSite(t, 20+seed%soakNetworks)
	made := &soak{site: site, chance: rand.New(rand.NewPCG(uint64(seed), 1)), moved: "lending", began: time.Now()}
	made.history = history{pools: make(map[string][]poolSpan), leaving: make(map[string]time.Time), dead: make(map[string]time.Time)}
	site.configure(lendingRoute, coversRoute, movingRoute+made.moved)
	now := time.Now()
	for route, pool := range map[string]string{"lending": "lending", "covers": "covers", "moving": "lending"} {
		made.history.pools[route] = []poolSpan{{pool: pool, span: span{from: now}}}
	}
	for range soakLending {
		made.newBackend("lending")
	}
	for range 4 {
		made.newBackend("covers")
	}
	for place := range soakBalancers {
		made.processes = append(made.processes, site.startBalancer(zones[place%len(zones)]))
	}
	site.waitIn(soakBalancers)
	return made
}

func (soak *soak) newBackend(pool string) {
	soak.numbers++
	soak.hosts++
	soak.startBackend(fmt.Sprintf("i-%x", 0x1000+soak.numbers), pool, zones[soak.numbers%len(zones)], soak.hosts)
}

var soakTargets = map[string]string{"lending": "198.18.0.1", "covers": "198.18.0.2", "moving": "198.18.0.3"}

// call opens flows and sends requests on them until the context ends.
func (soak *soak) call(ctx context.Context, number int) {
	names := []string{"lending", "covers", "moving"}
	for turn := 0; ctx.Err() == nil; turn++ {
		name := names[(number+turn)%len(names)]
		begun := time.Now()
		flow, err := soak.client.Open(soak.target(soakTargets[name], 443))
		server := ""
		if err == nil {
			server, err = flow.Request(fmt.Sprintf("%d-%d", number, turn))
		}
		soak.note(attempt{route: name, opens: true, at: begun, ended: time.Now(), result: outcomeOf(err), server: server})
		if err == nil {
			soak.keepAsking(ctx, flow, name, server, number, turn)
		}
	}
}

func (soak *soak) keepAsking(ctx context.Context, flow *echonet.Flow, name, server string, number, turn int) {
	for request := range soakRequests {
		time.Sleep(soakPause)
		begun := time.Now()
		answered, err := flow.Request(fmt.Sprintf("%d-%d-%d", number, turn, request))
		soak.note(attempt{route: name, at: begun, ended: time.Now(), result: outcomeOf(err), server: answered, earlier: server})
		if err != nil || ctx.Err() != nil {
			break
		}
	}
	flow.Close()
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, echonet.ErrRefused):
		return outcomeRefused
	case errors.Is(err, echonet.ErrBroken):
		return outcomeBroken
	}
	return outcomeDeadline
}

func (soak *soak) note(seen attempt) {
	soak.record.Lock()
	defer soak.record.Unlock()
	soak.history.attempts = append(soak.history.attempts, seen)
}

// trouble notes a fault's span and runs its end after its length.
func (soak *soak) trouble(length time.Duration, end func()) {
	now := time.Now()
	soak.record.Lock()
	soak.history.troubles = append(soak.history.troubles, span{from: now, until: now.Add(length)})
	soak.record.Unlock()
	soak.faults.Go(func() {
		time.Sleep(length)
		end()
	})
}

// step injects the next fault or piece of planned work.
func (soak *soak) step() {
	length := time.Duration(300+soak.chance.IntN(2500)) * time.Millisecond
	place := soak.chance.IntN(len(soak.processes))
	type step struct {
		name string
		do   func()
	}
	planned := []step{
		{"stop a balancer", func() { soak.stopBalancer(place, length/4) }},
		{"a back end leaves", func() { soak.leave("draining") }},
		{"a back end vanishes", func() { soak.leave("vanishing") }},
		{"a route moves", soak.moveRoute},
	}
	storm := []step{
		{"kill a balancer", func() { soak.killBalancer(place, length/4) }},
		{"lose a balancer", func() { soak.killBalancer(place, longAway) }},
		{"pause a balancer", func() { soak.pauseBalancer(place, length) }},
		{"store busy", func() { soak.storeFault(metadata.Faults{Busy: true}, length) }},
		{"store silent", func() { soak.storeFault(metadata.Faults{Silent: true}, length) }},
		{"store throttles", func() { soak.storeFault(metadata.Faults{Throttled: true}, length) }},
		{"store slow", func() { soak.storeFault(metadata.Faults{Delay: 250 * time.Millisecond}, length) }},
		{"store forgets its history", soak.store.Compact},
		{"a back end crashes", soak.crash},
	}
	steps := planned
	if time.Since(soak.began)%cycleTime < stormTime {
		steps = append(storm, planned...)
	}
	chosen := steps[soak.chance.IntN(len(steps))]
	soak.plan = append(soak.plan, fmt.Sprintf("%6.2f s %s (balancer %d, %s)", time.Since(soak.began).Seconds(), chosen.name, place, length))
	chosen.do()
}

const (
	// longAway is how long a lost balancer stays away.
	longAway = 14 * time.Second
	// A soak goes through cycles: faults of all kinds, then planned work only,
	// long enough to judge it by its bounds in time.
	cycleTime = 22 * time.Second
	stormTime = 6 * time.Second
	// killTime is for how long routers and balancers may miss a killed one.
	killTime = time.Second
)

// killBalancer kills a balancer, which starts again after a time. The others
// must manage without it soon.
func (soak *soak) killBalancer(place int, away time.Duration) {
	soak.endBalancer(place, syscall.SIGKILL, away, func() { soak.trouble(killTime, func() {}) })
}

// stopBalancer stops a balancer as planned: that is no trouble to anyone.
func (soak *soak) stopBalancer(place int, away time.Duration) {
	soak.endBalancer(place, syscall.SIGTERM, away, func() {})
}

// endBalancer ends a balancer unless one is away already.
func (soak *soak) endBalancer(place int, signal syscall.Signal, away time.Duration, note func()) {
	if !soak.away.CompareAndSwap(false, true) {
		return
	}
	ended := soak.processes[place]
	note()
	require.NoError(soak.t, ended.command.Process.Signal(signal))
	soak.faults.Go(func() {
		_ = ended.command.Wait()
		time.Sleep(away)
		soak.processes[place] = soak.restart(ended)
		soak.away.Store(false)
	})
}

func (soak *soak) pauseBalancer(place int, length time.Duration) {
	if soak.away.Load() {
		return
	}
	paused := soak.processes[place]
	require.NoError(soak.t, paused.command.Process.Signal(syscall.SIGSTOP))
	soak.trouble(length, func() { _ = paused.command.Process.Signal(syscall.SIGCONT) })
	time.Sleep(length)
}

func (soak *soak) storeFault(faults metadata.Faults, length time.Duration) {
	soak.store.SetFaults(faults)
	soak.trouble(length, func() { soak.store.SetFaults(metadata.Faults{}) })
	time.Sleep(length)
}

// oldest returns the back end of a pool that has been ready for longest, if
// there are more than two.
func (soak *soak) oldest(pool string) string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	oldest, count := "", 0
	for id, backend := range soak.backends {
		if backend.Pool != pool || backend.state != "ready" || backend.silent {
			continue
		}
		count++
		if oldest == "" || len(id) < len(oldest) || len(id) == len(oldest) && id < oldest {
			oldest = id
		}
	}
	if count <= 2 {
		return ""
	}
	return oldest
}

// leave lets a back end leave with or without a notice; another takes its part.
func (soak *soak) leave(how string) {
	id := soak.oldest("lending")
	if id == "" {
		return
	}
	soak.newBackend("lending")
	if how == "draining" {
		soak.setState(id, "draining")
	} else {
		soak.removeEntry(id)
	}
	soak.mark(soak.history.leaving, id)
	soak.faults.Go(func() {
		time.Sleep(drainBound + calmTime)
		soak.end(id)
	})
}

// crash ends a back end at once; its entry goes a little later.
func (soak *soak) crash() {
	id := soak.oldest("lending")
	if id == "" {
		return
	}
	soak.newBackend("lending")
	soak.end(id)
}

func (soak *soak) end(id string) {
	soak.mark(soak.history.dead, id)
	soak.mutex.Lock()
	ended := soak.backends[id]
	ended.silent = true
	soak.mutex.Unlock()
	ended.Stop()
	soak.faults.Go(func() {
		time.Sleep(3 * beatPause)
		soak.store.Remove("servers/" + id)
	})
}

func (soak *soak) mark(marks map[string]time.Time, id string) {
	soak.record.Lock()
	defer soak.record.Unlock()
	marks["lending/"+id] = time.Now()
}

func (soak *soak) moveRoute() {
	soak.moved = map[string]string{"lending": "covers", "covers": "lending"}[soak.moved]
	soak.configure(lendingRoute, coversRoute, movingRoute+soak.moved)
	now := time.Now()
	soak.record.Lock()
	defer soak.record.Unlock()
	spans := soak.history.pools["moving"]
	spans[len(spans)-1].until = now
	soak.history.pools["moving"] = append(spans, poolSpan{pool: soak.moved, span: span{from: now}})
}

// judge requires that no promise was broken and that everything is served at
// the end.
func (soak *soak) judge(seed int) {
	counts := make(map[outcome]int)
	lastSecond, answeredLast := 0, 0
	end := time.Now()
	for _, seen := range soak.history.attempts {
		counts[seen.result]++
		if end.Sub(seen.at) < time.Second {
			lastSecond++
			if seen.result == outcomeAnswered {
				answeredLast++
			}
		}
	}
	soak.t.Logf("seed %d: %d answered, %d refused, %d broken, %d past their deadline; plan:\n%s", seed,
		counts[outcomeAnswered], counts[outcomeRefused], counts[outcomeBroken], counts[outcomeDeadline], strings.Join(soak.plan, "\n"))
	require.Empty(soak.t, soak.history.check(), "broken promises")
	require.Positive(soak.t, lastSecond)
	require.Equal(soak.t, lastSecond, answeredLast, "served at the end")
	soak.requireNothingStray()
}
