package replication

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
)

// waitingHandler replies to a call after the time that the call asks to wait.
type waitingHandler struct {
	mutex    sync.Mutex
	calls    []*apiv1.FollowRequest
	canceled int
}

func (h *waitingHandler) Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	h.mutex.Lock()
	h.calls = append(h.calls, request)
	h.mutex.Unlock()
	select {
	case <-time.After(time.Duration(request.GetWaitMilliseconds()) * time.Millisecond):
		return &apiv1.FollowReply{Batch: &apiv1.DirectoryBatch{Revision: 7}}, nil
	case <-ctx.Done():
		h.mutex.Lock()
		h.canceled++
		h.mutex.Unlock()
		return nil, ctx.Err()
	}
}

func (h *waitingHandler) Testify(context.Context, *apiv1.TestifyRequest) (*apiv1.TestifyReply, error) {
	return &apiv1.TestifyReply{}, nil
}

func (h *waitingHandler) counts() (calls, gone int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.calls), h.canceled
}

// startProxiedPeer starts a balancer that handles calls, behind a proxy whose
// connections can go silent.
func startProxiedPeer(t *testing.T) (*waitingHandler, *faultproxy.Proxy) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	proxy, err := faultproxy.Start(listener.Addr().String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	handler := &waitingHandler{}
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, handler) }()
	t.Cleanup(func() {
		proxy.Close()
		cancel()
		require.NoError(t, <-done)
	})
	return handler, proxy
}

func newTestClient(t *testing.T) *Client {
	client := NewClient(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(client.Close)
	return client
}

// followFor makes a call that waits for the given time.
func followFor(client *Client, address string, wait time.Duration) (*apiv1.FollowReply, error) {
	reply, _, err := client.Follow(context.Background(), address, followRequest(wait))
	return reply, err
}

func followRequest(wait time.Duration) *apiv1.FollowRequest {
	return &apiv1.FollowRequest{WaitMilliseconds: uint32(wait.Milliseconds())}
}

// Guards against updates that are delayed by a silent connection: a connection that
// goes silent during a call that waits is closed after its wait and the time for a
// reply, and the same call returns the updates over a new connection.
func TestFollowRetriesOverNewConnection(t *testing.T) {
	handler, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	_, err := followFor(client, proxy.Address(), 0)
	require.NoError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient) })
	began := time.Now()
	reply, sentAt, err := client.Follow(context.Background(), proxy.Address(), followRequest(FollowWait))
	require.NoError(t, err)
	require.Equal(t, uint64(7), reply.GetBatch().GetRevision())
	require.Less(t, time.Since(began), FollowWait+2*replyTimeout, "updates arrive within 2 s")
	require.GreaterOrEqual(t, sentAt.Sub(began), FollowWait+replyTimeout, "sent time of the call that was answered")
	require.Equal(t, 2, proxy.Accepted())
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	require.Len(t, handler.calls, 3)
	require.EqualValues(t, FollowWait.Milliseconds(), handler.calls[1].GetWaitMilliseconds())
	require.Zero(t, handler.calls[2].GetWaitMilliseconds(), "the second call does not wait")
}

// Follow does not modify the caller's request, even if it makes a second call.
func TestFollowDoesNotModifyRequest(t *testing.T) {
	_, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	_, err := followFor(client, proxy.Address(), 0)
	require.NoError(t, err)
	proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
	request := followRequest(100 * time.Millisecond)
	_, _, err = client.Follow(context.Background(), proxy.Address(), request)
	require.NoError(t, err)
	require.True(t, proto.Equal(followRequest(100*time.Millisecond), request))
}

// onceListener accepts a single connection, so that later ones are not established.
type onceListener struct {
	net.Listener
	accepted atomic.Bool
	closed   chan struct{}
}

func (l *onceListener) Accept() (net.Conn, error) {
	if l.accepted.Swap(true) {
		<-l.closed
		return nil, net.ErrClosed
	}
	return l.Listener.Accept()
}

