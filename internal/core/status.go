package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// PeerAddress returns the address at which a peer receives messages, or "" if
// the peer is unknown.
func (core *Core) PeerAddress(id string) string {
	return core.peers[id].address()
}

func (peer *peer) address() string {
	if peer == nil {
		return ""
	}
	return peer.member.GetPeerAddress()
}

// WatchRank returns the rank of this node among the nodes it hears from, in an
// order that alternates between zones. The nodes of the lowest ranks watch the
// store; the others receive the state from them. Nodes whose calls to the store fail
// don't count, up to maxFailedWatchers of them, so that others watch in their place and
// an outage does not make all nodes call the store.
func (core *Core) WatchRank() int {
	inZone := core.rankInZone(core.self)
	rank, failed := 0, 0
	for id, peer := range core.peers {
		if !core.isAlive(id) {
			continue
		}
		other := core.rankInZone(peer.member)
		before := other < inZone || other == inZone && peer.member.GetZone() < core.self.GetZone()
		switch {
		case before && peer.progress.GetStoreUnreachable():
			failed++
		case before:
			rank++
		}
	}
	return rank + max(0, failed-maxFailedWatchers)
}

// maxFailedWatchers is the number of nodes whose calls to the store fail in whose place
// others watch it.
const maxFailedWatchers = 5

// SetStoreReachable sets whether this node's calls to the store succeed.
func (core *Core) SetStoreReachable(reachable bool) { core.storeUnreachable = !reachable }

// rankInZone returns the rank of a node among the nodes of its zone, ordered by
// ID.
func (core *Core) rankInZone(member *apiv1.Member) int {
	rank := 0
	if member.GetZone() == core.self.GetZone() && core.self.GetId() < member.GetId() {
		rank++
	}
	for id, peer := range core.peers {
		if peer.member.GetZone() == member.GetZone() && id < member.GetId() && core.isAlive(id) {
			rank++
		}
	}
	return rank
}

// InForceRevision returns the revision of the configuration that new flows
// follow on this node.
func (core *Core) InForceRevision() uint64 {
	return core.revisionInForce(core.document.GetPending().GetNumber(), core.phase)
}

func (core *Core) revisionInForce(pendingNumber uint64, phase router.Phase) uint64 {
	pending := core.document.GetPending()
	if pending != nil && pendingNumber == pending.GetNumber() && phase >= router.PhaseActive {
		return pending.GetConfigurationRevision()
	}
	return core.document.GetSettled().GetConfigurationRevision()
}

// SettledRevision returns the revision of the configuration of the settled
// epoch, which every member has confirmed.
func (core *Core) SettledRevision() uint64 {
	return core.document.GetSettled().GetConfigurationRevision()
}

// Contact returns the state of contact of this node with its group: "no_state",
// "fresh", "isolated" or "lost".
func (core *Core) Contact() string {
	switch {
	case core.document == nil:
		return "no_state"
	case core.now <= core.contactLeaseEnd():
		return "fresh"
	case core.isIsolated():
		return "isolated"
	}
	return "lost"
}

// Peers returns the status of the known peers, sorted by ID.
func (core *Core) Peers() []*apiv1.PeerStatus {
	statuses := make([]*apiv1.PeerStatus, 0, len(core.peers))
	for _, id := range sortedKeys(core.peers) {
		peer := core.peers[id]
		progress := peer.progress
		status := &apiv1.PeerStatus{
			Id:             id,
			Zone:           peer.member.GetZone(),
			Alive:          core.isAlive(id),
			CompletedPhase: progress.GetCompletedPhase(),
			AdminAddress:   peer.member.GetAdminAddress(),
		}
		if progress.GetSettledNumber() >= core.document.GetSettled().GetNumber() {
			status.InForceRevision = core.revisionInForce(progress.GetPendingNumber(), router.Phase(progress.GetPhase()))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// GroupRank returns the rank of this node among the live nodes of the group,
// ordered by ID. Work that only one node should do is done by the node of rank
// 0.
func (core *Core) GroupRank() int {
	for rank, member := range core.liveMembers() {
		if member.GetId() == core.self.GetId() {
			return rank
		}
	}
	return len(core.peers)
}
