package replication

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

// waitingHandler answers a call after the time that it asks to wait.
type waitingHandler struct {
	mutex sync.Mutex
	calls []*apiv1.FollowRequest
	gone  int
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
		h.gone++
		h.mutex.Unlock()
		return nil, ctx.Err()
	}
}

func (h *waitingHandler) Testify(context.Context, *apiv1.TestifyRequest) (*apiv1.TestifyReply, error) {
	return &apiv1.TestifyReply{}, nil
}

func (h *waitingHandler) seen() (calls, gone int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.calls), h.gone
}

// peerBehind is a balancer that answers calls, behind connections that can go
// silent.
func peerBehind(t *testing.T) (*waitingHandler, *swallow.Proxy) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	proxy, err := swallow.Start(listener.Addr().String())
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

func newQuietClient(t *testing.T) *Client {
	client := NewClient(slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(client.Close)
	return client
}

// follow makes a call that waits for so long.
func follow(client *Client, address string, wait time.Duration) (*apiv1.FollowReply, error) {
	return client.Follow(context.Background(), address, &apiv1.FollowRequest{WaitMilliseconds: uint32(wait.Milliseconds())})
}

// A connection that goes silent under a call that waits is given up after its wait
// and the time for an answer, and the same call brings news on a new one.
func TestFollowOverASilentConnectionBringsNews(t *testing.T) {
	_, proxy := peerBehind(t)
	client := newQuietClient(t)
	_, err := follow(client, proxy.Address(), 0)
	require.NoError(t, err)
	time.AfterFunc(50*time.Millisecond, proxy.Silence)
	began := time.Now()
	reply, err := follow(client, proxy.Address(), FollowWait)
	require.NoError(t, err)
	require.Equal(t, uint64(7), reply.GetBatch().GetRevision())
	require.Less(t, time.Since(began), 1900*time.Millisecond, "news within 2 s")
	require.Equal(t, 2, proxy.Accepted())
}

func TestTestifyOverASilentConnectionIsToldAnew(t *testing.T) {
	_, proxy := peerBehind(t)
	client := newQuietClient(t)
	require.NoError(t, client.Testify(context.Background(), proxy.Address(), &apiv1.TestifyRequest{}))
	proxy.Silence()
	require.NoError(t, client.Testify(context.Background(), proxy.Address(), &apiv1.TestifyRequest{}))
	require.Equal(t, 2, proxy.Accepted())
}

// A peer that is dead, and not only silent on a connection, costs one call on a new
// connection and no more.
func TestCallOnANewConnectionIsNotRepeated(t *testing.T) {
	handler, proxy := peerBehind(t)
	client := newQuietClient(t)
	time.AfterFunc(50*time.Millisecond, proxy.Silence)
	_, err := follow(client, proxy.Address(), 200*time.Millisecond)
	require.Error(t, err)
	calls, _ := handler.seen()
	require.Equal(t, 1, calls)
}

// A follower that has fallen silent leaves nothing behind at the one that it
// followed: neither the call that waits nor the connection.
func TestSilentFollowerIsGivenUp(t *testing.T) {
	handler, proxy := peerBehind(t)
	client := newQuietClient(t)
	time.AfterFunc(50*time.Millisecond, proxy.Silence)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := client.Follow(ctx, proxy.Address(), &apiv1.FollowRequest{WaitMilliseconds: 30_000})
	require.Error(t, err)
	require.Eventually(t, func() bool { _, gone := handler.seen(); return gone == 1 },
		silentFollower+time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), silentFollower+time.Second)
}
