// Package explain records routing decisions in a log of bounded size, so that an
// operator can find out later why a flow was sent to a back end.
//
// Create a [DecisionLog] with [New], add each view that comes into use with
// [DecisionLog.AddView], and record decisions with [DecisionLog.Decided]. A record
// is small and holds only the version of the view under which the decision was
// made; the views are stored separately, since many decisions share one. An
// explanation says when a decision or its view has aged out of the log; it never
// guesses.
package explain

import (
	"fmt"
	"sort"
	"sync"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// ViewDetails holds a view and what is needed to explain the decisions made under
// it.
type ViewDetails struct {
	Version uint64
	View    *router.View
	// Backends holds the names of the back ends by number.
	Backends map[uint32]string
	// Policies holds the name of each service's policy.
	Policies map[string]string
	// Reasons holds, by the number of a back end, why it has its weight or its
	// leaving mark.
	Reasons map[uint32]string
}

// record is one decision. It takes 40 bytes.
type record struct {
	key     flow.Key
	path    router.Path
	at      uint32
	backend uint32
	version uint64
}

// shardCount is the number of ring buffers. Each has a mutex of its own, so that
// decisions about different flows seldom contend for one.
const shardCount = 16

// ringBuffer holds the newest decisions about the flows of one shard.
type ringBuffer struct {
	mutex   sync.Mutex
	records []record
	next    int
	full    bool
}

// DecisionLog holds the newest decisions and the details of the newest views. It is
// safe for use by many goroutines.
type DecisionLog struct {
	shards        [shardCount]ringBuffer
	mutex         sync.RWMutex
	views         map[uint64]*ViewDetails
	newestVersion uint64
	startTime     time.Time
}

// maximumViews is the number of views that are kept.
const maximumViews = 128

// New returns a log of about size decisions. startTime is the node's start, from
// which the times of decisions are counted.
func New(size int, startTime time.Time) *DecisionLog {
	decisionLog := &DecisionLog{views: make(map[uint64]*ViewDetails), startTime: startTime}
	for index := range decisionLog.shards {
		decisionLog.shards[index].records = make([]record, max(1, size/shardCount))
	}
	return decisionLog
}

// AddView stores the details of a view that comes into use. Later decisions are
// recorded under it.
func (decisionLog *DecisionLog) AddView(details *ViewDetails) {
	decisionLog.mutex.Lock()
	defer decisionLog.mutex.Unlock()
	decisionLog.views[details.Version] = details
	decisionLog.newestVersion = details.Version
	delete(decisionLog.views, details.Version-maximumViews)
}

// Decided records a decision about a flow: the path by which it was reached
// and the back end. now is the number of milliseconds since the node's start.
// Decided implements dataplane.Observer.
func (decisionLog *DecisionLog) Decided(now uint32, key flow.Key, path router.Path, backend uint32) {
	decisionLog.mutex.RLock()
	version := decisionLog.newestVersion
	decisionLog.mutex.RUnlock()
	shard := &decisionLog.shards[key.Hash()%shardCount]
	shard.mutex.Lock()
	shard.records[shard.next] = record{key: key, path: path, at: now, backend: backend, version: version}
	shard.next++
	if shard.next == len(shard.records) {
		shard.next, shard.full = 0, true
	}
	shard.mutex.Unlock()
}

// Explain returns the recorded decisions about a flow, oldest first, or a note why
// there are none. node is the name of this node.
func (decisionLog *DecisionLog) Explain(node string, key flow.Key) *apiv1.Explanation {
	explanation := &apiv1.Explanation{Node: node, Flow: key.String()}
	records, oldest, full := decisionLog.find(key)
	for _, found := range records {
		explanation.Decisions = append(explanation.Decisions, decisionLog.describe(found))
	}
	switch {
	case len(records) > 0:
	case full:
		explanation.Note = fmt.Sprintf("no decision about this flow is kept; decisions before %s have aged out",
			decisionLog.time(oldest).UTC().Format(time.RFC3339))
	default:
		explanation.Note = "this node has decided nothing about this flow since its start"
	}
	return explanation
}

// RecentFlows returns the flows of at most count of the newest decisions, newest
// first.
func (decisionLog *DecisionLog) RecentFlows(count int) []string {
	var newest []record
	for number := range decisionLog.shards {
		shard := &decisionLog.shards[number]
		shard.mutex.Lock()
		for age := 1; age <= min(count, len(shard.records)); age++ {
			index := (shard.next - age + len(shard.records)) % len(shard.records)
			if index < shard.next || shard.full {
				newest = append(newest, shard.records[index])
			}
		}
		shard.mutex.Unlock()
	}
	sort.SliceStable(newest, func(i, j int) bool { return newest[i].at > newest[j].at })
	var flows []string
	for _, found := range newest[:min(count, len(newest))] {
		flows = append(flows, found.key.String())
	}
	return flows
}

// time converts milliseconds since the node's start to a time.
func (decisionLog *DecisionLog) time(at uint32) time.Time {
	return decisionLog.startTime.Add(time.Duration(at) * time.Millisecond)
}

// find returns the recorded decisions about a flow, the time of the oldest decision
// in its shard, and whether the shard is full, so that older ones are overwritten.
func (decisionLog *DecisionLog) find(key flow.Key) (found []record, oldest uint32, full bool) {
	shard := &decisionLog.shards[key.Hash()%shardCount]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	start, count := 0, shard.next
	if shard.full {
		start, count = shard.next, len(shard.records)
	}
	for offset := range count {
		candidate := shard.records[(start+offset)%len(shard.records)]
		if offset == 0 {
			oldest = candidate.at
		}
		if candidate.key == key {
			found = append(found, candidate)
		}
	}
	return found, oldest, shard.full
}

// describe combines a record with the details of its view, if those are still kept.
func (decisionLog *DecisionLog) describe(found record) *apiv1.Decision {
	decision := &apiv1.Decision{
		UnixMilliseconds: decisionLog.time(found.at).UnixMilli(),
		Path:             found.path.String(),
		Backend:          fmt.Sprintf("#%d", found.backend),
	}
	decisionLog.mutex.RLock()
	details := decisionLog.views[found.version]
	decisionLog.mutex.RUnlock()
	if details == nil {
		decision.Reason = "the facts of this decision have aged out"
		return decision
	}
	view := details.View
	decision.Service = view.Service(found.key.Address())
	decision.Policy = details.Policies[decision.Service]
	decision.SettledNumber = view.Settled.Number
	decision.ConfigurationRevision = view.Settled.Revision
	decision.Phase = view.Phase.String()
	if view.Pending != nil {
		decision.PendingNumber = view.Pending.Number
	}
	if name := details.Backends[found.backend]; name != "" {
		decision.Backend = name
	}
	decision.Reason = pathReason(found.path)
	decision.Candidates = candidateReports(details, found)
	return decision
}

// pathReason returns the text that explains why a decision took a path.
func pathReason(path router.Path) string {
	switch path {
	case router.PathLocal:
		return "this node had already bound the flow"
	case router.PathSettled:
		return "the settled rule decides, and no record names another back end"
	case router.PathPending:
		return "the pending rule decides, and no record names another back end"
	case router.PathKeeper:
		return "the rules at hand differ for this flow, or it may be displaced, so its keepers were asked"
	case router.PathRefusedOverload:
		return "the flow table was nearly full; the flow was not opened"
	case router.PathRefusedNoBackend:
		return "no back end took new flows; the flow was not opened"
	case router.PathRefusedNoService:
		return "no service has this address; nothing was forwarded"
	case router.PathDroppedNoContact:
		return "the node was out of contact with its group and did not know the flow"
	case router.PathDroppedNotReady:
		return "the node or the service was not ready"
	case router.PathDroppedRejoin:
		return "a node that was cut off was recording its flows; the packet came again later"
	case router.PathDroppedKeepers:
		return "the keepers did not answer in time"
	}
	return ""
}

// candidateReports returns the back ends ordered by their score under the rule for
// new flows, with the reason why each was or was not chosen.
func candidateReports(details *ViewDetails, found record) []*apiv1.CandidateReport {
	proposal := details.View.Proposal(found.key.Address())
	if proposal == nil {
		return nil
	}
	var reports []*apiv1.CandidateReport
	for rank, score := range proposal.Score(found.key.Hash()) {
		report := &apiv1.CandidateReport{
			Backend: details.Backends[score.Backend],
			Weight:  score.Weight,
			Score:   score.Value >> 16,
			Verdict: candidateVerdict(details, found, score, rank),
		}
		reports = append(reports, report)
	}
	return reports
}

// candidateVerdict returns why a back end was or was not chosen. rank is its index in
// the order of scores.
func candidateVerdict(details *ViewDetails, found record, score rule.Score, rank int) string {
	reason := details.Reasons[score.Backend]
	switch {
	case score.Backend == found.backend:
		return "chosen"
	case details.View.KnownMarks[score.Backend]:
		return "leaving: " + reason
	case score.Weight == 0:
		return "takes no new flows: " + reason
	case rank == 0:
		return "best by the rule now, but the flow was bound before"
	}
	return "higher score than the chosen one"
}
