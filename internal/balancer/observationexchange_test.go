package balancer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// serveControl lets a control state answer the calls of others over real connections, and returns
// its address.
func serveControl(t *testing.T, c *control) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	return serveControlOn(t, c, listener)
}

func serveControlOn(t *testing.T, c *control, listener net.Listener) string {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = replication.Serve(ctx, listener, c) }()
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			select {
			case call := <-c.followCalls:
				c.enqueueFollow(call)
			case request := <-c.testifyRequests:
				c.handleTestifyRequest(request, time.Now())
			case <-time.After(time.Millisecond):
			}
			c.answerWaiting(time.Now())
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// newControlWithRoutes returns a control state that has learned a route table.
func newControlWithRoutes(t *testing.T) *control {
	c := newTestControl()
	now := time.Now()
	c.handleNews(&apiv1.DirectoryNews{Batch: routesBatch(5), AsOfNanoseconds: c.sinceStart(now)}, now)
	t.Cleanup(c.observations.client.Close)
	return c
}

// followFrom makes one follow call to the balancer at an address and handles the reply.
func (c *control) followFrom(t *testing.T, address string) {
	ctx := context.Background()
	messages, err := c.balancer.bus.Subscribe(ctx)
	require.NoError(t, err)
	peer := replication.Peer{Address: address, Purpose: replication.PurposeFollow}
	go c.callPeer(ctx, c.client, peer, c.requestTo(peer, 0, time.Now()))
	c.handle(<-messages)
}

func TestObservationsTravelUpAndDownTheTree(t *testing.T) {
	parent, child, other := newControlWithRoutes(t), newControlWithRoutes(t), newControlWithRoutes(t)
	other.balancer.settings.Load().PeerAddress = "127.0.0.1:1"
	address := serveControl(t, parent)
	now := time.Now()
	child.observations.buffer.Add(evidence.UnansweredRequest{Backend: evidence.Backend{Number: 7}, Client: 1, Zone: "maadi", SentAt: now.Add(-700 * time.Millisecond)}, "", now)
	child.sendObservations(context.Background(), now)
	require.False(t, child.observations.sending, "the clock of the parent is not known yet")

	child.followFrom(t, address)
	require.Equal(t, parent.observations.clock, child.observations.parentClock.ID)
	messages, err := child.balancer.bus.Subscribe(context.Background())
	require.NoError(t, err)
	child.sendObservations(context.Background(), time.Now())
	require.True(t, child.observations.sending)
	child.handle(<-messages)
	require.False(t, child.observations.sending)

	other.followFrom(t, address)
	received := other.observations.buffer.Since(0, "", time.Now())
	require.Len(t, received, 1)
	unanswered := received[0].(evidence.UnansweredRequest)
	require.Equal(t, evidence.Backend{Number: 7}, unanswered.Backend)
	require.Equal(t, "maadi", unanswered.Zone)
	require.False(t, unanswered.SentAt.After(now.Add(-700*time.Millisecond)), "the request never appears newer than it is")
	require.WithinDuration(t, now.Add(-700*time.Millisecond), unanswered.SentAt, 5*time.Second)
	require.Equal(t, uint64(1), other.observations.receivedSequence)
	require.Empty(t, other.observations.buffer.Since(0, address, time.Now()), "an observation is not sent back to its sender")
}

// Times in the clock of a process that has ended cannot be interpreted.
func TestObservationsWithAnotherClockAreIgnored(t *testing.T) {
	c := newControlWithRoutes(t)
	request := &apiv1.TestifyRequest{Clock: c.observations.clock + 2, Testimony: []*apiv1.Testimony{{Number: 7, Client: 1}}}
	c.handleTestifyRequest(request, time.Now())
	require.Zero(t, c.observations.buffer.LastSequence())
	request.Clock = c.observations.clock
	c.handleTestifyRequest(request, time.Now())
	require.Equal(t, uint64(1), c.observations.buffer.LastSequence())
}

// Observations that could not be delivered are sent again while they are still useful.
func TestUndeliveredObservationsAreSentAgain(t *testing.T) {
	c := newControlWithRoutes(t)
	now := time.Now()
	c.observations.parent, c.observations.parentClock = "127.0.0.1:1", evidence.NewRemoteClock(3, 0, now, now)
	c.observations.buffer.Add(evidence.Activity{Backend: evidence.Backend{Number: 7}, At: now}, "", now)
	messages, err := c.balancer.bus.Subscribe(context.Background())
	require.NoError(t, err)
	c.sendObservations(context.Background(), now)
	require.Equal(t, uint64(1), c.observations.sentSequence)
	c.handle(<-messages)
	require.Zero(t, c.observations.sentSequence)
	c.sendObservations(context.Background(), time.Now())
	require.False(t, c.observations.sending, "not before testifyRetryDelay has passed")
	c.sendObservations(context.Background(), time.Now().Add(testifyRetryDelay))
	require.True(t, c.observations.sending)
	c.handle(<-messages)
}

func TestMailboxIsBounded(t *testing.T) {
	var box mailbox
	require.Empty(t, box.take())
	box.put(make([]evidence.Observation, mailboxLimit-1))
	box.put(make([]evidence.Observation, 3))
	require.Equal(t, uint64(2), box.lost.Load())
	require.Len(t, box.take(), mailboxLimit)
	require.False(t, box.nonEmpty.Load())
	require.Empty(t, box.take())
}

// The number of observations in a message is bounded; activity is included first.
func TestActivityIsSentFirst(t *testing.T) {
	var observations []evidence.Observation
	for number := range uint64(2 * maxObservations) {
		observations = append(observations, evidence.UnansweredRequest{Backend: evidence.Backend{Number: number}})
	}
	observations = append(observations, evidence.Activity{Backend: evidence.Backend{Number: 7}})
	selected := selectObservations(observations)
	require.Len(t, selected, maxObservations)
	require.Equal(t, evidence.Activity{Backend: evidence.Backend{Number: 7}}, selected[0])
	require.Equal(t, evidence.UnansweredRequest{Backend: evidence.Backend{Number: 0}}, selected[1], "the other observations keep their order")
}
