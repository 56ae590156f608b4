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

// site is a small deployment of the platform that the balancers run on. The balancers are
// separate processes; store, router, clients and back ends run in the test's process. Each
// site has a loopback network of its own.
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
	// skipUnchanged makes a back end skip writing an entry that equals the stored one, so
	// that only changes raise the store's revision.
	skipUnchanged bool
	// configuration is the last one that operators wrote; backups are those of the store.
	configuration []byte
	backups       backups
}

// siteBackend is a back end and what its entry in the store shows.
type siteBackend struct {
	*echonet.Backend
	address netip.AddrPort
	state   string
	zone    string
	// withoutEntry is set once the entry is removed, or no longer written since the back end
	// has stopped.
	withoutEntry bool
	// startMilliseconds is the start of the back end in Unix milliseconds.
	startMilliseconds int64
}

func newSite(t *testing.T, number int) *site {
	base := &cluster{t: t, number: number, dir: t.TempDir(), nodes: make(map[string]*process)}
	ctx, cancel := context.WithCancel(context.Background())
	created := &site{cluster: base, store: metadata.New(500), router: &echonet.Router{}, ctx: ctx, cancel: cancel,
		backends: make(map[string]*siteBackend)}
	t.Cleanup(func() {
		cancel()
		base.stop()
	})
	server := &http.Server{Addr: base.ip(0, 1) + ":8169", Handler: created.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ListenAndServe() }()
	t.Cleanup(func() { _ = server.Close() })
	go created.router.Run(ctx)
	go created.writeEntries()
	go created.takeBackups()
	var err error
	created.client, err = echonet.StartClient(netip.MustParseAddrPort(base.ip(3, 1)+fmt.Sprintf(":%d", clientPort)), created.router, checksumKey)
	require.NoError(t, err)
	t.Cleanup(created.client.Stop)
	return created
}

// writeEntries writes the entries of the back ends periodically, as real back ends do
// themselves.
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

// removeEntry removes the entry of a back end, which keeps serving.
func (site *site) removeEntry(id string) {
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.backends[id].withoutEntry = true
	site.store.Remove("servers/" + id)
}

// configure writes a configuration. Each route has the form "name host port pool",
// optionally followed by its priority and its latency target in milliseconds.
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

// metricsAddress is the address of the metrics of a balancer.
func metricsAddress(host string) string { return host + ":9464" }

// startBalancerAt starts a balancer that reaches the store at the given address.
func (site *site) startBalancerAt(zone, store string, arguments ...string) *process {
	site.started++
	name := fmt.Sprintf("edge-%s-%d", zone, site.started)
	host := site.ip(1, site.started)
	peer := host + ":8166"
	if len(site.seeds) < 3 {
		site.seeds = append(site.seeds, peer)
	}
	content := fmt.Sprintf("name: %s\nzone: %s\ndata_address: %s:%d\nreadiness_address: %s:8167\npeer_address: %s\nmetrics_address: %s\nstore_address: %s\nseeds: %s\nlog_level: debug\n",
		name, zone, host, clientPort, host, peer, metricsAddress(host), store, strings.Join(site.seeds, ","))
	path := filepath.Join(site.dir, name+".yaml")
	require.NoError(site.t, os.WriteFile(path, []byte(content), 0o600))
	started := site.start(name, "balancer", append([]string{"--settings", path}, arguments...)...)
	site.nodes[name] = started
	site.router.Add(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", host, clientPort)), host+":8167")
	return started
}

// restart starts a terminated balancer again with the same arguments.
func (site *site) restart(killed *process) *process {
	return site.start(killed.name, "balancer", killed.command.Args[1:]...)
}

func (site *site) waitReady(count int) {
	require.Eventually(site.t, func() bool { return site.router.InService() == count }, 20*time.Second, 20*time.Millisecond,
		"balancers in service")
}

func (site *site) target(host string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host), port)
}

// openFlows opens count flows and returns them with the back end that answered each.
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

// requireSameBackend sends a request on each flow and requires that the back end that
// had answered before answers it.
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

// newLendingSite starts the back ends of two services, and three balancers.
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

// requireNoMisrouted requires that no back end received a forged packet or one that was
// meant for another back end.
func (site *site) requireNoMisrouted() {
	for id, backend := range site.backends {
		_, misrouted, _, forged := backend.Counts()
		require.Zero(site.t, misrouted, "%s: packets for another back end", id)
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

// Guards against clients that wait for a back end that has stopped answering while its
// entry stays in the store: their flows must be reset well before the clients time out,
// and no other flow may be affected.
func TestBalancerResetsFlowsOfSilentBackend(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 9)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 60)
	site.backends["i-a0"].Stop()
	var waiting, others sync.WaitGroup
	failures := make(chan error, len(flows))
	done := make(chan struct{})
	start := time.Now()
	for index, flow := range flows {
		if servers[index] == "lending/i-a0" {
			waiting.Go(func() {
				_, err := flow.Request("page")
				failures <- err
			})
			continue
		}
		others.Go(func() { site.requestUntil(flow, servers[index], done) })
	}
	waiting.Wait()
	close(done)
	others.Wait()
	close(failures)
	require.NotEmpty(t, failures)
	for err := range failures {
		require.ErrorIs(t, err, echonet.ErrBroken)
	}
	require.Less(t, time.Since(start), 2500*time.Millisecond)
	site.requireNoMisrouted()
}

