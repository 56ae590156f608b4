// Package dataplane forwards packets: it reads batches of datagrams, lets the
// router decide on each, and writes them to the back ends.
//
// Listen opens the data socket and Run forwards packets until its context is
// canceled. The goroutines of a Plane read only immutable state. Lookups of flows
// go to the control goroutine over a bounded channel, and their results come
// back over another one.
package dataplane

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/frame"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

const (
	batchSize           = 64
	socketBuffer        = 4 << 20
	bufferedPacketLimit = 2048
	lookupQueueLimit    = 4096
	resultQueueLimit    = 4096
	// idleVersion is the version of a worker that is not processing a batch.
	idleVersion = ^uint64(0)
	// RetryAfter is the time after which a refused caller is told to retry.
	RetryAfter = 2 * time.Second
)

// Lookup asks the control goroutine for the back end of a flow. Proposal and Bind
// are those of the router's decision; Opens is set if the packet is a SYN.
type Lookup struct {
	Key      flow.Key
	Proposal uint32
	Bind     bool
	IsSYN    bool
}

// LookupResult is the response of the control goroutine to a Lookup.
type LookupResult struct {
	Key      flow.Key
	Backend  uint32
	Recorded bool
}

// Observer is notified of every decision other than a forward by the node's own
// flow table. It must be fast and safe for concurrent use.
type Observer interface {
	Decided(now uint32, key flow.Key, path router.Path, backend uint32)
}

// Targets maps back ends to their tunnel addresses. It is immutable.
type Targets map[uint32]*net.UDPAddr

// Plane is the data path of one node. Listen returns one.
type Plane struct {
	router       *router.Router
	targets      atomic.Pointer[Targets]
	version      atomic.Uint64
	socket       net.PacketConn
	batch        *ipv4.PacketConn
	clock        func() uint32
	logger       *slog.Logger
	observer     Observer
	packetBuffer *packetBuffer
	lookups      chan Lookup
	results      chan LookupResult
	workers      []*worker
	// pathCounts counts packets by path, and dropCounts those dropped before
	// routing by cause.
	pathCounts [router.PathCount]atomic.Uint64
	dropCounts [frame.CauseCount]atomic.Uint64
	// overflow counts packets dropped because a queue or buffer was full.
	overflow atomic.Uint64
	// failedSends counts datagrams that could not be sent.
	failedSends atomic.Uint64
}

// Settings holds the parameters of a Plane.
type Settings struct {
	Address  string
	Workers  int
	Router   *router.Router
	Clock    func() uint32
	Logger   *slog.Logger
	Observer Observer
}

// Listen opens the data socket and returns the Plane that uses it.
func Listen(settings Settings) (*Plane, error) {
	socket, err := net.ListenPacket("udp4", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "data path: listen on %s", settings.Address)
	}
	if udp, isUDP := socket.(*net.UDPConn); isUDP {
		_ = udp.SetReadBuffer(socketBuffer)
		_ = udp.SetWriteBuffer(socketBuffer)
	}
	plane := &Plane{
		router:       settings.Router,
		socket:       socket,
		batch:        ipv4.NewPacketConn(socket),
		clock:        settings.Clock,
		logger:       settings.Logger,
		observer:     settings.Observer,
		packetBuffer: newPacketBuffer(bufferedPacketLimit),
		lookups:      make(chan Lookup, lookupQueueLimit),
		results:      make(chan LookupResult, resultQueueLimit),
	}
	empty := Targets{}
	plane.targets.Store(&empty)
	for range max(1, settings.Workers) {
		plane.workers = append(plane.workers, newWorker(plane))
	}
	return plane, nil
}

// Run forwards packets until the context is canceled.
func (plane *Plane) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = plane.socket.Close() })
	defer stop()
	var group sync.WaitGroup
	for _, worker := range plane.workers {
		group.Add(1)
		go func() {
			defer group.Done()
			worker.run(ctx)
		}()
	}
	plane.forwardResults(ctx)
	group.Wait()
	return nil
}

