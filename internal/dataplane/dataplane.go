// Package dataplane moves packets: it reads batches of datagrams, lets the
// router decide, and writes them to the back ends. Its goroutines read
// immutable state only; questions and answers about flows pass to and from the
// control goroutine over bounded channels.
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
	// idleVersion marks a worker that processes no batch.
	idleVersion = ^uint64(0)
	// RetryAfter is when a refused caller is told to come back.
	RetryAfter = 2 * time.Second
)

// Lookup asks the control goroutine about a flow.
type Lookup struct {
	Key      flow.Key
	Proposal uint32
	Bind     bool
	Opens    bool
}

// LookupResult is the control goroutine's answer.
type LookupResult struct {
	Key      flow.Key
	Backend  uint32
	Recorded bool
}

// Observer sees every decision that is not a plain local forward; it must be
// quick and safe for use by many goroutines.
type Observer interface {
	Decided(now uint32, key flow.Key, path router.Path, backend uint32)
}

// Targets gives the tunnel address of each back end. It is immutable.
type Targets map[uint32]*net.UDPAddr

// Plane is the data path of one node.
type Plane struct {
	router   *router.Router
	targets  atomic.Pointer[Targets]
	version  atomic.Uint64
	socket   net.PacketConn
	batch    *ipv4.PacketConn
	clock    func() uint32
	logger   *slog.Logger
	observer Observer
	buffer   *packetBuffer
	lookups  chan Lookup
	results  chan LookupResult
	workers  []*worker
	// Counts are packets by path and by cause of an early drop.
	pathCounts [router.PathCount]atomic.Uint64
	dropCounts [frame.CauseCount]atomic.Uint64
	// overflow counts packets dropped because a bound was reached.
	overflow    atomic.Uint64
	failedSends atomic.Uint64
}

// Settings are what a Plane needs.
type Settings struct {
	Address  string
	Workers  int
	Router   *router.Router
	Clock    func() uint32
	Logger   *slog.Logger
	Observer Observer
}

// Listen opens the data socket.
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
		router:   settings.Router,
		socket:   socket,
		batch:    ipv4.NewPacketConn(socket),
		clock:    settings.Clock,
		logger:   settings.Logger,
		observer: settings.Observer,
		buffer:   newPacketBuffer(bufferedPacketLimit),
		lookups:  make(chan Lookup, lookupQueueLimit),
		results:  make(chan LookupResult, resultQueueLimit),
	}
	empty := Targets{}
	plane.targets.Store(&empty)
	for range max(1, settings.Workers) {
		plane.workers = append(plane.workers, newWorker(plane))
	}
	return plane, nil
}

// Run moves packets until the context ends.
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

// Lookups is the channel of questions for the control goroutine.
func (plane *Plane) Lookups() <-chan Lookup { return plane.lookups }

// CompleteLookup hands in an answer of the control goroutine. It does not block: with
// the channel full, the parked packets are dropped and TCP sends them again.
func (plane *Plane) CompleteLookup(answer LookupResult) {
	select {
	case plane.results <- answer:
	default:
		plane.overflow.Add(uint64(len(plane.buffer.take(answer.Key))))
	}
}

// SetView publishes a view and the tunnel addresses that go with it.
func (plane *Plane) SetView(view *router.View, version uint64, targets Targets) {
	plane.targets.Store(&targets)
	plane.router.SetView(view)
	plane.version.Store(version)
}

// SetContact passes on until when the view may be trusted; see Router.SetContact.
func (plane *Plane) SetContact(freshUntil uint32, serveIsolated bool) {
	plane.router.SetContact(freshUntil, serveIsolated)
}

// InForce returns the newest view version that every worker uses.
func (plane *Plane) InForce() uint64 {
	lowest := plane.version.Load()
	for _, worker := range plane.workers {
		lowest = min(lowest, worker.version.Load())
	}
	return lowest
}

// Paths returns the packets by path.
func (plane *Plane) Paths() map[string]uint64 {
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

func (plane *Plane) recordDecision(now uint32, key flow.Key, path router.Path, backend uint32) {
	plane.pathCounts[path].Add(1)
	if path != router.PathLocal && plane.observer != nil {
		plane.observer.Decided(now, key, path, backend)
	}
}

// forwardResults forwards parked packets when their answers come.
func (plane *Plane) forwardResults(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case answer := <-plane.results:
			plane.forwardBuffered(answer)
		}
	}
}

func (plane *Plane) forwardBuffered(answer LookupResult) {
	now := plane.clock()
	for _, parked := range plane.buffer.take(answer.Key) {
		target := (*plane.targets.Load())[answer.Backend]
		if answer.Backend == rule.NoBackend || target == nil {
			plane.recordDecision(now, answer.Key, router.PathDroppedKeepers, rule.NoBackend)
			continue
		}
		if _, found := plane.router.Table().Get(answer.Key, parked.packet.Hash); !found {
			plane.router.InsertFlow(now, answer.Key, parked.packet.Hash, answer.Backend, parked.packet.Flags)
		}
		plane.recordDecision(now, answer.Key, router.PathKeeper, answer.Backend)
		if _, err := plane.socket.WriteTo(parked.datagram, target); err != nil {
			plane.failedSends.Add(1)
		}
	}
}

// refuse answers a SYN with a RST, at once.
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