// listenWithMinimalBacklog listens with a backlog of one connection.
func listenWithMinimalBacklog(t *testing.T) net.Listener {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	file := os.NewFile(uintptr(socket), "listener")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// fillBacklog opens connections until no more can be established.
func fillBacklog(t *testing.T, address string) {
	for range 10 {
		socket, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = socket.Close() })
	}
	require.Fail(t, "the backlog did not fill up")
}

// Guards against a retry whose dial does not count towards its limit: a dial that took
// all of its own timeout left the reply 0.5 s more, and updates arrived after 2.3 s.
func TestRetryBoundsDialAndReply(t *testing.T) {
	listener := listenWithMinimalBacklog(t)
	once := &onceListener{Listener: listener, closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, once, &waitingHandler{}) }()
	t.Cleanup(func() {
		cancel()
		close(once.closed)
		<-done
	})
	client := newTestClient(t)
	client.DialTimeout = 5 * time.Second
	_, err := followFor(client, listener.Addr().String(), 0)
	require.NoError(t, err)
	fillBacklog(t, listener.Addr().String())
	silent := func(ctx context.Context, _ apiv1.DRPCDirectoryClient) error {
		<-ctx.Done()
		return ctx.Err()
	}
	began := time.Now()
	given, err := client.attempt(context.Background(), listener.Addr().String(), replyTimeout, silent)
	require.Error(t, err)
	require.True(t, given, "the connection had carried a reply before")
	require.Error(t, client.retry(context.Background(), listener.Addr().String(), silent))
	require.Less(t, time.Since(began), 3*replyTimeout)
}

func TestTestifyRetriesOverNewConnection(t *testing.T) {
	_, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	require.NoError(t, client.Testify(context.Background(), proxy.Address(), &apiv1.TestifyRequest{}))
	proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
	require.NoError(t, client.Testify(context.Background(), proxy.Address(), &apiv1.TestifyRequest{}))
	require.Equal(t, 2, proxy.Accepted())
}

// A peer that is dead, rather than silent on one connection, costs a single call on a
// new connection.
func TestCallOnNewConnectionIsNotRetried(t *testing.T) {
	handler, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	time.AfterFunc(50*time.Millisecond, func() { proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient) })
	_, err := followFor(client, proxy.Address(), 200*time.Millisecond)
	require.Error(t, err)
	calls, _ := handler.counts()
	require.Equal(t, 1, calls)
}

// A follower that has gone silent leaves neither its waiting call nor its connection
// open at the balancer that it followed.
func TestSilentFollowerIsDisconnected(t *testing.T) {
	handler, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	time.AfterFunc(50*time.Millisecond, func() { proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient) })
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, _, err := client.Follow(ctx, proxy.Address(), followRequest(30*time.Second))
	require.Error(t, err)
	require.Eventually(t, func() bool { _, gone := handler.counts(); return gone == 1 },
		idleTimeout+time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), idleTimeout+time.Second)
}

// A connection that the other side has closed, for example by a restart, causes no
// failed call: the next call uses a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	_, proxy := startProxiedPeer(t)
	client := newTestClient(t)
	_, err := followFor(client, proxy.Address(), 0)
	require.NoError(t, err)
	proxy.CloseConnections()
	select {
	case <-client.connection.Closed():
	case <-time.After(2 * time.Second):
		require.Fail(t, "the close of the connection was not detected")
	}
	_, err = followFor(client, proxy.Address(), 0)
	require.NoError(t, err)
	require.Equal(t, 2, proxy.Accepted())
	require.Zero(t, client.SilentConnections.Load(), "the connection was closed, not silent")
}

// A follower that reads nothing does not block the reply to it forever.
func TestBlockedReplyTimesOut(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := idleTimeoutListener{inner}
	t.Cleanup(func() { _ = listener.Close() })
	follower, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = follower.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	outcome := make(chan error, 1)
	go func() {
		for {
			if _, err := accepted.Write(make([]byte, 1<<20)); err != nil {
				outcome <- err
				return
			}
		}
	}()
	t.Cleanup(func() { _ = accepted.Close() })
	select {
	case err := <-outcome:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(idleTimeout + 2*time.Second):
		require.Fail(t, "the write is still blocked")
	}
}
