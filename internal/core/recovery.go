package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// recoveryState is the state for recovery from the simultaneous loss of most
// members.
type recoveryState struct {
	// refreshedAt is when this node last requested a change of the group
	// liveness key.
	refreshedAt uint32
	// seenAt is when the group liveness key last changed, as read from the
	// store.
	seenAt uint32
}

// refreshesPerRecovery is how often the group liveness key is changed per
// RecoveryTime.
const refreshesPerRecovery = 3

// tickRecovery requests changes of the group liveness key: a key in the store
// that a member in contact with a majority changes periodically. It shows nodes
// on the smaller side of a partition that the group is alive. No guarantee
// depends on it alone: without the store, no node can fence either.
func (core *Core) tickRecovery() {
	interval := milliseconds(core.config.RecoveryTime) / refreshesPerRecovery
	due := core.recovery.refreshedAt == 0 || core.now-core.recovery.refreshedAt >= interval
	if due && core.isMember() && core.now <= core.contactLeaseEnd() && core.GroupRank() == 0 {
		core.recovery.refreshedAt = max(core.now, 1)
		core.out.RefreshGroupLiveness = true
	}
}

// ObserveGroupLiveness reports to the core that the group liveness key in the
// store has changed.
func (core *Core) ObserveGroupLiveness(now uint32) {
	core.advanceTime(now)
	core.recovery.seenAt = core.now
}

// isGroupLivenessStale reports whether the group liveness key has not changed
// for RecoveryTime.
func (core *Core) isGroupLivenessStale() bool {
	return core.now-core.recovery.seenAt > milliseconds(core.config.RecoveryTime)
}

// hasLostMajority reports whether at least half of the members have been silent
// for RecoveryTime and the group liveness key has not changed in that time.
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

// isGroupLost reports whether no member has been heard from for RecoveryTime.
// This happens when all members were replaced at once; the nodes that remain
// must then restart the group from the document.
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
