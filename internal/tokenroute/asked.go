package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// responseTimeWeight is the part by which one answer moves the mean times of a place.
	responseTimeWeight = 1.0 / 32
	// A request that waits for lostMultiple the mean without another packet of its flow is
	// lost: the back end has reset the flow, which clients don't tell. It counts no longer
	// than maxLostTimeout.
	lostMultiple   = 8
	maxLostTimeout = 3 * time.Second
	// firstRetransmission is when clients repeat a request first, and each pause after that is as
	// long as they have waited, and firstRetransmission more: 200, 600, 1400, 3000 ms. So a client
	// that still waits shows it by then, and retransmissionSlack later on a busy machine: with both,
	// a request that is never repeated counts for 0.5 s at least. No request is lost before.
	firstRetransmission = 200 * time.Millisecond
	retransmissionSlack = 300 * time.Millisecond
	// minRTTWindow is for how long the least way counts at least; ways change with routes.
	minRTTWindow = 10 * time.Second
)

// poolZoneDemand is what the flows that pass here ask of the back ends of a pool in a zone
// since the last summary.
type poolZoneDemand struct {
	use                           observe.InFlightAverage
	newFlows, responses, refusals int
	// local counts what is asked of the pool, at its place in this balancer's zone; asks
	// is used there only.
	local    *poolZoneDemand
	requests int
	// responseTime is the mean time of an answer in seconds, and way the least from a flow's opening
	// to its first request, which takes the way there and back and no work. The mean would
	// hold what clients think meanwhile, and openings that were lost and repeated.
	responseTime float64
	minRTT       windowedMin
	// pending are the requests in the order in which they began.
	pending []pendingRequest
}

// pendingRequest is a request that waits, or waited.
type pendingRequest struct {
	state     *flowState
	startedAt time.Time
}

// poolZoneDemand returns what is asked of a place.
func (f *Flows) poolZoneDemand(pool, zone string) *poolZoneDemand {
	place := demand.PoolZone{Pool: demand.Pool(pool), Zone: demand.Zone(zone)}
	known := f.demands[place]
	if known != nil {
		return known
	}
	known = &poolZoneDemand{}
	if f.demands == nil {
		f.demands = make(map[demand.PoolZone]*poolZoneDemand)
	}
	f.demands[place] = known
	known.local = known
	if zone != f.failureDetector.zone {
		known.local = f.poolZoneDemand(pool, f.failureDetector.zone)
	}
	return known
}

// countNewFlow counts a new flow that goes to a back end; first is set unless it went to
// another one before.
func (f *Flows) countNewFlow(backend *Backend, first bool) {
	place := f.loadFor(backend).poolDemand
	place.newFlows++
	if first {
		place.local.requests++
	}
}

// CountRefusal counts a new flow that was refused for want of room in a pool.
func (f *Flows) CountRefusal(pool string) {
	place := f.poolZoneDemand(pool, f.failureDetector.zone)
	place.refusals++
	place.requests++
}

// countRequest counts a request that begins, or one that was answered. The first request of
// a flow that opened here counts with its opening.
func (s *flowState) countRequest(begins bool, now time.Time) {
	place := s.load.poolDemand
	if !begins {
		s.lost = false
		place.responses++
		updateMean(&place.responseTime, now.Sub(s.inFlightSince))
		return
	}
	opens := !s.requestSeen && s.opening.count > 0
	if opens {
		place.minRTT.add(now.Sub(s.opening.sentAt), now)
	} else {
		place.local.requests++
	}
	s.requestSeen, s.lost, s.undelivered, s.sending, s.inFlightSince = true, false, false, false, now
	place.addPending(s)
}

// addPending notes a request that waits.
func (p *poolZoneDemand) addPending(s *flowState) {
	if len(p.pending) < maxGenerationFlows {
		p.pending = append(p.pending, pendingRequest{state: s, startedAt: s.inFlightSince})
	}
}

// resumeRequest takes that a request was repeated. One that was taken for lost waits again, and
// has waited all along: else slow back ends would look the least used.
func (s *flowState) resumeRequest(now time.Time) {
	if !s.lost || s.load == nil {
		return
	}
	s.lost = false
	s.countInFlight(true, now)
	s.load.poolDemand.addPending(s)
}

// markUndelivered takes that a request was repeated, so that it has reached nobody: who lives
// acknowledges a request while it waits in the queue there, and of 14,500 that waited up to
// 0.6 s for full back ends five were repeated. It is no demand on room that is not there; the
// requests to dead back ends would else make a pool look short of it. In the choice of a back
// end it counts on.
func (s *flowState) markUndelivered(now time.Time) {
	s.undelivered = true
	s.updateDemand(now)
}

