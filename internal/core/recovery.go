package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// recoveryState is about going on after the loss of most members at once.
type recoveryState struct {
	// refreshedAt is when this node last had the sign of life written.
	refreshedAt uint32
	// seenAt is when the sign of life last changed, as read from the store.
	seenAt uint32
}

// refreshesPerRecovery is how often the sign of life is written in RecoveryTime.
const refreshesPerRecovery = 3

// tickRecovery has the sign of life written: a key of the store that a member
// in contact with a majority changes now and then. Nodes on the smaller side of
// a cut see by it that the group lives. No promise rests on it alone: without
// the store nobody can fence either.
func (core *Core) tickRecovery() {
	interval := milliseconds(core.config.RecoveryTime) / refreshesPerRecovery
	due := core.recovery.refreshedAt == 0 || core.now-core.recovery.refreshedAt >= interval
	if due && core.isMember() && core.now <= core.contactLeaseEnd() && core.GroupRank() == 0 {
		core.recovery.refreshedAt = max(core.now, 1)
		core.out.RefreshGroupLiveness = true
	}
}

// ObserveGroupLiveness hands in that the sign of life in the store has changed.
func (core *Core) ObserveGroupLiveness(now uint32) {
	core.advanceTime(now)
	core.recovery.seenAt = core.now
}

// isGroupLivenessStale reports whether no sign of life was seen for RecoveryTime.
func (core *Core) isGroupLivenessStale() bool {
	return core.now-core.recovery.seenAt > milliseconds(core.config.RecoveryTime)
}

// hasLostMajority reports whether most members have been silent for RecoveryTime,
// to this node and in the store.
func (core *Core) hasLostMajority(members map[string]*apiv1.Member) bool {
	if !core.isGroupLivenessStale() {
		return false
	}
	silent := 0
	for id := range members {
		peer := core.peers[id]
		if peer != nil && core.now-peer.lastHeard > milliseconds(core.config.RecoveryTime) {
			silent++
		}
	}
	return silent*2 >= len(members)
}

// isGroupLost reports whether no member has been heard for RecoveryTime: all were
// replaced at once, and the nodes at hand must start anew from the document.
func (core *Core) isGroupLost() bool {
	recovery := milliseconds(core.config.RecoveryTime)
	if core.document == nil || core.isMember() || core.now < recovery || !core.isGroupLivenessStale() {
		return false
	}
	for id, member := range core.members() {
		peer := core.peers[id]
		sameRun := peer != nil && peer.member.GetIncarnation() <= member.GetIncarnation()
		if sameRun && core.now-peer.lastHeard <= recovery {
			return false
		}
	}
	return true
}

// restartGroup fences all members and publishes an epoch of the live nodes.
func (core *Core) restartGroup(next *apiv1.EpochDocument) *apiv1.EpochDocument {
	number := max(next.GetSettled().GetNumber(), next.GetPending().GetNumber())
	for _, member := range core.members() {
		next.Fenced = append(next.Fenced, member)
	}
	next.Pending = core.nextEpoch(number + 1)
	return next
}
