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
	disabled        mechanism.Set
	flowCache       *flowCache
	pendingOpenings []pendingOpening
	// demands are what is asked of each pool in each zone.
	demands     map[demand.PoolZone]*poolZoneDemand
	backoffs    map[incarnation.ID]*backoff
	zoneMonitor *zoneMonitor
	loads       map[incarnation.ID]*backendLoad
	pools       map[string]*poolUse
	// summarizedAt is when the last summary was made, comparedAt when answers were
	// last compared.
	summarizedAt, comparedAt time.Time
	// warmupAllowance counts what goes to cold back ends.
	warmupAllowance warmupLimiter
	// refusals say which new flows are refused for want of room.
	refusals atomic.Pointer[admission.Refusals]
	// saturated are the pools whose answers tell of their queues.
	saturated atomic.Pointer[map[string]bool]
	// table is the latest one, and restarted are the starts whose earlier flows were given
	// up.
	table     *Table
	restarted map[incarnation.ID]bool
	// failureDetector judges back ends by the later packets of their flows.
	failureDetector *FailureDetector
	// Retried counts first packets that went to another back end.
	Retried atomic.Uint64
	// Unanswered counts back ends that did not answer in time.
	Unanswered atomic.Uint64
	// OpenedByTime counts flows by how long they took to open.
	OpenedByTime [aside.Buckets]atomic.Uint64
	// TokenOverrides counts packets sent to the back end that opened their flow although
	// their token named another.
	TokenOverrides atomic.Uint64
}

// NewFlows makes an empty memory, for decisions without the given mechanisms.
func NewFlows(off mechanism.Set) *Flows {
	memory, zones := newFlowCache(), newZoneMonitor(off)
	return &Flows{
		disabled:        off,
		flowCache:       memory,
		backoffs:        make(map[incarnation.ID]*backoff),
		zoneMonitor:     zones,
		loads:           make(map[incarnation.ID]*backendLoad),
		pools:           make(map[string]*poolUse),
		failureDetector: newFailureDetector(memory, zones, off),
	}
}

// WithZone sets the zone of this balancer and returns the memory.
func (f *Flows) WithZone(zone string) *Flows {
	f.failureDetector.zone = zone
	return f
}

// BackendFailures is how often a back end was judged dead.
func (f *Flows) BackendFailures() uint64 { return f.failureDetector.FailureCount.Load() }

// TakeBackendFailures returns the back ends that were judged dead since the last call.
func (f *Flows) TakeBackendFailures() []BackendFailure {
	taken := f.failureDetector.failures
	f.failureDetector.failures = nil
	return taken
}

// SilentZoneCount is how often a zone was found silent.
func (f *Flows) SilentZoneCount() uint64 { return f.zoneMonitor.silentCount.Load() }

// TakeSilentZones returns the zones that were found silent since the last call.
func (f *Flows) TakeSilentZones() []SilentZone {
	taken := f.zoneMonitor.silentZones
	f.zoneMonitor.silentZones = nil
	return taken
}

// TakeAbandonedFlows returns the flows whose back end was judged dead since the last
// call, to be reset.
func (f *Flows) TakeAbandonedFlows() []AbandonedFlow {
	taken := f.failureDetector.abandoned
	f.failureDetector.abandoned = nil
	return taken
}

// ChooseForFirst returns the back end for the first packet of a flow, or a repetition
// of it, or nil when the route has none. A repetition that comes before the
// answer was due goes where the earlier one went, while that still takes new
// flows.
func (f *Flows) ChooseForFirst(route *Route, key flow.Key, now time.Time) *Backend {
	f.rotate(now)
	f.collectOverdue(now)
	state := f.flowCache.find(key)
	if state == nil {
		state = f.flowCache.add(key)
	}
	known := &state.opening
	if known.openedBy != nil {
		return known.openedBy
	}
	if known.count > 0 && (now.Sub(known.sentAt) < ResponseTimeout || known.count == maxAttempts) && route.Accepts(known.last()) {
		return known.last()
	}
	prefer := func(backend *Backend) Preference { return f.preference(known, backend, now) }
	chosen := route.Choose(key.Hash(), prefer, f.usage)
	if chosen == nil {
		return nil
	}
	f.recordAttempt(state, chosen, now)
	return chosen
}

// preference is how willingly a back end is sent the new flow of an opening.
func (f *Flows) preference(known *flowOpening, backend *Backend, now time.Time) Preference {
	warmth := f.warmupAllowance.preference(backend, now)
	if warmth == Forbidden {
		return Forbidden
	}
	if known.wasTried(backend) || f.failureDetector.Failed(backend, now) {
		return Avoided
	}
	silent := f.backoffs[backend.Incarnation()]
	if silent != nil && now.Before(silent.avoidUntil) && !f.disabled.Has(mechanism.AvoidSilent) {
		return Avoided
	}
	if f.zoneMonitor.avoids(backend.Zone, now) {
		return max(warmth, Suspected)
	}
	return warmth
}