// Lookups returns the channel of lookups for the control goroutine.
func (plane *Plane) Lookups() <-chan Lookup { return plane.lookups }

// CompleteLookup passes a lookup result of the control goroutine to the data
// path. It does not block: if the channel is full, the buffered packets are
// dropped and TCP retransmits them.
func (plane *Plane) CompleteLookup(result LookupResult) {
	select {
	case plane.results <- result:
	default:
		plane.overflow.Add(uint64(len(plane.packetBuffer.take(result.Key))))
	}
}

// SetView publishes a view, its version and the tunnel addresses of its back
// ends.
func (plane *Plane) SetView(view *router.View, version uint64, targets Targets) {
	plane.targets.Store(&targets)
	plane.router.SetView(view)
	plane.version.Store(version)
}

// SetContact sets the end of the contact lease; see Router.SetContact.
func (plane *Plane) SetContact(contactLeaseEnd uint32, serveIsolated bool) {
	plane.router.SetContact(contactLeaseEnd, serveIsolated)
}

// InForce returns the newest view version that all workers use.
func (plane *Plane) InForce() uint64 {
	lowest := plane.version.Load()
	for _, worker := range plane.workers {
		lowest = min(lowest, worker.version.Load())
	}
	return lowest
}

// PathCounts returns the number of packets by path, by cause of a drop before routing,
// dropped at full buffers and failed to send.
func (plane *Plane) PathCounts() map[string]uint64 {
	counts := make(map[string]uint64)
	for path := range router.PathCount {
		counts[path.String()] = plane.pathCounts[path].Load()
	}
	for cause := frame.CauseTruncated; cause < frame.CauseCount; cause++ {
		counts["bad_"+cause.String()] = plane.dropCounts[cause].Load()
	}
	counts["dropped_overflow"] = plane.overflow.Load()
	counts["failed_send"] = plane.failedSends.Load()
	return counts
}

// recordDecision counts a decision and passes it to the observer.
func (plane *Plane) recordDecision(now uint32, key flow.Key, path router.Path, backend uint32) {
	plane.pathCounts[path].Add(1)
	if path != router.PathLocal && plane.observer != nil {
		plane.observer.Decided(now, key, path, backend)
	}
}

// forwardResults forwards the buffered packets of a flow when its lookup
// completes.
func (plane *Plane) forwardResults(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-plane.results:
			plane.forwardBuffered(result)
		}
	}
}

// forwardBuffered forwards the buffered packets of one flow, or drops them if the
// result names no back end with a tunnel address.
func (plane *Plane) forwardBuffered(result LookupResult) {
	now := plane.clock()
	for _, buffered := range plane.packetBuffer.take(result.Key) {
		target := (*plane.targets.Load())[result.Backend]
		if result.Backend == rule.NoBackend || target == nil {
			plane.recordDecision(now, result.Key, router.PathDroppedKeepers, rule.NoBackend)
			continue
		}
		if _, found := plane.router.Table().Get(result.Key, buffered.packet.Hash); !found {
			plane.router.InsertFlow(now, result.Key, buffered.packet.Hash, result.Backend, buffered.packet.Flags)
		}
		plane.recordDecision(now, result.Key, router.PathKeeper, result.Backend)
		if _, err := plane.socket.WriteTo(buffered.datagram, target); err != nil {
			plane.failedSends.Add(1)
		}
	}
}

// refuse responds to a SYN with a RST immediately.
func (plane *Plane) refuse(packet frame.Packet, path router.Path, from net.Addr) {
	datagram, err := frame.Refusal(packet, path.String(), RetryAfter)
	if err != nil {
		plane.failedSends.Add(1)
		return
	}
	if _, err := plane.socket.WriteTo(datagram, from); err != nil {
		plane.failedSends.Add(1)
	}
}
