package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

// Bounds of the small deployment whose settings the balancers get.
const (
	connectedTime = 4 * time.Second
	drainTime     = 3 * time.Second
	// configurationTime is config_apply_ms.
	configurationTime = 3 * time.Second
	seedCount         = 3
	graceTime         = 6 * time.Second
	storePageSize     = 500
	readinessPause    = 500 * time.Millisecond
	missesToLeave     = 2
)

// site is a small deployment on loopback addresses.
type site struct {
	ctx      context.Context
	record   *record
	network  int
	dataPort uint16
	route    netip.AddrPort
	store    *metadata.Server
	storeAt  string
	server   *http.Server
	router   *router
	mutex    sync.Mutex
	nodes    []*node
	backends map[netip.AddrPort]*backend
	// begun holds when the client of each flow sent its first SYN, and openers the back end at
	// which the flow is open.
	begun   map[flowID]time.Time
	openers map[flowID]*backend
	// deadlines holds, for each back end that must get no new flows, the time until which it may,
	// and lateOpenings counts the flows that opened there although their first SYN was sent later.
	deadlines    map[*backend]time.Time
	lateOpenings int
	// broken counts the open flows that were reset by another than their back end.
	broken int
	// answered counts the requests that were answered.
	answered atomic.Int64
	over     atomic.Bool
}

func newSite(ctx context.Context, record *record) (*site, error) {
	s := &site{ctx: ctx, record: record, network: 16 + rand.IntN(200), route: netip.MustParseAddrPort("127.198.0.1:443"),
		store:    metadata.New(storePageSize),
		backends: make(map[netip.AddrPort]*backend), begun: make(map[flowID]time.Time), openers: make(map[flowID]*backend), deadlines: make(map[*backend]time.Time)}
	s.dataPort = uint16(20000 + rand.IntN(10000))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(listener) }()
	s.router = newRouter(s)
	go s.router.run(ctx)
	return s, nil
}

// address returns a loopback address of the site.
func (s *site) address(class, number int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("127.%d.%d.%d", s.network, class, number))
}

// configurationTemplate is the operator's document, with the version and the pool left out.
//
//go:embed configuration.template
var configurationTemplate string

//go:embed words.json
var wordsFile []byte

// words holds the platform's names that the sources outside its package don't spell out.
var words = func() (read struct {
	ConfigurationKey string `json:"configuration_key"`
	ReadinessPath    string `json:"readiness_path"`
}) {
	if err := json.Unmarshal(wordsFile, &read); err != nil {
		panic(err)
	}
	return read
}()

// writeConfiguration writes the operator's configuration with one route.
func (s *site) writeConfiguration(version int, pool string) {
	value := strings.NewReplacer("VERSION", strconv.Itoa(version), "POOL", pool).Replace(configurationTemplate)
	s.store.Put(words.ConfigurationKey, []byte(value))
	s.record.line("operator: the store has acknowledged configuration %d, pool %s", version, pool)
}

// addBackend starts a back end in a zone.
func (s *site) addBackend(pool, zone string, number int) (*backend, error) {
	address := netip.AddrPortFrom(s.address(1, number), s.dataPort+1)
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	b, err := startBackend(s, id, pool, zone, address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.backends[address] = b
	s.mutex.Unlock()
	s.record.line("back end %s: starts in %s at %s, pool %s", id, zone, address, pool)
	return b, nil
}

// expireEntry removes the entry of a silent back end after three heartbeats.
func (s *site) expireEntry(b *backend) {
	select {
	case <-s.ctx.Done():
	case <-time.After(2 * heartbeat):
		s.store.Remove(metadata.BackendKey(b.id))
	}
}

// flowOpened records that a flow is open at a back end.
func (s *site) flowOpened(id flowID, b *backend) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openers[id] = b
	deadline, found := s.deadlines[b]
	if found && s.begun[id].After(deadline) {
		s.lateOpenings++
		s.record.line("back end %s, pool %s: flow %s opens, whose first SYN was sent %.3f s after the time until which it may get new flows",
			b.id, b.pool, id, s.begun[id].Sub(deadline).Seconds())
	}
}

// late returns how many flows were opened at back ends that must get none.
func (s *site) late() int {
	s.over.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lateOpenings
}

// brokenFlows returns how many open flows were reset by another than their back end.
func (s *site) brokenFlows() int {
	s.over.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.broken
}

// ended reports whether the verdict has been given.
func (s *site) ended() bool { return s.over.Load() }

// newFlow notes the start of a flow and forgets an earlier one of the same client and port.
func (s *site) newFlow(id flowID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.openers, id)
	s.begun[id] = time.Now()
}

// drain makes a back end drain. From drainTime after the store has acknowledged that, it must get
// no new flows.
func (s *site) drain(b *backend) {
	b.drain()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deadlines[b] = time.Now().Add(drainTime)
}

// retirePool notes that the configuration that the store has just acknowledged names a pool no
// more. From configurationTime after that, its back ends must get no new flows.
func (s *site) retirePool(pool string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, b := range s.backends {
		if b.pool == pool {
			s.deadlines[b] = time.Now().Add(configurationTime)
		}
	}
}

// resetReceived records a reset that a client got.
func (s *site) resetReceived(f *clientFlow, got received) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sender := "balancer " + got.from.String()
	if b := s.backends[got.from]; b != nil {
		sender = "back end " + b.id
	}
	opener := s.openers[f.id()]
	if opener == nil {
		s.record.line("client: flow %s, which is not open, is reset by %s", f.id(), sender)
		return
	}
	s.record.line("client: flow %s, open at back end %s, is reset by %s", f.id(), opener.id, sender)
	if got.from != opener.address && !opener.dark.Load() {
		s.broken++
	}
}

