package replication

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Handler answers the calls of other balancers.
type Handler interface {
	Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error)
}

// Serve answers calls on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := apiv1.DRPCRegisterDirectory(mux, handler); err != nil {
		return errors.Wrap(err, "peers: register")
	}
	err := drpcserver.New(mux).Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peers: serve")
}

// The limits of a call.
const (
	dialTimeout = 300 * time.Millisecond
	// answerTimeout is what a call may take beyond the time it asks to wait.
	answerTimeout = 500 * time.Millisecond
)

// Client calls one other balancer at a time and keeps the connection to it.
type Client struct {
	logger     *slog.Logger
	mutex      sync.Mutex
	address    string
	connection *drpcconn.Conn
}

// NewClient makes a client without a connection.
func NewClient(logger *slog.Logger) *Client { return &Client{logger: logger} }

// Follow calls the balancer at an address. A call that fails or takes too long
// closes the connection.
func (client *Client) Follow(ctx context.Context, address string, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	connection, err := client.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(request.GetWaitMilliseconds()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	request.TakesPacked = true
	reply, err := apiv1.NewDRPCDirectoryClient(connection).Follow(ctx, request)
	if err == nil {
		err = Unpack(reply.GetBatch())
	}
	if err != nil {
		client.Close()
		return nil, errors.Wrapf(err, "peer %s: follow", address)
	}
	return reply, nil
}

func (client *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.connection != nil && client.address == address {
		return client.connection, nil
	}
	client.closeLocked()
	dialer := &net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s: dial", address)
	}
	client.address, client.connection = address, drpcconn.New(socket)
	return client.connection, nil
}

// Close closes the connection; the next call opens one.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.closeLocked()
}

func (client *Client) closeLocked() {
	if client.connection == nil {
		return
	}
	if err := client.connection.Close(); err != nil {
		client.logger.Debug("Connection did not close cleanly.", "peer", client.address, "error", err)
	}
	client.connection = nil
}
