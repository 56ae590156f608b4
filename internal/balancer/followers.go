package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// followCall is a call of another balancer that waits for news.
type followCall struct {
	caller        replication.Caller
	afterRevision uint64
	receivedAt    time.Time
	// minAggregatePressure is when the follower's own knowledge was confirmed.
	confirmedAt time.Time
	deadline    time.Time
	findings    []*apiv1.BackendFinding
	demand      *apiv1.DemandReport
	struggling  []*apiv1.Struggling
	// reportsStruggling is set when it would tell who struggles.
	reportsStruggling bool
	// shownBalancers and silent are what it passes on about balancers.
	shownBalancers  []*apiv1.Balancer
	silentBalancers []string
	// withTombstones is set when it asks for tombstones too, and revisionOnly when
	// for the revision only.
	withTombstones, revisionOnly bool
	// acceptsPacked tells whether the follower understands packed tables, and
	// wantsFindings whether it wants the findings of all.
	acceptsPacked, wantsFindings bool
	// acceptsPages tells whether it understands answers in pages.
	acceptsPages bool
	// wantsTestimony tells whether it wants what is seen of back ends that may be
	// dead; testimonyAfter is up to where it was told by the clock testimonyClock.
	wantsTestimony                 bool
	testimonyAfter, testimonyClock uint64
	reply                          chan *apiv1.FollowReply
	// done is closed when the follower's connection has ended.
	done <-chan struct{}
}

// isFollow tells whether the call is that of a balancer that follows this one, and
// not one to tell, to ask or to fetch, which brings no findings.
func (f *followCall) isFollow() bool {
	return len(f.findings) > 0 || f.deadline.After(f.receivedAt) && !f.revisionOnly
}

// wantsFullReply tells whether the answer holds all that is known here.
func (f *followCall) wantsFullReply() bool { return f.afterRevision == 0 && !f.revisionOnly }

// fullReplyLimiter bounds the answers that hold all that is known. At a start of
// everything many ask at once for what may be hundreds of kilobytes.
type fullReplyLimiter struct {
	windowStart time.Time
	sent        int
}

const (
	// fullReplyLimit is how many go out within fullReplyWindow: as many as follow a
	// strong balancer.
	fullReplyLimit  = 2 * replication.DefaultTreeFanout
	fullReplyWindow = 200 * time.Millisecond
)

// allow tells whether one more may go out now.
func (a *fullReplyLimiter) allow(now time.Time) bool {
	if now.Sub(a.windowStart) >= fullReplyWindow {
		a.windowStart, a.sent = now, 0
	}
	a.sent++
	return a.sent <= fullReplyLimit
}

// disconnected tells whether nobody waits for the answer any more.
func (f *followCall) disconnected() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// errTooManyFollowers is what a balancer with too many followers answers.
var errTooManyFollowers = errors.New("too many balancers follow this one; ask another")

