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

func (c *control) handle(msg *message.Message) {
	event, err := events.Decode(msg)
	if err != nil {
		c.balancer.logger.Error("Control: event could not be decoded.", "error", err)
		return
	}
	if news, isNews := event.Body.(*apiv1.DirectoryNews); isNews {
		c.handleNews(news, time.Now())
	}
}

// handleNews applies the answer of the store or of a peer.
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
		c.staleSpell.recordStoreCall(time.Duration(news.GetLeftBeforeNanoseconds()-news.GetAsOfNanoseconds()), news.GetError() != "")
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
	age, hasData := c.core.Age(now)
	if !hasData && confirms && isOlder(news.GetBatch(), c.replica) {
		c.replica.Clear()
	}
	if confirms && hasData {
		c.recordNews(age, now)
		c.logStaleSpell(news, age, now)
	}
	if hasData && news.GetPeer() == "" && replication.Poll(news.GetPoll()) == replication.PollStaleSnapshot {
		c.recordNews(age, now)
	}
	c.apply(news.GetBatch(), now)
	if confirms {
		c.core.Confirm(asOf)
		c.balancer.confirmedAt.Store(int64(c.core.ConfirmedAt().Sub(c.balancer.started)))
	}
}

// logStaleSpell logs how old the data has become if news confirms it after it was stale,
// and which part of that time is due to calls, and to the control goroutine.
func (c *control) logStaleSpell(news *apiv1.DirectoryNews, age time.Duration, now time.Time) {
	if age > timingOf(c.balancer.settings.Load()).StaleAge {
		endedAt := c.balancer.started.Add(time.Duration(news.GetLeftBeforeNanoseconds()))
		c.balancer.logger.Info("Control: stale data was confirmed.", "age", age.Round(time.Millisecond), "peer", news.GetPeer(),
			"failed_store_calls", c.staleSpell.failedCalls, "longest_store_call", c.staleSpell.longestCall.Round(time.Millisecond),
			"handled_after", now.Sub(endedAt).Round(time.Millisecond))
	}
	c.staleSpell = staleSpell{}
}

// isOlder reports whether batch is a complete read of the store with an earlier revision
// than the replica. A starting balancer may have read data that is some seconds old; if the
// store was restored from a backup meanwhile, that data contains writes that the store has
// lost.
func isOlder(batch *apiv1.DirectoryBatch, replica *directory.Directory) bool {
	return batch.GetComplete() && batch.GetRevision() < replica.Revision()
}

// confirms reports whether news states what the store holds now. A batch without a
// revision is only a part of the store's content, or comes from a peer that has no data
// itself. A stale snapshot states what the store held earlier, and so does a batch from an
// era that the store has left.
func (c *control) confirms(news *apiv1.DirectoryNews) bool {
	batchRevision := news.GetBatch().GetRevision()
	if news.GetPeer() == "" && replication.Poll(news.GetPoll()) == replication.PollStaleSnapshot {
		return false
	}
	return batchRevision > 0 && revision.EraOf(batchRevision) >= revision.EraOf(c.replica.Revision())
}

// apply applies entries to the directory, and handles a restore of the store from a backup
// if their revision shows one.
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

// countUnreadable counts the entries of the store that could not be decoded.
func (c *control) countUnreadable(news *apiv1.DirectoryNews) {
	if news.GetPeer() != "" {
		return // counted by the balancer that read the store
	}
	for _, change := range news.GetBatch().GetChanges() {
		if change.GetUnreadable() {
			c.balancer.unreadableEntries.Add(1)
		}
	}
}

// updateBalancers updates everything that depends on the balancers listed in the directory,
// if they have changed.
func (c *control) updateBalancers(now time.Time) {
	if c.replica.BalancerChanges() == c.balancerChangesSeen {
		return
	}
	c.balancerChangesSeen = c.replica.BalancerChanges()
	balancers := c.replica.Balancers()
	c.core.SetBalancers(balancers, now)
	c.balancersByZone = c.countByZone(balancers)
	c.weightInputs.zoneBalancers = c.balancersByZone[demand.Zone(c.balancer.settings.Load().GetZone())]
	c.rankZoneBalancers(balancers)
}

// zoneCounts holds the number of balancers that the directory lists in each zone.
type zoneCounts map[demand.Zone]int

// total returns the number of balancers in all zones.
func (l zoneCounts) total() int {
	sum := 0
	for _, count := range l {
		sum += count
	}
	return sum
}

// countByZone counts the balancers of each zone, this one included.
func (c *control) countByZone(balancers []*apiv1.Balancer) zoneCounts {
	settings := c.balancer.settings.Load()
	counts := zoneCounts{demand.Zone(settings.GetZone()): 1}
	for _, balancer := range balancers {
		if balancer.GetName() != settings.GetName() {
			counts[demand.Zone(balancer.GetZone())]++
		}
	}
	return counts
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

// operatorCheckEnded handles the result of a read of the operators' entries. The route
// table in it can be applied directly. Orders that differ from those in the replica mean that a
// change was missed, so the whole store is read.
func (c *control) operatorCheckEnded(news *apiv1.DirectoryNews, now time.Time) {
	batch := news.GetBatch()
	if c.replica.Contradicts(batch) {
		c.balancer.logger.Info("Control: operator orders differ from the directory, reading the whole store.",
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
