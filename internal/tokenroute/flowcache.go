package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// generationTime is the minimum time that a flow without packets is remembered; the maximum is
	// twice that.
	generationTime = 3 * time.Second
	// maxGenerationFlows limits the number of flows in one generation.
	maxGenerationFlows = 32768
	// maxIdleFlows limits the number of idle flows that are remembered.
	maxIdleFlows = 65536
)

// flowState is the state of a flow that passed here recently.
type flowState struct {
	// numbers tell the packets of this flow from those of the flow before it with the same key,
	// whose numbers are in former.
	numbers, former flow.Numbers
	opening         flowOpening
	tracker         requestTracker
	// cached is set while the cache holds this state. Only then is the flow counted anywhere.
	cached bool
	// load is the back end load that the flow is counted in, or nil.
	load *backendLoad
	// inFlight is set while a request of the flow is counted there as in flight.
	inFlight bool
	// requestSeen is set once the flow's first request has started, and inFlightSince is when the
	// latest one did.
	requestSeen   bool
	inFlightSince time.Time
	// firstRequestAt is when the first remembered request of the flow passed.
	firstRequestAt time.Time
	// inDemand is set while the flow counts as demand on its pool and zone: a request is in flight
	// and is neither undelivered, which means that it was retransmitted, nor sending, which means
	// that further packets of it still pass.
	inDemand, undelivered, sending bool
	// lost is set while the latest request counts as lost and has not been answered.
	lost bool
}

// backendLoad is the load on a back end from the flows that pass here.
type backendLoad struct {
	flows            int
	inFlightRequests int
	// pool is the use of the back end's pool, and poolDemand the demand on that pool in the back
	// end's zone.
	pool       *poolUse
	poolDemand *poolZoneDemand
	// responses holds the responses of the back end by the address of the service. They are kept
	// apart because what is usual differs between services, and because long-lived flows make some
	// back ends serve one service more than another.
	responses map[flow.Address]*observe.ResponseHistory
	finding   observe.Finding
}

// responseCounts returns the current counts of the back end's responses for an address.
func (l *backendLoad) responseCounts(address flow.Address) *observe.ResponseCounts {
	history := l.responses[address]
	if history == nil {
		history = &observe.ResponseHistory{}
		l.responses[address] = history
	}
	return history.Current()
}

// poolUse is the use of a pool by the flows that pass here.
type poolUse struct {
	name string
	use  observe.InFlightAverage
}

// attach counts the flow in the load of its back end.
func (s *flowState) attach(l *backendLoad, now time.Time) {
	if s.load == l || !s.cached {
		return
	}
	s.detach(now)
	s.load = l
	l.flows++
}

// setInFlight records that a request of the flow has started or was answered. The answer to a
// request that counts as lost is recorded too.
func (s *flowState) setInFlight(inFlight bool, now time.Time) {
	answersLost := s.lost && !inFlight
	if s.load == nil || s.inFlight == inFlight && !answersLost {
		return
	}
	s.countRequest(inFlight, now)
	if answersLost {
		return // the request is no longer counted as in flight
	}
	s.countInFlight(inFlight, now)
}

// countInFlight counts the flow's request as in flight, or no longer so.
func (s *flowState) countInFlight(inFlight bool, now time.Time) {
	s.inFlight = inFlight
	if inFlight {
		s.load.inFlightRequests++
	} else {
		s.load.inFlightRequests--
	}
	s.updateDemand(now)
}

// detach removes the flow from the load that it is counted in.
func (s *flowState) detach(now time.Time) {
	if s.load == nil {
		return
	}
	if s.inFlight {
		s.countInFlight(false, now)
	}
	s.load.flows--
	s.load = nil
}

// flowCache holds the flows that passed recently in two generations. A flow that passes moves to
// the current generation, and the previous one is dropped as a whole. Of flows that stay idle for
// longer, only their back end and what is needed to reset them are remembered.
type flowCache struct {
	current, previous map[flow.Key]*flowState
	rotatedAt         time.Time
	// idle holds the idle flows by back end, and idleBackends the back end of each.
	idle         map[incarnation.ID]map[flow.Key]idleFlow
	idleBackends map[flow.Key]incarnation.ID
	// idleTimeout is how long idle flows are remembered.
	idleTimeout time.Duration
}

// idleFlow is what is remembered of an idle flow: its numbers, the back end that opened it if its
// first packet passed here, the latest acknowledgement of its client, when its first request passed,
// and when its latest packet passed.
type idleFlow struct {
	numbers                  flow.Numbers
	openedBy                 *Backend
	lastAck                  uint32
	firstRequestAt, passedAt time.Time
}

// idleFlowKey identifies an idle flow that is to be reset.
type idleFlowKey struct {
	key flow.Key
	idleFlow
}

func newFlowCache() *flowCache {
	return &flowCache{
		current:      make(map[flow.Key]*flowState),
		previous:     make(map[flow.Key]*flowState),
		idle:         make(map[incarnation.ID]map[flow.Key]idleFlow),
		idleBackends: make(map[flow.Key]incarnation.ID),
	}
}

// find returns the state of a flow, or nil if it is not cached.
func (c *flowCache) find(key flow.Key) *flowState {
	if state := c.current[key]; state != nil {
		return state
	}
	state := c.previous[key]
	if state != nil && len(c.current) < maxGenerationFlows {
		delete(c.previous, key)
		c.current[key] = state
	}
	return state
}

// add returns a new state for a flow that is not cached. The state is not cached if there are too
// many.
func (c *flowCache) add(key flow.Key) *flowState {
	state := &flowState{cached: len(c.current) < maxGenerationFlows}
	if state.cached {
		c.current[key] = state
	}
	return state
}

