package core

import (
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// peer is the state that a node keeps about another node.
type peer struct {
	member *apiv1.Member
	// lastHeard is when the last message of the peer was received; heard is
	// false before the first one.
	lastHeard uint32
	heard     bool
	// confirmedSentAt is the sending time of the newest heartbeat that the peer
	// has confirmed; hasConfirmed is false before the first one.
	confirmedSentAt uint32
	hasConfirmed    bool
	sequence        uint64
	sentAt          map[uint64]uint32
	progress        *apiv1.Progress
	// lastReplyAt is when this node last confirmed a heartbeat of the peer;
	// hasReplied is false before the first one.
	lastReplyAt uint32
	hasReplied  bool
}

// maxSentTimes is the number of heartbeats per peer whose sending times are
// kept.
const maxSentTimes = 16

// stateRetryInterval is the time, in milliseconds, after which a node that
// lacks state requests it again, from the same peer or another one. Updates
// usually arrive from several peers at once; one reply is enough.
const stateRetryInterval = 100

// AddPeer adds another node that is named in the settings, in the list of the
// platform or in the document. It is a hint: the peer counts once it responds.
func (core *Core) AddPeer(member *apiv1.Member) {
	if member.GetId() == core.self.GetId() || member.GetId() == "" {
		return
	}
	existing := core.peers[member.GetId()]
	if existing != nil && existing.member.GetIncarnation() >= member.GetIncarnation() {
		return
	}
	added := &peer{member: proto.CloneOf(member), sentAt: make(map[uint64]uint32)}
	added.lastHeard = core.now
	core.peers[member.GetId()] = added
	core.sendHeartbeat(added)
}

// checkSender records that a message of a peer was received and reports whether
// the message is to be processed.
func (core *Core) checkSender(envelope *apiv1.Envelope) bool {
	member := envelope.GetHeartbeat().GetMember()
	peer := core.peers[envelope.GetFrom()]
	if peer == nil || envelope.GetIncarnation() > peer.member.GetIncarnation() {
		if member.GetId() != envelope.GetFrom() {
			return false
		}
		core.AddPeer(member)
		peer = core.peers[envelope.GetFrom()]
	}
	if peer == nil || envelope.GetIncarnation() < peer.member.GetIncarnation() {
		return false
	}
	if member != nil && member.GetLeaving() != peer.member.GetLeaving() {
		peer.member.Leaving = member.GetLeaving()
	}
	peer.lastHeard = core.now
	peer.heard = true
	return true
}

func (core *Core) tickMembership() {
	interval := milliseconds(core.config.HeartbeatInterval)
	if core.document != nil && core.isIsolated() {
		interval = min(interval, isolatedHeartbeatInterval)
	}
	if core.lastHeartbeat != 0 && core.now-core.lastHeartbeat < interval {
		return
	}
	core.lastHeartbeat = max(core.now, 1)
	core.broadcastHeartbeat()
	core.removeStalePeers()
}

func (core *Core) broadcastHeartbeat() {
	for _, id := range sortedKeys(core.peers) {
		core.sendHeartbeat(core.peers[id])
	}
	core.lastProgressSent = core.progress()
}

// broadcastProgressUpdate sends the progress in heartbeats that need no
// confirmation.
func (core *Core) broadcastProgressUpdate() {
	core.lastProgressSent = core.progress()
	for _, id := range sortedKeys(core.peers) {
		heartbeat := &apiv1.Heartbeat{Progress: core.lastProgressSent}
		core.send(id, &apiv1.Envelope{Body: &apiv1.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
}

func (core *Core) sendHeartbeat(to *peer) {
	to.sequence++
	to.sentAt[to.sequence] = core.now
	delete(to.sentAt, to.sequence-maxSentTimes)
	heartbeat := &apiv1.Heartbeat{Sequence: to.sequence, Progress: core.progress()}
	silent := core.now-to.confirmedSentAt > milliseconds(core.config.FencingTime)
	if !to.hasConfirmed || silent || core.self.GetLeaving() {
		heartbeat.Member = core.self
	}
	core.send(to.member.GetId(), &apiv1.Envelope{Body: &apiv1.Envelope_Heartbeat{Heartbeat: heartbeat}})
}

// broadcastProgressIfChanged sends changed progress at once instead of with the
// next heartbeat.
func (core *Core) broadcastProgressIfChanged() {
	if core.lastProgressSent != nil && !proto.Equal(core.lastProgressSent, core.progress()) {
		core.broadcastProgressUpdate()
	}
}

// handleHeartbeat confirms a heartbeat, unless a deferred document fences the
// sender. The reply to a sender that is not a member includes the progress of
// this node.
func (core *Core) handleHeartbeat(from string, heartbeat *apiv1.Heartbeat) {
	core.updateProgress(from, heartbeat.GetProgress())
	peer := core.peers[from]
	if heartbeat.GetSequence() == 0 || core.isFencedIn(core.deferredDocument, peer.member) {
		return
	}
	reply := &apiv1.HeartbeatReply{Sequence: heartbeat.GetSequence()}
	member := core.members()[from]
	if member == nil || member.GetIncarnation() != peer.member.GetIncarnation() {
		reply.Progress = core.progress()
	}
	peer.lastReplyAt = core.now
	peer.hasReplied = true
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_HeartbeatReply{HeartbeatReply: reply}})
	if !peer.hasConfirmed && heartbeat.GetMember() != nil {
		core.sendHeartbeat(peer)
	}
}

// updateProgress stores the progress of a peer and requests the state that the
// peer has and this node does not.
func (core *Core) updateProgress(from string, progress *apiv1.Progress) {
	if progress == nil {
		return
	}
	peer := core.peers[from]
	peer.progress = progress
	core.catchUp(progress)
	ahead := progress.GetDocumentVersion() > core.document.GetVersion() ||
		progress.GetConfigurationRevision() > core.configuration.GetRevision() ||
		progress.GetMarksDigest() != core.marksDigest() ||
		core.lacksParticipant(progress)
	recently := core.stateRequestedAt != 0 && core.now-core.stateRequestedAt < stateRetryInterval
	if ahead && !recently {
		core.stateRequestedAt = max(core.now, 1)
		core.requestState(from)
	}
}

func (core *Core) lacksParticipant(progress *apiv1.Progress) bool {
	for _, id := range progress.GetParticipants() {
		if id != core.self.GetId() && core.peers[id] == nil {
			return true
		}
	}
	return false
}

// progress returns the state that this node reports to its peers in each
// heartbeat.
func (core *Core) progress() *apiv1.Progress {
	progress := &apiv1.Progress{
		DocumentVersion:       core.document.GetVersion(),
		SettledNumber:         core.document.GetSettled().GetNumber(),
		PendingNumber:         core.document.GetPending().GetNumber(),
		Phase:                 uint32(core.phase),
		CompletedPhase:        uint32(core.completed),
		ConfigurationRevision: core.configuration.GetRevision(),
		MarksDigest:           core.marksDigest(),
		MarksCompleted:        len(core.marks) > 0 && core.marksCompleted(),
		Suspects:              core.suspects(),
		Rejoining:             core.isRejoining(),
		StoreUnreachable:      core.storeUnreachable,
	}
	members := core.members()
	for _, id := range sortedKeys(core.peers) {
		if members[id] == nil && core.isAlive(id) {
			progress.Participants = append(progress.Participants, id)
		}
	}
	return progress
}

// members returns the nodes whose contact and progress the document requires:
// the members of both epochs that are not fenced.
func (core *Core) members() map[string]*apiv1.Member {
	members := make(map[string]*apiv1.Member)
	for _, epoch := range []*apiv1.Epoch{core.document.GetSettled(), core.document.GetPending()} {
		for _, member := range epoch.GetMembers() {
			if !core.isFenced(member) {
				members[member.GetId()] = member
			}
		}
	}
	return members
}

func (core *Core) isFenced(member *apiv1.Member) bool {
	return core.isFencedIn(core.document, member)
}

func (core *Core) isFencedIn(document *apiv1.EpochDocument, member *apiv1.Member) bool {
	for _, fenced := range document.GetFenced() {
		if fenced.GetId() == member.GetId() && fenced.GetIncarnation() >= member.GetIncarnation() {
			return true
		}
	}
	return false
}

// isMember reports whether this node is a member under its current incarnation.
func (core *Core) isMember() bool {
	member := core.members()[core.self.GetId()]
	return member != nil && member.GetIncarnation() == core.self.GetIncarnation()
}

// removeStalePeers removes nodes that are not members and have been silent for
// RecoveryTime.
func (core *Core) removeStalePeers() {
	members := core.members()
	for id, peer := range core.peers {
		silent := core.now - peer.lastHeard
		if members[id] == nil && silent > milliseconds(core.config.RecoveryTime) {
			delete(core.peers, id)
		}
	}
}

// liveMembers returns the nodes that should be members, sorted by ID: those
// that are alive and not stopping, including this one.
func (core *Core) liveMembers() []*apiv1.Member {
	var live []*apiv1.Member
	if !core.self.GetLeaving() {
		live = append(live, core.self)
	}
	for id, peer := range core.peers {
		if core.isAlive(id) && !peer.member.GetLeaving() {
			live = append(live, peer.member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].GetId() < live[j].GetId() })
	return live
}

// Leave announces the planned stop of this node. The node continues to forward;
// it may stop when CanStop returns true.
func (core *Core) Leave(now uint32) {
	core.advanceTime(now)
	if !core.self.GetLeaving() {
		core.self.Leaving = true
		core.broadcastHeartbeat()
	}
}

// CanStop reports whether no epoch names this node any more, so that the flows
// it held are recorded elsewhere. It is also true when all live nodes are
// stopping, because then no node is left to take over.
func (core *Core) CanStop() bool {
	if !core.self.GetLeaving() {
		return false
	}
	return core.document == nil || core.members()[core.self.GetId()] == nil || len(core.liveMembers()) == 0
}
