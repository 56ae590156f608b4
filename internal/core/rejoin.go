package core

// maxRejoinDropTime is for how many milliseconds at most the others drop packets of
// unknown open flows while a node that was cut off records its own.
const maxRejoinDropTime = 4000

// isolatedHeartbeatInterval is the interval of heartbeats, in milliseconds, of a node
// that is cut off. The sooner it notices that the cut has healed, the fewer
// packets of the other side's flows it decides by its old rule.
const isolatedHeartbeatInterval = 100

// tickRejoin records the flows that this node holds off the rule, once it is in
// contact again: nobody waited for it while it was cut off or fenced.
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

// isRejoining is told to the peers: this node was cut off, and flows that it
// opened meanwhile are not all recorded.
func (core *Core) isRejoining() bool {
	if core.isDisabled(GuardRejoin) {
		return false
	}
	return core.rejoining || core.now < core.rejoinUntil && core.hasOutstandingOffers(purposeRejoin)
}

// hasNewerPeer reports whether a peer has shown newer state than this node has.
// A node that is cut off then stops to serve by its old rule.
func (core *Core) hasNewerPeer() bool {
	if core.isDisabled(GuardRejoin) {
		return false
	}
	for id, known := range core.peers {
		if core.isAlive(id) && known.progress.GetDocumentVersion() > core.document.GetVersion() {
			return true
		}
	}
	return false
}

// tickRejoiningPeers follows whether a live peer is rejoining.
func (core *Core) tickRejoiningPeers() {
	rejoining := false
	for id, known := range core.peers {
		rejoining = rejoining || core.isAlive(id) && known.progress.GetRejoining()
	}
	switch {
	case !rejoining:
		core.peerRejoiningSince = 0
	case core.peerRejoiningSince == 0:
		core.peerRejoiningSince = max(core.now, 1)
	}
	if held := core.view != nil && core.view.DropUnknownFlows; held != core.dropsUnknownFlows() {
		core.viewChanged = true
	}
}

// dropsUnknownFlows reports whether packets of unknown open flows are to be dropped:
// their back end may be one that a rejoining node is about to record. A node
// that is cut off itself does not hold, nor does anyone for longer than
// maxRejoinDropTime.
func (core *Core) dropsUnknownFlows() bool {
	if core.peerRejoiningSince == 0 || core.now > core.contactLeaseEnd() {
		return false
	}
	return core.now-core.peerRejoiningSince < maxRejoinDropTime
}
