package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	checksumKey   = 4711
	clientPort    = 8172
	entryInterval = 200 * time.Millisecond
)

// site is a small deployment of the users' platform: balancers as processes,
// everything else in this one, on loopback addresses of its own.
type site struct {
	*cluster
	store    *metadata.Server
	router   *echonet.Router
	client   *echonet.Client
	cancel   context.CancelFunc
	ctx      context.Context
	mutex    sync.Mutex
	backends map[string]*siteBackend
	version  int
	seeds    []string
	// skipUnchanged is set where a back end that writes its entry as it was changes nothing in the
	// store, so that revisions rise by what changes alone.
	skipUnchanged bool
	// configuration is the one that operators wrote last, and copies are those of the store.
	configuration []byte
	backups       backups
}

// siteBackend is a back end and its entry in the store.
type siteBackend struct {
	*echonet.Backend
	address           netip.AddrPort
	state             string
	zone              string
	withoutEntry      bool
	startMilliseconds int64
}

func newSite(t *testing.T, number int) *site {
	base := &cluster{t: t, number: number, dir: t.TempDir(), nodes: make(map[string]*process)}
	ctx, cancel := context.WithCancel(context.Background())
	made := &site{cluster: base, store: metadata.New(500), router: &echonet.Router{}, ctx: ctx, cancel: cancel,
		backends: make(map[string]*siteBackend)}
	t.Cleanup(func() {
		cancel()
		base.stop()
	})
	server := &http.Server{Addr: base.ip(0, 1) + ":8169", Handler: made.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close() })
	go made.router.Run(ctx)
	go made.writeEntries()
	go made.takeBackups()
	var err error
	made.client, err = echonet.StartClient(netip.MustParseAddrPort(base.ip(3, 1)+fmt.Sprintf(":%d", clientPort)), made.router, checksumKey)
	require.NoError(t, err)
	t.Cleanup(made.client.Stop)
	return made
}

// writeEntries writes the entries of the back ends, as they do themselves.
func (site *site) writeEntries() {
	for seq := 0; site.ctx.Err() == nil; seq++ {
		site.mutex.Lock()
		for id := range site.backends {
			site.writeEntry(id, seq)
		}
		site.mutex.Unlock()
		time.Sleep(entryInterval)
	}
}

func (site *site) writeEntry(id string, seq int) {
	backend := site.backends[id]
	if backend.withoutEntry {
		return
	}
	if site.skipUnchanged {
		seq = 0
	}
	value, _ := json.Marshal(map[string]any{"backend_pool": backend.Pool, "addr": backend.address.String(),
		"zone": backend.zone, "version": "v1", "capacity": 2, "state": backend.state, "warmup_left_ms": 0, "seq": seq,
		"born": backend.startMilliseconds})
	if site.skipUnchanged && site.store.HasValue("servers/"+id, value) {
		return
	}
	site.store.Put("servers/"+id, value)
}

func (site *site) startBackend(id, pool, zone string, host int) {
	address := netip.MustParseAddrPort(site.ip(2, host) + ":8080")
	started, err := echonet.StartBackend(id, pool, address, clientPort, checksumKey)
	require.NoError(site.t, err)
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.backends[id] = &siteBackend{Backend: started, address: address, state: "ready", zone: zone, startMilliseconds: time.Now().UnixMilli()}
	site.writeEntry(id, 0)
}

func (site *site) setState(id, state string) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.backends[id].state = state
	site.writeEntry(id, 1)
}

// removeEntry takes a back end's entry away; the back end serves on.
func (site *site) removeEntry(id string) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.backends[id].withoutEntry = true
	site.store.Remove("servers/" + id)
}

// configure writes a configuration. Each route is "name host port pool", and its
// priority and the target of its latency in milliseconds where those matter.
func (site *site) configure(routes ...string) {
	site.version += 2
	var rows []map[string]any
	for _, route := range routes {
		var name, host, pool string
		var port, priority, target int
		read, err := fmt.Sscan(route, &name, &host, &port, &pool, &priority, &target)
		require.GreaterOrEqual(site.t, read, 4, err)
		row := map[string]any{"name": name, "host": host, "prefix": fmt.Sprintf("/%d/", port),
			"kind": "idempotent", "timeout_ms": 2000, "backend_pool": pool}
		if target > 0 {
			row["priority"], row["target_ms"] = priority, target
		}
		rows = append(rows, row)
	}
	value, _ := json.Marshal(map[string]any{"version": site.version, "routes": rows,
		"limits": map[string]any{"idle_timeout_ms": 15000}})
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.configuration = value
	site.store.Put("op/config", value)
}

func (site *site) startBalancer(zone string) *process {
	return site.startBalancerAt(zone, site.ip(0, 1)+":8169")
}

