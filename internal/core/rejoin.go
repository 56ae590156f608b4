package core

// maxRejoinDropTime is how long at most, in milliseconds, the other nodes drop
// packets of unknown open flows while a node that was cut off records its
// flows.
const maxRejoinDropTime = 4000

// isolatedHeartbeatInterval is the heartbeat interval, in milliseconds, of a
// node that is cut off. The sooner the node detects that the partition has
// healed, the fewer packets of flows of the other side it forwards by its old
// rule.
const isolatedHeartbeatInterval = 100

// tickRejoin offers the flows of this node that differ from the rule once the
// node is in contact again, because no node waited for it while it was cut off
// or fenced.
func (core *Core) tickRejoin() {
	if core.now > core.contactLeaseEnd() {
		core.rejoining = core.rejoining || core.isIsolated()
		return
	}
	if !core.rejoining || core.settled == nil || core.pending != nil {
		return
	}
	core.rejoining = false
	core.rejoinUntil = core.now + maxRejoinDropTime
	if !core.isDisabled(GuardRejoin) {
		core.offerFlows(purposeRejoin, core.displacedFlows())
	}
}

// isRejoining reports whether this node was cut off and the flows that it
// opened in that time are not all recorded yet. The result is sent to the
// peers.
func (core *Core) isRejoining() bool {
	if core.isDisabled(GuardRejoin) {
		return false
	}
	return core.rejoining || core.now < core.rejoinUntil && core.hasOutstandingOffers(purposeRejoin)
}

// hasNewerPeer reports whether a peer has shown newer state than this node has.
// A node that is cut off then stops serving by its old rule.
func (core *Core) hasNewerPeer() bool {
	if core.isDisabled(GuardRejoin) {
		return false
	}
	for id, peer := range core.peers {
		if core.isAlive(id) && peer.progress.GetDocumentVersion() > core.document.GetVersion() {
			return true
		}
	}
	return false
}

// tickRejoiningPeers tracks whether a live peer is rejoining.
func (core *Core) tickRejoiningPeers() {
	rejoining := false
	for id, peer := range core.peers {
		rejoining = rejoining || core.isAlive(id) && peer.progress.GetRejoining()
	}
	switch {
	case !rejoining:
		core.peerRejoiningSince = 0
	case core.peerRejoiningSince == 0:
		core.peerRejoiningSince = max(core.now, 1)
	}
	if dropping := core.view != nil && core.view.DropUnknownFlows; dropping != core.dropsUnknownFlows() {
		core.viewChanged = true
	}
}

// dropsUnknownFlows reports whether packets of unknown open flows are to be
// dropped, because their back end may be one that a rejoining node is about to
// record. A node that is cut off itself does not drop them, and no node does so
// for longer than maxRejoinDropTime.
func (core *Core) dropsUnknownFlows() bool {
	if core.peerRejoiningSince == 0 || core.now > core.contactLeaseEnd() {
		return false
	}
	return core.now-core.peerRejoiningSince < maxRejoinDropTime
}
