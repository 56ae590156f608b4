package balancer

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

const (
	// batchDelay lets observations accumulate between two messages to the same balancer. A machine
	// with 0.06 cores needs about 5 ms for each message.
	batchDelay = 25 * time.Millisecond
	// testifyRetryDelay is the delay after a failed message.
	testifyRetryDelay = 200 * time.Millisecond
	// maxObservations bounds the observations in one message.
	maxObservations = 64
)

// observationExchange passes on what balancers observe about back ends that may have failed: up the
// tree in calls of their own, and down the tree in the replies that followers wait for.
type observationExchange struct {
	buffer evidence.Buffer
	// clock identifies the clock of this process.
	clock uint64
	// parent is the address of the parent, parentClock its clock, and receivedSequence the sequence
	// number up to which it has sent its observations.
	parent           string
	parentClock      evidence.RemoteClock
	receivedSequence uint64
	// sentSequence is the sequence number up to which observations were sent to the parent, and
	// sending is set while a call is in progress.
	sentSequence uint64
	sending      bool
	nextSendAt   time.Time
	client       *replication.Client
}

// clockNow returns the reading of this process's clock.
func (c *control) clockNow(now time.Time) time.Duration { return now.Sub(c.balancer.started) }

// collectObservations takes over what the traffic goroutine has observed.
func (c *control) collectObservations(now time.Time) {
	if c.balancer.traffic == nil {
		return
	}
	for _, observation := range c.balancer.traffic.outbox.take() {
		c.observations.buffer.Add(observation, "", now)
	}
}

// receiveObservations stores the observations of another balancer. New ones are passed on and
// evaluated by the traffic goroutine.
func (c *control) receiveObservations(observations []evidence.Observation, from string, now time.Time) {
	var added []evidence.Observation
	for _, observation := range observations {
		if c.observations.buffer.Add(observation, from, now) {
			added = append(added, observation)
		}
	}
	if len(added) > 0 && c.balancer.traffic != nil {
		c.balancer.traffic.deliver(added)
	}
}

// handleParentObservations stores the observations of the parent.
func (c *control) handleParentObservations(news *apiv1.DirectoryNews, now time.Time) {
	t := &c.observations
	if t.parent != news.GetPeer() || t.parentClock.ID != news.GetClock() {
		t.parent, t.receivedSequence = news.GetPeer(), 0
	}
	sentAfter := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	sentBefore := c.balancer.started.Add(time.Duration(news.GetLeftBeforeNanoseconds()))
	clock := time.Duration(news.GetClockMilliseconds()) * time.Millisecond
	t.parentClock = evidence.NewRemoteClock(news.GetClock(), clock, sentAfter, sentBefore)
	t.receivedSequence = max(t.receivedSequence, news.GetTestimonyLatest())
	observations := make([]evidence.Observation, 0, len(news.GetTestimony()))
	for _, encoded := range news.GetTestimony() {
		sentAt := sentAfter
		if encoded.GetAlive() {
			sentAt = sentBefore
		}
		observations = append(observations, decodeObservation(encoded, sentAt.Add(-time.Duration(encoded.GetMilliseconds())*time.Millisecond)))
	}
	c.receiveObservations(observations, t.parent, now)
}

// sendObservations sends the parent the observations that it does not have yet.
func (c *control) sendObservations(ctx context.Context, now time.Time) {
	t := &c.observations
	if t.sending || now.Before(t.nextSendAt) || !t.parentClock.Known() || t.sentSequence == t.buffer.LastSequence() {
		return
	}
	observations := t.buffer.Since(t.sentSequence, t.parent, now)
	sentSequence := t.sentSequence
	t.sentSequence = t.buffer.LastSequence()
	if len(observations) == 0 {
		return
	}
	request := &apiv1.TestifyRequest{FromAddress: c.balancer.settings.Load().GetPeerAddress(), Clock: t.parentClock.ID}
	for _, observation := range selectObservations(observations) {
		request.Testimony = append(request.Testimony, encodeObservation(observation, t.parentClock.Translate(observation)))
	}
	t.sending = true
	t.nextSendAt = now.Add(batchDelay)
	parent, client := t.parent, t.client
	go func() {
		err := client.Testify(ctx, parent, request)
		c.balancer.peerCalls.count(err)
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Testified: true, TestimonyLatest: sentSequence}, err)
	}()
}