// requestUntil sends requests on a flow until done is closed, and requires that the back
// end of the flow answers all of them.
func (site *site) requestUntil(flow *echonet.Flow, server string, done <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		responder, err := flow.Request(fmt.Sprintf("page %d", number))
		assert.NoError(site.t, err)
		assert.Equal(site.t, server, responder)
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

// A back end that restarts under the same ID has lost its flows. Those flows must be reset
// at once, idle ones too, since otherwise the next request on each would be lost before its
// client finds out. All other flows, and those opened after the restart, must continue.
func TestBackendRestartedUnderSameID(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 12)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	time.Sleep(5500 * time.Millisecond) // exceeds the clock difference that is allowed for
	site.mutex.Lock()
	stopped := site.backends["i-a0"]
	stopped.withoutEntry = true
	stopped.Stop()
	site.mutex.Unlock()
	site.startBackend("i-a0", "lending", zones[0], 1)
	laterFlows, laterServers := site.openFlows(site.target("198.18.0.1", 443), 20)
	var kept []*echonet.Flow
	var keptServers []string
	for index, flow := range flows {
		if servers[index] == "lending/i-a0" {
			require.True(t, flow.AwaitReset(2*time.Second), "flow %d", index)
			continue
		}
		kept, keptServers = append(kept, flow), append(keptServers, servers[index])
	}
	require.Less(t, len(kept), len(flows))
	require.Contains(t, laterServers, "lending/i-a0", "the restarted back end takes flows")
	site.requireSameBackend(kept, keptServers)
	site.requireSameBackend(laterFlows, laterServers)
	site.requireNoMisrouted()
}

func TestBalancerAddressReuse(t *testing.T) {
	t.Parallel()
	site, _ := newLendingSite(t, 4)
	site.mutex.Lock()
	stopped := site.backends["i-a0"]
	stopped.withoutEntry = true
	stopped.Stop()
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
	require.ErrorIs(t, err, echonet.ErrRefused, "a removed route")
	site.requireSameBackend(flows, servers)
}

// A balancer that starts while the store doesn't respond must get all data from its peers,
// including the tombstones of removed entries.
func TestBalancerStartsWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 6)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 20)
	site.removeEntry("i-a0")
	time.Sleep(3 * time.Second)
	site.store.SetFaults(metadata.Faults{Unresponsive: true})
	for _, index := range []int{1, 2} {
		require.NoError(t, started[index].command.Process.Kill())
		_ = started[index].command.Wait()
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

// While the store doesn't respond, all seeds are killed and restarted, so that they know only
// each other's addresses; then the balancers that had kept running are killed and restarted.
// No balancer survives both rounds, but the replicated data must.
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
	for _, group := range [][]*process{seeds, others} {
		kill(t, group)
		site.waitReady(5 - len(group))
		for _, balancer := range group {
			site.restart(balancer)
		}
		start := time.Now()
		site.waitReady(5)
		require.Less(t, time.Since(start), 2*time.Second, "the routers probe readiness twice a second")
	}
	site.requireSameBackend(flows, servers)
	site.openFlows(site.target("198.18.0.1", 443), 10)
	site.requireNoMisrouted()
}

// kill kills balancers and waits until their processes have exited.
func kill(t *testing.T, balancers []*process) {
	for _, balancer := range balancers {
		require.NoError(t, balancer.command.Process.Kill())
		_ = balancer.command.Wait()
	}
}

// All balancers are killed at once and restart while the store is available; open flows must
// keep their back ends.
func TestAllBalancersRestart(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 7)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 20)
	for _, balancer := range started {
		require.NoError(t, balancer.command.Process.Kill())
		_ = balancer.command.Wait()
	}
	site.waitReady(0)
	for _, balancer := range started {
		site.restart(balancer)
	}
	site.waitReady(3)
	site.requireSameBackend(flows, servers)
}

// The store refuses, throttles or never answers some balancers while it serves another one.
// The others must get the data from that one, whichever balancer was to read for the group.
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
	for index, refusal := range refusals {
		address := fmt.Sprintf("%s:%d", site.ip(0, 2), 8170+index)
		server := &http.Server{Addr: address, Handler: refusal, ReadHeaderTimeout: time.Second}
		go func() { _ = server.ListenAndServe() }()
		t.Cleanup(func() { _ = server.Close() })
		site.startBalancerAt(zones[index], address)
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

// A zone that the operator evacuates must get no new flows from any balancer, while its open
// flows stay. A balancer that starts while the store doesn't respond must learn of the
// evacuation from its peers, and later of its revocation.
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
	requireEventually := func(expected bool, what string) {
		until := time.Now().Add(10 * time.Second)
		for opensThere() != expected {
			require.True(t, time.Now().Before(until), what)
		}
	}
	require.True(t, opensThere())
	site.store.Put("op/evacuate/"+evacuated, []byte("{}"))
	requireEventually(false, "evacuated")
	site.requireSameBackend(flows, servers)
	site.store.SetFaults(metadata.Faults{Unresponsive: true})
	kill(t, started[1:])
	site.waitReady(1)
	restarted := []*process{site.restart(started[1]), site.restart(started[2])}
	site.waitReady(3)
	kill(t, started[:1])
	site.waitReady(2)
	require.False(t, opensThere(), "%s and %s have learned of the evacuation from a peer", restarted[0].name, restarted[1].name)
	site.store.SetFaults(metadata.Faults{})
	site.store.Remove("op/evacuate/" + evacuated)
	requireEventually(true, "the evacuation is revoked")
	site.requireNoMisrouted()
}
