// Command standin plays the cases of the review. It starts balancers as separate processes
// and simulates the platform around them, mostly with the project's own stand-ins: the
// metadata store, routers, back ends, clients, and relays that cut a back end off.
//
// # Usage
//
//	standin CASE DIRECTORY
//
// DIRECTORY holds the case's files and gets record.txt. The exit status is 1 if a rule was
// broken, 0 if it held and 2 if the case could not be played. TROUBLE=0 in the environment
// leaves out the disruption.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// checksumKey is the key of the packets' checksums.
	checksumKey = 4711
	// pageSize is the maximum number of entries in a response of the store.
	pageSize = 500
	// heartbeat is how often a back end writes its entry.
	heartbeat = 1200 * time.Millisecond
	// connectedTime is the time without disruption after which a machine is in touch.
	connectedTime = 4 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL, grace_s.
	stopGrace = 6 * time.Second
	// configurationFile holds the operators' configuration, and serviceAddress is the address
	// of the route in it.
	configurationFile = "config.json"
	serviceAddress    = "198.18.0.1:443"
	// firstNetwork and networks bound the second byte of the loopback addresses.
	firstNetwork = 100
	networks     = 150
)

// world is a small deployment and the platform around it.
type world struct {
	directory string
	temporary string
	// subnet holds the first two bytes of all addresses. port is the port of data addresses and
	// clients, backendPort that of back ends, and the others are those of the balancers.
	subnet                               string
	port, backendPort                    uint16
	readinessPort, peerPort, metricsPort uint16
	// trouble is set unless the disruption is left out.
	trouble bool
	store   *metadata.Server
	storeAt string
	// routers holds the router of each zone.
	routers map[string]*echonet.Router
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time

	// processes guards the balancers' processes, which close ends from another goroutine when
	// the case is interrupted. None starts once closed is set.
	processes sync.Mutex
	closed    bool

	mutex     sync.Mutex
	record    *os.File
	balancers map[string]*balancerProcess
	backends  map[string]*backend
	entries   map[string]*entry
	ends      []*backendEnd
	clients   []*clientEnd
}

// entry is what a back end writes about itself at each heartbeat.
type entry struct {
	mutex sync.Mutex
	value metadata.BackendEntry
	// withheld is set while the back end does not write, since it leaves or is cut off.
	withheld bool
}

// balancerProcess is one balancer, started as the deploy file says.
type balancerProcess struct {
	name, zone string
	host       string
	settings   string
	command    *exec.Cmd
	exited     chan struct{}
}

// backend is a back end with a relay before it that can be cut.
type backend struct {
	*echonet.Backend
	relay *net.UDPConn

	mutex   sync.Mutex
	cut     bool
	dropped int
}