// match returns the state of the flow that a later packet belongs to, or nil if it is not cached. If
// the packet belongs to a flow that came after the cached one with the same key, the state begins
// anew. A late packet of the flow before the cached one is reported as former.
func (c *flowCache) match(packet Packet, now time.Time) (state *flowState, former bool) {
	segment := packet.segment()
	state = c.find(packet.Key)
	if state == nil {
		return c.resumeIdle(packet), false
	}
	if !state.numbers.Contains(segment) {
		before := state
		if !before.isFormer(segment) {
			state = c.replace(packet.Key, before, now)
		} else if before.opening.count > 0 || !before.former.Advances(segment) {
			return nil, true
		} else {
			// A late packet of an earlier flow was taken for the later one.
			state = c.replace(packet.Key, before, now)
			state.numbers = before.former
		}
	}
	state.numbers.Add(segment)
	return state, false
}

// isFormer reports whether a packet belongs to the flow before this one with the same key.
func (s *flowState) isFormer(segment flow.Segment) bool {
	return !s.former.IsZero() && s.former.Contains(segment)
}

// matchFirst returns the state of the flow that a first packet opens. If the packet is not a copy of
// the one that opened the cached flow, the state begins anew.
func (c *flowCache) matchFirst(packet Packet, now time.Time) *flowState {
	segment, state := packet.segment(), c.find(packet.Key)
	switch {
	case state == nil:
		c.removeIdle(packet.Key)
		state = c.add(packet.Key)
	case !state.numbers.Contains(segment) || state.opening.copiesEnded(now):
		state = c.replace(packet.Key, state, now)
	}
	state.numbers.Add(segment)
	return state
}

// opensFormer reports whether a first packet is a copy of the one that opened the flow before the
// cached one with the same key, whose own first packet has passed.
func (c *flowCache) opensFormer(packet Packet) bool {
	state, segment := c.find(packet.Key), packet.segment()
	return state != nil && state.opening.count > 0 && !state.numbers.Contains(segment) && state.isFormer(segment)
}

// replace returns a new state for a flow that came after the cached one with the same key.
func (c *flowCache) replace(key flow.Key, former *flowState, now time.Time) *flowState {
	c.remove(key, former, now)
	state := c.add(key)
	state.former = former.numbers
	return state
}

// remove removes a flow.
func (c *flowCache) remove(key flow.Key, state *flowState, now time.Time) {
	state.detach(now)
	state.cached = false
	delete(c.current, key)
	delete(c.previous, key)
}

// rotate drops the previous generation once the current one is old enough, and reports whether it
// did.
func (c *flowCache) rotate(now time.Time) bool {
	if now.Sub(c.rotatedAt) < generationTime {
		return false
	}
	c.rotatedAt = now
	c.expireIdle(now)
	for key, state := range c.previous {
		c.retainIdle(key, state)
		state.detach(now)
	}
	c.previous, c.current = c.current, make(map[flow.Key]*flowState)
	return true
}

// retainIdle keeps what is needed to reset a flow when its back end dies. Otherwise the flow's next
// request would be the one to detect this, and would be lost, which is harmful where requests must
// not be repeated.
func (c *flowCache) retainIdle(key flow.Key, state *flowState) {
	backend := state.tracker.backend
	if backend == nil || state.numbers.Ended() || c.idleTimeout == 0 || len(c.idleBackends) >= maxIdleFlows {
		return
	}
	c.removeIdle(key)
	id := backend.Incarnation()
	if c.idle[id] == nil {
		c.idle[id] = make(map[flow.Key]idleFlow)
	}
	c.idleBackends[key] = id
	c.idle[id][key] = idleFlow{numbers: state.numbers, openedBy: state.opening.openedBy, lastAck: state.tracker.lastAck,
		firstRequestAt: state.firstRequestAt, passedAt: state.tracker.passedAt}
}

// resumeIdle returns a state for a packet of an idle flow, or nil if there is none with its key. It
// removes the idle flow, except for a packet without data, after which the flow is still idle. If
// the packet belongs to a later flow, nothing of the idle one is kept.
func (c *flowCache) resumeIdle(packet Packet) *flowState {
	id, found := c.idleBackends[packet.Key]
	if !found {
		return nil
	}
	idle := c.idle[id][packet.Key]
	isSame := idle.numbers.Contains(packet.segment())
	if isSame && packet.Length == 0 && !packet.Closing {
		return nil
	}
	c.removeIdle(packet.Key)
	if !isSame {
		return nil
	}
	state := c.add(packet.Key)
	state.numbers = idle.numbers
	state.numbers.Add(packet.segment())
	state.firstRequestAt, state.opening.openedBy = idle.firstRequestAt, idle.openedBy
	return state
}

// removeIdle removes a flow from the idle ones.
func (c *flowCache) removeIdle(key flow.Key) {
	id, found := c.idleBackends[key]
	if !found {
		return
	}
	delete(c.idleBackends, key)
	delete(c.idle[id], key)
	if len(c.idle[id]) == 0 {
		delete(c.idle, id)
	}
}

// takeIdle removes and returns the idle flows of a back end.
func (c *flowCache) takeIdle(backend incarnation.ID) []idleFlowKey {
	flows := c.idle[backend]
	keys := make([]idleFlowKey, 0, len(flows))
	for key, each := range flows {
		keys = append(keys, idleFlowKey{key: key, idleFlow: each})
		c.removeIdle(key)
	}
	return keys
}

// expireIdle drops the flows that have been idle for longer than idleTimeout.
func (c *flowCache) expireIdle(now time.Time) {
	for _, flows := range c.idle {
		for key, each := range flows {
			if now.Sub(each.passedAt) > c.idleTimeout {
				c.removeIdle(key)
			}
		}
	}
}
