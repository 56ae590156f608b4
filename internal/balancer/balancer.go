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
	// Forward appends to output the datagram that carries a packet to a back end.
	Forward(output, datagram []byte, backend *tokenroute.Backend) []byte
	// Refuse appends to output the packet that refuses a new flow.
	Refuse(output []byte, packet tokenroute.Packet) []byte
	// ClientAddress returns the address to which packets for the sender of a packet go.
	ClientAddress(packet tokenroute.Packet) netip.AddrPort
	// RequestID returns the ID of the request that a packet starts, as a slice of the
	// datagram, or nil.
	RequestID(datagram []byte) []byte
}

// Store reads and writes the key-value store that holds the entries of operators, back
// ends and balancers.
type Store interface {
	// Snapshot reads entries, at most the given number of pages. The batch is marked
	// complete when those pages were all.
	Snapshot(ctx context.Context, pageLimit int) (*apiv1.DirectoryBatch, error)
	// StaleSnapshot reads all entries as they were some seconds ago, which costs the store
	// less. It does not confirm that the entries are current.
	StaleSnapshot(ctx context.Context) (*apiv1.DirectoryBatch, error)
	// Changes waits for the changes after a revision. It returns ErrHistoryLost when the
	// store no longer has them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (*apiv1.DirectoryBatch, error)
	// OperatorEntries reads only what operators have written: the route table and the
	// evacuation orders. The batch carries no revision but that of the orders.
	OperatorEntries(ctx context.Context) (*apiv1.DirectoryBatch, error)
	// Members reads only the entries of a zone's balancers, as they were some seconds ago,
	// and only the first ones where there are many. The batch carries no revision.
	Members(ctx context.Context, zone string) (*apiv1.DirectoryBatch, error)
	// Ping finds out whether the store serves this balancer, at the cost of a stale read
	// of a few bytes. It returns no error when the store does.
	Ping(ctx context.Context) error
	// WriteBalancers writes the entries of balancers, all or none of them, at most
	// replication.WriteLimit at a time.
	WriteBalancers(ctx context.Context, entries []*apiv1.Balancer) error
	// WriteLeads writes the lists of the first balancers of zones, all or none of them.
	WriteLeads(ctx context.Context, lists []*apiv1.ZoneLeads) error
	// RestorePolicy writes a policy that the store has lost, or removes it, unless
	// somebody has written it since.
	RestorePolicy(ctx context.Context, lost directory.LostPolicy) error
	// RemoveBalancers removes entries of balancers, all or none of them, at most
	// replication.RemoveLimit at a time. It fails when one of them has been written since.
	RemoveBalancers(ctx context.Context, entries []BalancerRevision) error
}

// BalancerRevision holds a balancer's entry and the store's revision of it.
type BalancerRevision struct {
	Balancer *apiv1.Balancer
	Revision uint64
}

// ErrHistoryLost is returned by Store.Changes when the store no longer has the requested
// changes.
var ErrHistoryLost = errors.New("the store no longer has these changes")

// Dependencies holds the platform-specific parts that a balancer needs.
type Dependencies struct {
	Codec Codec
	Store Store
	// NewReadinessHandler returns the handler that tells routers whether to send packets.
	NewReadinessHandler func(ready func() bool) http.Handler
	// PeerListenAddress is the IP:port on which to listen for other balancers if it
	// differs from the peer address, for example behind address translation. It is empty
	// if the two are the same.
	PeerListenAddress string
}

// Balancer is one running balancer.
type Balancer struct {
	settings     atomic.Pointer[apiv1.BalancerSettings]
	dependencies Dependencies
	logger       *slog.Logger
	// disabled holds the mechanisms that are switched off.
	disabled mechanism.Set
	started  time.Time
	bus      *events.Bus
	table    atomic.Pointer[tokenroute.Table]
	stopping atomic.Bool
	// withdrawn is set while this balancer reports not ready because it cannot carry its
	// share, and withdrawals counts how often that state began.
	withdrawn   atomic.Bool
	withdrawals atomic.Uint64
	// confirmedAt is when the store last confirmed the directory, in nanoseconds since
	// started; 0 means never.
	confirmedAt atomic.Int64
	// era counts how often the store was restored from a backup, as far as this balancer
	// knows.
	era atomic.Uint64
	// unreadableEntries counts the entries of the store that could not be decoded.
	unreadableEntries atomic.Uint64
	storeCalls        storeCalls
	peerCalls         callCounts
	control           *control
	traffic           *traffic
	peerListener      net.Listener
	readinessListener net.Listener
}

// New returns a balancer whose sockets are open. Run starts it.
func New(settings *apiv1.BalancerSettings, dependencies Dependencies, logger *slog.Logger) (*Balancer, error) {
	disabled, err := mechanism.Parse(settings.GetWithout())
	if err != nil {
		return nil, errors.Wrap(err, "settings: without")
	}
	balancer := &Balancer{
		dependencies: dependencies,
		logger:       logger,
		disabled:     disabled,
		started:      time.Now(),
		bus:          events.NewBus(),
	}
	balancer.settings.Store(settings)
	if err := balancer.listen(); err != nil {
		return nil, err
	}
	balancer.control = newControl(balancer, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return balancer, nil
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

// Ready reports whether the balancer accepts new flows.
func (b *Balancer) Ready() bool {
	return b.table.Load() != nil && !b.stopping.Load() && !b.withdrawn.Load()
}

// Run serves until ctx is done.
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
	// headerTimeout bounds the arrival of a request to the readiness or metrics server,
	// and writeTimeout the sending of its response.
	headerTimeout = 5 * time.Second
	writeTimeout  = 10 * time.Second
	// idleTimeout bounds how long a connection to the readiness or metrics server may be
	// idle. Routers ask every half second and metrics collectors at least once a minute; a
	// connection whose client has gone silent must not stay open forever.
	idleTimeout = 90 * time.Second
)

// newServer returns a server that closes connections that fall silent.
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
	// stopQuietPeriod is how long no packet must have arrived before a planned stop ends.
	stopQuietPeriod = 600 * time.Millisecond
	// stopWaitFraction is the fraction of the time allowed for a stop after which the wait ends
	// in any case. The rest is for the shutdown itself.
	stopWaitFraction = 0.4
)

// Stop tells the routers to send packets elsewhere and returns when they do, or when the
// time limit of the settings has passed. Packets are still forwarded meanwhile.
func (b *Balancer) Stop(ctx context.Context) {
	b.logger.Info("Stopping as planned.")
	b.stopping.Store(true)
	began := time.Now()
	limit := seconds(stopWaitFraction * b.settings.Load().GetStopSeconds())
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