func newWorld(directory string) (*world, error) {
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		directory: directory, temporary: temporary, trouble: os.Getenv("TROUBLE") != "0",
		store: metadata.New(pageSize), routers: make(map[string]*echonet.Router), ctx: ctx, cancel: cancel,
		started: time.Now(), record: record,
		balancers: make(map[string]*balancerProcess), backends: make(map[string]*backend),
		entries: make(map[string]*entry),
	}
	if err := w.findAddresses(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", w.ip(0, 1)+":0")
	if err != nil {
		return nil, err
	}
	w.storeAt = listener.Addr().String()
	server := &http.Server{Handler: w.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	w.note("trouble=%t subnet=%s port=%d", w.trouble, w.subnet, w.port)
	return w, nil
}

// findAddresses chooses a loopback network and ports that are free on all addresses.
func (w *world) findAddresses() error {
	w.subnet = fmt.Sprintf("127.%d", firstNetwork+os.Getpid()%networks)
	for _, port := range []*uint16{&w.port, &w.backendPort} {
		probe, err := net.ListenUDP("udp4", &net.UDPAddr{})
		if err != nil {
			return err
		}
		defer func() { _ = probe.Close() }()
		*port = probe.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	}
	for _, port := range []*uint16{&w.readinessPort, &w.peerPort, &w.metricsPort} {
		probe, err := net.ListenTCP("tcp4", &net.TCPAddr{})
		if err != nil {
			return err
		}
		defer func() { _ = probe.Close() }()
		*port = probe.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

func (w *world) ip(third, fourth int) string { return fmt.Sprintf("%s.%d.%d", w.subnet, third, fourth) }

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(w.record, line)
}

// close ends all processes that the world started and removes its folder. Sockets end with this
// process. It may be called from any goroutine, and more than once.
func (w *world) close() {
	w.cancel()
	w.processes.Lock()
	defer w.processes.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, each := range w.balancers {
		if each.command != nil {
			_ = each.command.Process.Kill()
			<-each.exited
		}
	}
	_ = os.RemoveAll(w.temporary)
}

// writeConfiguration writes the operators' configuration, whose key run.sh gives.
func (w *world) writeConfiguration() error {
	value, err := os.ReadFile(filepath.Join(w.directory, configurationFile))
	if err != nil {
		return err
	}
	w.store.Put(os.Getenv("REVIEW_CONFIGURATION_KEY"), value)
	w.note("operator: configuration written")
	return nil
}

// addBalancer starts a balancer with settings like those that the deploy file's template gives.
func (w *world) addBalancer(name, zone string, host int, seeds []string) error {
	each := &balancerProcess{name: name, zone: zone, host: w.ip(2, host)}
	w.processes.Lock()
	w.balancers[name] = each
	w.processes.Unlock()
	content, err := w.fillTemplate(each, seeds)
	if err != nil {
		return err
	}
	each.settings = filepath.Join(w.temporary, name+".yaml")
	if err := os.WriteFile(each.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.router(zone).Add(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", each.host, w.port)), fmt.Sprintf("%s:%d", each.host, w.readinessPort))
	return w.startBalancer(name)
}

// settingsTemplate holds the lines of deploy/balancer.yaml for a small site.
const settingsTemplate = `name: "{{.Name}}"
zone: "{{.Zone}}"
data_address: "{{.Host}}:{{.Port}}"
readiness_address: "{{.Host}}:{{.ReadinessPort}}"
peer_address: "{{.Host}}:{{.PeerPort}}"
metrics_address: "{{.Host}}:{{.MetricsPort}}"
store_address: "{{.Store}}"
seeds: "{{.Seeds}}"
flow_seconds: 60
stop_seconds: 6
configuration_milliseconds: 3000
drain_milliseconds: 3000
heartbeat_milliseconds: 1200
processor_cores: 0.4
link_megabits: 1000
`

func (w *world) fillTemplate(each *balancerProcess, seeds []string) (string, error) {
	var filled strings.Builder
	err := template.Must(template.New("settings").Parse(settingsTemplate)).Execute(&filled, map[string]any{
		"Name": each.name, "Zone": each.zone, "Host": each.host, "Port": w.port, "Store": w.storeAt, "Seeds": strings.Join(seeds, ","),
		"ReadinessPort": w.readinessPort, "PeerPort": w.peerPort, "MetricsPort": w.metricsPort,
	})
	return filled.String(), err
}

// router returns the router of a zone, which sends packets to the zone's balancers.
func (w *world) router(zone string) *echonet.Router {
	if w.routers[zone] == nil {
		w.routers[zone] = &echonet.Router{}
		go w.routers[zone].Run(w.ctx)
	}
	return w.routers[zone]
}

func (w *world) startBalancer(name string) error {
	w.processes.Lock()
	defer w.processes.Unlock()
	if w.closed {
		return errors.New("the case is ending")
	}
	each := w.balancers[name]
	output, err := os.OpenFile(filepath.Join(w.temporary, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(os.Getenv("REVIEW_BALANCER"))
	command.Env = append(os.Environ(), "INDIGOBARROW_CONFIG="+each.settings)
	command.Stdout, command.Stderr = output, output
	// The kernel ends the balancer should this process be killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	each.command, each.exited = command, make(chan struct{})
	exited := each.exited
	go func() {
		_ = command.Wait()
		close(exited)
		w.note("balancer %s: process ended: %s", name, command.ProcessState)
	}()
	w.note("balancer %s: started in %s", name, each.zone)
	return nil
}

// signal sends a signal to a balancer.
func (w *world) signal(name string, signal syscall.Signal) {
	w.note("balancer %s: %s", name, signal)
	_ = w.balancers[name].command.Process.Signal(signal)
}

// stopAsPlanned sends SIGTERM to a balancer, and SIGKILL after stopGrace.
func (w *world) stopAsPlanned(name string) {
	w.signal(name, syscall.SIGTERM)
	each := w.balancers[name]
	go func() {
		select {
		case <-each.exited:
		case <-time.After(stopGrace):
			w.signal(name, syscall.SIGKILL)
		}
	}()
}

// copyLogs appends the balancers' log lines that contain one of the words to the record.
func (w *world) copyLogs(words ...string) {
	for name := range w.balancers {
		content, _ := os.ReadFile(filepath.Join(w.temporary, name+".log"))
		for _, line := range strings.Split(string(content), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					w.note("log of %s: %s", name, line)
					break
				}
			}
		}
	}
}

// addBackend starts a back end, whose entry is written at each heartbeat from now on.
func (w *world) addBackend(id, pool, zone string, host int) (*backend, error) {
	inner := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(4, host), w.backendPort))
	outer := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(1, host), w.backendPort))
	served, err := echonet.StartBackend(id, pool, inner, w.port, checksumKey)
	if err != nil {
		return nil, err
	}
	served.SetLoadModel(echonet.LoadModel{Slots: 2, QueueLength: 8, ServiceTime: 22 * time.Millisecond})
	relay, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(outer))
	if err != nil {
		return nil, err
	}
	each := &backend{Backend: served, relay: relay}
	w.backends[id] = each
	go each.forward(inner)
	w.addEntry(id, pool, zone, outer)
	w.note("back end %s: started in %s, pool %s", id, zone, pool)
	return each, nil
}

