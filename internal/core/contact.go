package core

import (
	"sort"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// handleHeartbeatReply extends the contact lease. A reply that shows the peer
// to be ahead does not count, because the peer did not wait for this node.
func (core *Core) handleHeartbeatReply(from string, reply *apiv1.HeartbeatReply) {
	core.updateProgress(from, reply.GetProgress())
	if core.isBehind(reply.GetProgress()) {
		return
	}
	peer := core.peers[from]
	sent, found := peer.sentAt[reply.GetSequence()]
	if found && (!peer.hasConfirmed || sent > peer.confirmedSentAt) {
		peer.confirmedSentAt = sent
		peer.hasConfirmed = true
	}
}

// isBehind reports whether the progress of a peer shows state that this node
// does not have.
func (core *Core) isBehind(progress *apiv1.Progress) bool {
	if progress.GetDocumentVersion() > core.document.GetVersion() {
		return true
	}
	return progress.GetDocumentVersion() == core.document.GetVersion() &&
		router.Phase(progress.GetPhase()) > core.phase
}

// catchUp advances a node that the other nodes did not wait for to the phase of
// its peers.
func (core *Core) catchUp(progress *apiv1.Progress) {
	phase := router.Phase(progress.GetPhase())
	if core.pending == nil || core.isMember() || phase <= core.phase ||
		progress.GetPendingNumber() != core.document.GetPending().GetNumber() {
		return
	}
	core.phase = phase
	core.completed = phase - 1
	core.startPhaseTask()
}

// isAlive reports whether a message from a peer has been received within the
// time after which the peer may be fenced.
func (core *Core) isAlive(id string) bool {
	if id == core.self.GetId() {
		return true
	}
	peer := core.peers[id]
	return peer != nil && peer.heard && core.now-peer.lastHeard <= core.fencingDelay()
}

// fencingDelay returns the time, in milliseconds, without a message after which
// a node may be fenced.
func (core *Core) fencingDelay() uint32 {
	return milliseconds(core.config.FencingTime + core.config.FencingMargin)
}

// suspects returns the members that this node has not heard from for the
// fencing delay, and those that have restarted under a newer incarnation.
func (core *Core) suspects() []string {
	var suspects []string
	for id, member := range core.members() {
		if core.isSuspect(id, member) {
			suspects = append(suspects, id)
		}
	}
	sort.Strings(suspects)
	return suspects
}

func (core *Core) isSuspect(id string, member *apiv1.Member) bool {
	if id == core.self.GetId() {
		return member.GetIncarnation() < core.self.GetIncarnation()
	}
	peer := core.peers[id]
	if peer == nil {
		return false
	}
	if peer.member.GetIncarnation() > member.GetIncarnation() {
		return true
	}
	return core.now-peer.lastHeard > core.fencingDelay()
}

// contactLeaseEnd returns the end of the contact lease: FencingTime after the
// sending time of the heartbeats that a majority of the members has confirmed.
func (core *Core) contactLeaseEnd() uint32 {
	if core.isDisabled(GuardContact) {
		return ^uint32(0)
	}
	var confirmedSentAt []uint32
	members := core.members()
	for id := range members {
		if id == core.self.GetId() && core.isMember() {
			confirmedSentAt = append(confirmedSentAt, core.now)
			continue
		}
		if peer := core.peers[id]; peer != nil && peer.hasConfirmed {
			confirmedSentAt = append(confirmedSentAt, peer.confirmedSentAt)
		}
	}
	majority := len(members)/2 + 1
	if len(members) == 0 || len(confirmedSentAt) < majority {
		return 0
	}
	sort.Slice(confirmedSentAt, func(i, j int) bool { return confirmedSentAt[i] > confirmedSentAt[j] })
	return confirmedSentAt[majority-1] + milliseconds(core.config.FencingTime)
}

// isIsolated reports whether the node has been out of contact for so long that
// a short pause of its own cannot be the cause.
func (core *Core) isIsolated() bool {
	if core.now <= core.contactLeaseEnd() {
		core.isolatedSince = 0
		return false
	}
	if core.isolatedSince == 0 {
		core.isolatedSince = max(core.now, 1)
	}
	return core.now-core.isolatedSince > milliseconds(core.config.FencingTime)
}
