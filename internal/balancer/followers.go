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
	// confirmedAt is when the follower's own data was last confirmed.
	confirmedAt time.Time
	deadline    time.Time
	findings    []*apiv1.BackendFinding
	demand      *apiv1.DemandReport
	struggling  []*apiv1.Struggling
	// reportsStruggling is set when the follower is able to report which balancers are
	// struggling.
	reportsStruggling bool
	// shownBalancers and silentBalancers are what the follower passes on about balancers.
	shownBalancers  []*apiv1.Balancer
	silentBalancers []string
	// withTombstones is set when the follower asks for tombstones too, and revisionOnly
	// when it asks for nothing but the revision.
	withTombstones, revisionOnly bool
	// acceptsPacked is set when the follower understands packed route tables, and
	// wantsFindings when it asks for the findings of all balancers.
	acceptsPacked, wantsFindings bool
	// acceptsPages is set when the follower understands answers in pages.
	acceptsPages bool
	// wantsObservations is set when the follower asks for observations of back ends that may
	// be dead. observationsAfter is the sequence number up to which it has already received
	// them, as counted by the process whose clock has the ID observationsClock.
	wantsObservations                    bool
	observationsAfter, observationsClock uint64
	reply                                chan *apiv1.FollowReply
	// done is closed when the follower's connection has ended.
	done <-chan struct{}
}

// isFollow reports whether the call comes from a balancer that follows this one. Calls
// that only report, ask or fetch bring no findings.
func (f *followCall) isFollow() bool {
	return len(f.findings) > 0 || f.deadline.After(f.receivedAt) && !f.revisionOnly
}

// wantsFullReply reports whether the answer holds the whole directory.
func (f *followCall) wantsFullReply() bool { return f.afterRevision == 0 && !f.revisionOnly }

// fullReplyLimiter limits the rate of answers that hold the whole directory. When the
// whole fleet starts, many balancers ask at once for what may be hundreds of kilobytes
// each.
type fullReplyLimiter struct {
	windowStart time.Time
	sent        int
}

const (
	// fullReplyLimit is how many such answers may be sent within fullReplyWindow. It is
	// the number of balancers that follow a powerful one.
	fullReplyLimit  = 2 * replication.DefaultTreeFanout
	fullReplyWindow = 200 * time.Millisecond
)

// allow reports whether one more answer may be sent now.
func (a *fullReplyLimiter) allow(now time.Time) bool {
	if now.Sub(a.windowStart) >= fullReplyWindow {
		a.windowStart, a.sent = now, 0
	}
	a.sent++
	return a.sent <= fullReplyLimit
}

// disconnected reports whether the caller no longer waits for the answer.
func (f *followCall) disconnected() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// errTooManyFollowers is returned to a caller when too many balancers already follow this
// one.
var errTooManyFollowers = errors.New("too many balancers follow this one; ask another")

