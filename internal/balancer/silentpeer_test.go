package balancer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
)

// freshHandler answers at once with data that was confirmed 100 ms ago.
type freshHandler struct{}

func (freshHandler) Follow(context.Context, *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	return &apiv1.FollowReply{Batch: &apiv1.DirectoryBatch{Revision: 5}, AgeMilliseconds: 100, Clock: 3}, nil
}

func (freshHandler) Testify(context.Context, *apiv1.TestifyRequest) (*apiv1.TestifyReply, error) {
	return &apiv1.TestifyReply{}, nil
}

// When the first of two calls to a peer goes unanswered and the second is answered, the
// time lost on the first must not add to the age of the peer's answer. When it did, the
// peer counted as stale and was skipped for 2 s.
func TestPeerBehindASilentConnectionIsNotSkipped(t *testing.T) {
	child := newControlWithRoutes(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- replication.Serve(ctx, listener, freshHandler{}) }()
	proxy, err := faultproxy.Start(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		proxy.Close()
		cancel()
		require.NoError(t, <-done)
	})
	entry := &apiv1.Balancer{Name: "edge-2", Zone: "maadi", PeerAddress: proxy.Address(), ProcessorCores: 8}
	messages, err := child.balancer.bus.Subscribe(ctx)
	require.NoError(t, err)
	for range 2 {
		child.core.SetBalancers([]*apiv1.Balancer{entry}, time.Now())
		peer, found := child.core.NextPeer(time.Now())
		require.True(t, found)
		require.Equal(t, proxy.Address(), peer.Address)
		require.Equal(t, replication.PurposeFollow, peer.Purpose)
		request := child.requestTo(peer, 0, time.Now())
		request.WaitMilliseconds = uint32(replication.FollowWait.Milliseconds())
		go child.callPeer(ctx, child.client, peer, request)
		child.handle(<-messages)
		proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
	}
	require.Equal(t, 2, proxy.Accepted())
	require.False(t, child.core.Stale(time.Now()))
	child.core.SetBalancers([]*apiv1.Balancer{entry}, time.Now())
	peer, found := child.core.NextPeer(time.Now())
	require.True(t, found, "the peer is called again at once")
	require.Equal(t, proxy.Address(), peer.Address)
}