// requestCompleteTime is for how long no further packet of a request must have passed for it to be whole:
// more than a round trip between far clients and back ends, and less than the tightest
// targets. A back end works on whole requests, and what a narrow link holds up needs no slot:
// uploads over windows of 200 ms made a pressure of 3 where a half of the slots was in use.
const requestCompleteTime = 50 * time.Millisecond

// markSending takes that a further packet of the latest request has passed.
func (s *flowState) markSending(now time.Time) {
	s.sending = s.inFlight
	s.updateDemand(now)
}

// countIfComplete counts a request as a demand once it is whole.
func (s *flowState) countIfComplete(now time.Time) {
	if s.sending && now.Sub(s.tracker.passedAt) >= requestCompleteTime {
		s.sending = false
		s.updateDemand(now)
	}
}

// updateDemand counts whether the flow is a demand on its pool and place.
func (s *flowState) updateDemand(now time.Time) {
	using := s.inFlight && !s.undelivered && !s.sending
	if s.inDemand == using {
		return
	}
	s.inDemand = using
	change := 1
	if !using {
		change = -1
	}
	s.load.pool.use.Add(change, now)
	s.load.poolDemand.use.Add(change, now)
}

// windowedMin is the least of some samples in minRTTWindow to twice as long, in seconds; 0 is none.
type windowedMin struct {
	current, previous float64
	rotatedAt         time.Time
}

func (l *windowedMin) add(sample time.Duration, now time.Time) {
	if now.Sub(l.rotatedAt) > minRTTWindow {
		l.previous, l.current, l.rotatedAt = l.current, 0, now
	}
	if l.current == 0 || sample.Seconds() < l.current {
		l.current = sample.Seconds()
	}
}

func (l *windowedMin) value() float64 {
	if l.previous == 0 || l.current > 0 && l.current < l.previous {
		return l.current
	}
	return l.previous
}

// updateMean moves a mean, in seconds, by one time.
func updateMean(mean *float64, sample time.Duration) {
	if *mean == 0 {
		*mean = sample.Seconds()
		return
	}
	*mean += responseTimeWeight * (sample.Seconds() - *mean)
}

// dropLostRequests ends the wait of requests that nobody answers any more. The memory would keep
// them for seconds, and a place look full long after its back ends had reset flows.
func (p *poolZoneDemand) dropLostRequests(now time.Time) {
	usual := time.Duration(lostMultiple * p.responseTime * float64(time.Second))
	waiting := p.pending
	p.pending = nil
	for _, each := range waiting {
		state := each.state
		switch {
		case !state.inFlight || !state.inFlightSince.Equal(each.startedAt):
		case now.Sub(state.tracker.passedAt) > min(max(usual, state.retransmissionTimeout()), maxLostTimeout):
			state.detach(now)
			state.lost = true
		default:
			state.countIfComplete(now)
			p.pending = append(p.pending, each)
		}
	}
}

// retransmissionTimeout is within what time from its latest packet a flow that waits shows another.
func (s *flowState) retransmissionTimeout() time.Duration {
	return s.tracker.passedAt.Sub(s.inFlightSince) + firstRetransmission + retransmissionSlack
}

// serviceFraction is the part of the time of a request that it is at its back end.
func (p *poolZoneDemand) serviceFraction() float64 {
	if p.responseTime <= 0 {
		return 1
	}
	return min(1, max(minServiceFraction, 1-p.minRTT.value()/p.responseTime))
}

// minServiceFraction is the least part, where answers take hardly longer than their way, or less
// than openings did. With none, a place would look idle however much is asked of it, and draw
// what others have no room for; a twentieth is the 5 ms of work in an answer of 100 ms.
const minServiceFraction = 0.05

// summarizeDemand returns what was asked of each place since the last summary, and begins
// anew.
func (f *Flows) summarizeDemand(elapsed time.Duration, now time.Time) map[demand.PoolZone]demand.Load {
	made := make(map[demand.PoolZone]demand.Load, len(f.demands))
	rate := func(count int) float64 { return float64(count) / max(elapsed, summaryInterval).Seconds() }
	for place, asked := range f.demands {
		asked.dropLostRequests(now)
		made[place] = demand.Load{
			InFlight:    asked.use.Mean(now) * asked.serviceFraction(),
			NewFlows:    rate(asked.newFlows),
			Responses:   rate(asked.responses),
			Refusals:    rate(asked.refusals),
			RequestRate: rate(asked.requests),
		}
		asked.newFlows, asked.responses, asked.refusals, asked.requests = 0, 0, 0, 0
	}
	return made
}
