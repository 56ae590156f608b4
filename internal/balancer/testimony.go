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
	// gatherTime lets statements gather between two messages to one balancer. A
	// machine of 0.06 cores takes some 5 ms of each.
	gatherTime = 25 * time.Millisecond
	// testifyPause is the pause after a message that failed.
	testifyPause = 200 * time.Millisecond
	// testimonyLimit bounds the statements in one message.
	testimonyLimit = 64
)

// testimony passes on what balancers see of back ends that may be dead: up the tree
// in calls of their own, down it in the answers for which followers wait.
type testimony struct {
	board evidence.Buffer
	// clock names the clock of this process.
	clock uint64
	// parent is the balancer that is followed, its clock, and the sequence up to which
	// it has told its statements.
	parent string
	theirs evidence.RemoteClock
	heard  uint64
	// told is the sequence up to which the parent was told, and telling is set while a
	// call is under way.
	told     uint64
	telling  bool
	nextTell time.Time
	client   *replication.Client
}

// clockNow is what the clock of this process shows.
func (c *control) clockNow(now time.Time) time.Duration { return now.Sub(c.balancer.started) }

// takeStatements takes what the traffic goroutine has seen.
func (c *control) takeStatements(now time.Time) {
	if c.balancer.traffic == nil {
		return
	}
	for _, statement := range c.balancer.traffic.outbox.take() {
		c.testimony.board.Add(statement, "", now)
	}
}

// hear takes statements of another balancer: what is new is passed on, and judged by.
func (c *control) hear(statements []evidence.Observation, from string, now time.Time) {
	var news []evidence.Observation
	for _, statement := range statements {
		if c.testimony.board.Add(statement, from, now) {
			news = append(news, statement)
		}
	}
	if len(news) > 0 && c.balancer.traffic != nil {
		c.balancer.traffic.deliver(news)
	}
}

// heardParent takes the statements of the balancer that is followed.
func (c *control) heardParent(news *apiv1.DirectoryNews, now time.Time) {
	t := &c.testimony
	if t.parent != news.GetPeer() || t.theirs.ID != news.GetClock() {
		t.parent, t.heard = news.GetPeer(), 0
	}
	leftAfter := c.balancer.started.Add(time.Duration(news.GetLeftAfterNanoseconds()))
	leftBefore := c.balancer.started.Add(time.Duration(news.GetLeftBeforeNanoseconds()))
	shown := time.Duration(news.GetClockMilliseconds()) * time.Millisecond
	t.theirs = evidence.NewRemoteClock(news.GetClock(), shown, leftAfter, leftBefore)
	t.heard = max(t.heard, news.GetTestimonyLatest())
	statements := make([]evidence.Observation, 0, len(news.GetTestimony()))
	for _, each := range news.GetTestimony() {
		left := leftAfter
		if each.GetAlive() {
			left = leftBefore
		}
		statements = append(statements, decodeStatement(each, left.Add(-time.Duration(each.GetMilliseconds())*time.Millisecond)))
	}
	c.hear(statements, t.parent, now)
}

// startTestify tells the balancer that is followed what it does not know yet.
func (c *control) startTestify(ctx context.Context, now time.Time) {
	t := &c.testimony
	if t.telling || now.Before(t.nextTell) || !t.theirs.Known() || t.told == t.board.LastSequence() {
		return
	}
	statements := t.board.Since(t.told, t.parent, now)
	told := t.told
	t.told = t.board.LastSequence()
	if len(statements) == 0 {
		return
	}
	request := &apiv1.TestifyRequest{FromAddress: c.balancer.settings.Load().GetPeerAddress(), Clock: t.theirs.ID}
	for _, statement := range firstToTell(statements) {
		request.Testimony = append(request.Testimony, encodeStatement(statement, t.theirs.Translate(statement)))
	}
	t.telling = true
	t.nextTell = now.Add(gatherTime)
	parent, client := t.parent, t.client
	go func() {
		err := client.Testify(ctx, parent, request)
		c.balancer.peerCalls.count(err)
		c.publish(ctx, &apiv1.DirectoryNews{Peer: parent, Testified: true, TestimonyLatest: told}, err)
	}()
}

// testified takes the end of a call that told statements. After a failure they are told
// again, as far as they are still posted.
func (c *control) testified(news *apiv1.DirectoryNews, now time.Time) {
	c.testimony.telling = false
	if news.GetError() != "" {
		c.testimony.told = news.GetTestimonyLatest()
		c.testimony.nextTell = now.Add(testifyPause)
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

// takeTestimony takes the statements of a follower. Times in a clock that is not that
// of this process mean nothing.
func (c *control) takeTestimony(request *apiv1.TestifyRequest, now time.Time) {
	c.takeReport(request.GetFromAddress(), request.GetDemand(), now)
	if len(request.GetTestimony()) == 0 {
		return
	}
	if request.GetClock() != c.testimony.clock {
		c.balancer.logger.Debug("Control: statements in another clock are left out.", "peer", request.GetFromAddress())
		return
	}
	statements := make([]evidence.Observation, 0, len(request.GetTestimony()))
	for _, each := range request.GetTestimony() {
		at := c.balancer.started.Add(time.Duration(each.GetMilliseconds()) * time.Millisecond)
		statements = append(statements, decodeStatement(each, at))
	}
	c.hear(statements, request.GetFromAddress(), now)
}

// newsOfBackends returns the statements that a follower was not told yet, once its call
// has waited for some to gather.
func (c *control) newsOfBackends(asking *followCall, now time.Time) []evidence.Observation {
	if !asking.wantsTestimony || now.Sub(asking.receivedAt) < gatherTime {
		return nil
	}
	after := asking.testimonyAfter
	if asking.testimonyClock != c.testimony.clock {
		after = 0
	}
	if after == c.testimony.board.LastSequence() {
		return nil
	}
	return c.testimony.board.Since(after, asking.caller.Address, now)
}

// addTestimony adds statements to the answer of a follower, and the clock by which it
// can tell its own.
func (c *control) addTestimony(reply *apiv1.FollowReply, statements []evidence.Observation, now time.Time) {
	reply.Clock = c.testimony.clock
	reply.ClockMilliseconds = uint64(c.clockNow(now).Milliseconds())
	reply.TestimonyLatest = c.testimony.board.LastSequence()
	for _, statement := range firstToTell(statements) {
		reply.Testimony = append(reply.Testimony, encodeStatement(statement, now.Sub(statement.Time())))
	}
}

// firstToTell returns the statements for which one message has room: signs of life before
// witnesses, since who misses one would judge a back end that lives.
func firstToTell(statements []evidence.Observation) []evidence.Observation {
	ordered := slices.Clone(statements)
	slices.SortStableFunc(ordered, func(one, other evidence.Observation) int { return tellOrder(one) - tellOrder(other) })
	return ordered[:min(len(ordered), testimonyLimit)]
}

func tellOrder(statement evidence.Observation) int {
	if _, is := statement.(evidence.Activity); is {
		return 0
	}
	return 1
}

// encodeStatement returns a statement for a message, with the time in the form that the
// message takes.
func encodeStatement(statement evidence.Observation, at time.Duration) *apiv1.Testimony {
	switch s := statement.(type) {
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

func decodeStatement(encoded *apiv1.Testimony, at time.Time) evidence.Observation {
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