// forward passes datagrams on to the back end, and drops them while it is cut off.
func (b *backend) forward(inner netip.AddrPort) {
	buffer := make([]byte, 2048)
	for {
		size, _, err := b.relay.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b.mutex.Lock()
		cut := b.cut
		if cut {
			b.dropped++
		}
		b.mutex.Unlock()
		if !cut {
			_, _ = b.relay.WriteToUDPAddrPort(buffer[:size], inner)
		}
	}
}

// setCut cuts a back end off, or connects it again.
func (w *world) setCut(id string, cut bool) {
	each := w.backends[id]
	each.mutex.Lock()
	defer each.mutex.Unlock()
	each.cut = cut
	w.note("back end %s: cut off: %t; %d packets were dropped so far", id, cut, each.dropped)
}

// addEntry writes the entry of a back end now and at each heartbeat.
func (w *world) addEntry(id, pool, zone string, address netip.AddrPort) {
	added := &entry{value: metadata.BackendEntry{Pool: pool, Address: address.String(), Zone: zone, Version: "v1", Slots: 2,
		State: metadata.StateReady, StartedMilliseconds: time.Now().UnixMilli()}}
	w.entries[id] = added
	go func() {
		for w.ctx.Err() == nil {
			w.writeEntry(id, added)
			time.Sleep(heartbeat)
		}
	}()
}

func (w *world) writeEntry(id string, written *entry) {
	written.mutex.Lock()
	defer written.mutex.Unlock()
	if written.withheld {
		return
	}
	written.value.Sequence++
	w.store.Put(metadata.BackendKey(id), encodeEntry(written.value))
}

func encodeEntry(value metadata.BackendEntry) []byte {
	encoded, _ := json.Marshal(value)
	return encoded
}

// removeEntry removes the entry of a back end that leaves without saying so, and serves on.
func (w *world) removeEntry(id string) {
	removed := w.entries[id]
	removed.mutex.Lock()
	defer removed.mutex.Unlock()
	removed.withheld = true
	w.store.Remove(metadata.BackendKey(id))
	w.note("back end %s: its entry goes; it serves on", id)
}

// client starts a client in a zone, at an address of its own.
func (w *world) client(zone string, host int) (*echonet.Client, error) {
	return echonet.StartClient(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(3, host), w.port)), w.router(zone), checksumKey)
}

// startBalancers starts two balancers in zone one and one in zone two, and waits until they
// are in touch.
func (w *world) startBalancers() error {
	var seeds []string
	for host := 1; host <= 3; host++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.ip(2, host), w.peerPort))
	}
	for index, name := range []string{"edge-one-1", "edge-one-2", "edge-two-1"} {
		zone := "zone-one"
		if name == "edge-two-1" {
			zone = "zone-two"
		}
		if err := w.addBalancer(name, zone, index+1, seeds); err != nil {
			return err
		}
	}
	if err := w.waitInService(); err != nil {
		return err
	}
	time.Sleep(connectedTime)
	return nil
}

func (w *world) dataAddress(name string) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.balancers[name].host, w.port))
}

// readinessURL returns the URL of a balancer's readiness check, whose path run.sh gives.
func (w *world) readinessURL(name string) string {
	return fmt.Sprintf("http://%s:%d%s", w.balancers[name].host, w.readinessPort, os.Getenv("REVIEW_READINESS_PATH"))
}

// waitInService waits until all balancers are in service.
func (w *world) waitInService() error {
	for range 200 {
		if w.inService() == len(w.balancers) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Newf("%d of %d balancers are in service", w.inService(), len(w.balancers))
}

// inService returns the number of balancers that routers use.
func (w *world) inService() int {
	count := 0
	for _, router := range w.routers {
		count += router.InService()
	}
	return count
}
