package balancer

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

const (
	// storeTimeout bounds a call to the store. A slow store answers within
	// half of it.
	storeTimeout = time.Second
	// snapshotTimeout bounds the reading of all pages of a large store.
	snapshotTimeout = 10 * time.Second
	// followWait is how long a call to a peer waits for news.
	followWait = 1500 * time.Millisecond
)

// poll reads the store once.
func (c *control) poll(ctx context.Context, kind replication.Poll, purpose storePurpose, after uint64, now time.Time) {
	batch, err := c.read(ctx, kind, after)
	c.balancer.storeCalls[purpose].count(err)
	news := &apiv1.DirectoryNews{
		Batch:           batch,
		AsOfNanoseconds: int64(now.Sub(c.balancer.started)),
		Poll:            uint32(kind),
		HistoryLost:     errors.Is(err, ErrHistoryLost),
	}
	c.publish(ctx, news, err)
}

func (c *control) read(ctx context.Context, kind replication.Poll, after uint64) (*apiv1.DirectoryBatch, error) {
	store := c.balancer.outside.Store
	switch kind {
	case replication.PollSnapshot:
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return store.Snapshot(ctx, math.MaxInt)
	case replication.PollOld:
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return store.OldSnapshot(ctx)
	case replication.PollChanges:
		wait := paceOf(c.balancer.settings.Load()).Wait
		ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
		defer cancel()
		return store.Changes(ctx, after, wait)
	case replication.PollCatchUp:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return store.Changes(ctx, after, 0)
	case replication.PollMembers:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return store.Members(ctx, c.balancer.settings.Load().GetZone())
	case replication.PollNone, replication.PollPage:
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.Snapshot(ctx, 1)
}

// checkRoutes reads the table of routes alone. A large store is followed by its
// changes, and the one change that must not be missed is checked besides.
func (c *control) checkRoutes(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	batch, err := c.balancer.outside.Store.Routes(bounded)
	c.balancer.storeCalls[storeAudit].count(err)
	c.publish(ctx, &apiv1.DirectoryNews{Batch: batch, Check: true}, err)
}

// startCalls starts the calls to other balancers that are due.
func (c *control) startCalls(ctx context.Context, now time.Time) {
	c.core.SetSeeds(c.balancer.settings.Load().GetSeeds())
	for {
		peer, found := c.core.NextPeer(now)
		if !found {
			return
		}
		age, known := c.core.Age(now)
		if !known {
			age = unknownAge
		}
		go c.call(ctx, peer, c.requestTo(peer, age, now))
	}
}

// requestTo is the request of a call: it shows what is known here.
func (c *control) requestTo(peer replication.Peer, age time.Duration, now time.Time) *apiv1.FollowRequest {
	settings := c.balancer.settings.Load()
	request := &apiv1.FollowRequest{
		From:            settings.GetName(),
		FromAddress:     settings.GetPeerAddress(),
		After:           c.known.Revision(),
		AgeMilliseconds: uint32(age.Milliseconds()),
	}
	request.Everything = peer.Everything
	if peer.Waits() {
		request.WaitMilliseconds = uint32(followWait.Milliseconds())
	}
	request.WithoutChanges = peer.RevisionOnly
	if peer.Purpose == replication.PurposeFollow {
		if c.core.SharesOrder(peer.Address) {
			// Who is of another zone has hardly seen the same back ends, but counts
			// as one more that might by chance.
			request.Findings = encodeFindings(c.findings.here(now))
			request.TakesFindings = true
		}
		request.Shown = c.core.Shown(now)
		request.Silent = c.core.Silent(now)
	}
	return request
}

// call asks a peer for news once. What the peer knew was confirmed no later than
// its age before the answer left, and the answer left no earlier than the call
// did plus the time that it waited there.
func (c *control) call(ctx context.Context, peer replication.Peer, request *apiv1.FollowRequest) {
	sent := time.Now()
	client, done := c.clientFor(peer.Purpose)
	defer done()
	reply, err := client.Follow(ctx, peer.Address, request)
	c.balancer.peerCalls.count(err)
	left := sent.Add(time.Duration(reply.GetWaitedMilliseconds()) * time.Millisecond)
	asOf := left.Add(-time.Duration(reply.GetAgeMilliseconds()) * time.Millisecond)
	c.publish(ctx, &apiv1.DirectoryNews{
		Batch:           reply.GetBatch(),
		AsOfNanoseconds: int64(asOf.Sub(c.balancer.started)),
		Peer:            peer.Address,
		Everything:      peer.Everything,
		RevisionOnly:    peer.RevisionOnly,
		Purpose:         uint32(peer.Purpose),
		Callers:         reply.GetCallers(),
		Findings:        reply.GetFindings(),
	}, err)
}

// clientFor returns the client for a call, and what to do with it afterwards.
// The connection to the balancer that is followed is kept; calls for other
// purposes seldom meet the same balancer twice.
func (c *control) clientFor(purpose replication.Purpose) (*replication.Client, func()) {
	if purpose == replication.PurposeFollow {
		return c.client, func() {}
	}
	client := replication.NewClient(c.balancer.logger)
	return client, client.Close
}

func (c *control) publish(ctx context.Context, news *apiv1.DirectoryNews, failure error) {
	if failure != nil {
		news.Error = failure.Error()
	}
	err := c.balancer.bus.Publish(events.Event{Kind: events.KindNews, Body: news})
	if err != nil && ctx.Err() == nil {
		c.balancer.logger.Error("Control: event lost.", "error", err)
	}
}

// follower is a call of another balancer that waits for news.
type follower struct {
	caller  replication.Caller
	after   uint64
	takenAt time.Time
	// confirmedAt is when the follower's own knowledge was confirmed.
	confirmedAt time.Time
	until       time.Time
	findings    []*apiv1.BackendFinding
	// shown and silent are what it passes on about balancers.
	shown  []*apiv1.Balancer
	silent []string
	// everything is set when it asks for tombstones too, and withoutChanges when
	// for the revision only.
	everything, withoutChanges bool
	// takesPacked tells whether the follower understands packed tables, and
	// takesFindings whether it wants the findings of all.
	takesPacked, takesFindings bool
	reply                      chan *apiv1.FollowReply
	// gone is closed when the follower's connection has ended.
	gone <-chan struct{}
}

// follows tells whether the call is that of a balancer that follows this one, and
// not one to tell, to ask or to fetch, which brings no findings.
func (f *follower) follows() bool {
	return len(f.findings) > 0 || f.until.After(f.takenAt) && !f.withoutChanges
}

// takesEverything tells whether the answer holds all that is known here.
func (f *follower) takesEverything() bool { return f.after == 0 && !f.withoutChanges }

// completeAnswers bounds the answers that hold all that is known. At a start of
// everything many ask at once for what may be hundreds of kilobytes.
type completeAnswers struct {
	sinceAt time.Time
	sent    int
}

const (
	// completeLimit is how many go out within completePause: as many as follow a
	// strong balancer.
	completeLimit = 2 * replication.DefaultTreeWidth
	completePause = 200 * time.Millisecond
)

// take tells whether one more may go out now.
func (a *completeAnswers) take(now time.Time) bool {
	if now.Sub(a.sinceAt) >= completePause {
		a.sinceAt, a.sent = now, 0
	}
	a.sent++
	return a.sent <= completeLimit
}

// hasGone tells whether nobody waits for the answer any more.
func (f *follower) hasGone() bool {
	select {
	case <-f.gone:
		return true
	default:
		return false
	}
}

// errBusy is what a balancer with too many followers answers.
var errBusy = errors.New("too many balancers follow this one; ask another")

// Follow implements replication.Handler. It runs in the goroutine of the call.
func (c *control) Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	now := time.Now()
	age := time.Duration(request.GetAgeMilliseconds()) * time.Millisecond
	asking := &follower{
		caller: replication.Caller{
			Address:     request.GetFromAddress(),
			Knows:       age < unknownAge,
			Revision:    request.GetAfter(),
			ConfirmedAt: now.Add(-age),
		},
		after:          request.GetAfter(),
		takenAt:        now,
		confirmedAt:    now.Add(-age),
		until:          now.Add(time.Duration(request.GetWaitMilliseconds()) * time.Millisecond),
		findings:       request.GetFindings(),
		shown:          request.GetShown(),
		silent:         request.GetSilent(),
		everything:     request.GetEverything(),
		withoutChanges: request.GetWithoutChanges(),
		takesPacked:    request.GetTakesPacked(),
		takesFindings:  request.GetTakesFindings(),
		reply:          make(chan *apiv1.FollowReply, 1),
		gone:           ctx.Done(),
	}
	select {
	case c.followers <- asking:
	default:
		return nil, errBusy
	}
	select {
	case reply := <-asking.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take lets a follower wait, or answers it at once when there is no room.
func (c *control) take(asking *follower) {
	c.core.Called(asking.caller, c.known.Revision(), asking.takenAt)
	c.core.TakeShown(asking.shown, asking.takenAt)
	c.core.TakeSilent(asking.silent, asking.takenAt)
	if asking.follows() {
		c.findings.takeFollower(asking.caller.Address, asking.findings, asking.takenAt)
	}
	if len(c.waiting) >= followersLimit {
		asking.until = asking.takenAt
	}
	c.waiting = append(c.waiting, asking)
}

// answerWaiting answers the followers for whom there is news: entries, or a
// younger confirmation than when they asked.
func (c *control) answerWaiting(now time.Time) {
	found := sync.OnceValue(func() []*apiv1.BackendFinding { return encodeFindings(c.findings.all(now)) })
	kept := c.waiting[:0]
	for _, asking := range c.waiting {
		if asking.hasGone() || c.answer(asking, now, found) {
			continue
		}
		c.core.Heard(asking.caller.Address, now)
		kept = append(kept, asking)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// answer answers a follower if there is news for it, and tells whether it did.
func (c *control) answer(asking *follower, now time.Time, found func() []*apiv1.BackendFinding) bool {
	age, known := c.core.Age(now)
	if !known && now.Before(asking.until) {
		return false
	}
	younger := known && now.Add(-age).Sub(asking.confirmedAt) >= paceOf(c.balancer.settings.Load()).Younger
	if asking.after >= c.known.Revision() && !younger && now.Before(asking.until) {
		return false
	}
	if known && asking.takesEverything() && !c.complete.take(now) {
		return false // its turn comes, or its caller gives up
	}
	reply := &apiv1.FollowReply{
		Batch:              c.newsFor(asking, known),
		AgeMilliseconds:    uint32(age.Milliseconds()) + 1,
		WaitedMilliseconds: uint32(now.Sub(asking.takenAt).Milliseconds()),
	}
	if asking.takesFindings {
		reply.Findings = found()
	}
	if !known {
		reply.AgeMilliseconds = uint32(unknownAge.Milliseconds())
		reply.Callers = c.core.Callers()
	}
	asking.reply <- reply
	return true
}

// newsFor returns what is new to a follower, in the form that it takes.
func (c *control) newsFor(asking *follower, known bool) *apiv1.DirectoryBatch {
	if asking.withoutChanges || !known {
		// Without a revision, the batch claims and confirms nothing.
		return &apiv1.DirectoryBatch{}
	}
	batch := c.known.Since(asking.after)
	if asking.everything {
		batch = c.known.Everything(asking.after)
	}
	if !asking.takesPacked {
		return batch
	}
	packed, err := c.packer.Pack(batch)
	if err != nil {
		c.balancer.logger.Error("Control: routes could not be packed.", "error", err)
		return batch
	}
	return packed
}

// unknownAge is the age of knowledge that nobody confirmed.
const unknownAge = 1000 * time.Hour