// startBalancerAt starts a balancer that calls the store at an address.
func (site *site) startBalancerAt(zone, store string, arguments ...string) *process {
	site.started++
	name := fmt.Sprintf("edge-%s-%d", zone, site.started)
	host := site.ip(1, site.started)
	peer := host + ":8166"
	if len(site.seeds) < 3 {
		site.seeds = append(site.seeds, peer)
	}
	content := fmt.Sprintf("name: %s\nzone: %s\ndata_address: %s:%d\nreadiness_address: %s:8167\npeer_address: %s\nstore_address: %s\nseeds: %s\nlog_level: debug\n",
		name, zone, host, clientPort, host, peer, store, strings.Join(site.seeds, ","))
	path := filepath.Join(site.dir, name+".yaml")
	require.NoError(site.t, os.WriteFile(path, []byte(content), 0o600))
	started := site.start(name, "balancer", append([]string{"--settings", path}, arguments...)...)
	site.nodes[name] = started
	site.router.Add(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", host, clientPort)), host+":8167")
	return started
}

// restart starts a balancer that was killed again, as it was.
func (site *site) restart(killed *process) *process {
	return site.start(killed.name, "balancer", killed.command.Args[1:]...)
}

func (site *site) waitReady(count int) {
	require.Eventually(site.t, func() bool { return site.router.InService() == count }, 20*time.Second, 20*time.Millisecond,
		"balancers in")
}

func (site *site) target(host string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host), port)
}

// openFlows opens flows and returns them with the back end of each.
func (site *site) openFlows(target netip.AddrPort, count int) ([]*echonet.Flow, []string) {
	var flows []*echonet.Flow
	var servers []string
	for index := range count {
		flow, err := site.client.Open(target)
		require.NoError(site.t, err)
		server, err := flow.Request(fmt.Sprintf("first-%d", index))
		require.NoError(site.t, err)
		flows, servers = append(flows, flow), append(servers, server)
	}
	return flows, servers
}

// requireSameBackend asks on each flow and requires the back end that it had.
func (site *site) requireSameBackend(flows []*echonet.Flow, servers []string) {
	for index, flow := range flows {
		server, err := flow.Request(fmt.Sprintf("again-%d-%d", index, time.Now().UnixNano()))
		require.NoError(site.t, err)
		require.Equal(site.t, servers[index], server)
	}
}

const (
	lendingRoute = "r-lending 198.18.0.1 443 lending"
	coversRoute  = "r-covers 198.18.0.2 443 covers"
)

// newLendingSite starts two services and three balancers.
func newLendingSite(t *testing.T, number int) (*site, []*process) {
	site := newSite(t, number)
	site.configure(lendingRoute, coversRoute)
	for index := range 4 {
		site.startBackend(fmt.Sprintf("i-a%d", index), "lending", zones[index%3], 1+index)
	}
	site.startBackend("i-c0", "covers", zones[0], 11)
	site.startBackend("i-c1", "covers", zones[1], 12)
	var started []*process
	for index := range 3 {
		started = append(started, site.startBalancer(zones[index%3]))
	}
	site.waitReady(3)
	return site, started
}

// requireNoMisrouted requires that no back end saw a packet for another one
// or a forged one.
func (site *site) requireNoMisrouted() {
	for id, backend := range site.backends {
		_, foreign, _, forged := backend.Counts()
		require.Zero(site.t, foreign, "%s: packets for another back end", id)
		require.Zero(site.t, forged, "%s: forged packets", id)
	}
}

func TestBalancerRoutesFlows(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 1)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	for _, server := range servers {
		require.True(t, strings.HasPrefix(server, "lending/"), server)
	}
	_, covers := site.openFlows(site.target("198.18.0.2", 443), 10)
	for _, server := range covers {
		require.True(t, strings.HasPrefix(server, "covers/"), server)
	}
	site.requireSameBackend(flows, servers)
	_, err := site.client.Open(site.target("198.18.0.9", 443))
	require.ErrorIs(t, err, echonet.ErrRefused, "an address without a route")
	site.requireNoMisrouted()
}

func TestBalancerDrainAndRemovedEntry(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 2)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	site.setState("i-a0", "draining")
	site.removeEntry("i-a1")
	time.Sleep(3 * time.Second)
	_, later := site.openFlows(site.target("198.18.0.1", 443), 20)
	require.NotContains(t, later, "lending/i-a0")
	require.NotContains(t, later, "lending/i-a1")
	site.requireSameBackend(flows, servers)
	site.requireNoMisrouted()
}

