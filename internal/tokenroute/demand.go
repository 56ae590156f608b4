package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// responseTimeWeight is the weight of one response in the moving average of response times.
	responseTimeWeight = 1.0 / 32
	// A request that has been in flight for lostMultiple times the mean response time without
	// another packet of its flow counts as lost: the back end has reset the flow, and clients send
	// nothing that shows this. It stays in flight for maxLostTimeout at most.
	lostMultiple   = 8
	maxLostTimeout = 3 * time.Second
	// firstRetransmission is the time after which clients first retransmit a request. Each further
	// pause is as long as the time waited so far plus firstRetransmission, which gives
	// retransmissions after 200, 600, 1400 and 3000 ms. A client that is still waiting shows it by
	// then, or retransmissionSlack later if its machine is busy. The two together keep a request
	// that is never retransmitted in flight for at least 0.5 s; no request counts as lost before
	// that.
	firstRetransmission = 200 * time.Millisecond
	retransmissionSlack = 300 * time.Millisecond
	// minRTTWindow is how long the minimum round-trip time is kept at least. It is limited because
	// round-trip times change with network routes.
	minRTTWindow = 10 * time.Second
)

// poolZoneDemand is the demand of the flows that pass here on the back ends of a pool in one zone
// since the last summary.
type poolZoneDemand struct {
	use                           observe.InFlightAverage
	newFlows, responses, refusals int
	// local is the demand on the same pool in this balancer's zone. All requests and new flows for
	// the pool are counted in its field requests, which is not used for other zones.
	local    *poolZoneDemand
	requests int
	// responseTime is the mean response time in seconds. minRTT is the minimum time from the
	// opening of a flow to its first request, which includes the round trip but no work of the back
	// end. A mean would include the think time of clients, and openings that were lost and
	// retransmitted.
	responseTime float64
	minRTT       windowedMin
	// pending holds the requests in flight in the order in which they started.
	pending []pendingRequest
}

// pendingRequest is a request that is, or was, in flight.
type pendingRequest struct {
	state     *flowState
	startedAt time.Time
}

// poolZoneDemand returns the demand on a pool in a zone.
func (f *Flows) poolZoneDemand(pool, zone string) *poolZoneDemand {
	poolZone := demand.PoolZone{Pool: demand.Pool(pool), Zone: demand.Zone(zone)}
	poolDemand := f.demands[poolZone]
	if poolDemand != nil {
		return poolDemand
	}
	poolDemand = &poolZoneDemand{}
	if f.demands == nil {
		f.demands = make(map[demand.PoolZone]*poolZoneDemand)
	}
	f.demands[poolZone] = poolDemand
	poolDemand.local = poolDemand
	if zone != f.failureDetector.zone {
		poolDemand.local = f.poolZoneDemand(pool, f.failureDetector.zone)
	}
	return poolDemand
}

// countNewFlow counts a new flow that is sent to a back end. first is set unless the flow was sent
// to another back end before.
func (f *Flows) countNewFlow(backend *Backend, first bool) {
	poolDemand := f.loadFor(backend).poolDemand
	poolDemand.newFlows++
	if first {
		poolDemand.local.requests++
	}
}

// CountRefusal counts a new flow that was refused because its pool is short of capacity.
func (f *Flows) CountRefusal(pool string) {
	poolDemand := f.poolZoneDemand(pool, f.failureDetector.zone)
	poolDemand.refusals++
	poolDemand.requests++
}

// countRequest counts a request that starts, or one that was answered. The first request of a flow
// that opened here was already counted with the opening.
func (s *flowState) countRequest(starts bool, now time.Time) {
	poolDemand := s.load.poolDemand
	if !starts {
		s.lost = false
		poolDemand.responses++
		updateMean(&poolDemand.responseTime, now.Sub(s.inFlightSince))
		return
	}
	opensFlow := !s.requestSeen && s.opening.count > 0
	if opensFlow {
		poolDemand.minRTT.add(now.Sub(s.opening.sentAt), now)
	} else {
		poolDemand.local.requests++
	}
	s.requestSeen, s.lost, s.undelivered, s.sending, s.inFlightSince = true, false, false, false, now
	poolDemand.addPending(s)
}

// addPending adds the latest request of a flow to the pending ones.
func (p *poolZoneDemand) addPending(s *flowState) {
	if len(p.pending) < maxGenerationFlows {
		p.pending = append(p.pending, pendingRequest{state: s, startedAt: s.inFlightSince})
	}
}

// resumeRequest records that a request was retransmitted. A request that was counted as lost is in
// flight again, and has been all along: otherwise slow back ends would look the least used.
func (s *flowState) resumeRequest(now time.Time) {
	if !s.lost || s.load == nil {
		return
	}
	s.lost = false
	s.countInFlight(true, now)
	s.load.poolDemand.addPending(s)
}

// markUndelivered records that a request was retransmitted, which means that it has reached no back
// end: a live one acknowledges a request while it is still queued there. Of 14,500 requests that
// waited up to 0.6 s for full back ends, five were retransmitted. Such a request does not count as
// demand, since otherwise the requests to dead back ends would make the pool look short of
// capacity. It still counts as in flight when a back end is chosen.
func (s *flowState) markUndelivered(now time.Time) {
	s.undelivered = true
	s.updateDemand(now)
}

