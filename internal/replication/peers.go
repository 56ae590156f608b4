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
	Testify(ctx context.Context, request *apiv1.TestifyRequest) (*apiv1.TestifyReply, error)
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
	// dialTimeout bounds the making of a connection, and startDialTimeout that of a
	// balancer that knows nothing and has others to ask: its clients wait meanwhile, and
	// a machine without power says nothing. It is ten times the longest way between
	// regions.
	dialTimeout      = 300 * time.Millisecond
	startDialTimeout = 80 * time.Millisecond
	// answerTimeout is what a call may take beyond the time it asks to wait.
	answerTimeout = 500 * time.Millisecond
)

// Client calls one other balancer at a time and keeps the connection to it.
type Client struct {
	logger *slog.Logger
	// DialTime bounds the making of a connection.
	DialTime   time.Duration
	mutex      sync.Mutex
	address    string
	connection *drpcconn.Conn
}

// NewClient makes a client without a connection.
func NewClient(logger *slog.Logger) *Client { return &Client{logger: logger, DialTime: dialTimeout} }

// Follow calls the balancer at an address. A call that fails or takes too long
// closes the connection.
func (c *Client) Follow(ctx context.Context, address string, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	connection, err := c.connect(ctx, address)
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
		c.Close()
		return nil, errors.Wrapf(err, "peer %s: follow", address)
	}
	return reply, nil
}

// Testify tells the balancer at an address what was seen of back ends.
func (c *Client) Testify(ctx context.Context, address string, request *apiv1.TestifyRequest) error {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if _, err := apiv1.NewDRPCDirectoryClient(connection).Testify(ctx, request); err != nil {
		c.Close()
		return errors.Wrapf(err, "peer %s: testify", address)
	}
	return nil
}

func (c *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil && c.address == address {
		return c.connection, nil
	}
	c.closeLocked()
	dialer := &net.Dialer{Timeout: c.DialTime}
	socket, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s: dial", address)
	}
	c.address, c.connection = address, drpcconn.New(socket)
	return c.connection, nil
}

// Close closes the connection; the next call opens one.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeLocked()
}

func (c *Client) closeLocked() {
	if c.connection == nil {
		return
	}
	if err := c.connection.Close(); err != nil {
		c.logger.Debug("Connection did not close cleanly.", "peer", c.address, "error", err)
	}
	c.connection = nil
}
