// Package transport carries messages between the nodes of a group over drpc.
//
// Listen opens the listener of a node, Run serves it, Send queues a message for
// a peer and Inbox delivers the received messages. Each node keeps one outgoing
// stream to each peer that it has messages for; the stream is opened on demand
// and reopened after an error. Messages may be lost, and the control state
// tolerates that. Queues are bounded; a full outgoing queue drops its oldest
// message.
package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/certificate"
)

const (
	queueLimit  = 512
	inboxLimit  = 4096
	dialTimeout = time.Second
	redialDelay = 100 * time.Millisecond
	idleTimeout = time.Minute
	// frameOverhead is the approximate number of bytes that drpc and TCP add to a
	// message.
	frameOverhead = 24
)

// Transport holds the peer listener of one node and its streams to the peers.
type Transport struct {
	listener  net.Listener
	mutualTLS *MutualTLS
	logger    *slog.Logger
	inbox     chan *apiv1.Envelope
	mutex     sync.Mutex
	links     map[string]*link
	// dropped counts messages dropped at full queues and messages that were still
	// queued when a stream failed. It does not count the message whose sending
	// failed.
	dropped   atomic.Uint64
	sentBytes sync.Map
}

// MutualTLS holds the key pair of a node and the authorities that its peers'
// certificates must be signed by. A nil *MutualTLS means plain connections.
type MutualTLS struct {
	Pair        *certificate.Pair
	Authorities *x509.CertPool
}

// Listen opens the peer listener on an address. Without mutualTLS, connections
// are plain TCP.
func Listen(address string, logger *slog.Logger, mutualTLS *MutualTLS) (*Transport, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peers: listen on %s", address)
	}
	if mutualTLS != nil {
		listener = tls.NewListener(listener, mutualTLS.Pair.ServerConfig(mutualTLS.Authorities))
	}
	return &Transport{
		listener:  listener,
		mutualTLS: mutualTLS,
		logger:    logger,
		inbox:     make(chan *apiv1.Envelope, inboxLimit),
		links:     make(map[string]*link),
	}, nil
}

// Inbox returns the channel of received messages.
func (transport *Transport) Inbox() <-chan *apiv1.Envelope { return transport.inbox }

// Run accepts the streams of peers until the context is canceled.
func (transport *Transport) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := apiv1.DRPCRegisterPeer(mux, &receiver{transport: transport}); err != nil {
		return errors.Wrap(err, "peers: register")
	}
	err := drpcserver.New(mux).Serve(ctx, transport.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peers: serve")
}

// receiver implements the server side of the Exchange RPC.
type receiver struct {
	transport *Transport
}

// Exchange receives the messages of one peer. A message that finds the inbox
// full is dropped.
func (receiver *receiver) Exchange(stream apiv1.DRPCPeer_ExchangeStream) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case receiver.transport.inbox <- envelope:
		default:
			receiver.transport.dropped.Add(1)
		}
	}
}

// Send queues a message for the peer at an address. It does not block: if the
// queue is full, the oldest message is dropped.
func (transport *Transport) Send(ctx context.Context, address string, envelope *apiv1.Envelope) {
	transport.countSent(envelope)
	transport.mutex.Lock()
	found := transport.links[address]
	if found == nil {
		found = &link{address: address, queue: make(chan *apiv1.Envelope, queueLimit)}
		transport.links[address] = found
		go transport.runLink(ctx, found)
	}
	transport.mutex.Unlock()
	for {
		select {
		case found.queue <- envelope:
			return
		default:
		}
		select {
		case <-found.queue:
			transport.dropped.Add(1)
		default:
		}
	}
}

func (transport *Transport) countSent(envelope *apiv1.Envelope) {
	kind := "none"
	reflected := envelope.ProtoReflect()
	if field := reflected.WhichOneof(reflected.Descriptor().Oneofs().Get(0)); field != nil {
		kind = string(field.Name())
	}
	counter, _ := transport.sentBytes.LoadOrStore(kind, new(atomic.Uint64))
	counter.(*atomic.Uint64).Add(uint64(proto.Size(envelope) + frameOverhead))
}

// SentBytes returns the number of bytes passed to Send, by message kind.
func (transport *Transport) SentBytes() map[string]uint64 {
	counts := make(map[string]uint64)
	transport.sentBytes.Range(func(kind, counter any) bool {
		counts[kind.(string)] = counter.(*atomic.Uint64).Load()
		return true
	})
	return counts
}

// Dropped returns the number of messages that were dropped at full queues, or that
// were still queued when a stream failed.
func (transport *Transport) Dropped() uint64 { return transport.dropped.Load() }

// link is the outgoing stream to one peer with its queue.
type link struct {
	address string
	queue   chan *apiv1.Envelope
}

// runLink sends the messages of a link and reconnects after an error. It returns
// when the link has been idle for idleTimeout or the context is canceled.
func (transport *Transport) runLink(ctx context.Context, link *link) {
	for ctx.Err() == nil {
		err := transport.sendQueued(ctx, link)
		if err == nil {
			return
		}
		transport.logger.Debug("Peers: stream ended.", "peer", link.address, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
		transport.dropQueued(link)
	}
}

// dropQueued discards the queued messages after a stream could not be opened or
// failed. By the time the peer is reachable, newer messages supersede them.
func (transport *Transport) dropQueued(link *link) {
	for {
		select {
		case <-link.queue:
			transport.dropped.Add(1)
		default:
			return
		}
	}
}

// sendQueued waits for the first message, opens a stream and sends messages until
// the link is idle or an error occurs.
func (transport *Transport) sendQueued(ctx context.Context, link *link) error {
	first, open := transport.nextMessage(ctx, link)
	if !open {
		return nil
	}
	socket, err := transport.dial(ctx, link.address)
	if err != nil {
		return errors.Wrapf(err, "peer %s: dial", link.address)
	}
	connection := drpcconn.New(socket)
	defer func() { _ = connection.Close() }()
	stream, err := apiv1.NewDRPCPeerClient(connection).Exchange(ctx)
	if err != nil {
		return errors.Wrapf(err, "peer %s: open stream", link.address)
	}
	for envelope := first; ; {
		if err := stream.Send(envelope); err != nil {
			return errors.Wrapf(err, "peer %s: send", link.address)
		}
		if envelope, open = transport.nextMessage(ctx, link); !open {
			return nil
		}
	}
}

func (transport *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if transport.mutualTLS == nil {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	secure := tls.Dialer{NetDialer: dialer, Config: transport.mutualTLS.Pair.ClientConfig(transport.mutualTLS.Authorities, host)}
	return secure.DialContext(ctx, "tcp4", address)
}

// nextMessage waits for a message. It returns false when the context is canceled,
// or when the link has been idle for idleTimeout and has been removed.
func (transport *Transport) nextMessage(ctx context.Context, link *link) (*apiv1.Envelope, bool) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	select {
	case envelope := <-link.queue:
		return envelope, true
	case <-ctx.Done():
		return nil, false
	case <-idle.C:
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	select {
	case envelope := <-link.queue:
		return envelope, true
	default:
		delete(transport.links, link.address)
		return nil, false
	}
}