// A back end falls silent; its entry stays. The clients that wait for it are
// told well before they give up, and nobody else's flow is touched.
func TestBalancerResetsFlowsOfSilentBackend(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 9)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 60)
	site.backends["i-a0"].Stop()
	var waiting, others sync.WaitGroup
	told := make(chan error, len(flows))
	done := make(chan struct{})
	began := time.Now()
	for index, flow := range flows {
		if servers[index] == "lending/i-a0" {
			waiting.Go(func() {
				_, err := flow.Request("page")
				told <- err
			})
			continue
		}
		others.Go(func() { site.requestUntil(flow, servers[index], done) })
	}
	waiting.Wait()
	close(done)
	others.Wait()
	close(told)
	require.NotEmpty(t, told)
	for err := range told {
		require.ErrorIs(t, err, echonet.ErrBroken)
	}
	require.Less(t, time.Since(began), 2500*time.Millisecond)
	site.requireNoMisrouted()
}

// requestUntil sends requests on a flow and requires that its own back end
// answers all of them.
func (site *site) requestUntil(flow *echonet.Flow, server string, done <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		answered, err := flow.Request(fmt.Sprintf("page %d", number))
		assert.NoError(site.t, err)
		assert.Equal(site.t, server, answered)
	}
}

func TestBalancerKilledStoppedAndReplaced(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 3)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	require.NoError(t, started[0].command.Process.Kill())
	site.waitReady(2)
	site.requireSameBackend(flows, servers)
	site.startBalancer(zones[0])
	site.waitReady(3)
	site.requireSameBackend(flows, servers)
	require.NoError(t, started[1].command.Process.Signal(syscall.SIGTERM))
	for started[1].command.ProcessState == nil {
		site.requireSameBackend(flows, servers)
		if site.router.InService() == 2 {
			_ = started[1].command.Wait()
		}
	}
	require.Equal(t, 0, started[1].command.ProcessState.ExitCode())
	site.requireSameBackend(flows, servers)
	site.requireNoMisrouted()
}

// A back end that starts again under its id holds none of its flows: their clients are told at
// once, also where they rest, since their next request would be lost to find out. All others,
// and those of the new start, go on.
func TestBackendRestartedUnderSameID(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 12)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	time.Sleep(5500 * time.Millisecond) // older than clocks may differ by
	site.mutex.Lock()
	ended := site.backends["i-a0"]
	ended.withoutEntry = true
	ended.Stop()
	site.mutex.Unlock()
	site.startBackend("i-a0", "lending", zones[0], 1)
	later, ours := site.openFlows(site.target("198.18.0.1", 443), 20)
	var kept []*echonet.Flow
	var holders []string
	for index, flow := range flows {
		if servers[index] == "lending/i-a0" {
			require.True(t, flow.AwaitReset(2*time.Second), "flow %d", index)
			continue
		}
		kept, holders = append(kept, flow), append(holders, servers[index])
	}
	require.Less(t, len(kept), len(flows))
	require.Contains(t, ours, "lending/i-a0", "the new start takes flows")
	site.requireSameBackend(kept, holders)
	site.requireSameBackend(later, ours)
	site.requireNoMisrouted()
}

func TestBalancerAddressReuse(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 4)
	site.mutex.Lock()
	ended := site.backends["i-a0"]
	ended.withoutEntry = true
	ended.Stop()
	site.mutex.Unlock()
	site.startBackend("i-cc", "covers", zones[0], 1)
	for range 20 {
		flow, err := site.client.Open(site.target("198.18.0.1", 443))
		if err != nil {
			continue
		}
		server, err := flow.Request("lend")
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(server, "lending/"), server)
	}
	_, _, _, forged := site.backends["i-cc"].Counts()
	require.Zero(t, forged)
}

func TestBalancerConfigurationInForce(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 5)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 10)
	site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
	time.Sleep(3 * time.Second)
	_, moved := site.openFlows(site.target("198.18.0.1", 443), 10)
	for _, server := range moved {
		require.True(t, strings.HasPrefix(server, "covers/"), server)
	}
	site.openFlows(site.target("198.18.0.3", 80), 5)
	_, err := site.client.Open(site.target("198.18.0.2", 443))
	require.ErrorIs(t, err, echonet.ErrRefused, "a route that was dropped")
	site.requireSameBackend(flows, servers)
}

// A balancer that starts while the store is silent learns everything from the
// others, tombstones too.
func TestBalancerStartsWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 6)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 20)
	site.removeEntry("i-a0")
	time.Sleep(3 * time.Second)
	site.store.SetFaults(metadata.Faults{Unresponsive: true})
	for _, place := range []int{1, 2} {
		require.NoError(t, started[place].command.Process.Kill())
		_ = started[place].command.Wait()
	}
	site.waitReady(1)
	site.restart(started[1])
	site.restart(started[2])
	site.waitReady(3)
	require.NoError(t, started[0].command.Process.Kill())
	site.waitReady(2)
	site.requireSameBackend(flows, servers)
	site.openFlows(site.target("198.18.0.1", 443), 10)
}