// Follow implements replication.Handler. It runs in the goroutine of the call.
func (c *control) Follow(ctx context.Context, request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	if request.GetPage() > 0 {
		return c.pageCache.serve(request)
	}
	now := time.Now()
	age := time.Duration(request.GetAgeMilliseconds()) * time.Millisecond
	call := &followCall{
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
		wantsObservations: request.GetTakesTestimony(),
		observationsAfter: request.GetTestimonyAfter(),
		observationsClock: request.GetTestimonyClock(),
		reply:             make(chan *apiv1.FollowReply, 1),
		done:              ctx.Done(),
	}
	select {
	case c.followCalls <- call:
	default:
		return nil, errTooManyFollowers
	}
	select {
	case reply := <-call.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// enqueueFollow lets a follower wait for news, or lets it be answered at once when too
// many are waiting.
func (c *control) enqueueFollow(call *followCall) {
	c.core.CallReceived(call.caller, c.replica.Revision(), call.receivedAt)
	c.core.AddUnlistedEntries(call.shownBalancers, call.receivedAt)
	c.core.HandleSilentReport(call.silentBalancers, call.receivedAt)
	if call.wantsFindings {
		c.handleStrugglingReports(call.struggling, call.reportsStruggling, call.receivedAt)
	}
	if call.isFollow() {
		c.findings.updateFollower(call.caller.Address, call.findings, call.receivedAt)
	}
	c.handleDemandReport(call.caller.Address, call.demand, call.receivedAt)
	if len(c.waitingCalls) >= maxWaitingFollowers {
		call.deadline = call.receivedAt
	}
	c.waitingCalls = append(c.waitingCalls, call)
}

// answerWaiting answers the followers for which there is news: entries, or a confirmation
// more recent than the one that they had when they asked.
func (c *control) answerWaiting(now time.Time) {
	allFindings := sync.OnceValue(func() []*apiv1.BackendFinding { return encodeFindings(c.findings.all(now)) })
	remaining := c.waitingCalls[:0]
	for _, call := range c.waitingCalls {
		if call.disconnected() || c.answer(call, now, allFindings) {
			continue
		}
		c.core.RecordActivity(call.caller.Address, now)
		remaining = append(remaining, call)
	}
	clear(c.waitingCalls[len(remaining):])
	c.waitingCalls = remaining
}

// answer answers a follower if there is news for it, and reports whether it did.
func (c *control) answer(call *followCall, now time.Time, allFindings func() []*apiv1.BackendFinding) bool {
	age, known := c.core.Age(now)
	if !known && now.Before(call.deadline) {
		return false
	}
	fresher := known && now.Add(-age).Sub(call.confirmedAt) >= timingOf(c.balancer.settings.Load()).MinAdvance
	observations := c.pendingObservations(call, now)
	if call.afterRevision >= c.replica.Revision() && !fresher && len(observations) == 0 && now.Before(call.deadline) {
		return false
	}
	if known && call.wantsFullReply() && !c.fullReplies.allow(now) {
		return false // it is answered in a later window, or its caller gives up
	}
	reply := &apiv1.FollowReply{
		AgeMilliseconds:    uint32(age.Milliseconds()) + 1,
		WaitedMilliseconds: uint32(now.Sub(call.receivedAt).Milliseconds()),
	}
	if pages := c.pagedReply(call, known, now); pages != nil {
		reply.Batch = &apiv1.DirectoryBatch{Revision: pages.Revision, Complete: true}
		reply.Page = pages.Page(0)
		reply.AgeMilliseconds = uint32(now.Sub(pages.ConfirmedAt).Milliseconds()) + 1
	} else {
		reply.Batch = c.batchFor(call, known)
	}
	if call.wantsFindings {
		reply.Findings = allFindings()
		reply.Struggling, reply.TellsStruggling = c.strugglingReports(now), true
	}
	if call.wantsObservations {
		c.addObservations(reply, observations, now)
		reply.Demand = c.totalDemandFor(call.caller.Address, now)
	}
	if !known {
		reply.AgeMilliseconds = uint32(unknownAge.Milliseconds())
		reply.Callers = c.core.Callers()
	}
	call.reply <- reply
	return true
}

// pagedReply returns the pages of the whole directory for a follower that needs all of it,
// or nil where a single answer is enough.
func (c *control) pagedReply(call *followCall, known bool, now time.Time) *replication.Pages {
	if !known || call.revisionOnly || !call.acceptsPages || !c.replica.NeedsSnapshot(call.afterRevision, call.withTombstones) {
		return nil
	}
	return c.pagesFor(call.afterRevision, now)
}

// batchFor returns what is new to a follower, in an encoding that it accepts.
func (c *control) batchFor(call *followCall, known bool) *apiv1.DirectoryBatch {
	if call.revisionOnly || !known {
		// Without a revision, the batch states and confirms nothing.
		return &apiv1.DirectoryBatch{}
	}
	batch := c.replica.Since(call.afterRevision)
	if call.withTombstones {
		batch = c.replica.SinceWithTombstones(call.afterRevision)
	}
	if !call.acceptsPacked {
		return batch
	}
	packed, err := c.packer.Pack(batch)
	if err != nil {
		c.balancer.logger.Error("Control: route table could not be packed.", "error", err)
		return batch
	}
	return packed
}