// usage is how much of a back end the flows use that pass here.
func (f *Flows) usage(backend *Backend) int {
	known := f.loads[backend.Incarnation()]
	if known == nil || f.disabled.Has(mechanism.LeastUsed) {
		return 0
	}
	return known.flows + inFlightWeight*known.inFlightRequests
}

// loadFor returns the load of a back end.
func (f *Flows) loadFor(backend *Backend) *backendLoad {
	known := f.loads[backend.Incarnation()]
	if known == nil {
		known = &backendLoad{pool: f.poolUse(backend.Pool), poolDemand: f.poolZoneDemand(backend.Pool, backend.Zone),
			responses: make(map[flow.Address]*observe.ResponseHistory)}
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

func (f *Flows) recordAttempt(state *flowState, chosen *Backend, now time.Time) {
	known := &state.opening
	if known.count > 0 {
		f.Retried.Add(1)
	}
	f.warmupAllowance.record(chosen, now)
	f.countNewFlow(chosen, known.count == 0)
	known.count = min(known.count, maxAttempts-1)
	known.attempts[known.count] = chosen
	known.count++
	known.sentAt = now
	if silent := f.backoffs[chosen.Incarnation()]; silent != nil {
		// It is tried by one flow, not by all that find it the least used.
		silent.avoidUntil = now.Add(ResponseTimeout)
	}
	f.zoneMonitor.recordProbe(chosen.Zone, now)
	state.attach(f.loadFor(chosen), now)
	if len(f.pendingOpenings) < maxGenerationFlows {
		f.pendingOpenings = append(f.pendingOpenings, pendingOpening{opening: known, backend: chosen, sentAt: now})
	}
}

// backendFor returns the back end for a later packet of a flow whose token names the given back
// end. The state is nil where no earlier packet passed here.
func (f *Flows) backendFor(state *flowState, named *Backend, now time.Time) *Backend {
	if state == nil {
		return named
	}
	known := &state.opening
	if known.openedBy == nil && known.wasTried(named) {
		known.openedBy = named
		f.countOpened(now.Sub(known.sentAt))
		delete(f.backoffs, named.Incarnation())
		if known.last().Number == named.Number {
			f.zoneMonitor.recordResponse(named, known.sentAt)
		}
	}
	if known.openedBy == nil || known.openedBy.Number == named.Number {
		return named
	}
	f.TokenOverrides.Add(1)
	return known.openedBy
}

// countOpened counts a flow by how long it took to open. What took longer than an
// answer may is counted as missed.
func (f *Flows) countOpened(took time.Duration) {
	if took < ResponseTimeout {
		f.OpenedByTime[aside.BucketOf(took)].Add(1)
	}
}

// collectOverdue counts the back ends whose answers are overdue.
func (f *Flows) collectOverdue(now time.Time) {
	due := 0
	for due < len(f.pendingOpenings) && now.Sub(f.pendingOpenings[due].sentAt) >= ResponseTimeout {
		f.recordOverdue(f.pendingOpenings[due], now)
		due++
	}
	f.pendingOpenings = f.pendingOpenings[:copy(f.pendingOpenings, f.pendingOpenings[due:])]
}

func (f *Flows) recordOverdue(due pendingOpening, now time.Time) {
	if due.opening.openedBy != nil {
		return
	}
	f.Unanswered.Add(1)
	f.zoneMonitor.recordMiss(due.backend, due.sentAt, now)
	state := f.backoffs[due.backend.Incarnation()]
	if state == nil {
		state = &backoff{}
		f.backoffs[due.backend.Incarnation()] = state
	}
	avoid := min(minAvoidTime<<state.misses, maxAvoidTime)
	if avoid < maxAvoidTime {
		state.misses++
	}
	state.avoidUntil = now.Add(avoid)
}

// rotate drops what is too old.
func (f *Flows) rotate(now time.Time) {
	if !f.flowCache.rotate(now) {
		return
	}
	f.failureDetector.expire(now)
	f.warmupAllowance.expire(now)
	for id, state := range f.backoffs {
		if now.Sub(state.avoidUntil) > maxAvoidTime {
			delete(f.backoffs, id)
		}
	}
	for id, known := range f.loads {
		if known.flows == 0 && len(known.responses) == 0 {
			delete(f.loads, id)
		}
	}
}
