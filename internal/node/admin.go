package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admin"
	"github.com/indigobarrow/indigobarrow/internal/certificate"
	"github.com/indigobarrow/indigobarrow/internal/change"
	"github.com/indigobarrow/indigobarrow/internal/core"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

const adminHeaderTimeout = 5 * time.Second

// serveAdmin serves the administration API and the metrics until the context is
// canceled.
func (node *Node) serveAdmin(ctx context.Context) error {
	listener, err := net.Listen("tcp4", node.settings.GetAdminAddress())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", node.settings.GetAdminAddress())
	}
	if node.settings.GetAdminCertificate() != "" {
		pair, err := certificate.LoadPair(node.settings.GetAdminCertificate(), node.settings.GetAdminKey())
		if err != nil {
			return err
		}
		listener = tls.NewListener(listener, pair.ServerConfig(nil))
	}
	api := admin.New(node, node.logger.With("part", "admin"), node.settings.GetAdminTokenSha256())
	server := &http.Server{Handler: api.Handler(node.metricsHandler()), ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// Configuration implements admin.Node. It returns the newest configuration that
// this node has.
func (node *Node) Configuration(ctx context.Context) (*apiv1.Configuration, error) {
	var newest *apiv1.Configuration
	err := node.query(ctx, func(control *core.Core) { newest = control.Configuration() })
	return newest, err
}

// Ready implements admin.Node. It reports whether the node has contact with its
// group.
func (node *Node) Ready() bool { return node.ready.Load() }

// SetLogLevel implements admin.Node. It sets the log level of the node.
func (node *Node) SetLogLevel(level string) error {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return errors.Wrapf(err, "log level %q", level)
	}
	node.level.Set(parsed)
	return nil
}

// RecentFlows implements admin.Node. It returns the most recent decisions.
func (node *Node) RecentFlows(count int) *apiv1.RecentFlows {
	return &apiv1.RecentFlows{Node: node.self.GetId(), Flows: node.decisionLog.RecentFlows(count)}
}

// Explain implements admin.Node. It explains the decisions on a flow, and adds
// the entry of the node's flow table.
func (node *Node) Explain(_ context.Context, key flow.Key) (*apiv1.Explanation, error) {
	explanation := node.decisionLog.Explain(node.self.GetId(), key)
	if entry, found := node.table.Get(key, key.Hash()); found {
		idle := time.Duration(node.now()-entry.LastSeen) * time.Millisecond
		explanation.Note += fmt.Sprintf("; this node's flow table has it at back end #%d, last seen %s ago", entry.Backend, idle)
	}
	return explanation, nil
}

// Change implements admin.Node. It applies a change to the configuration in the
// store.
func (node *Node) Change(ctx context.Context, request *apiv1.ChangeRequest) (*apiv1.ChangeAnswer, error) {
	writer := &change.Writer{
		Store:  node.store,
		Key:    ConfigurationKey(node.settings.GetGroup()),
		Logger: node.logger.With("part", "admin"),
	}
	answer, written, err := writer.Apply(ctx, request, node.changeEnvironment(ctx))
	if errors.Is(err, change.ErrStoreRead) {
		return node.changeWithoutStore(ctx, request, err)
	}
	if err != nil {
		return nil, err
	}
	if written != nil {
		err = node.bus.Publish(events.Event{Kind: events.KindConfiguration, Body: written})
	}
	return answer, err
}

// changeWithoutStore handles a change while the store is unavailable. It marks a
// back end that is to be drained as leaving, which takes effect at once; it rejects
// all other changes.
func (node *Node) changeWithoutStore(ctx context.Context, request *apiv1.ChangeRequest, cause error) (*apiv1.ChangeAnswer, error) {
	configuration, err := node.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	drain := request.GetDrain()
	backend := change.FindBackend(change.FindService(configuration, drain.GetService()), drain.GetBackend())
	if !drain.GetLeaving() || backend == nil {
		return nil, change.NewProblem(change.CodeUnavailable, "", "", "the store does not answer: "+cause.Error(),
			"nothing was changed; repeat it when the store is back")
	}
	mark := &apiv1.LeavingMark{Backend: backend.GetId(), Reason: "drained by " + request.GetAuthor() + " during a store outage"}
	if err := node.bus.Publish(events.Event{Kind: events.KindLeavingMark, Body: mark}); err != nil {
		return nil, err
	}
	return &apiv1.ChangeAnswer{MarkedOnly: true,
		Message: "the store is out; the back end gets no new flows from now on, repeat the drain when the store is back"}, nil
}

// changeEnvironment returns the state besides the configuration that a change
// depends on.
func (node *Node) changeEnvironment(ctx context.Context) change.Environment {
	environment := change.Environment{
		Now:              time.Now(),
		MarkIncarnations: make(map[uint32]uint64),
		CheckPolicy:      policy.Check,
	}
	_ = node.query(ctx, func(control *core.Core) {
		environment.SettledRevision = control.SettledRevision()
		environment.WaitingFor = control.WaitingFor()
		for _, mark := range control.LeavingMarks() {
			environment.MarkIncarnations[mark.GetBackend()] = mark.GetIncarnation()
		}
	})
	return environment
}

// flowsByBackend returns the number of open flows in the table by back end.
func (node *Node) flowsByBackend() map[uint32]uint64 {
	counts := make(map[uint32]uint64)
	for shard := range flowtable.ShardCount {
		node.table.Visit(shard, func(_ flow.Key, entry flowtable.Entry) bool {
			if entry.Flags&flowtable.FlagClosed == 0 {
				counts[entry.Backend]++
			}
			return true
		})
	}
	return counts
}

// Status implements admin.Node. It returns the status of the node and of its
// control state.
func (node *Node) Status(ctx context.Context) (*apiv1.NodeStatus, error) {
	status := &apiv1.NodeStatus{
		Id:             node.self.GetId(),
		Zone:           node.self.GetZone(),
		Group:          node.settings.GetGroup(),
		Flows:          uint64(node.table.Len()),
		StoreReachable: node.storeReachable.Load(),
		Packets:        node.plane.PathCounts(),
		ControlBytes:   node.transport.SentBytes(),
		FlowsByBackend: node.flowsByBackend(),
	}
	err := node.query(ctx, func(control *core.Core) {
		document := control.Document()
		status.DocumentVersion = document.GetVersion()
		status.SettledNumber = document.GetSettled().GetNumber()
		status.PendingNumber = document.GetPending().GetNumber()
		status.Phase = control.Phase().String()
		status.AcceptedRevision = control.Configuration().GetRevision()
		status.InForceRevision = control.InForceRevision()
		status.Peers = control.Peers()
		status.Marks = control.LeavingMarks()
		status.KeptRecords = uint64(control.RecordCount())
		status.Contact = control.Contact()
		status.WaitingFor = control.WaitingFor()
	})
	return status, err
}
