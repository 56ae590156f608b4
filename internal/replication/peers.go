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
	err := drpcserver.New(mux).Serve(ctx, idleTimeoutListener{listener})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "peers: serve")
}

// The limits of a call. A connection that has gone silent is given up after what the
// call waits and the time for an answer, 1.5 s, and news comes on a new one within
// 2 s, which leaves a second of the least time for changes.
const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 300 * time.Millisecond
	// startupDialTimeout bounds the first try of it by a balancer that knows nothing: its
	// clients wait meanwhile, and a machine without power says nothing. The last of
	// startupStandbys so finds the two above it without power within half of parentOnlyPeriod,
	// with a fifth of that to spare; the other half is for reading and telling.
	startupDialTimeout = 80 * time.Millisecond
	// replyTimeout is what a call may take beyond the time it asks to wait.
	replyTimeout = 500 * time.Millisecond
	// FollowWait is how long a call to a peer waits for news. While the store
	// answers there is some twice a second, so the wait ends calls in its outages
	// only.
	FollowWait = time.Second
)

// Client calls one other balancer at a time and keeps the connection to it.
type Client struct {
	logger *slog.Logger
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	mutex       sync.Mutex
	address     string
	connection  *drpcconn.Conn
	// hasReplied is set once the connection has brought an answer.
	hasReplied bool
	// SilentConnections counts connections that went silent.
	SilentConnections atomic.Uint64
}

// NewClient makes a client without a connection.
func NewClient(logger *slog.Logger) *Client { return &Client{logger: logger, DialTimeout: dialTimeout} }

// Follow calls the balancer at an address. A call that fails or takes too long
// closes the connection. One that took too long on a connection that had brought
// answers before is made once more on a new one, without a wait: what it tells is
// the state of this balancer, and may be told twice. It returns when the call left
// that was answered: from the first of the two, the answer's age seemed 1.5 s more,
// and its balancer stale.
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

// Testify tells the balancer at an address what was seen of back ends. Statements
// that were told before are not new to it, so a call whose answer never came is
// made once more, as with Follow.
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

// retry makes the second of two calls, whose connection is new: dial and answer
// together take replyTimeout, so that news comes within 2 s also where the dial is
// slow.
func (c *Client) retry(ctx context.Context, address string, call func(context.Context, apiv1.DRPCDirectoryClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	_, err := c.attempt(ctx, address, replyTimeout, call)
	return err
}

// attempt makes a call once, within a limit, and closes the connection if it fails. It
// tells whether the connection may have gone silent: it had brought answers before,
// and now none in time.
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

// connect returns the connection to a balancer, and whether it brought an answer
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

// isClosed tells whether the other side has closed a connection meanwhile.
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
