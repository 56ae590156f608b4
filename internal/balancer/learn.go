package balancer

import (
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/revision"
)

func (c *control) handle(carried *message.Message) {
	event, err := events.Decode(carried)
	if err != nil {
		c.balancer.logger.Error("Control: event not understood.", "error", err)
		return
	}
	if news, isNews := event.Body.(*apiv1.DirectoryNews); isNews {
		c.handleNews(news, time.Now())
	}
}

// handleNews takes the answer of the store or of a peer.
func (c *control) handleNews(news *apiv1.DirectoryNews, now time.Time) {
	asOf := c.balancer.started.Add(time.Duration(news.GetAsOfNanoseconds()))
	switch {
	case news.GetCheck():
		c.operatorCheckEnded(news, now)
	case news.GetTestified():
		c.handleTestifyResult(news, now)
	case news.GetReported():
		c.handleDemandReportResult(news, now)
	case news.GetWrite():
		c.writeEnded(news.GetError(), now)
	case news.GetPeer() == "":
		c.pollInFlight = false
		c.pollEnded(news, now)
	default:
		c.peerCallEnded(news, asOf, now)
	}
	if news.GetError() != "" {
		c.balancer.logger.Debug("Control: call failed.", "peer", news.GetPeer(), "error", news.GetError())
		return
	}
	c.countUnreadable(news)
	confirms := c.confirms(news)
	if _, knows := c.core.Age(now); !knows && confirms && isOlder(news.GetBatch(), c.replica) {
		c.replica.Clear()
	}
	c.apply(news.GetBatch(), now)
	if confirms {
		c.core.Confirm(asOf)
		c.balancer.confirmedAt.Store(int64(c.core.ConfirmedAt().Sub(c.balancer.started)))
	}
}

// isOlder tells whether all that holds is older than what was read. What a balancer reads at its
// start may be some seconds old, and if the store came back from a copy meanwhile, it is of what
// the store has lost.
func isOlder(batch *apiv1.DirectoryBatch, known *directory.Directory) bool {
	return batch.GetComplete() && batch.GetRevision() < known.Revision()
}

// confirms tells whether news say what holds in the store now. A batch without a revision is a
// part of what it holds, or comes from a peer that knows nothing itself; an old copy says what
// held, and so does what comes from an era that the store has left.
func (c *control) confirms(news *apiv1.DirectoryNews) bool {
	told := news.GetBatch().GetRevision()
	if news.GetPeer() == "" && replication.Poll(news.GetPoll()) == replication.PollStaleSnapshot {
		return false
	}
	return told > 0 && revision.EraOf(told) >= revision.EraOf(c.replica.Revision())
}

// apply takes entries, and that the store came back from a copy if they show that.
func (c *control) apply(batch *apiv1.DirectoryBatch, now time.Time) {
	before := c.replica.Revision()
	if c.replica.Apply(batch, now) {
		c.rebuildNeeded = true
		c.updateBalancers(now)
	}
	after := c.replica.Revision()
	c.balancer.era.Store(uint64(revision.EraOf(after)))
	if before == 0 || revision.EraOf(after) == revision.EraOf(before) {
		return
	}
	c.rebuildNeeded = true
	c.core.StoreRestored(c.replica.Balancers(), now)
	c.balancer.logger.Info("Control: store came back from a copy.", "era", revision.EraOf(after), "revision", revision.NumberOf(after),
		"known_to", revision.Format(before), "held", c.replica.OverrideCount())
}

// countUnreadable counts the entries of the store that could not be read.
func (c *control) countUnreadable(news *apiv1.DirectoryNews) {
	if news.GetPeer() != "" {
		return // who read the store has counted them
	}
	for _, change := range news.GetBatch().GetChanges() {
		if change.GetUnreadable() {
			c.balancer.unreadableEntries.Add(1)
		}
	}
}

// updateBalancers takes the balancers that the directory lists, if they have changed.
func (c *control) updateBalancers(now time.Time) {
	if c.replica.BalancerChanges() == c.balancerChangesSeen {
		return
	}
	c.balancerChangesSeen = c.replica.BalancerChanges()
	balancers := c.replica.Balancers()
	c.core.SetBalancers(balancers, now)
	c.balancersByZone = c.countByZone(balancers)
	c.observed.zoneBalancers = c.balancersByZone[demand.Zone(c.balancer.settings.Load().GetZone())]
	c.rankZoneBalancers(balancers)
}

// zoneCounts is how many balancers the directory lists in each zone.
type zoneCounts map[demand.Zone]int

// total is how many there are in all zones.
func (l zoneCounts) total() int {
	sum := 0
	for _, count := range l {
		sum += count
	}
	return sum
}

// countByZone counts the balancers of each zone, this one included.
func (c *control) countByZone(known []*apiv1.Balancer) zoneCounts {
	settings := c.balancer.settings.Load()
	counted := zoneCounts{demand.Zone(settings.GetZone()): 1}
	for _, balancer := range known {
		if balancer.GetName() != settings.GetName() {
			counted[demand.Zone(balancer.GetZone())]++
		}
	}
	return counted
}

func (c *control) pollEnded(news *apiv1.DirectoryNews, now time.Time) {
	switch {
	case news.GetHistoryLost():
		c.core.HistoryLost(now)
	case news.GetError() != "":
		c.core.PollFailed(now)
	default:
		if replication.Poll(news.GetPoll()) == replication.PollMembers {
			c.core.SetZoneSize(int(news.GetBatch().GetZoneSize()))
		}
		c.core.PollSucceeded(replication.Poll(news.GetPoll()), news.GetBatch().GetOnePage(), now)
	}
}

// operatorCheckEnded takes a read of what operators have written. The table of routes in it
// may be taken as it is; other orders than are known mean that a change was missed,
// and the store is read whole.
func (c *control) operatorCheckEnded(news *apiv1.DirectoryNews, now time.Time) {
	batch := news.GetBatch()
	if c.replica.Contradicts(batch) {
		c.balancer.logger.Info("Control: orders have changed unseen, the store is read whole.",
			"revision", revision.Format(batch.GetOrdersRevision()))
		c.core.HistoryLost(now)
	}
	if batch != nil {
		batch.Changes = slices.DeleteFunc(batch.GetChanges(), func(change *apiv1.DirectoryChange) bool {
			return change.GetRoutes() == nil
		})
	}
}

func (c *control) peerCallEnded(news *apiv1.DirectoryNews, asOf, now time.Time) {
	peer := replication.Peer{
		Address: news.GetPeer(),
		Purpose: replication.Purpose(news.GetPurpose()),
		Full:    news.GetEverything(),

		RevisionOnly: news.GetRevisionOnly(),
	}
	if news.GetError() != "" {
		c.core.PeerFailed(peer, now)
		return
	}
	c.core.PeerAnswered(peer, asOf, now)
	c.core.AddCallers(news.GetCallers())
	if peer.Purpose == replication.PurposeFollow && c.core.SharesOrder(peer.Address) {
		c.handleStrugglingReports(news.GetStruggling(), news.GetTellsStruggling(), now)
		c.findings.updateParent(news.GetFindings(), now)
	}
	if peer.Purpose == replication.PurposeFollow {
		c.handleParentObservations(news, now)
		c.handleTotalDemand(news, now)
	}
}
