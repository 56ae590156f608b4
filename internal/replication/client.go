package replication

import (
	"context"
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
)

// Handler handles the calls of other balancers.
type Handler interface {
	Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error)
	Testify(ctx context.Context, request *apiv1.TestifyRequest) (*apiv1.TestifyReply, error)
}

// Serve handles calls on a listener until the context is done.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	if err := apiv1.DRPCRegisterDirectory(mux, handler); err != nil {
		return errors.Wrap(err, "peers: register")
	}
	err := drpcserver.New(mux).Serve(ctx, idleTimeoutListener{listener})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peers: serve")
}

// These are the limits of a call. A connection that has gone silent is closed after the
// time that the call waits plus the time for a reply, 1.5 s. Updates arrive over a new
// connection within 2 s, which leaves one second of the shortest time allowed for
// changes.
const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 300 * time.Millisecond
	// startupDialTimeout bounds the first attempt to connect by a balancer that has no
	// data: its clients wait meanwhile, and a host without power sends no reply. With
	// it, the last of startupStandbys detects within half of parentOnlyPeriod, with a
	// fifth of that to spare, that the two balancers above it have no power. The other
	// half is for reading the store and sending the data.
	startupDialTimeout = 80 * time.Millisecond
	// replyTimeout is the time that a call may take beyond the time that it asks the
	// peer to wait.
	replyTimeout = 500 * time.Millisecond
	// FollowWait is how long a call waits at a peer for updates. While the store
	// answers, there are updates about twice a second, so calls reach this limit only
	// during store outages.
	FollowWait = time.Second
)

// Client calls one other balancer at a time and keeps the connection open between
// calls.
type Client struct {
	logger *slog.Logger
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	mutex       sync.Mutex
	address     string
	connection  *drpcconn.Conn
	// hasReplied is set once a call on the connection has received a reply.
	hasReplied bool
	// SilentConnections counts the connections that were closed because they went
	// silent.
	SilentConnections atomic.Uint64
}

// NewClient returns a client that is not connected yet.
func NewClient(logger *slog.Logger) *Client { return &Client{logger: logger, DialTimeout: dialTimeout} }

// Follow calls the balancer at an address. A call that fails or takes too long closes
// the connection. If a call times out on a connection over which replies have arrived
// before, it is made once more on a new connection, without waiting for updates; a
// repetition is harmless, since the request describes the state of this balancer.
// Follow returns the time at which the call that was answered was sent: measured from
// the first of the two calls, the data would seem 1.5 s older, and the peer stale.
func (c *Client) Follow(ctx context.Context, address string, given *apiv1.FollowRequest) (reply *apiv1.FollowReply, sentAt time.Time, err error) {
	request := proto.CloneOf(given)
	request.TakesPacked, request.TakesPages = true, true
	call := func(ctx context.Context, directory apiv1.DRPCDirectoryClient) (err error) {
		sentAt = time.Now()
		if reply, err = directory.Follow(ctx, request); err != nil {
			return err
		}
		return Unpack(reply.GetBatch())
	}
	wait := time.Duration(request.GetWaitMilliseconds()) * time.Millisecond
	silent, err := c.attempt(ctx, address, wait+replyTimeout, call)
	if silent {
		request.WaitMilliseconds = 0
		err = c.retry(ctx, address, call)
	}
	if err == nil {
		err = c.fetchPages(ctx, address, reply)
	}
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(err, "peer %s: follow", address)
	}
	return reply, sentAt, nil
}

// Testify reports to the balancer at an address what was observed of back ends. A
// repeated report adds nothing new, so a call that times out is made once more, as in
// Follow.
func (c *Client) Testify(ctx context.Context, address string, request *apiv1.TestifyRequest) error {
	call := func(ctx context.Context, directory apiv1.DRPCDirectoryClient) error {
		_, err := directory.Testify(ctx, request)
		return err
	}
	silent, err := c.attempt(ctx, address, replyTimeout, call)
	if silent {
		err = c.retry(ctx, address, call)
	}
	return errors.Wrapf(err, "peer %s: testify", address)
}

// retry makes the second of two calls on a new connection. The dial and the reply
// together take at most replyTimeout, so that updates arrive within 2 s even if the
// dial is slow.
func (c *Client) retry(ctx context.Context, address string, call func(context.Context, apiv1.DRPCDirectoryClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	_, err := c.attempt(ctx, address, replyTimeout, call)
	return err
}

// attempt makes a call once, within a time limit, and closes the connection if the call
// fails. It reports whether the connection may have gone silent: earlier calls on it
// received replies, and this one timed out.
func (c *Client) attempt(ctx context.Context, address string, limit time.Duration,
	call func(context.Context, apiv1.DRPCDirectoryClient) error) (silent bool, err error) {
	connection, used, err := c.connect(ctx, address)
	if err != nil {
		return false, err
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = call(bounded, apiv1.NewDRPCDirectoryClient(connection))
	if err == nil {
		c.markReplied()
		return false, nil
	}
	c.Close()
	silent = used && ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded)
	if silent {
		c.SilentConnections.Add(1)
		c.logger.Info("Peers: connection is silent, a new one is tried.", "peer", address, "after", limit)
	}
	return silent, err
}

// connect returns the connection to a balancer, and whether a reply has arrived over it
// before.
func (c *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connection != nil && c.address == address && !isClosed(c.connection) {
		return c.connection, c.hasReplied, nil
	}
	c.closeLocked()
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, false, errors.Wrapf(err, "peer %s: dial", address)
	}
	c.address, c.connection, c.hasReplied = address, drpcconn.New(socket), false
	return c.connection, false, nil
}

// isClosed reports whether the other side has closed a connection.
func isClosed(connection *drpcconn.Conn) bool {
	select {
	case <-connection.Closed():
		return true
	default:
		return false
	}
}

func (c *Client) markReplied() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hasReplied = true
}

// Close closes the connection. The next call opens a new one.
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
		c.logger.Debug("Peers: connection did not close cleanly.", "peer", c.address, "error", err)
	}
	c.connection = nil
}
