package core

// rejoinHold is for how many milliseconds at most the others drop packets of
// unknown open flows while a node that was cut off records its own.
const rejoinHold = 4000

// isolatedHeartbeat is the interval of heartbeats, in milliseconds, of a node
// that is cut off. The sooner it notices that the cut has healed, the fewer
// packets of the other side's flows it decides by its old rule.
const isolatedHeartbeat = 100

// tickRejoin records the flows that this node holds off the rule, once it is in
// contact again: nobody waited for it while it was cut off or fenced.
func (core *Core) tickRejoin() {
	if core.now > core.freshUntil() {
		core.rejoining = core.rejoining || core.isolated()
		return
	}
	if !core.rejoining || core.settled == nil || core.pending != nil {
		return
	}
	core.rejoining = false
	core.rejoinUntil = core.now + rejoinHold
	if !core.lacks(GuardRejoin) {
		core.offerFlows(purposeRejoin, core.displacedFlows())
	}
}

// isRejoining is told to the peers: this node was cut off, and flows that it
// opened meanwhile are not all recorded.
func (core *Core) isRejoining() bool {
	if core.lacks(GuardRejoin) {
		return false
	}
	return core.rejoining || core.now < core.rejoinUntil && core.outstanding(purposeRejoin)
}

// heardAhead reports whether a peer has shown newer state than this node has.
// A node that is cut off then stops to serve by its old rule.
func (core *Core) heardAhead() bool {
	if core.lacks(GuardRejoin) {
		return false
	}
	for id, known := range core.peers {
		if core.alive(id) && known.progress.GetDocumentVersion() > core.document.GetVersion() {
			return true
		}
	}
	return false
}

// tickHold follows whether a live peer is rejoining.
func (core *Core) tickHold() {
	rejoining := false
	for id, known := range core.peers {
		rejoining = rejoining || core.alive(id) && known.progress.GetRejoining()
	}
	switch {
	case !rejoining:
		core.holdSince = 0
	case core.holdSince == 0:
		core.holdSince = max(core.now, 1)
	}
	if held := core.view != nil && core.view.HoldUnknown; held != core.holdsUnknown() {
		core.viewChanged = true
	}
}

// holdsUnknown reports whether packets of unknown open flows are to be dropped:
// their back end may be one that a rejoining node is about to record. A node
// that is cut off itself does not hold, nor does anyone for longer than
// rejoinHold.
func (core *Core) holdsUnknown() bool {
	if core.holdSince == 0 || core.now > core.freshUntil() {
		return false
	}
	return core.now-core.holdSince < rejoinHold
}
