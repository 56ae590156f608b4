package tokenroute

import (
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/withdrawal"
)

// Flows holds the flows of one traffic goroutine and decides on their packets.
type Flows struct {
	disabled        mechanism.Set
	flowCache       *flowCache
	pendingOpenings []pendingOpening
	// demands is the demand on each pool in each zone.
	demands     map[demand.PoolZone]*poolZoneDemand
	backoffs    map[incarnation.ID]*backoff
	zoneMonitor *zoneMonitor
	loads       map[incarnation.ID]*backendLoad
	pools       map[string]*poolUse
	// summarizedAt is when the last summary was made, comparedAt when responses were last compared.
	summarizedAt, comparedAt time.Time
	// warmupLimiter limits the new flows to cold back ends.
	warmupLimiter warmupLimiter
	// refusals select the new flows that are refused because their pool is short of capacity.
	refusals atomic.Pointer[admission.Refusals]
	// saturated holds the pools whose response times depend on their queues.
	saturated atomic.Pointer[map[string]bool]
	// table is the latest one, and restarted are the starts of back ends whose earlier flows were
	// abandoned.
	table     *Table
	restarted map[incarnation.ID]bool
	// failureDetector detects failed back ends by the later packets of their flows.
	failureDetector *FailureDetector
	// Retried counts first packets that were sent to another back end.
	Retried atomic.Uint64
	// Unanswered counts openings that a back end did not answer in time.
	Unanswered atomic.Uint64
	// OpenedByTime counts opened flows by the time that they took to open.
	OpenedByTime [withdrawal.Buckets]atomic.Uint64
	// TokenOverrides counts packets sent to the back end that opened their flow although their
	// token named another one.
	TokenOverrides atomic.Uint64
}

// NewFlows returns an empty Flows that decides without the given mechanisms.
func NewFlows(disabled mechanism.Set) *Flows {
	flowCache, zoneMonitor := newFlowCache(), newZoneMonitor(disabled)
	return &Flows{
		disabled:        disabled,
		flowCache:       flowCache,
		backoffs:        make(map[incarnation.ID]*backoff),
		zoneMonitor:     zoneMonitor,
		loads:           make(map[incarnation.ID]*backendLoad),
		pools:           make(map[string]*poolUse),
		failureDetector: newFailureDetector(flowCache, zoneMonitor, disabled),
	}
}

// WithZone sets the zone of this balancer and returns f.
func (f *Flows) WithZone(zone string) *Flows {
	f.failureDetector.zone = zone
	return f
}

// BackendFailures returns how often a back end was detected as failed.
func (f *Flows) BackendFailures() uint64 { return f.failureDetector.FailureCount.Load() }

// TakeBackendFailures returns the back ends that were detected as failed since the last call.
func (f *Flows) TakeBackendFailures() []BackendFailure {
	taken := f.failureDetector.failures
	f.failureDetector.failures = nil
	return taken
}

// SilentZoneCount returns how often a zone became silent.
func (f *Flows) SilentZoneCount() uint64 { return f.zoneMonitor.silentCount.Load() }

// TakeSilentZones returns the zones that became silent since the last call.
func (f *Flows) TakeSilentZones() []SilentZone {
	taken := f.zoneMonitor.silentZones
	f.zoneMonitor.silentZones = nil
	return taken
}

// TakeAbandonedFlows returns the flows whose back end was detected as failed, or restarted, since
// the last call. They are to be reset.
func (f *Flows) TakeAbandonedFlows() []AbandonedFlow {
	taken := f.failureDetector.abandoned
	f.failureDetector.abandoned = nil
	return taken
}

// chooseForFirst returns the back end for the first packet of a flow, or for a retransmission of
// it, or nil if the route has none. A retransmission goes to the back end that has opened the flow. If
// that is not known, one that comes before the answer was due, or after maxAttempts back ends were
// tried, goes to the same back end as the earlier packet, provided that this one still takes new
// flows.
func (f *Flows) chooseForFirst(route *Route, packet Packet, now time.Time) *Backend {
	f.rotate(now)
	f.collectOverdue(now)
	state := f.flowCache.matchFirst(packet, now)
	o := &state.opening
	if o.openedBy == nil && o.count == 0 {
		// If packets with data have passed, another balancer has sent the first one to the back end that
		// opened the flow.
		o.openedBy = state.tracker.backend
	}
	if o.openedBy != nil {
		return o.openedBy
	}
	if o.count > 0 && (now.Sub(o.sentAt) < ResponseTimeout || o.count == maxAttempts) && route.Accepts(o.last()) && !f.table.ended(o.last(), now) {
		return o.last()
	}
	prefer := func(backend *Backend) Preference { return f.preference(o, backend, now) }
	chosen := route.Choose(packet.Key.Hash(), prefer, f.usage)
	if chosen == nil {
		return nil
	}
	f.recordAttempt(state, chosen, now)
	return chosen
}

// preference returns how willingly a new flow is sent to a back end.
func (f *Flows) preference(o *flowOpening, backend *Backend, now time.Time) Preference {
	if f.table.ended(backend, now) {
		return Forbidden
	}
	warmupPreference := f.warmupLimiter.preference(backend, now)
	if warmupPreference == Forbidden {
		return Forbidden
	}
	if o.wasTried(backend) || f.failureDetector.Failed(backend, now) {
		return Avoided
	}
	backoff := f.backoffs[backend.Incarnation()]
	if backoff != nil && now.Before(backoff.avoidUntil) && !f.disabled.Has(mechanism.AvoidSilent) {
		return Avoided
	}
	if f.zoneMonitor.avoids(backend.Zone, now) {
		return max(warmupPreference, Suspected)
	}
	return warmupPreference
}

