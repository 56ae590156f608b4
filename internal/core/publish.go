package core

import (
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// publishState is the state of the next write of the document.
type publishState struct {
	// pendingSince is when this node first needed to write; 0 means that it
	// does not need to.
	pendingSince uint32
	// writing is set while a write is in progress.
	writing        bool
	writeStartedAt uint32
	failures       uint32
}

const (
	// writeTimeout is how long, in milliseconds, a write may remain unanswered
	// before it is retried.
	writeTimeout = 3000
	// maximumBackoffDoublings limits the growth of the back-off.
	maximumBackoffDoublings = 5
)

// SetDesired sets the rules that the configuration of the operators and the
// policies call for, sorted by service name. Every node computes them. When they
// differ from the settled ones, the node whose back-off elapses first publishes
// an epoch.
// The cleared map gives, by back end, the incarnation of the last mark that the
// operators have cleared.
func (core *Core) SetDesired(now uint32, revision uint64, services []*apiv1.ServiceRule, cleared map[uint32]uint64) {
	core.advanceTime(now)
	core.desired = services
	core.desiredCleared = cleared
	core.desiredRevision = revision
	core.hasDesired = true
}

// WriteDone reports the outcome of a write. A write with an unknown outcome
// counts as failed: the document is read again before the next attempt.
func (core *Core) WriteDone(now uint32, written bool) {
	core.advanceTime(now)
	core.publish.writing = false
	if written {
		core.publish.failures = 0
		return
	}
	core.publish.failures = min(core.publish.failures+1, maximumBackoffDoublings)
	core.publish.pendingSince = max(core.now, 1)
}

// tickPublish writes the document when a write is needed and the back-off of
// this node has elapsed.
func (core *Core) tickPublish() {
	if core.publish.writing && core.now-core.publish.writeStartedAt < writeTimeout {
		return
	}
	core.publish.writing = false
	var next *apiv1.EpochDocument
	if core.canPublish() {
		next = core.nextDocument()
	}
	if next == nil {
		core.publish.pendingSince = 0
		return
	}
	if core.publish.pendingSince == 0 {
		core.publish.pendingSince = max(core.now, 1)
	}
	if core.now-core.publish.pendingSince < core.publishDelay() {
		return
	}
	core.publish.writing = true
	core.publish.writeStartedAt = core.now
	core.out.Write = &DocumentWrite{Document: next}
}

// canPublish reports whether this node may write: it is in contact with a
// majority, or there is no document yet, or the majority has been silent for
// RecoveryTime. Without this condition, the two sides of a partition would
// alternate in publishing epochs that name only their own nodes.
func (core *Core) canPublish() bool {
	if core.document == nil || core.now <= core.contactLeaseEnd() || core.isDisabled(GuardPublish) {
		return true
	}
	return core.isMember() && core.hasLostMajority(core.members()) || core.isGroupLost()
}

// publishDelay returns the back-off of this node: it grows with the rank of the
// node among the live members and doubles with each failure.
func (core *Core) publishDelay() uint32 {
	rank := 0
	members := core.liveMembers()
	start := int(core.document.GetVersion()) % max(1, len(members))
	for index, member := range members {
		if member.GetId() == core.self.GetId() {
			rank = (index - start + len(members)) % len(members)
		}
	}
	unit := milliseconds(core.config.PublishBackoff)
	delay := uint32(rank) * unit
	if core.publish.failures > 0 {
		delay += unit << core.publish.failures
	}
	return delay
}

// nextDocument returns the document that this node would write now, or nil.
func (core *Core) nextDocument() *apiv1.EpochDocument {
	if !core.hasDesired {
		return nil
	}
	if core.document == nil {
		return &apiv1.EpochDocument{Version: 1, Settled: core.nextEpoch(1)}
	}
	next := proto.CloneOf(core.document)
	next.Version++
	if core.isGroupLost() {
		return core.restartGroup(next)
	}
	toFence := core.membersToFence()
	next.Fenced = append(next.Fenced, toFence...)
	if core.pending != nil {
		return core.nextForPending(next, len(toFence) > 0)
	}
	if !core.needsEpoch() && len(toFence) == 0 {
		return nil
	}
	next.Pending = core.nextEpoch(core.document.GetSettled().GetNumber() + 1)
	return next
}

func (core *Core) nextForPending(next *apiv1.EpochDocument, fences bool) *apiv1.EpochDocument {
	complete := core.phase == router.PhaseFlipped && core.completed == router.PhaseFlipped &&
		len(core.waitingFor(router.PhaseFlipped)) == 0
	if complete {
		next.Settled = next.Pending
		next.Pending = nil
		next.Fenced = nil
		return next
	}
	if fences {
		return next
	}
	return nil
}

func (core *Core) nextEpoch(number uint64) *apiv1.Epoch {
	return &apiv1.Epoch{
		Number:                number,
		ConfigurationRevision: core.desiredRevision,
		Services:              core.desiredServices(),
		Members:               core.liveMembers(),
		ClearedMarks:          core.clearedMarks(),
		PublishedBy:           core.self.GetId(),
	}
}

// needsEpoch reports whether the desired rules or the live members differ from
// the settled epoch. The members must have been stable for MemberDelay.
func (core *Core) needsEpoch() bool {
	settled := core.document.GetSettled()
	if core.desiredRevision < settled.GetConfigurationRevision() {
		return false
	}
	if core.desiredRevision > settled.GetConfigurationRevision() {
		return true
	}
	ruleIntervalElapsed := core.now-core.acceptedAt >= milliseconds(core.config.RuleInterval)
	if ruleIntervalElapsed && !equalServices(settled.GetServices(), core.desiredServices()) {
		return true
	}
	return core.membersDiffer(settled)
}

func equalServices(left, right []*apiv1.ServiceRule) bool {
	if len(left) != len(right) {
		return false
	}
	for index := range left {
		if !proto.Equal(left[index], right[index]) {
			return false
		}
	}
	return true
}

func (core *Core) membersDiffer(settled *apiv1.Epoch) bool {
	live := memberKeys(core.liveMembers())
	if strings.Join(live, " ") != strings.Join(core.lastLiveMembers, " ") {
		core.lastLiveMembers = live
		core.liveMembersChangedAt = core.now
	}
	if strings.Join(live, " ") == strings.Join(memberKeys(settled.GetMembers()), " ") {
		return false
	}
	return core.now-core.liveMembersChangedAt >= milliseconds(core.config.MemberDelay)
}

func memberKeys(members []*apiv1.Member) []string {
	keys := make([]string, 0, len(members))
	for _, member := range members {
		keys = append(keys, fmt.Sprintf("%s/%s/%d", member.GetId(), member.GetPeerAddress(), member.GetIncarnation()))
	}
	sort.Strings(keys)
	return keys
}

// membersToFence returns the members that a majority has not heard from for the
// fencing delay or, after RecoveryTime without a majority, those that at least
// one of the remaining nodes has not heard from.
func (core *Core) membersToFence() []*apiv1.Member {
	members := core.members()
	var toFence []*apiv1.Member
	for _, id := range sortedKeys(members) {
		votes := core.suspicionVotes(id, members)
		if votes > len(members)/2 || votes > 0 && core.hasLostMajority(members) {
			toFence = append(toFence, members[id])
		}
	}
	return toFence
}

// suspicionVotes counts the members that suspect a member. The vote of the
// suspected member itself does not count.
func (core *Core) suspicionVotes(id string, members map[string]*apiv1.Member) int {
	votes := 0
	for voter := range members {
		if voter == core.self.GetId() && core.isMember() {
			if core.isSuspect(id, members[id]) {
				votes++
			}
			continue
		}
		peer := core.peers[voter]
		if peer == nil || !core.isAlive(voter) || voter == id {
			continue
		}
		for _, suspect := range peer.progress.GetSuspects() {
			if suspect == id {
				votes++
			}
		}
	}
	return votes
}

// desiredServices returns the desired rules with the known marks applied: a
// marked back end is leaving until the operators have cleared the mark.
func (core *Core) desiredServices() []*apiv1.ServiceRule {
	services := make([]*apiv1.ServiceRule, 0, len(core.desired))
	for _, service := range core.desired {
		services = append(services, core.withMarks(service))
	}
	return services
}

func (core *Core) withMarks(service *apiv1.ServiceRule) *apiv1.ServiceRule {
	marked := service
	for index, candidate := range service.GetCandidates() {
		state := core.marks[candidate.GetBackend()]
		if state == nil || state.mark.GetIncarnation() <= core.desiredCleared[candidate.GetBackend()] {
			continue
		}
		if marked == service {
			marked = proto.CloneOf(service)
		}
		marked.Candidates[index].Leaving = true
	}
	return marked
}

// clearedMarks returns the marks that a new epoch clears: those cleared by the
// operators and those cleared by the settled epoch.
func (core *Core) clearedMarks() []*apiv1.LeavingMark {
	cleared := make(map[uint32]uint64)
	for _, mark := range core.document.GetSettled().GetClearedMarks() {
		cleared[mark.GetBackend()] = mark.GetIncarnation()
	}
	for backend, incarnation := range core.desiredCleared {
		cleared[backend] = max(cleared[backend], incarnation)
	}
	marks := make([]*apiv1.LeavingMark, 0, len(cleared))
	for backend, incarnation := range cleared {
		marks = append(marks, &apiv1.LeavingMark{Backend: backend, Incarnation: incarnation})
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].GetBackend() < marks[j].GetBackend() })
	return marks
}
