package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// generationTime is how long a flow that no packet passed for is remembered
	// at least; it may be twice as long.
	generationTime = 3 * time.Second
	// maxGenerationFlows bounds the flows remembered in one generation.
	maxGenerationFlows = 32768
	// maxIdleFlows bounds the flows that rest and are remembered.
	maxIdleFlows = 65536
)

// flowState is what is remembered of a flow that passed here lately.
type flowState struct {
	opening flowOpening
	tracker requestTracker
	// cached is set while the memory holds this state, and only then does the flow
	// count anywhere.
	cached bool
	// load is where the flow counts as in use, nil for nowhere.
	load *backendLoad
	// inFlightRequests is set while the flow counts as waiting for an answer there.
	inFlight bool
	// requestSeen is set once the flow's first request has begun, and inFlightSince is when the
	// latest one did.
	requestSeen   bool
	inFlightSince time.Time
	// firstRequestAt is when the first request of the flow passed that is remembered.
	firstRequestAt time.Time
	// inDemand is set while the flow counts as a demand on its pool and place: it waits, and
	// the latest request is neither unreached, which is one that was repeated, nor sending,
	// with packets that still pass.
	inDemand, undelivered, sending bool
	// lost is set while the latest request was taken for lost and has not been answered.
	lost bool
}

// backendLoad is how much of a back end the flows use that pass here.
type backendLoad struct {
	flows            int
	inFlightRequests int
	// pool is what the flows use of the back end's pool, and place what they ask of it
	// in the back end's zone.
	pool       *poolUse
	poolDemand *poolZoneDemand
	// responses are those of the back end by the address that was asked: what is
	// usual differs between addresses, and flows that last make some back ends
	// serve one more than another.
	responses map[flow.Address]*observe.ResponseHistory
	finding   observe.Finding
}

// responseCounts returns the tally of the back end's answers to an address.
func (l *backendLoad) responseCounts(address flow.Address) *observe.ResponseCounts {
	known := l.responses[address]
	if known == nil {
		known = &observe.ResponseHistory{}
		l.responses[address] = known
	}
	return known.Current()
}

// poolUse is what the flows that pass here use of a pool.
type poolUse struct {
	name string
	use  observe.InFlightAverage
}

// attach counts a flow at the load of its back end.
func (s *flowState) attach(l *backendLoad, now time.Time) {
	if s.load == l || !s.cached {
		return
	}
	s.detach(now)
	s.load = l
	l.flows++
}

// setInFlight counts whether the flow waits for an answer, and what it asked. The answer to a
// request that was taken for lost counts too.
func (s *flowState) setInFlight(waits bool, now time.Time) {
	late := s.lost && !waits
	if s.load == nil || s.inFlight == waits && !late {
		return
	}
	s.countRequest(waits, now)
	if late {
		return // its wait has ended already
	}
	s.countInFlight(waits, now)
}

// countInFlight counts that the flow begins or ends to wait.
func (s *flowState) countInFlight(waits bool, now time.Time) {
	s.inFlight = waits
	if waits {
		s.load.inFlightRequests++
	} else {
		s.load.inFlightRequests--
	}
	s.updateDemand(now)
}

// detach takes a flow off the load where it counts.
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

// flowCache remembers the flows that passed lately, in two generations: one that
// passes moves to the current one, and the older one is dropped as a whole. Of flows
// that rest longer only their back end is remembered.
type flowCache struct {
	current, previous map[flow.Key]*flowState
	rotatedAt         time.Time
	// idle are the flows that rest, by back end.
	idle map[incarnation.ID]map[flow.Key]idleFlow
	// idleCount is how many there are, and rest for how long they are remembered.
	idleCount   int
	idleTimeout time.Duration
}

// idleFlow is what is remembered of a flow for which no packet has passed for a
// while: what its client acknowledged last, and when its first request passed and its
// latest packet did.
type idleFlow struct {
	lastAck                  uint32
	firstRequestAt, passedAt time.Time
}

// idleFlowKey is a flow that rests.
type idleFlowKey struct {
	key     flow.Key
	lastAck uint32
}

func newFlowCache() *flowCache {
	return &flowCache{
		current:  make(map[flow.Key]*flowState),
		previous: make(map[flow.Key]*flowState),
		idle:     make(map[incarnation.ID]map[flow.Key]idleFlow),
	}
}

// find returns the state of a flow, or nil when it is not known.
func (m *flowCache) find(key flow.Key) *flowState {
	if known := m.current[key]; known != nil {
		return known
	}
	known := m.previous[key]
	if known != nil && len(m.current) < maxGenerationFlows {
		delete(m.previous, key)
		m.current[key] = known
	}
	return known
}

// add returns the state of a flow that is not known yet. It is not remembered
// when there are too many.
func (m *flowCache) add(key flow.Key) *flowState {
	made := &flowState{cached: len(m.current) < maxGenerationFlows}
	if made.cached {
		m.current[key] = made
	}
	return made
}

// forget drops a flow.
func (m *flowCache) forget(key flow.Key, known *flowState, now time.Time) {
	known.detach(now)
	known.cached = false
	delete(m.current, key)
	delete(m.previous, key)
}

// rotate drops the older generation when the current one is old enough, and tells
// whether it did.
func (m *flowCache) rotate(now time.Time) bool {
	if now.Sub(m.rotatedAt) < generationTime {
		return false
	}
	m.rotatedAt = now
	m.expireIdle(now)
	for key, known := range m.previous {
		m.retainIdle(key, known)
		known.detach(now)
	}
	m.previous, m.current = m.current, make(map[flow.Key]*flowState)
	return true
}

// retainIdle keeps of a flow what is needed to reset it when its back end dies: its
// next request would else be the one that finds out, and be lost where it must not
// be repeated.
func (m *flowCache) retainIdle(key flow.Key, known *flowState) {
	backend := known.tracker.backend
	if backend == nil || m.idleTimeout == 0 || m.idleCount >= maxIdleFlows {
		return
	}
	flows := m.idle[backend.Incarnation()]
	if flows == nil {
		flows = make(map[flow.Key]idleFlow)
		m.idle[backend.Incarnation()] = flows
	}
	if _, found := flows[key]; !found {
		m.idleCount++
	}
	flows[key] = idleFlow{lastAck: known.tracker.lastAck, firstRequestAt: known.firstRequestAt, passedAt: known.tracker.passedAt}
}

// removeIdle forgets that a flow rests, and returns when its first request passed; zero where
// it did not rest.
func (m *flowCache) removeIdle(key flow.Key, backend incarnation.ID) time.Time {
	flows := m.idle[backend]
	known, found := flows[key]
	if found {
		m.idleCount--
		delete(flows, key)
	}
	return known.firstRequestAt
}

// takeIdle returns the flows of a back end that rest, and forgets them.
func (m *flowCache) takeIdle(backend incarnation.ID) []idleFlowKey {
	flows := m.idle[backend]
	delete(m.idle, backend)
	m.idleCount -= len(flows)
	taken := make([]idleFlowKey, 0, len(flows))
	for key, each := range flows {
		taken = append(taken, idleFlowKey{key: key, lastAck: each.lastAck})
	}
	return taken
}

// expireIdle drops the flows that have rested for longer than one may.
func (m *flowCache) expireIdle(now time.Time) {
	for backend, flows := range m.idle {
		for key, each := range flows {
			if now.Sub(each.passedAt) > m.idleTimeout {
				delete(flows, key)
				m.idleCount--
			}
		}
		if len(flows) == 0 {
			delete(m.idle, backend)
		}
	}
}