// handleTestifyResult handles the end of a call that sent observations. After a failure they are
// sent again, as long as they are still buffered.
func (c *control) handleTestifyResult(news *apiv1.DirectoryNews, now time.Time) {
	c.observations.sending = false
	if news.GetError() != "" {
		c.observations.sentSequence = news.GetTestimonyLatest()
		c.observations.nextSendAt = now.Add(testifyRetryDelay)
	}
}

// Testify implements replication.Handler. It runs in the goroutine of the call.
func (c *control) Testify(ctx context.Context, request *apiv1.TestifyRequest) (*apiv1.TestifyReply, error) {
	select {
	case c.testifyRequests <- request:
		return &apiv1.TestifyReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleTestifyRequest stores the observations of a follower. Times in the clock of another process
// cannot be interpreted, so observations with such times are ignored.
func (c *control) handleTestifyRequest(request *apiv1.TestifyRequest, now time.Time) {
	c.handleDemandReport(request.GetFromAddress(), request.GetDemand(), now)
	if len(request.GetTestimony()) == 0 {
		return
	}
	if request.GetClock() != c.observations.clock {
		c.balancer.logger.Debug("Control: observations in another clock are ignored.", "peer", request.GetFromAddress())
		return
	}
	observations := make([]evidence.Observation, 0, len(request.GetTestimony()))
	for _, encoded := range request.GetTestimony() {
		at := c.balancer.started.Add(time.Duration(encoded.GetMilliseconds()) * time.Millisecond)
		observations = append(observations, decodeObservation(encoded, at))
	}
	c.receiveObservations(observations, request.GetFromAddress(), now)
}

// pendingObservations returns the observations that a follower has not been sent yet, once its call
// has waited for batchDelay.
func (c *control) pendingObservations(call *followCall, now time.Time) []evidence.Observation {
	if !call.wantsObservations || now.Sub(call.receivedAt) < batchDelay {
		return nil
	}
	after := call.observationsAfter
	if call.observationsClock != c.observations.clock {
		after = 0
	}
	if after == c.observations.buffer.LastSequence() {
		return nil
	}
	return c.observations.buffer.Since(after, call.caller.Address, now)
}

// addObservations adds observations to the reply to a follower, and the clock in which the follower
// can send its own.
func (c *control) addObservations(reply *apiv1.FollowReply, observations []evidence.Observation, now time.Time) {
	reply.Clock = c.observations.clock
	reply.ClockMilliseconds = uint64(c.clockNow(now).Milliseconds())
	reply.TestimonyLatest = c.observations.buffer.LastSequence()
	for _, observation := range selectObservations(observations) {
		reply.Testimony = append(reply.Testimony, encodeObservation(observation, now.Sub(observation.When())))
	}
}

// selectObservations returns the observations that fit into one message. Activity comes before
// unanswered requests, since a balancer that misses it would take a live back end for failed.
func selectObservations(observations []evidence.Observation) []evidence.Observation {
	ordered := slices.Clone(observations)
	slices.SortStableFunc(ordered, func(a, b evidence.Observation) int { return observationRank(a) - observationRank(b) })
	return ordered[:min(len(ordered), maxObservations)]
}

func observationRank(observation evidence.Observation) int {
	if _, ok := observation.(evidence.Activity); ok {
		return 0
	}
	return 1
}

// encodeObservation encodes an observation for a message, with the time in the form that the kind
// of message takes.
func encodeObservation(observation evidence.Observation, at time.Duration) *apiv1.Testimony {
	switch o := observation.(type) {
	case evidence.UnansweredRequest:
		// A time that is rounded down makes the request older. An age that is rounded down does not,
		// but the wait time in the same reply is rounded down too, which makes the request older.
		return &apiv1.Testimony{Number: o.Backend.Number, StartedMilliseconds: uint64(o.Backend.Start), Client: uint32(o.Client),
			Zone: o.Zone, Milliseconds: at.Milliseconds()}
	case evidence.Activity:
		return &apiv1.Testimony{Number: o.Backend.Number, StartedMilliseconds: uint64(o.Backend.Start), Alive: true,
			Milliseconds: at.Milliseconds()}
	}
	return nil
}

func decodeObservation(encoded *apiv1.Testimony, at time.Time) evidence.Observation {
	backend := evidence.Backend{Number: encoded.GetNumber(), Start: incarnation.Start(encoded.GetStartedMilliseconds())}
	if encoded.GetAlive() {
		return evidence.Activity{Backend: backend, At: at}
	}
	return evidence.UnansweredRequest{
		Backend: backend,
		Client:  evidence.Client(encoded.GetClient()),
		Zone:    encoded.GetZone(),
		SentAt:  at,
	}
}