// The store is silent. All seeds are killed and start again, so that they know
// nobody but each other; then those are killed that had lived on. No balancer
// lives through both, and what is known outlives them all the same.
func TestReplicaSurvivesRestartsOfAllBalancers(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 10)
	for index := range 2 {
		started = append(started, site.startBalancer(zones[index]))
	}
	site.waitReady(5)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 20)
	site.removeEntry("i-a0")
	time.Sleep(3 * time.Second)
	site.store.SetFaults(metadata.Faults{Unresponsive: true})
	seeds, others := started[:3], started[3:]
	for _, part := range [][]*process{seeds, others} {
		kill(t, part)
		site.waitReady(5 - len(part))
		for _, each := range part {
			site.restart(each)
		}
		began := time.Now()
		site.waitReady(5)
		require.Less(t, time.Since(began), 2*time.Second, "the routers ask twice a second")
	}
	site.requireSameBackend(flows, servers)
	site.openFlows(site.target("198.18.0.1", 443), 10)
	site.requireNoMisrouted()
}

// kill ends balancers without a notice and waits for their ends.
func kill(t *testing.T, balancers []*process) {
	for _, each := range balancers {
		require.NoError(t, each.command.Process.Kill())
		_ = each.command.Wait()
	}
}

// All balancers start anew with the store up.
func TestAllBalancersRestart(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 7)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 20)
	for _, each := range started {
		require.NoError(t, each.command.Process.Kill())
		_ = each.command.Wait()
	}
	site.waitReady(0)
	for _, each := range started {
		site.restart(each)
	}
	site.waitReady(3)
	site.requireSameBackend(flows, servers)
}

// The store refuses, throttles or never answers some balancers while it serves
// another one: those learn from it, whoever should have read for all.
func TestBalancersRefusedByStore(t *testing.T) {
	t.Parallel()
	site := newSite(t, 8)
	refusals := []http.HandlerFunc{
		func(response http.ResponseWriter, _ *http.Request) { response.WriteHeader(http.StatusTooManyRequests) },
		func(response http.ResponseWriter, _ *http.Request) {
			response.WriteHeader(http.StatusServiceUnavailable)
		},
		func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
	}
	site.configure(lendingRoute, coversRoute)
	site.startBackend("i-a0", "lending", zones[0], 1)
	site.startBackend("i-c0", "covers", zones[1], 2)
	site.startBalancer(zones[0])
	for place, refusal := range refusals {
		address := fmt.Sprintf("%s:%d", site.ip(0, 2), 8170+place)
		server := &http.Server{Addr: address, Handler: refusal, ReadHeaderTimeout: time.Second}
		go func() { _ = server.ListenAndServe() }()
		t.Cleanup(func() { _ = server.Close() })
		site.startBalancerAt(zones[place], address)
	}
	site.waitReady(4)
	site.openFlows(site.target("198.18.0.1", 443), 20)
	site.configure("r-lending 198.18.0.1 443 covers", coversRoute)
	time.Sleep(3 * time.Second)
	_, moved := site.openFlows(site.target("198.18.0.1", 443), 40)
	for _, server := range moved {
		require.True(t, strings.HasPrefix(server, "covers/"), server)
	}
}

// A zone that the operator evacuates gets no new flows from any balancer, open ones
// stay, and a balancer that starts while the store is silent learns the order, and
// its end, from the others.
func TestBalancersEvacuateZone(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 11)
	target := site.target("198.18.0.1", 443)
	flows, servers := site.openFlows(target, 30)
	evacuated := zones[0]
	opensThere := func() bool {
		_, found := site.openFlows(target, 20)
		return slices.ContainsFunc(found, func(server string) bool {
			return site.backends[strings.TrimPrefix(server, "lending/")].zone == evacuated
		})
	}
	requireSoon := func(there bool, what string) {
		until := time.Now().Add(10 * time.Second)
		for opensThere() != there {
			require.True(t, time.Now().Before(until), what)
		}
	}
	require.True(t, opensThere())
	site.store.Put("op/evacuate/"+evacuated, []byte("{}"))
	requireSoon(false, "evacuated")
	site.requireSameBackend(flows, servers)
	site.store.SetFaults(metadata.Faults{Unresponsive: true})
	kill(t, started[1:])
	site.waitReady(1)
	restarted := []*process{site.restart(started[1]), site.restart(started[2])}
	site.waitReady(3)
	kill(t, started[:1])
	site.waitReady(2)
	require.False(t, opensThere(), "%s and %s have learned of the order from a peer", restarted[0].name, restarted[1].name)
	site.store.SetFaults(metadata.Faults{})
	site.store.Remove("op/evacuate/" + evacuated)
	requireSoon(true, "taken back")
	site.requireNoMisrouted()
}
