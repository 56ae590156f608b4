package balancer

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// Codec reads and writes the packets of the network that the balancer serves.
type Codec interface {
	MaximumSize() int
	Decode(datagram []byte) (tokenroute.Packet, error)
	// Forward appends the datagram that takes a packet to a back end.
	Forward(output, datagram []byte, backend *tokenroute.Backend) []byte
	// Refuse appends the packet that refuses a new flow.
	Refuse(output []byte, packet tokenroute.Packet) []byte
	// ClientAddress is where packets for the sender of a packet go.
	ClientAddress(packet tokenroute.Packet) netip.AddrPort
	// RequestID returns the id of the request that a packet starts, a part of
	// the datagram, or nil.
	RequestID(datagram []byte) []byte
}

// Store is the store that holds what operators and back ends have written.
type Store interface {
	// Snapshot reads entries, at most the given number of pages. The batch is
	// complete when that was all.
	Snapshot(ctx context.Context, pageLimit int) (*apiv1.DirectoryBatch, error)
	// StaleSnapshot reads all entries as they were some seconds ago, which costs
	// the store less. It confirms nothing.
	StaleSnapshot(ctx context.Context) (*apiv1.DirectoryBatch, error)
	// Changes waits for the changes after a revision. It returns
	// ErrHistoryLost when the store no longer has them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*apiv1.DirectoryBatch, error)
	// OperatorEntries reads what operators have written alone: the table of routes and the
	// evacuations. The batch claims no revision but that of the orders.
	OperatorEntries(ctx context.Context) (*apiv1.DirectoryBatch, error)
	// Members reads the entries of a zone's balancers alone, as they were some
	// seconds ago, the first ones only where they are many; the batch claims no
	// revision.
	Members(ctx context.Context, zone string) (*apiv1.DirectoryBatch, error)
	// WriteBalancers writes the entries of balancers, all or none of them, at
	// most replication.WriteLimit.
	WriteBalancers(ctx context.Context, entries []*apiv1.Balancer) error
	// WriteLeads writes the lists of the first balancers of zones, all or none of
	// them.
	WriteLeads(ctx context.Context, lists []*apiv1.ZoneLeads) error
	// RestorePolicy writes a policy that the store has lost, or removes it, if nobody has
	// written it since.
	RestorePolicy(ctx context.Context, lost directory.LostPolicy) error
	// RemoveBalancers removes entries of balancers, all or none of them, at most
	// replication.RemoveLimit. It fails when one of them was written since.
	RemoveBalancers(ctx context.Context, entries []BalancerRevision) error
}

// BalancerRevision is a balancer's entry and the store's revision of it.
type BalancerRevision struct {
	Balancer *apiv1.Balancer
	Revision uint64
}

// ErrHistoryLost is what Store.Changes returns when the store has forgotten the
// changes that were asked for.
var ErrHistoryLost = errors.New("the store no longer has these changes")

// Dependencies is what a balancer needs of the world that it runs in.
type Dependencies struct {
	Codec Codec
	Store Store
	// NewReadinessHandler makes the handler that tells routers whether to send packets.
	NewReadinessHandler func(ready func() bool) http.Handler
	// PeerListenAddress is the IP:port to listen at for other balancers if that is not the
	// peer address itself, as where addresses are translated; empty if it is.
	PeerListenAddress string
}

// Balancer is one running balancer.
type Balancer struct {
	settings     atomic.Pointer[apiv1.BalancerSettings]
	dependencies Dependencies
	logger       *slog.Logger
	// disabled are the mechanisms that are switched off.
	disabled mechanism.Set
	started  time.Time
	bus      *events.Bus
	table    atomic.Pointer[tokenroute.Table]
	stopping atomic.Bool
	// withdrawn is set while this balancer can't carry its share, and asides counts how
	// often that began.
	withdrawn   atomic.Bool
	withdrawals atomic.Uint64
	// minAggregatePressure is when the store confirmed what is known, in nanoseconds
	// since the start; 0 is never.
	confirmedAt atomic.Int64
	// era is how often the store came back from a copy, as far as is known.
	era atomic.Uint64
	// unreadableEntries counts the entries of the store that could not be read.
	unreadableEntries atomic.Uint64
	storeCalls        storeCalls
	peerCalls         callCounts
	control           *control
	traffic           *traffic
	peerListener      net.Listener
	readinessListener net.Listener
}