// Follow implements replication.Handler. It runs in the goroutine of the call.
func (c *control) Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	if request.GetPage() > 0 {
		return c.pageCache.serve(request)
	}
	now := time.Now()
	age := time.Duration(request.GetAgeMilliseconds()) * time.Millisecond
	asking := &followCall{
		caller: replication.Caller{
			Address:     request.GetFromAddress(),
			HasData:     age < unknownAge,
			Revision:    request.GetAfter(),
			ConfirmedAt: now.Add(-age),
		},
		afterRevision:     request.GetAfter(),
		receivedAt:        now,
		confirmedAt:       now.Add(-age),
		deadline:          now.Add(time.Duration(request.GetWaitMilliseconds()) * time.Millisecond),
		findings:          request.GetFindings(),
		demand:            request.GetDemand(),
		struggling:        request.GetStruggling(),
		reportsStruggling: request.GetTellsStruggling(),
		shownBalancers:    request.GetShown(),
		silentBalancers:   request.GetSilent(),
		withTombstones:    request.GetEverything(),
		revisionOnly:      request.GetWithoutChanges(),
		acceptsPacked:     request.GetTakesPacked(),
		wantsFindings:     request.GetTakesFindings(),
		acceptsPages:      request.GetTakesPages(),
		wantsTestimony:    request.GetTakesTestimony(),
		testimonyAfter:    request.GetTestimonyAfter(),
		testimonyClock:    request.GetTestimonyClock(),
		reply:             make(chan *apiv1.FollowReply, 1),
		done:              ctx.Done(),
	}
	select {
	case c.followCalls <- asking:
	default:
		return nil, errTooManyFollowers
	}
	select {
	case reply := <-asking.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enqueueFollow lets a follower wait, or answers it at once when there is no room.
func (c *control) enqueueFollow(asking *followCall) {
	c.core.CallReceived(asking.caller, c.replica.Revision(), asking.receivedAt)
	c.core.AddUnlistedEntries(asking.shownBalancers, asking.receivedAt)
	c.core.HandleSilentReport(asking.silentBalancers, asking.receivedAt)
	if asking.wantsFindings {
		c.handleStrugglingReports(asking.struggling, asking.reportsStruggling, asking.receivedAt)
	}
	if asking.isFollow() {
		c.findings.updateFollower(asking.caller.Address, asking.findings, asking.receivedAt)
	}
	c.handleDemandReport(asking.caller.Address, asking.demand, asking.receivedAt)
	if len(c.waitingCalls) >= maxWaitingFollowers {
		asking.deadline = asking.receivedAt
	}
	c.waitingCalls = append(c.waitingCalls, asking)
}

// answerWaiting answers the followers for whom there is news: entries, or a
// younger confirmation than when they asked.
func (c *control) answerWaiting(now time.Time) {
	found := sync.OnceValue(func() []*apiv1.BackendFinding { return encodeFindings(c.findings.all(now)) })
	kept := c.waitingCalls[:0]
	for _, asking := range c.waitingCalls {
		if asking.disconnected() || c.answer(asking, now, found) {
			continue
		}
		c.core.RecordActivity(asking.caller.Address, now)
		kept = append(kept, asking)
	}
	clear(c.waitingCalls[len(kept):])
	c.waitingCalls = kept
}

// answer answers a follower if there is news for it, and tells whether it did.
func (c *control) answer(asking *followCall, now time.Time, found func() []*apiv1.BackendFinding) bool {
	age, known := c.core.Age(now)
	if !known && now.Before(asking.deadline) {
		return false
	}
	younger := known && now.Add(-age).Sub(asking.confirmedAt) >= paceOf(c.balancer.settings.Load()).MinAdvance
	statements := c.pendingObservations(asking, now)
	if asking.afterRevision >= c.replica.Revision() && !younger && len(statements) == 0 && now.Before(asking.deadline) {
		return false
	}
	if known && asking.wantsFullReply() && !c.fullReplies.allow(now) {
		return false // its turn comes, or its caller gives up
	}
	reply := &apiv1.FollowReply{
		AgeMilliseconds:    uint32(age.Milliseconds()) + 1,
		WaitedMilliseconds: uint32(now.Sub(asking.receivedAt).Milliseconds()),
	}
	if paged := c.pagedReply(asking, known, now); paged != nil {
		reply.Batch = &apiv1.DirectoryBatch{Revision: paged.Revision, Complete: true}
		reply.Page = paged.Page(0)
		reply.AgeMilliseconds = uint32(now.Sub(paged.ConfirmedAt).Milliseconds()) + 1
	} else {
		reply.Batch = c.batchFor(asking, known)
	}
	if asking.wantsFindings {
		reply.Findings = found()
		reply.Struggling, reply.TellsStruggling = c.strugglingReports(now), true
	}
	if asking.wantsTestimony {
		c.addObservations(reply, statements, now)
		reply.Demand = c.totalDemandFor(asking.caller.Address, now)
	}
	if !known {
		reply.AgeMilliseconds = uint32(unknownAge.Milliseconds())
		reply.Callers = c.core.Callers()
	}
	asking.reply <- reply
	return true
}

// pagedReply returns the pages of all that is known for a follower that needs all of it, or
// nil where one answer is enough.
func (c *control) pagedReply(asking *followCall, known bool, now time.Time) *replication.Pages {
	if !known || asking.revisionOnly || !asking.acceptsPages || !c.replica.NeedsSnapshot(asking.afterRevision, asking.withTombstones) {
		return nil
	}
	return c.pagesFor(asking.afterRevision, now)
}

// batchFor returns what is new to a follower, in the form that it takes.
func (c *control) batchFor(asking *followCall, known bool) *apiv1.DirectoryBatch {
	if asking.revisionOnly || !known {
		// Without a revision, the batch claims and confirms nothing.
		return &apiv1.DirectoryBatch{}
	}
	batch := c.replica.Since(asking.afterRevision)
	if asking.withTombstones {
		batch = c.replica.SinceWithTombstones(asking.afterRevision)
	}
	if !asking.acceptsPacked {
		return batch
	}
	packed, err := c.packer.Pack(batch)
	if err != nil {
		c.balancer.logger.Error("Control: routes could not be packed.", "error", err)
		return batch
	}
	return packed
}
