package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// follower is a call of another balancer that waits for news.
type follower struct {
	caller  replication.Caller
	after   uint64
	takenAt time.Time
	// minAggregatePressure is when the follower's own knowledge was confirmed.
	confirmedAt time.Time
	until       time.Time
	findings    []*apiv1.BackendFinding
	demand      *apiv1.DemandReport
	struggling  []*apiv1.Struggling
	// tellsStruggling is set when it would tell who struggles.
	tellsStruggling bool
	// shown and silent are what it passes on about balancers.
	shown  []*apiv1.Balancer
	silent []string
	// everything is set when it asks for tombstones too, and withoutChanges when
	// for the revision only.
	everything, withoutChanges bool
	// takesPacked tells whether the follower understands packed tables, and
	// takesFindings whether it wants the findings of all.
	takesPacked, takesFindings bool
	// takesPages tells whether it understands answers in pages.
	takesPages bool
	// takesTestimony tells whether it wants what is seen of back ends that may be
	// dead; testimonyAfter is up to where it was told by the clock testimonyClock.
	takesTestimony                 bool
	testimonyAfter, testimonyClock uint64
	reply                          chan *apiv1.FollowReply
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
	if request.GetPage() > 0 {
		return c.pages.page(request)
	}
	now := time.Now()
	age := time.Duration(request.GetAgeMilliseconds()) * time.Millisecond
	asking := &follower{
		caller: replication.Caller{
			Address:     request.GetFromAddress(),
			Knows:       age < unknownAge,
			Revision:    request.GetAfter(),
			ConfirmedAt: now.Add(-age),
		},
		after:           request.GetAfter(),
		takenAt:         now,
		confirmedAt:     now.Add(-age),
		until:           now.Add(time.Duration(request.GetWaitMilliseconds()) * time.Millisecond),
		findings:        request.GetFindings(),
		demand:          request.GetDemand(),
		struggling:      request.GetStruggling(),
		tellsStruggling: request.GetTellsStruggling(),
		shown:           request.GetShown(),
		silent:          request.GetSilent(),
		everything:      request.GetEverything(),
		withoutChanges:  request.GetWithoutChanges(),
		takesPacked:     request.GetTakesPacked(),
		takesFindings:   request.GetTakesFindings(),
		takesPages:      request.GetTakesPages(),
		takesTestimony:  request.GetTakesTestimony(),
		testimonyAfter:  request.GetTestimonyAfter(),
		testimonyClock:  request.GetTestimonyClock(),
		reply:           make(chan *apiv1.FollowReply, 1),
		gone:            ctx.Done(),
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
	if asking.takesFindings {
		c.handleStrugglingReports(asking.struggling, asking.tellsStruggling, asking.takenAt)
	}
	if asking.follows() {
		c.findings.updateFollower(asking.caller.Address, asking.findings, asking.takenAt)
	}
	c.handleDemandReport(asking.caller.Address, asking.demand, asking.takenAt)
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
	statements := c.pendingObservations(asking, now)
	if asking.after >= c.known.Revision() && !younger && len(statements) == 0 && now.Before(asking.until) {
		return false
	}
	if known && asking.takesEverything() && !c.complete.take(now) {
		return false // its turn comes, or its caller gives up
	}
	reply := &apiv1.FollowReply{
		AgeMilliseconds:    uint32(age.Milliseconds()) + 1,
		WaitedMilliseconds: uint32(now.Sub(asking.takenAt).Milliseconds()),
	}
	if paged := c.pagedNews(asking, known, now); paged != nil {
		reply.Batch = &apiv1.DirectoryBatch{Revision: paged.Revision, Complete: true}
		reply.Page = paged.Page(0)
		reply.AgeMilliseconds = uint32(now.Sub(paged.ConfirmedAt).Milliseconds()) + 1
	} else {
		reply.Batch = c.newsFor(asking, known)
	}
	if asking.takesFindings {
		reply.Findings = found()
		reply.Struggling, reply.TellsStruggling = c.strugglingReports(now), true
	}
	if asking.takesTestimony {
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

// pagedNews returns the pages of all that is known for a follower that needs all of it, or
// nil where one answer is enough.
func (c *control) pagedNews(asking *follower, known bool, now time.Time) *replication.Pages {
	if !known || asking.withoutChanges || !asking.takesPages || !c.known.NeedsAll(asking.after, asking.everything) {
		return nil
	}
	return c.pagesFor(asking.after, now)
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
