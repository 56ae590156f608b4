package balancer

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

const (
	// storeTimeout bounds a call to the store. A slow store answers within half of it.
	storeTimeout = time.Second
	// snapshotTimeout bounds the reading of all pages of a large store.
	snapshotTimeout = 10 * time.Second
)

// poll reads the store once and publishes the result.
func (c *control) poll(ctx context.Context, kind replication.Poll, purpose storePurpose, after uint64, now time.Time) {
	batch, err := c.read(ctx, kind, after)
	c.balancer.storeCalls[purpose].count(err)
	news := &apiv1.DirectoryNews{
		Batch:           batch,
		AsOfNanoseconds: int64(now.Sub(c.balancer.started)),
		Poll:            uint32(kind),
		HistoryLost:     errors.Is(err, ErrHistoryLost),

		LeftBeforeNanoseconds: int64(time.Since(c.balancer.started)),
	}
	c.publish(ctx, news, err)
}

func (c *control) read(ctx context.Context, kind replication.Poll, after uint64) (*apiv1.DirectoryBatch, error) {
	store := c.balancer.dependencies.Store
	switch kind {
	case replication.PollSnapshot:
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return store.Snapshot(ctx, math.MaxInt)
	case replication.PollStaleSnapshot:
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return store.StaleSnapshot(ctx)
	case replication.PollChanges:
		wait := timingOf(c.balancer.settings.Load()).ChangesWait
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
	case replication.PollPing:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return nil, store.Ping(ctx)
	case replication.PollNone, replication.PollFirstPage:
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.Snapshot(ctx, 1)
}

// checkOperatorEntries reads only what operators have written. A large store is followed
// by its changes; operators' entries must not be missed, so they are also checked
// directly.
func (c *control) checkOperatorEntries(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	batch, err := c.balancer.dependencies.Store.OperatorEntries(callCtx)
	c.balancer.storeCalls[storeAudit].count(err)
	c.publish(ctx, &apiv1.DirectoryNews{Batch: batch, Check: true}, err)
}

// startPeerCalls starts the calls to other balancers that are due.
func (c *control) startPeerCalls(ctx context.Context, now time.Time) {
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
		go c.callPeer(ctx, c.clientFor(peer), peer, c.requestTo(peer, age, now))
	}
}

// requestTo returns the request for a call to a peer. It states the revision and the age of
// this balancer's replica. A follow call also carries the reports for the parent.
func (c *control) requestTo(peer replication.Peer, age time.Duration, now time.Time) *apiv1.FollowRequest {
	settings := c.balancer.settings.Load()
	request := &apiv1.FollowRequest{
		From:            settings.GetName(),
		FromAddress:     settings.GetPeerAddress(),
		After:           c.replica.Revision(),
		AgeMilliseconds: uint32(age.Milliseconds()),
	}
	request.Everything = peer.Full
	if peer.Waits() {
		request.WaitMilliseconds = uint32(replication.FollowWait.Milliseconds())
	}
	request.WithoutChanges = peer.RevisionOnly
	if peer.Purpose == replication.PurposeFollow {
		if peer.Address == c.observations.parent {
			request.TestimonyAfter, request.TestimonyClock = c.observations.receivedSequence, c.observations.parentClock.ID
		}
		request.TakesTestimony = true
		request.Demand = c.demandReportFor(peer.Address, false, now)
		if c.core.SharesOrder(peer.Address) {
			// A balancer of another zone has hardly sent to the same back ends, but would
			// count as one more observer, which may find something by chance.
			request.Findings = encodeFindings(c.findings.subtree(now))
			request.TakesFindings = true
			request.Struggling, request.TellsStruggling = c.strugglingReports(now), true
		}
		request.Shown = c.core.UnlistedEntries(now)
		request.Silent = c.core.SilentBalancers(now)
	}
	return request
}

// callPeer asks a peer for news once. The peer's data was confirmed no earlier than its
// reported age before the answer was sent, and the answer was sent no earlier than the
// request plus the time that the request waited at the peer.
func (c *control) callPeer(ctx context.Context, client *replication.Client, peer replication.Peer, request *apiv1.FollowRequest) {
	if client != c.client {
		defer client.Close()
	}
	reply, sent, err := client.Follow(ctx, peer.Address, request)
	c.balancer.peerCalls.count(err)
	left := sent.Add(time.Duration(reply.GetWaitedMilliseconds()) * time.Millisecond)
	asOf := left.Add(-time.Duration(reply.GetAgeMilliseconds()) * time.Millisecond)
	c.publish(ctx, &apiv1.DirectoryNews{
		Batch:           reply.GetBatch(),
		AsOfNanoseconds: int64(asOf.Sub(c.balancer.started)),
		Peer:            peer.Address,
		Everything:      peer.Full,
		RevisionOnly:    peer.RevisionOnly,
		Purpose:         uint32(peer.Purpose),
		Callers:         reply.GetCallers(),
		Findings:        reply.GetFindings(),
		Demand:          reply.GetDemand(),
		Struggling:      reply.GetStruggling(),
		TellsStruggling: reply.GetTellsStruggling(),

		Testimony:             reply.GetTestimony(),
		TestimonyLatest:       reply.GetTestimonyLatest(),
		Clock:                 reply.GetClock(),
		ClockMilliseconds:     reply.GetClockMilliseconds(),
		LeftAfterNanoseconds:  int64(left.Sub(c.balancer.started)),
		LeftBeforeNanoseconds: int64(time.Since(c.balancer.started)),
	}, err)
}

// clientFor returns the client for a call. The connection to the balancer that this one
// follows is kept; calls for other purposes rarely go to the same balancer twice.
func (c *control) clientFor(peer replication.Peer) *replication.Client {
	if peer.Purpose == replication.PurposeFollow {
		return c.client
	}
	client := replication.NewClient(c.balancer.logger)
	client.DialTimeout = c.core.DialTimeout(peer.Address)
	return client
}

func (c *control) publish(ctx context.Context, news *apiv1.DirectoryNews, failure error) {
	if failure != nil {
		news.Error = failure.Error()
	}
	err := c.balancer.bus.Publish(events.Event{Kind: events.KindDirectoryNews, Body: news})
	if err != nil && ctx.Err() == nil {
		c.balancer.logger.Error("Control: event could not be published.", "error", err)
	}
}

// unknownAge is the age reported for data that was never confirmed.
const unknownAge = 1000 * time.Hour