// usage returns how much of a back end the flows that pass here use.
func (f *Flows) usage(backend *Backend) int {
	load := f.loads[backend.Incarnation()]
	if load == nil || f.disabled.Has(mechanism.LeastUsed) {
		return 0
	}
	return load.flows + inFlightWeight*load.inFlightRequests
}

// loadFor returns the load of a back end.
func (f *Flows) loadFor(backend *Backend) *backendLoad {
	load := f.loads[backend.Incarnation()]
	if load == nil {
		load = &backendLoad{pool: f.poolUse(backend.Pool), poolDemand: f.poolZoneDemand(backend.Pool, backend.Zone),
			responses: make(map[flow.Address]*observe.ResponseHistory)}
		f.loads[backend.Incarnation()] = load
	}
	return load
}

func (f *Flows) poolUse(name string) *poolUse {
	use := f.pools[name]
	if use == nil {
		use = &poolUse{name: name}
		f.pools[name] = use
	}
	return use
}

func (f *Flows) recordAttempt(state *flowState, chosen *Backend, now time.Time) {
	o := &state.opening
	if o.count > 0 {
		f.Retried.Add(1)
	} else {
		o.startedAt = now
	}
	f.warmupLimiter.record(chosen, now)
	f.countNewFlow(chosen, o.count == 0)
	o.count = min(o.count, maxAttempts-1)
	o.attempts[o.count] = chosen
	o.count++
	o.sentAt = now
	if backoff := f.backoffs[chosen.Incarnation()]; backoff != nil {
		// One flow probes the back end, instead of all those that find it the least used.
		backoff.avoidUntil = now.Add(ResponseTimeout)
	}
	f.zoneMonitor.recordProbe(chosen.Zone, now)
	state.attach(f.loadFor(chosen), now)
	if len(f.pendingOpenings) < maxGenerationFlows {
		f.pendingOpenings = append(f.pendingOpenings, pendingOpening{opening: o, backend: chosen, sentAt: now})
	}
}

// backendFor returns the back end for a later packet of a flow whose token names tokenBackend. The
// state is nil if no earlier packet passed here. If the flow's first packet passed here, the first
// later one names the back end that opened the flow, which may have got the first packet from another
// balancer.
func (f *Flows) backendFor(state *flowState, tokenBackend *Backend, now time.Time) *Backend {
	if state == nil {
		return tokenBackend
	}
	o := &state.opening
	if o.openedBy == nil && o.count > 0 {
		o.openedBy = tokenBackend
		if o.wasTried(tokenBackend) {
			f.recordOpened(o, now)
		}
	}
	if o.openedBy == nil || o.openedBy.Number == tokenBackend.Number {
		return tokenBackend
	}
	f.TokenOverrides.Add(1)
	return o.openedBy
}

// recordOpened records that a flow was opened by a back end that was tried here.
func (f *Flows) recordOpened(o *flowOpening, now time.Time) {
	f.countOpened(now.Sub(o.sentAt))
	delete(f.backoffs, o.openedBy.Incarnation())
	if o.last().Number == o.openedBy.Number {
		f.zoneMonitor.recordResponse(o.openedBy, o.sentAt)
	}
}

// countOpened counts a flow by the time that it took to open. A flow that took longer than
// ResponseTimeout is counted as unanswered instead.
func (f *Flows) countOpened(took time.Duration) {
	if took < ResponseTimeout {
		f.OpenedByTime[withdrawal.BucketOf(took)].Add(1)
	}
}

// collectOverdue records the back ends whose answers are overdue.
func (f *Flows) collectOverdue(now time.Time) {
	due := 0
	for due < len(f.pendingOpenings) && now.Sub(f.pendingOpenings[due].sentAt) >= ResponseTimeout {
		f.recordOverdue(f.pendingOpenings[due], now)
		due++
	}
	f.pendingOpenings = f.pendingOpenings[:copy(f.pendingOpenings, f.pendingOpenings[due:])]
}

func (f *Flows) recordOverdue(pending pendingOpening, now time.Time) {
	if opener := pending.opening.openedBy; opener != nil && pending.opening.wasTried(opener) {
		return
	}
	f.Unanswered.Add(1)
	f.zoneMonitor.recordMiss(pending.backend, pending.sentAt, now)
	state := f.backoffs[pending.backend.Incarnation()]
	if state == nil {
		state = &backoff{}
		f.backoffs[pending.backend.Incarnation()] = state
	}
	avoid := min(minAvoidTime<<state.misses, maxAvoidTime)
	if avoid < maxAvoidTime {
		state.misses++
	}
	state.avoidUntil = now.Add(avoid)
}

// rotate drops state that is too old.
func (f *Flows) rotate(now time.Time) {
	if !f.flowCache.rotate(now) {
		return
	}
	f.failureDetector.expire(now)
	f.warmupLimiter.expire(now)
	for id, state := range f.backoffs {
		if now.Sub(state.avoidUntil) > maxAvoidTime {
			delete(f.backoffs, id)
		}
	}
	for id, load := range f.loads {
		if load.flows == 0 && len(load.responses) == 0 {
			delete(f.loads, id)
		}
	}
}