// New opens the sockets of a balancer.
func New(settings *apiv1.BalancerSettings, outside Dependencies, logger *slog.Logger) (*Balancer, error) {
	off, err := mechanism.Parse(settings.GetWithout())
	if err != nil {
		return nil, errors.Wrap(err, "settings: without")
	}
	made := &Balancer{
		dependencies: outside,
		logger:       logger,
		disabled:     off,
		started:      time.Now(),
		bus:          events.NewBus(),
	}
	made.settings.Store(settings)
	if err := made.listen(); err != nil {
		return nil, err
	}
	made.control = newControl(made, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return made, nil
}

func (b *Balancer) listen() error {
	address, err := netip.ParseAddrPort(b.settings.Load().GetDataAddress())
	if err != nil {
		return errors.Wrap(err, "data address")
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "traffic: listen on %s", address)
	}
	b.traffic = newTraffic(b, socket)
	peers := cmp.Or(b.dependencies.PeerListenAddress, b.settings.Load().GetPeerAddress())
	b.peerListener, err = net.Listen("tcp4", peers)
	if err != nil {
		return errors.Wrapf(err, "peers: listen on %s", peers)
	}
	b.readinessListener, err = net.Listen("tcp4", b.settings.Load().GetReadinessAddress())
	return errors.Wrapf(err, "readiness: listen on %s", b.settings.Load().GetReadinessAddress())
}

// Ready tells whether the balancer takes new flows.
func (b *Balancer) Ready() bool {
	return b.table.Load() != nil && !b.stopping.Load() && !b.withdrawn.Load()
}

// Run serves until the context ends.
func (b *Balancer) Run(ctx context.Context) error {
	settings := b.settings.Load()
	b.logger.Info("Started.", "zone", settings.GetZone(), "data", settings.GetDataAddress(),
		"peers", settings.GetPeerAddress(), "store", settings.GetStoreAddress())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.traffic.run(ctx) })
	group.Go(func() error { return b.control.run(ctx) })
	group.Go(func() error { return replication.Serve(ctx, b.peerListener, b.control) })
	group.Go(func() error { return b.serveReadiness(ctx) })
	group.Go(func() error { return b.logStoreCalls(ctx) })
	group.Go(func() error { return b.serveMetrics(ctx) })
	return group.Wait()
}

const (
	// headerTimeout is how long a question to the readiness or metrics server may
	// take to arrive, and writeTimeout how long its answer to leave.
	headerTimeout = 5 * time.Second
	writeTimeout  = 10 * time.Second
	// idleTimeout is for how long the connection of one that asks may rest. Routers
	// ask each half second and collectors of metrics each minute at most; one that
	// has gone silent must not stay for good.
	idleTimeout = 90 * time.Second
)

// newServer makes a server whose connections are given up when they fall silent.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout}
}

func (b *Balancer) serveReadiness(ctx context.Context) error {
	server := newServer(b.dependencies.NewReadinessHandler(b.Ready))
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.Serve(b.readinessListener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "readiness: serve")
}

const (
	// stopQuietPeriod is how long no packet must have come before a planned stop
	// ends.
	stopQuietPeriod = 600 * time.Millisecond
	// stopWaitShare is the part of the time for a stop after which it ends in any
	// case; what remains is for the end itself.
	stopWaitShare = 0.4
)

// Stop tells the routers to send elsewhere and returns when they do, or when
// the limit of the settings has passed. Packets are forwarded meanwhile.
func (b *Balancer) Stop(ctx context.Context) {
	b.logger.Info("Stopping as planned.")
	b.stopping.Store(true)
	began := time.Now()
	limit := seconds(stopWaitShare * b.settings.Load().GetStopSeconds())
	ticker := time.NewTicker(stopQuietPeriod / 4)
	defer ticker.Stop()
	for time.Since(began) < limit {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(began) >= 2*stopQuietPeriod && b.traffic.idle() >= stopQuietPeriod {
			break
		}
	}
	b.logger.Info("Stopped.", "after", time.Since(began).Round(time.Millisecond), "idle", b.traffic.idle().Round(time.Millisecond))
}