// node is a balancer, as a process of its own.
type node struct {
	site      *site
	name      string
	zone      string
	addr      netip.Addr
	settings  string
	command   *exec.Cmd
	ended     chan struct{}
	readiness string
	data      netip.AddrPort
}

// addNode writes the settings of a balancer as the deploy template does, and starts it.
func (s *site) addNode(zone string) (*node, error) {
	number := len(s.nodes) + 1
	addr := s.address(2, number)
	var seeds []string
	for seed := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.address(2, seed+1), s.dataPort+3))
	}
	n := &node{site: s, name: fmt.Sprintf("edge-%d", number), zone: zone, addr: addr, data: netip.AddrPortFrom(addr, s.dataPort),
		readiness: fmt.Sprintf("%s:%d", addr, s.dataPort+2)}
	lines := []string{
		fmt.Sprintf("name: %q", n.name), fmt.Sprintf("zone: %q", zone), fmt.Sprintf("data_address: %q", n.data),
		fmt.Sprintf("readiness_address: %q", n.readiness), fmt.Sprintf("peer_address: \"%s:%d\"", addr, s.dataPort+3),
		fmt.Sprintf("metrics_address: \"%s:%d\"", addr, s.dataPort+4), fmt.Sprintf("store_address: %q", s.storeAt),
		fmt.Sprintf("seeds: %q", strings.Join(seeds, ",")), "flow_seconds: 60", "stop_seconds: 6", "configuration_milliseconds: 3000",
		"drain_milliseconds: 3000", "heartbeat_milliseconds: 1200", "processor_cores: 0.288", "link_megabits: 1000",
	}
	n.settings = strings.Join(lines, "\n") + "\n"
	s.nodes = append(s.nodes, n)
	s.router.add(n)
	return n, n.start()
}

// addNodes starts balancers in the given zones.
func (s *site) addNodes(zones ...string) error {
	for _, zone := range zones {
		if _, err := s.addNode(zone); err != nil {
			return err
		}
	}
	return nil
}

// unnamedFile returns a file with the given text that has no name any more, so that nothing is
// left of it whatever ends this process.
func unnamedFile(text string) (*os.File, error) {
	file, err := os.CreateTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	if err := os.Remove(file.Name()); err != nil {
		return nil, err
	}
	_, err = file.WriteString(text)
	return file, err
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	settings, err := unnamedFile(n.settings)
	if err != nil {
		return err
	}
	defer func() { _ = settings.Close() }()
	n.command = exec.Command("target/balancer")
	// The first extra file is descriptor 3 of the process.
	n.command.ExtraFiles = []*os.File{settings}
	n.command.Env = append(os.Environ(), "INDIGOBARROW_CONFIG=/proc/self/fd/3")
	// The balancer ends with this process, whatever ends that.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.command, n.ended)
	n.site.record.line("balancer %s: starts in %s", n.name, n.zone)
	return nil
}

// roll stops the balancer as planned and starts it again.
func (n *node) roll() error {
	n.site.record.line("balancer %s: SIGTERM", n.name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(graceTime):
		_ = n.command.Process.Kill()
		<-n.ended
	}
	n.site.record.line("balancer %s: has ended", n.name)
	return n.start()
}

// stop ends all processes.
func (s *site) stop() {
	for _, n := range s.nodes {
		if n.ended == nil {
			continue
		}
		_ = n.command.Process.Kill()
		<-n.ended
	}
	_ = s.server.Close()
}

// settle waits until all balancers are in and connectedTime has passed since.
func (s *site) settle(ctx context.Context) error {
	if err := s.awaitAll(ctx); err != nil {
		return err
	}
	return sleep(ctx, connectedTime+time.Second)
}

// awaitAll waits until all balancers are in.
func (s *site) awaitAll(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for s.router.in() < len(s.nodes) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("%d of %d balancers became ready", s.router.in(), len(s.nodes))
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.record.line("all balancers are ready")
	return nil
}

func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}

// router hands each packet of a client to a balancer of the client's zone.
type router struct {
	site  *site
	mutex sync.Mutex
	state map[*node]*routedNode
	order []*node
}

type routedNode struct {
	in     bool
	misses int
}

func newRouter(s *site) *router { return &router{site: s, state: make(map[*node]*routedNode)} }

func (r *router) add(n *node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.order = append(r.order, n)
	r.state[n] = &routedNode{misses: missesToLeave}
}

// run asks each balancer for its readiness twice a second.
func (r *router) run(ctx context.Context) {
	asker := &http.Client{Timeout: readinessPause}
	for ctx.Err() == nil {
		r.mutex.Lock()
		nodes := append([]*node(nil), r.order...)
		r.mutex.Unlock()
		for _, n := range nodes {
			go r.note(n, ready(asker, n.readiness))
		}
		time.Sleep(readinessPause)
	}
}

func ready(asker *http.Client, address string) bool {
	response, err := asker.Get("http://" + address + words.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) note(n *node, ready bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.state[n]
	was := state.in
	if ready {
		state.in, state.misses = true, 0
	} else if state.misses++; state.misses >= missesToLeave {
		state.in = false
	}
	if was != state.in {
		r.site.record.line("router: balancer %s is in: %v", n.name, state.in)
	}
}

func (r *router) in() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, state := range r.state {
		if state.in {
			count++
		}
	}
	return count
}

// pick returns the balancer of a zone for a flow: by rendezvous hashing over those that are in,
// or over all of them where fewer than half are.
func (r *router) pick(zone, flow string) (netip.AddrPort, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all, in []*node
	for _, n := range r.order {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if r.state[n].in {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *node
	var bestScore uint64
	for _, n := range in {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(flow + "/" + n.name))
		if score := mix(hash.Sum64()); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.data, true
}

// mix spreads a hash over all bits.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
