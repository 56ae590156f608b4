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
	// batchDelay lets statements gather between two messages to one balancer. A
	// machine of 0.06 cores takes some 5 ms of each.
	batchDelay = 25 * time.Millisecond
	// testifyRetryDelay is the pause after a message that failed.
	testifyRetryDelay = 200 * time.Millisecond
	// maxObservations bounds the statements in one message.
	maxObservations = 64
)

// observationExchange passes on what balancers see of back ends that may be dead: up the tree
// in calls of their own, down it in the answers for which followers wait.
type observationExchange struct {
	buffer evidence.Buffer
	// clock names the clock of this process.
	clock uint64
	// parent is the balancer that is followed, its clock, and the sequence up to which
	// it has told its statements.
	parent           string
	parentClock      evidence.RemoteClock
	receivedSequence uint64
	// sentSequence is the sequence up to which the parent was told, and telling is set while a
	// call is under way.
	sentSequence uint64
	sending      bool
	nextSendAt   time.Time
	client       *replication.Client
}

// clockNow is what the clock of this process shows.
func (c *control) clockNow(now time.Time) time.Duration { return now.Sub(c.balancer.started) }

// collectObservations takes what the traffic goroutine has seen.
func (c *control) collectObservations(now time.Time) {
	if c.balancer.traffic == nil {
		return
	}
	for _, observation := range c.balancer.traffic.outbox.take() {
		c.testimony.buffer.Add(observation, "", now)
	}
}

// receiveObservations takes statements of another balancer: what is new is passed on, and judged by.
func (c *control) receiveObservations(observations []evidence.Observation, from string, now time.Time) {
	var added []evidence.Observation
	for _, observation := range observations {
		if c.testimony.buffer.Add(observation, from, now) {
			added = append(added, observation)
		}
	}
	if len(added) > 0 && c.balancer.traffic != nil {
		c.balancer.traffic.deliver(added)
	}
}

// handleParentObservations takes the statements of the balancer that is followed.
func (c *control) handleParentObservations(news *apiv1.DirectoryNews, now time.Time) {
	t := &c.testimony
	if t.parent != news.GetPeer() || t.parentClock.ID != news.GetClock() {
		t.parent, t.receivedSequence = news.GetPeer(), 0
	}
	leftAfter := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	leftBefore := c.balancer.started.Add(time.Duration(news.GetLeftBeforeNanoseconds()))
	clock := time.Duration(news.GetClockMilliseconds()) * time.Millisecond
	t.parentClock = evidence.NewRemoteClock(news.GetClock(), clock, leftAfter, leftBefore)
	t.receivedSequence = max(t.receivedSequence, news.GetTestimonyLatest())
	observations := make([]evidence.Observation, 0, len(news.GetTestimony()))
	for _, encoded := range news.GetTestimony() {
		left := leftAfter
		if encoded.GetAlive() {
			left = leftBefore
		}
		observations = append(observations, decodeObservation(encoded, left.Add(-time.Duration(encoded.GetMilliseconds())*time.Millisecond)))
	}
	c.receiveObservations(observations, t.parent, now)
}

// sendObservations tells the balancer that is followed what it does not know yet.
func (c *control) sendObservations(ctx context.Context, now time.Time) {
	t := &c.testimony
	if t.sending || now.Before(t.nextSendAt) || !t.parentClock.Known() || t.sentSequence == t.buffer.LastSequence() {
		return
	}
	observations := t.buffer.Since(t.sentSequence, t.parent, now)
	previous := t.sentSequence
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
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Testified: true, TestimonyLatest: previous}, err)
	}()
}

// handleTestifyResult takes the end of a call that told statements. After a failure they are told
// again, as far as they are still posted.
func (c *control) handleTestifyResult(news *apiv1.DirectoryNews, now time.Time) {
	c.testimony.sending = false
	if news.GetError() != "" {
		c.testimony.sentSequence = news.GetTestimonyLatest()
		c.testimony.nextSendAt = now.Add(testifyRetryDelay)
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

// handleTestifyRequest takes the statements of a follower. Times in a clock that is not that
// of this process mean nothing.
func (c *control) handleTestifyRequest(request *apiv1.TestifyRequest, now time.Time) {
	c.handleDemandReport(request.GetFromAddress(), request.GetDemand(), now)
	if len(request.GetTestimony()) == 0 {
		return
	}
	if request.GetClock() != c.testimony.clock {
		c.balancer.logger.Debug("Control: statements in another clock are left out.", "peer", request.GetFromAddress())
		return
	}
	observations := make([]evidence.Observation, 0, len(request.GetTestimony()))
	for _, encoded := range request.GetTestimony() {
		at := c.balancer.started.Add(time.Duration(encoded.GetMilliseconds()) * time.Millisecond)
		observations = append(observations, decodeObservation(encoded, at))
	}
	c.receiveObservations(observations, request.GetFromAddress(), now)
}

// pendingObservations returns the statements that a follower was not told yet, once its call
// has waited for some to gather.
func (c *control) pendingObservations(asking *followCall, now time.Time) []evidence.Observation {
	if !asking.wantsTestimony || now.Sub(asking.receivedAt) < batchDelay {
		return nil
	}
	after := asking.testimonyAfter
	if asking.testimonyClock != c.testimony.clock {
		after = 0
	}
	if after == c.testimony.buffer.LastSequence() {
		return nil
	}
	return c.testimony.buffer.Since(after, asking.caller.Address, now)
}

// addObservations adds statements to the answer of a follower, and the clock by which it
// can tell its own.
func (c *control) addObservations(reply *apiv1.FollowReply, observations []evidence.Observation, now time.Time) {
	reply.Clock = c.testimony.clock
	reply.ClockMilliseconds = uint64(c.clockNow(now).Milliseconds())
	reply.TestimonyLatest = c.testimony.buffer.LastSequence()
	for _, observation := range selectObservations(observations) {
		reply.Testimony = append(reply.Testimony, encodeObservation(observation, now.Sub(observation.Time())))
	}
}

// selectObservations returns the statements for which one message has room: signs of life before
// witnesses, since who misses one would judge a back end that lives.
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

// encodeObservation returns a statement for a message, with the time in the form that the
// message takes.
func encodeObservation(observation evidence.Observation, at time.Duration) *apiv1.Testimony {
	switch s := observation.(type) {
	case evidence.UnansweredRequest:
		// Rounded down it is older, or its age greater by the answer's own rounding.
		return &apiv1.Testimony{Number: s.Backend.Number, StartedMilliseconds: uint64(s.Backend.Start), Client: uint32(s.Client),
			Zone: s.Zone, Milliseconds: at.Milliseconds()}
	case evidence.Activity:
		return &apiv1.Testimony{Number: s.Backend.Number, StartedMilliseconds: uint64(s.Backend.Start), Alive: true,
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