// requestCompleteTime is the time without a further packet after which a request counts as
// complete. It is longer than a round trip between distant clients and back ends, and shorter than
// the tightest latency targets. A back end works on complete requests, and one that a slow link
// holds up needs no slot: uploads over windows of 200 ms caused a pressure of 3 while half of the
// slots were in use.
const requestCompleteTime = 50 * time.Millisecond

// markSending records that a further packet of the latest request has passed.
func (s *flowState) markSending(now time.Time) {
	s.sending = s.inFlight
	s.updateDemand(now)
}

// countIfComplete counts a request as demand once it is complete.
func (s *flowState) countIfComplete(now time.Time) {
	if s.sending && now.Sub(s.tracker.passedAt) >= requestCompleteTime {
		s.sending = false
		s.updateDemand(now)
	}
}

// updateDemand updates whether the flow counts as demand on its pool and zone.
func (s *flowState) updateDemand(now time.Time) {
	inDemand := s.inFlight && !s.undelivered && !s.sending
	if s.inDemand == inDemand {
		return
	}
	s.inDemand = inDemand
	change := 1
	if !inDemand {
		change = -1
	}
	s.load.pool.use.Add(change, now)
	s.load.poolDemand.use.Add(change, now)
}

// windowedMin is the minimum of the samples of a period between minRTTWindow and twice that, in
// seconds; 0 means that there are none.
type windowedMin struct {
	current, previous float64
	rotatedAt         time.Time
}

func (w *windowedMin) add(sample time.Duration, now time.Time) {
	if now.Sub(w.rotatedAt) > minRTTWindow {
		w.previous, w.current, w.rotatedAt = w.current, 0, now
	}
	if w.current == 0 || sample.Seconds() < w.current {
		w.current = sample.Seconds()
	}
}

func (w *windowedMin) value() float64 {
	if w.previous == 0 || w.current > 0 && w.current < w.previous {
		return w.current
	}
	return w.previous
}

// updateMean updates an exponentially weighted moving average, in seconds, with one sample.
func updateMean(mean *float64, sample time.Duration) {
	if *mean == 0 {
		*mean = sample.Seconds()
		return
	}
	*mean += responseTimeWeight * (sample.Seconds() - *mean)
}

// dropLostRequests ends requests that will not be answered any more. The flow cache would keep them
// in flight for seconds, and the back ends of a zone would look full long after they have reset the
// flows.
func (p *poolZoneDemand) dropLostRequests(now time.Time) {
	timeout := time.Duration(lostMultiple * p.responseTime * float64(time.Second))
	previous := p.pending
	p.pending = nil
	for _, request := range previous {
		state := request.state
		switch {
		case !state.inFlight || !state.inFlightSince.Equal(request.startedAt):
		case now.Sub(state.tracker.passedAt) > min(max(timeout, state.retransmissionTimeout()), maxLostTimeout):
			state.detach(now)
			state.lost = true
		default:
			state.countIfComplete(now)
			p.pending = append(p.pending, request)
		}
	}
}

// retransmissionTimeout returns the time after its latest packet within which a flow with a request
// in flight shows another packet.
func (s *flowState) retransmissionTimeout() time.Duration {
	return s.tracker.passedAt.Sub(s.inFlightSince) + firstRetransmission + retransmissionSlack
}

// serviceFraction returns the fraction of the response time that a request spends at its back end.
func (p *poolZoneDemand) serviceFraction() float64 {
	if p.responseTime <= 0 {
		return 1
	}
	return min(1, max(minServiceFraction, 1-p.minRTT.value()/p.responseTime))
}

// minServiceFraction is the lower bound of serviceFraction, which applies if responses take hardly
// longer than the round trip, or even less time than openings did. Without it a zone would look idle
// whatever the demand, and would draw requests that other zones have no capacity for. One twentieth
// corresponds to 5 ms of work in a response time of 100 ms.
const minServiceFraction = 0.05

// summarizeDemand returns the demand on each pool in each zone since the last summary, and resets
// the counters.
func (f *Flows) summarizeDemand(elapsed time.Duration, now time.Time) map[demand.PoolZone]demand.Load {
	loads := make(map[demand.PoolZone]demand.Load, len(f.demands))
	rate := func(count int) float64 { return float64(count) / max(elapsed, summaryInterval).Seconds() }
	for poolZone, poolDemand := range f.demands {
		poolDemand.dropLostRequests(now)
		loads[poolZone] = demand.Load{
			InFlight:    poolDemand.use.Mean(now) * poolDemand.serviceFraction(),
			NewFlows:    rate(poolDemand.newFlows),
			Responses:   rate(poolDemand.responses),
			Refusals:    rate(poolDemand.refusals),
			RequestRate: rate(poolDemand.requests),
		}
		poolDemand.newFlows, poolDemand.responses, poolDemand.refusals, poolDemand.requests = 0, 0, 0, 0
	}
	return loads
}
