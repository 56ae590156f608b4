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
	// generationLimit bounds the flows remembered in one generation.
	generationLimit = 32768
	// restedLimit bounds the flows that rest and are remembered.
	restedLimit = 65536
)

// flowState is what is remembered of a flow that passed here lately.
type flowState struct {
	opening opening
	track   track
	// kept is set while the memory holds this state, and only then does the flow
	// count anywhere.
	kept bool
	// load is where the flow counts as in use, nil for nowhere.
	load *load
	// waits is set while the flow counts as waiting for an answer there.
	waits bool
	// asked is set once the flow's first request has begun, and waitsSince is when the
	// latest one did.
	asked      bool
	waitsSince time.Time
	// seenAt is when the first request of the flow passed that is remembered.
	seenAt time.Time
	// using is set while the flow counts as a demand on its pool and place: it waits, and
	// the latest request is neither unreached, which is one that was repeated, nor sending,
	// with packets that still pass.
	using, unreached, sending bool
	// lost is set while the latest request was taken for lost and has not been answered.
	lost bool
}

// load is how much of a back end the flows use that pass here.
type load struct {
	flows   int
	waiting int
	// pool is what the flows use of the back end's pool, and place what they ask of it
	// in the back end's zone.
	pool  *poolUse
	place *placeAsked
	// answers are those of the back end by the address that was asked: what is
	// usual differs between addresses, and flows that last make some back ends
	// serve one more than another.
	answers map[flow.Address]*observe.ResponseHistory
	finding observe.Finding
}

// answersTo returns the tally of the back end's answers to an address.
func (l *load) answersTo(address flow.Address) *observe.ResponseCounts {
	known := l.answers[address]
	if known == nil {
		known = &observe.ResponseHistory{}
		l.answers[address] = known
	}
	return known.Current()
}

// poolUse is what the flows that pass here use of a pool.
type poolUse struct {
	name string
	use  observe.InFlightAverage
}

// attach counts a flow at the load of its back end.
func (s *flowState) attach(l *load, now time.Time) {
	if s.load == l || !s.kept {
		return
	}
	s.release(now)
	s.load = l
	l.flows++
}

// setWaiting counts whether the flow waits for an answer, and what it asked. The answer to a
// request that was taken for lost counts too.
func (s *flowState) setWaiting(waits bool, now time.Time) {
	late := s.lost && !waits
	if s.load == nil || s.waits == waits && !late {
		return
	}
	s.countAsked(waits, now)
	if late {
		return // its wait has ended already
	}
	s.wait(waits, now)
}

// wait counts that the flow begins or ends to wait.
func (s *flowState) wait(waits bool, now time.Time) {
	s.waits = waits
	if waits {
		s.load.waiting++
	} else {
		s.load.waiting--
	}
	s.recount(now)
}

// release takes a flow off the load where it counts.
func (s *flowState) release(now time.Time) {
	if s.load == nil {
		return
	}
	if s.waits {
		s.wait(false, now)
	}
	s.load.flows--
	s.load = nil
}

// memory remembers the flows that passed lately, in two generations: one that
// passes moves to the current one, and the older one is dropped as a whole. Of flows
// that rest longer only their back end is remembered.
type memory struct {
	current, previous map[flow.Key]*flowState
	turnedAt          time.Time
	// rested are the flows that rest, by back end.
	rested map[incarnation.ID]map[flow.Key]restedFlow
	// resting is how many there are, and rest for how long they are remembered.
	resting int
	rest    time.Duration
}

// restedFlow is what is remembered of a flow for which no packet has passed for a
// while: what its client acknowledged last, and when its first request passed and its
// latest packet did.
type restedFlow struct {
	expected         uint32
	seenAt, passedAt time.Time
}

// restedKey is a flow that rests.
type restedKey struct {
	key      flow.Key
	expected uint32
}

func newMemory() *memory {
	return &memory{
		current:  make(map[flow.Key]*flowState),
		previous: make(map[flow.Key]*flowState),
		rested:   make(map[incarnation.ID]map[flow.Key]restedFlow),
	}
}

// find returns the state of a flow, or nil when it is not known.
func (m *memory) find(key flow.Key) *flowState {
	if known := m.current[key]; known != nil {
		return known
	}
	known := m.previous[key]
	if known != nil && len(m.current) < generationLimit {
		delete(m.previous, key)
		m.current[key] = known
	}
	return known
}

// add returns the state of a flow that is not known yet. It is not remembered
// when there are too many.
func (m *memory) add(key flow.Key) *flowState {
	made := &flowState{kept: len(m.current) < generationLimit}
	if made.kept {
		m.current[key] = made
	}
	return made
}

// forget drops a flow.
func (m *memory) forget(key flow.Key, known *flowState, now time.Time) {
	known.release(now)
	known.kept = false
	delete(m.current, key)
	delete(m.previous, key)
}

// turn drops the older generation when the current one is old enough, and tells
// whether it did.
func (m *memory) turn(now time.Time) bool {
	if now.Sub(m.turnedAt) < generationTime {
		return false
	}
	m.turnedAt = now
	m.forgetRested(now)
	for key, known := range m.previous {
		m.letRest(key, known)
		known.release(now)
	}
	m.previous, m.current = m.current, make(map[flow.Key]*flowState)
	return true
}

// letRest keeps of a flow what is needed to reset it when its back end dies: its
// next request would else be the one that finds out, and be lost where it must not
// be repeated.
func (m *memory) letRest(key flow.Key, known *flowState) {
	backend := known.track.backend
	if backend == nil || m.rest == 0 || m.resting >= restedLimit {
		return
	}
	flows := m.rested[backend.Incarnation()]
	if flows == nil {
		flows = make(map[flow.Key]restedFlow)
		m.rested[backend.Incarnation()] = flows
	}
	if _, found := flows[key]; !found {
		m.resting++
	}
	flows[key] = restedFlow{expected: known.track.expected, seenAt: known.seenAt, passedAt: known.track.passedAt}
}

// wake forgets that a flow rests, and returns when its first request passed; zero where
// it did not rest.
func (m *memory) wake(key flow.Key, backend incarnation.ID) time.Time {
	flows := m.rested[backend]
	known, found := flows[key]
	if found {
		m.resting--
		delete(flows, key)
	}
	return known.seenAt
}

// takeRested returns the flows of a back end that rest, and forgets them.
func (m *memory) takeRested(backend incarnation.ID) []restedKey {
	flows := m.rested[backend]
	delete(m.rested, backend)
	m.resting -= len(flows)
	taken := make([]restedKey, 0, len(flows))
	for key, each := range flows {
		taken = append(taken, restedKey{key: key, expected: each.expected})
	}
	return taken
}

// forgetRested drops the flows that have rested for longer than one may.
func (m *memory) forgetRested(now time.Time) {
	for backend, flows := range m.rested {
		for key, each := range flows {
			if now.Sub(each.passedAt) > m.rest {
				delete(flows, key)
				m.resting--
			}
		}
		if len(flows) == 0 {
			delete(m.rested, backend)
		}
	}
}
