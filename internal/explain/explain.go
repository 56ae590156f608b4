// Package explain keeps a bounded memory of routing decisions, so that an
// operator can ask afterwards why a flow went where it went.
//
// A record is small and names the view under which the decision was made; the
// views themselves are kept apart, since many decisions share one. What has
// aged out is said, never guessed.
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

// ViewDetails are what a view rested on.
type ViewDetails struct {
	Version uint64
	View    *router.View
	// Backends names the back ends by number.
	Backends map[uint32]string
	// Policies names the policy of each service.
	Policies map[string]string
	// Reasons say why a back end has its weight or its mark.
	Reasons map[uint32]string
}

// record is one decision: 40 bytes.
type record struct {
	key     flow.Key
	path    router.Path
	at      uint32
	backend uint32
	version uint64
}

const shardCount = 16

type ringBuffer struct {
	mutex   sync.Mutex
	records []record
	next    int
	full    bool
}

// DecisionLog keeps decisions and facts. It is safe for use by many goroutines.
type DecisionLog struct {
	shards        [shardCount]ringBuffer
	mutex         sync.RWMutex
	views         map[uint64]*ViewDetails
	newestVersion uint64
	startTime     time.Time
}

// maximumViews bounds the views kept.
const maximumViews = 128

// New makes a memory of about so many decisions; started is the node's start.
func New(size int, started time.Time) *DecisionLog {
	memory := &DecisionLog{views: make(map[uint64]*ViewDetails), startTime: started}
	for index := range memory.shards {
		memory.shards[index].records = make([]record, max(1, size/shardCount))
	}
	return memory
}

// AddView keeps the facts of a view that comes into use.
func (memory *DecisionLog) AddView(facts *ViewDetails) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.views[facts.Version] = facts
	memory.newestVersion = facts.Version
	delete(memory.views, facts.Version-maximumViews)
}

// Decided records a decision. It implements dataplane.Observer.
func (memory *DecisionLog) Decided(now uint32, key flow.Key, path router.Path, backend uint32) {
	memory.mutex.RLock()
	version := memory.newestVersion
	memory.mutex.RUnlock()
	part := &memory.shards[key.Hash()%shardCount]
	part.mutex.Lock()
	part.records[part.next] = record{key: key, path: path, at: now, backend: backend, version: version}
	part.next++
	if part.next == len(part.records) {
		part.next, part.full = 0, true
	}
	part.mutex.Unlock()
}

// Explain returns what is known of a flow, oldest decision first.
func (memory *DecisionLog) Explain(node string, key flow.Key) *apiv1.Explanation {
	explanation := &apiv1.Explanation{Node: node, Flow: key.String()}
	records, oldest, full := memory.find(key)
	for _, found := range records {
		explanation.Decisions = append(explanation.Decisions, memory.describe(found))
	}
	switch {
	case len(records) > 0:
	case full:
		explanation.Note = fmt.Sprintf("no decision about this flow is kept; decisions before %s have aged out",
			memory.time(oldest).UTC().Format(time.RFC3339))
	default:
		explanation.Note = "this node has decided nothing about this flow since its start"
	}
	return explanation
}

// RecentFlows lists the flows of the newest decisions, newest first.
func (memory *DecisionLog) RecentFlows(count int) []string {
	var newest []record
	for index := range memory.shards {
		part := &memory.shards[index]
		part.mutex.Lock()
		for back := 1; back <= min(count, len(part.records)); back++ {
			place := (part.next - back + len(part.records)) % len(part.records)
			if place < part.next || part.full {
				newest = append(newest, part.records[place])
			}
		}
		part.mutex.Unlock()
	}
	sort.SliceStable(newest, func(i, j int) bool { return newest[i].at > newest[j].at })
	var flows []string
	for _, found := range newest[:min(count, len(newest))] {
		flows = append(flows, found.key.String())
	}
	return flows
}

func (memory *DecisionLog) time(at uint32) time.Time {
	return memory.startTime.Add(time.Duration(at) * time.Millisecond)
}

func (memory *DecisionLog) find(key flow.Key) (found []record, oldest uint32, full bool) {
	part := &memory.shards[key.Hash()%shardCount]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	start, count := 0, part.next
	if part.full {
		start, count = part.next, len(part.records)
	}
	for offset := range count {
		candidate := part.records[(start+offset)%len(part.records)]
		if offset == 0 {
			oldest = candidate.at
		}
		if candidate.key == key {
			found = append(found, candidate)
		}
	}
	return found, oldest, part.full
}

func (memory *DecisionLog) describe(found record) *apiv1.Decision {
	decision := &apiv1.Decision{
		UnixMilliseconds: memory.time(found.at).UnixMilli(),
		Path:             found.path.String(),
		Backend:          fmt.Sprintf("#%d", found.backend),
	}
	memory.mutex.RLock()
	facts := memory.views[found.version]
	memory.mutex.RUnlock()
	if facts == nil {
		decision.Reason = "the facts of this decision have aged out"
		return decision
	}
	view := facts.View
	decision.Service = view.Service(found.key.Address())
	decision.Policy = facts.Policies[decision.Service]
	decision.SettledNumber = view.Settled.Number
	decision.ConfigurationRevision = view.Settled.Revision
	decision.Phase = view.Phase.String()
	if view.Pending != nil {
		decision.PendingNumber = view.Pending.Number
	}
	if name := facts.Backends[found.backend]; name != "" {
		decision.Backend = name
	}
	decision.Reason = pathReason(found.path)
	decision.Candidates = candidateReports(facts, found)
	return decision
}

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

// candidateReports lists the back ends by their score under the rule for new flows,
// with the reason for which each was or was not chosen.
func candidateReports(facts *ViewDetails, found record) []*apiv1.CandidateReport {
	proposal := facts.View.Proposal(found.key.Address())
	if proposal == nil {
		return nil
	}
	var reports []*apiv1.CandidateReport
	for place, score := range proposal.Score(found.key.Hash()) {
		report := &apiv1.CandidateReport{
			Backend: facts.Backends[score.Backend],
			Weight:  score.Weight,
			Score:   score.Value >> 16,
			Verdict: candidateVerdict(facts, found, score, place),
		}
		reports = append(reports, report)
	}
	return reports
}

func candidateVerdict(facts *ViewDetails, found record, score rule.Score, place int) string {
	reason := facts.Reasons[score.Backend]
	switch {
	case score.Backend == found.backend:
		return "chosen"
	case facts.View.KnownMarks[score.Backend]:
		return "leaving: " + reason
	case score.Weight == 0:
		return "takes no new flows: " + reason
	case place == 0:
		return "best by the rule now, but the flow was bound before"
	}
	return "higher score than the chosen one"
}
