package tokenroute

import (
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// The pace of a new flow.
const (
	// AnswerTime is the time within which a back end that is well has answered
	// the first packet of a flow and the client has gone on. It stays below the
	// first repetition by clients, 200 ms.
	AnswerTime = 150 * time.Millisecond
	// generationTime is how long an entry stays at least.
	generationTime = 3 * time.Second
	// generationLimit bounds the flows remembered in one generation.
	generationLimit = 32768
	// maximumTried is how many back ends one new flow is offered to.
	maximumTried = 3
	// The time for which a back end that did not answer is avoided doubles from
	// the shortest to the longest.
	avoidShortest = time.Second
	avoidLongest  = 8 * time.Second
)

// opening is a flow whose first packet passed here.
type opening struct {
	tried [maximumTried]*Backend
	count int
	// sentAt is when the first packet last went to a back end.
	sentAt time.Time
	// opened is the back end whose answer the client went on with.
	opened *Backend
}

func (opening *opening) last() *Backend { return opening.tried[opening.count-1] }

func (opening *opening) wasTried(backend *Backend) bool {
	for _, tried := range opening.tried[:opening.count] {
		if tried.Number == backend.Number {
			return true
		}
	}
	return false
}

// waiting is an opening in the order in which answers fall due.
type waiting struct {
	opening *opening
	backend *Backend
	sentAt  time.Time
}

// silence counts how a back end failed to answer.
type silence struct {
	misses     int
	avoidUntil time.Time
}

// Flows is the memory of one traffic goroutine. Entries live for one to two
// generations, longer while their flow is contested and active.
type Flows struct {
	current, previous map[flow.Key]*opening
	turnedAt          time.Time
	queue             []waiting
	silent            map[uint64]*silence
	// liveness judges back ends by the later packets of their flows.
	liveness *Liveness
	// Retried counts first packets that went to another back end.
	Retried atomic.Uint64
	// Missed counts back ends that did not answer in time.
	Missed atomic.Uint64
	// Kept counts packets sent to the back end that opened their flow although
	// their token named another.
	Kept atomic.Uint64
}

// NewFlows makes an empty memory.
func NewFlows() *Flows {
	return &Flows{
		current:  make(map[flow.Key]*opening),
		previous: make(map[flow.Key]*opening),
		silent:   make(map[uint64]*silence),
		liveness: NewLiveness(),
	}
}

// Verdicts is how often a back end was judged dead.
func (flows *Flows) Verdicts() uint64 { return flows.liveness.Verdicts.Load() }

// TakeAbandoned returns the flows whose back end was judged dead since the last
// call, to be reset.
func (flows *Flows) TakeAbandoned() []Abandoned {
	taken := flows.liveness.abandoned
	flows.liveness.abandoned = nil
	return taken
}

// First returns the back end for the first packet of a flow, or a repetition
// of it, or nil when the route has none. A repetition that comes before the
// answer was due goes where the earlier one went.
func (flows *Flows) First(route *Route, key flow.Key, now time.Time) *Backend {
	flows.turn(now)
	flows.collect(now)
	known := flows.find(key)
	if known != nil && known.opened != nil {
		return known.opened
	}
	if known != nil && (now.Sub(known.sentAt) < AnswerTime || known.count == maximumTried) {
		return known.last()
	}
	avoid := func(backend *Backend) bool {
		if known != nil && known.wasTried(backend) || flows.liveness.Dead(backend, now) {
			return true
		}
		state := flows.silent[backend.Number]
		return state != nil && now.Before(state.avoidUntil)
	}
	chosen := route.Choose(key.Hash(), avoid)
	if chosen == nil {
		return nil
	}
	flows.remember(known, key, chosen, now)
	return chosen
}

func (flows *Flows) remember(known *opening, key flow.Key, chosen *Backend, now time.Time) {
	if known == nil {
		known = &opening{}
		if len(flows.current) < generationLimit {
			flows.current[key] = known
		}
	} else {
		flows.Retried.Add(1)
	}
	known.tried[known.count] = chosen
	known.count++
	known.sentAt = now
	if len(flows.queue) < generationLimit {
		flows.queue = append(flows.queue, waiting{opening: known, backend: chosen, sentAt: now})
	}
}

// Next returns the back end for a later packet of a flow whose token names the
// given back end.
func (flows *Flows) Next(key flow.Key, named *Backend, now time.Time) *Backend {
	flows.turn(now)
	known := flows.find(key)
	if known == nil {
		return named
	}
	if known.opened == nil && known.wasTried(named) {
		known.opened = named
		delete(flows.silent, named.Number)
	}
	if known.count > 1 {
		flows.current[key] = known
	}
	if known.opened == nil || known.opened.Number == named.Number {
		return named
	}
	flows.Kept.Add(1)
	return known.opened
}

func (flows *Flows) find(key flow.Key) *opening {
	if known := flows.current[key]; known != nil {
		return known
	}
	return flows.previous[key]
}

// collect counts the back ends whose answers are overdue.
func (flows *Flows) collect(now time.Time) {
	due := 0
	for due < len(flows.queue) && now.Sub(flows.queue[due].sentAt) >= AnswerTime {
		flows.judge(flows.queue[due], now)
		due++
	}
	flows.queue = flows.queue[:copy(flows.queue, flows.queue[due:])]
}

func (flows *Flows) judge(due waiting, now time.Time) {
	if due.opening.opened != nil {
		return
	}
	flows.Missed.Add(1)
	state := flows.silent[due.backend.Number]
	if state == nil {
		state = &silence{}
		flows.silent[due.backend.Number] = state
	}
	avoid := min(avoidShortest<<state.misses, avoidLongest)
	if avoid < avoidLongest {
		state.misses++
	}
	state.avoidUntil = now.Add(avoid)
}

// turn drops the older generation when the current one is old enough.
func (flows *Flows) turn(now time.Time) {
	if now.Sub(flows.turnedAt) < generationTime {
		return
	}
	flows.turnedAt = now
	flows.previous, flows.current = flows.current, make(map[flow.Key]*opening)
	for number, state := range flows.silent {
		if now.Sub(state.avoidUntil) > avoidLongest {
			delete(flows.silent, number)
		}
	}
}
