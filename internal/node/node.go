// Package node implements one balancer node. It connects the data path, the
// control state, the peers, the store and the administration API.
//
// New opens the sockets of a node and Run serves until its context is canceled.
// For a planned stop, call Stop before canceling that context.
package node

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/certificate"
	"github.com/indigobarrow/indigobarrow/internal/core"
	"github.com/indigobarrow/indigobarrow/internal/dataplane"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/explain"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/store"
	"github.com/indigobarrow/indigobarrow/internal/transport"
)

// Node is one balancer node.
type Node struct {
	settings    *apiv1.NodeSettings
	logger      *slog.Logger
	level       *slog.LevelVar
	started     time.Time
	self        *apiv1.Member
	table       *flowtable.Table
	plane       *dataplane.Plane
	transport   *transport.Transport
	core        *core.Core
	bus         *events.Bus
	store       *store.Client
	decisionLog *explain.DecisionLog
	queries     chan func(*core.Core)
	facts       *facts

	// storeReachable, watchRank and ready are shared between goroutines.
	storeReachable atomic.Bool
	// storeFailing is set while calls to the store fail.
	storeFailing atomic.Bool
	watchRank    atomic.Int32
	ready        atomic.Bool
	// handoverDone is closed when the flows are recorded elsewhere, so that the
	// node can stop.
	handoverDone chan struct{}
}

// New returns a node with its data and peer sockets open.
func New(settings *apiv1.NodeSettings, logger *slog.Logger, level *slog.LevelVar) (*Node, error) {
	started := time.Now()
	created := &Node{
		settings:     settings,
		logger:       logger,
		level:        level,
		started:      started,
		table:        flowtable.New(int(settings.GetFlowCapacity())),
		bus:          events.NewBus(),
		store:        store.NewClient(settings.GetStoreAddress()),
		decisionLog:  explain.New(int(settings.GetExplainRecords()), started),
		queries:      make(chan func(*core.Core)),
		handoverDone: make(chan struct{}),
		facts:        newFacts(),
	}
	created.self = &apiv1.Member{
		Id:           settings.GetId(),
		Zone:         settings.GetZone(),
		PeerAddress:  settings.GetPeerAddress(),
		AdminAddress: settings.GetAdminAddress(),
		Incarnation:  uint64(started.UnixMilli()),
	}
	return created, created.open()
}

// open opens the data and peer sockets and creates the control state.
func (node *Node) open() error {
	var err error
	node.plane, err = dataplane.Listen(dataplane.Settings{
		Address:  node.settings.GetDataAddress(),
		Router:   router.New(node.table),
		Clock:    node.now,
		Logger:   node.logger.With("part", "dataplane"),
		Observer: node.decisionLog,
	})
	if err != nil {
		return err
	}
	mutualTLS, err := peerTLS(node.settings)
	if err != nil {
		return err
	}
	node.transport, err = transport.Listen(node.settings.GetPeerAddress(), node.logger.With("part", "transport"), mutualTLS)
	if err != nil {
		return err
	}
	node.core, err = core.New(CoreConfig(node.settings), node.self, node.table)
	return errors.Wrap(err, "settings")
}

// peerTLS loads the key pair and the authorities for mutual TLS between nodes. It
// returns nil if the settings name no certificate.
func peerTLS(settings *apiv1.NodeSettings) (*transport.MutualTLS, error) {
	if settings.GetPeerCertificate() == "" {
		return nil, nil
	}
	pair, err := certificate.LoadPair(settings.GetPeerCertificate(), settings.GetPeerKey())
	if err != nil {
		return nil, err
	}
	authorities, err := certificate.LoadAuthorities(settings.GetPeerAuthority())
	return &transport.MutualTLS{Pair: pair, Authorities: authorities}, err
}

// CoreConfig returns the configuration of the control state that the settings
// imply.
func CoreConfig(settings *apiv1.NodeSettings) core.Config {
	config := core.DefaultConfig()
	config.HeartbeatInterval = time.Duration(settings.GetHeartbeatMilliseconds()) * time.Millisecond
	config.FencingTime = time.Duration(settings.GetFencingMilliseconds()) * time.Millisecond
	config.FencingMargin = config.FencingTime / 4
	config.RecordBytesPerSecond = int(settings.GetControlBytesPerSecond())
	config.RecordIdleTime = time.Duration(settings.GetFlowIdleSeconds()) * time.Second
	config.ServeIsolated = !settings.GetRefuseIsolated()
	return config
}

// now returns the time in milliseconds since the node started.
func (node *Node) now() uint32 { return uint32(time.Since(node.started) / time.Millisecond) }

// Run serves until the context is canceled. For a planned stop, call Stop before
// canceling the context.
func (node *Node) Run(ctx context.Context) error {
	messages, err := node.bus.Subscribe(ctx)
	if err != nil {
		return err
	}
	node.addSeedPeers()
	failures := make(chan error, 8)
	start := func(step string, run func(context.Context) error) {
		go func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				failures <- errors.Wrap(err, step)
			}
		}()
	}
	start("data path", node.plane.Run)
	start("peers", node.transport.Run)
	start("admin", node.serveAdmin)
	start("watch document", node.watchDocument)
	start("watch configuration", node.watchConfiguration)
	start("watch group liveness", node.watchGroupLiveness)
	start("machines", node.pollMachines)
	start("reports", node.pollReports)
	start("expiry", node.expireFlows)
	node.logger.Info("Node: started.", "id", node.self.GetId(), "zone", node.self.GetZone(),
		"data", node.settings.GetDataAddress(), "admin", node.settings.GetAdminAddress())
	return node.runControl(ctx, messages, failures)
}

// Stop announces the planned stop of the node and waits until its flows are
// recorded elsewhere or the context is done. The caller then cancels the context
// of Run.
func (node *Node) Stop(ctx context.Context) {
	node.logger.Info("Node: planned stop announced.")
	if err := node.bus.Publish(events.Event{Kind: events.KindStop}); err != nil {
		node.logger.Warn("Node: planned stop not announced.", "error", err)
		return
	}
	select {
	case <-node.handoverDone:
		node.logger.Info("Node: flows handed over.")
	case <-ctx.Done():
		node.logger.Warn("Node: stop without handover of the flows.")
	}
}

// addSeedPeers adds the peers that the settings list as ID@address.
func (node *Node) addSeedPeers() {
	for _, seed := range node.settings.GetSeeds() {
		id, address, _ := strings.Cut(seed, "@")
		node.core.AddPeer(&apiv1.Member{Id: id, PeerAddress: address})
	}
}

const expiryInterval = 10 * time.Second

// closedRetention is the time for which a closed flow stays in the table, for late
// packets.
const closedRetention = 60 * time.Second

// expireFlows periodically removes idle and closed flows from the table.
func (node *Node) expireFlows(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		idle := uint32(node.settings.GetFlowIdleSeconds()) * 1000
		now := node.now()
		closed := uint32(closedRetention / time.Millisecond)
		node.table.Expire(now-min(now, idle), now-min(now, closed))
	}
}

// query runs a function on the control goroutine and waits until it returns.
func (node *Node) query(ctx context.Context, run func(*core.Core)) error {
	done := make(chan struct{})
	wrapped := func(control *core.Core) {
		defer close(done)
		run(control)
	}
	select {
	case node.queries <- wrapped:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control state: query")
	}
	<-done
	return nil
}
