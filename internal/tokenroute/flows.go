package tokenroute

import (
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/aside"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// Flows is the memory of one traffic goroutine.
type Flows struct {
	off    mechanism.Set
	memory *memory
	queue  []waiting
	// places are what is asked of each pool in each zone.
	places map[demand.PoolZone]*placeAsked
	silent map[incarnation.ID]*silence
	zones  *zones
	loads  map[incarnation.ID]*load
	pools  map[string]*poolUse
	// summarizedAt is when the last summary was made, judgedAt when answers were
	// last compared.
	summarizedAt, judgedAt time.Time
	// cold counts what goes to cold back ends.
	cold warmupLimiter
	// levels say which new flows are refused for want of room.
	levels atomic.Pointer[admission.Refusals]
	// saturated are the pools whose answers tell of their queues.
	saturated atomic.Pointer[map[string]bool]
	// table is the latest one, and restarted are the starts whose earlier flows were given
	// up.
	table     *Table
	restarted map[incarnation.ID]bool
	// liveness judges back ends by the later packets of their flows.
	liveness *FailureDetector
	// Retried counts first packets that went to another back end.
	Retried atomic.Uint64
	// Missed counts back ends that did not answer in time.
	Missed atomic.Uint64
	// Opened counts flows by how long they took to open.
	Opened [aside.Steps]atomic.Uint64
	// Kept counts packets sent to the back end that opened their flow although
	// their token named another.
	Kept atomic.Uint64
}

// NewFlows makes an empty memory, for decisions without the given mechanisms.
func NewFlows(off mechanism.Set) *Flows {
	memory, zones := newMemory(), newZones(off)
	return &Flows{
		off:      off,
		memory:   memory,
		silent:   make(map[incarnation.ID]*silence),
		zones:    zones,
		loads:    make(map[incarnation.ID]*load),
		pools:    make(map[string]*poolUse),
		liveness: newFailureDetector(memory, zones, off),
	}
}

// InZone sets the zone of this balancer and returns the memory.
func (f *Flows) InZone(zone string) *Flows {
	f.liveness.zone = zone
	return f
}

// Verdicts is how often a back end was judged dead.
func (f *Flows) Verdicts() uint64 { return f.liveness.FailureCount.Load() }

// TakeVerdicts returns the back ends that were judged dead since the last call.
func (f *Flows) TakeVerdicts() []BackendFailure {
	taken := f.liveness.failures
	f.liveness.failures = nil
	return taken
}

// Silenced is how often a zone was found silent.
func (f *Flows) Silenced() uint64 { return f.zones.silenced.Load() }

// TakeSilentZones returns the zones that were found silent since the last call.
func (f *Flows) TakeSilentZones() []SilentZone {
	taken := f.zones.verdict
	f.zones.verdict = nil
	return taken
}

// TakeAbandoned returns the flows whose back end was judged dead since the last
// call, to be reset.
func (f *Flows) TakeAbandoned() []Abandoned {
	taken := f.liveness.abandoned
	f.liveness.abandoned = nil
	return taken
}

// First returns the back end for the first packet of a flow, or a repetition
// of it, or nil when the route has none. A repetition that comes before the
// answer was due goes where the earlier one went, while that still takes new
// flows.
func (f *Flows) First(route *Route, key flow.Key, now time.Time) *Backend {
	f.turn(now)
	f.collect(now)
	state := f.memory.find(key)
	if state == nil {
		state = f.memory.add(key)
	}
	known := &state.opening
	if known.opened != nil {
		return known.opened
	}
	if known.count > 0 && (now.Sub(known.sentAt) < AnswerTime || known.count == maximumTried) && route.Accepts(known.last()) {
		return known.last()
	}
	prefer := func(backend *Backend) Preference { return f.preference(known, backend, now) }
	chosen := route.Choose(key.Hash(), prefer, f.inUse)
	if chosen == nil {
		return nil
	}
	f.remember(state, chosen, now)
	return chosen
}

// preference is how willingly a back end is sent the new flow of an opening.
func (f *Flows) preference(known *opening, backend *Backend, now time.Time) Preference {
	warmth := f.cold.preference(backend, now)
	if warmth == Forbidden {
		return Forbidden
	}
	if known.wasTried(backend) || f.liveness.Failed(backend, now) {
		return Avoided
	}
	silent := f.silent[backend.Incarnation()]
	if silent != nil && now.Before(silent.avoidUntil) && !f.off.Has(mechanism.AvoidSilent) {
		return Avoided
	}
	if f.zones.avoids(backend.Zone, now) {
		return max(warmth, Suspected)
	}
	return warmth
}

// inUse is how much of a back end the flows use that pass here.
func (f *Flows) inUse(backend *Backend) int {
	known := f.loads[backend.Incarnation()]
	if known == nil || f.off.Has(mechanism.LeastUsed) {
		return 0
	}
	return known.flows + waitingWeight*known.waiting
}

// loadOf returns the load of a back end.
func (f *Flows) loadOf(backend *Backend) *load {
	known := f.loads[backend.Incarnation()]
	if known == nil {
		known = &load{pool: f.poolUse(backend.Pool), place: f.placeAsked(backend.Pool, backend.Zone),
			answers: make(map[flow.Address]*observe.ResponseHistory)}
		f.loads[backend.Incarnation()] = known
	}
	return known
}

func (f *Flows) poolUse(name string) *poolUse {
	known := f.pools[name]
	if known == nil {
		known = &poolUse{name: name}
		f.pools[name] = known
	}
	return known
}

func (f *Flows) remember(state *flowState, chosen *Backend, now time.Time) {
	known := &state.opening
	if known.count > 0 {
		f.Retried.Add(1)
	}
	f.cold.record(chosen, now)
	f.countOpening(chosen, known.count == 0)
	known.count = min(known.count, maximumTried-1)
	known.tried[known.count] = chosen
	known.count++
	known.sentAt = now
	if silent := f.silent[chosen.Incarnation()]; silent != nil {
		// It is tried by one flow, not by all that find it the least used.
		silent.avoidUntil = now.Add(AnswerTime)
	}
	f.zones.tried(chosen.Zone, now)
	state.attach(f.loadOf(chosen), now)
	if len(f.queue) < generationLimit {
		f.queue = append(f.queue, waiting{opening: known, backend: chosen, sentAt: now})
	}
}

// next returns the back end for a later packet of a flow whose token names the given back
// end. The state is nil where no earlier packet passed here.
func (f *Flows) next(state *flowState, named *Backend, now time.Time) *Backend {
	if state == nil {
		return named
	}
	known := &state.opening
	if known.opened == nil && known.wasTried(named) {
		known.opened = named
		f.countOpened(now.Sub(known.sentAt))
		delete(f.silent, named.Incarnation())
		if known.last().Number == named.Number {
			f.zones.answered(named, known.sentAt)
		}
	}
	if known.opened == nil || known.opened.Number == named.Number {
		return named
	}
	f.Kept.Add(1)
	return known.opened
}

// countOpened counts a flow by how long it took to open. What took longer than an
// answer may is counted as missed.
func (f *Flows) countOpened(took time.Duration) {
	if took < AnswerTime {
		f.Opened[aside.StepOf(took)].Add(1)
	}
}

// collect counts the back ends whose answers are overdue.
func (f *Flows) collect(now time.Time) {
	due := 0
	for due < len(f.queue) && now.Sub(f.queue[due].sentAt) >= AnswerTime {
		f.judge(f.queue[due], now)
		due++
	}
	f.queue = f.queue[:copy(f.queue, f.queue[due:])]
}

func (f *Flows) judge(due waiting, now time.Time) {
	if due.opening.opened != nil {
		return
	}
	f.Missed.Add(1)
	f.zones.missed(due.backend, due.sentAt, now)
	state := f.silent[due.backend.Incarnation()]
	if state == nil {
		state = &silence{}
		f.silent[due.backend.Incarnation()] = state
	}
	avoid := min(avoidShortest<<state.misses, avoidLongest)
	if avoid < avoidLongest {
		state.misses++
	}
	state.avoidUntil = now.Add(avoid)
}

// turn drops what is too old.
func (f *Flows) turn(now time.Time) {
	if !f.memory.turn(now) {
		return
	}
	f.liveness.expire(now)
	f.cold.expire(now)
	for id, state := range f.silent {
		if now.Sub(state.avoidUntil) > avoidLongest {
			delete(f.silent, id)
		}
	}
	for id, known := range f.loads {
		if known.flows == 0 && len(known.answers) == 0 {
			delete(f.loads, id)
		}
	}
}
