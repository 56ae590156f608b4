package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// timeStep is the part by which one answer moves the mean times of a place.
	timeStep = 1.0 / 32
	// A request that waits for lostTimes the mean without another packet of its flow is
	// lost: the back end has reset the flow, which clients don't tell. It counts no longer
	// than lostLongest.
	lostTimes   = 8
	lostLongest = 3 * time.Second
	// repeatFirst is when clients repeat a request first, and each pause after that is as
	// long as they have waited, and repeatFirst more: 200, 600, 1400, 3000 ms. So a client
	// that still waits shows it by then, and repeatLate later on a busy machine: with both,
	// a request that is never repeated counts for 0.5 s at least. No request is lost before.
	repeatFirst = 200 * time.Millisecond
	repeatLate  = 300 * time.Millisecond
	// wayWindow is for how long the least way counts at least; ways change with routes.
	wayWindow = 10 * time.Second
)

// placeAsked is what the flows that pass here ask of the back ends of a pool in a zone
// since the last summary.
type placeAsked struct {
	use                         observe.InFlightAverage
	openings, answers, refusals int
	// home counts what is asked of the pool, at its place in this balancer's zone; asks
	// is used there only.
	home *placeAsked
	asks int
	// took is the mean time of an answer in seconds, and way the least from a flow's opening
	// to its first request, which takes the way there and back and no work. The mean would
	// hold what clients think meanwhile, and openings that were lost and repeated.
	took float64
	way  least
	// begun are the requests in the order in which they began.
	begun []begun
}

// begun is a request that waits, or waited.
type begun struct {
	state *flowState
	at    time.Time
}

// placeAsked returns what is asked of a place.
func (f *Flows) placeAsked(pool, zone string) *placeAsked {
	place := demand.PoolZone{Pool: demand.Pool(pool), Zone: demand.Zone(zone)}
	known := f.places[place]
	if known != nil {
		return known
	}
	known = &placeAsked{}
	if f.places == nil {
		f.places = make(map[demand.PoolZone]*placeAsked)
	}
	f.places[place] = known
	known.home = known
	if zone != f.liveness.zone {
		known.home = f.placeAsked(pool, f.liveness.zone)
	}
	return known
}

// countOpening counts a new flow that goes to a back end; first is set unless it went to
// another one before.
func (f *Flows) countOpening(backend *Backend, first bool) {
	place := f.loadOf(backend).place
	place.openings++
	if first {
		place.home.asks++
	}
}

// CountRefusal counts a new flow that was refused for want of room in a pool.
func (f *Flows) CountRefusal(pool string) {
	place := f.placeAsked(pool, f.liveness.zone)
	place.refusals++
	place.asks++
}

// countAsked counts a request that begins, or one that was answered. The first request of
// a flow that opened here counts with its opening.
func (s *flowState) countAsked(begins bool, now time.Time) {
	place := s.load.place
	if !begins {
		s.lost = false
		place.answers++
		follow(&place.took, now.Sub(s.waitsSince))
		return
	}
	opens := !s.asked && s.opening.count > 0
	if opens {
		place.way.take(now.Sub(s.opening.sentAt), now)
	} else {
		place.home.asks++
	}
	s.asked, s.lost, s.unreached, s.sending, s.waitsSince = true, false, false, false, now
	place.begin(s)
}

// begin notes a request that waits.
func (p *placeAsked) begin(s *flowState) {
	if len(p.begun) < generationLimit {
		p.begun = append(p.begun, begun{state: s, at: s.waitsSince})
	}
}

// waitsStill takes that a request was repeated. One that was taken for lost waits again, and
// has waited all along: else slow back ends would look the least used.
func (s *flowState) waitsStill(now time.Time) {
	if !s.lost || s.load == nil {
		return
	}
	s.lost = false
	s.wait(true, now)
	s.load.place.begin(s)
}

// unreach takes that a request was repeated, so that it has reached nobody: who lives
// acknowledges a request while it waits in the queue there, and of 14,500 that waited up to
// 0.6 s for full back ends five were repeated. It is no demand on room that is not there; the
// requests to dead back ends would else make a pool look short of it. In the choice of a back
// end it counts on.
func (s *flowState) unreach(now time.Time) {
	s.unreached = true
	s.recount(now)
}

// sentOf is for how long no further packet of a request must have passed for it to be whole:
// more than a round trip between far clients and back ends, and less than the tightest
// targets. A back end works on whole requests, and what a narrow link holds up needs no slot:
// uploads over windows of 200 ms made a pressure of 3 where a half of the slots was in use.
const sentOf = 50 * time.Millisecond

// sendsOn takes that a further packet of the latest request has passed.
func (s *flowState) sendsOn(now time.Time) {
	s.sending = s.waits
	s.recount(now)
}

// sent counts a request as a demand once it is whole.
func (s *flowState) sent(now time.Time) {
	if s.sending && now.Sub(s.track.passedAt) >= sentOf {
		s.sending = false
		s.recount(now)
	}
}

// recount counts whether the flow is a demand on its pool and place.
func (s *flowState) recount(now time.Time) {
	using := s.waits && !s.unreached && !s.sending
	if s.using == using {
		return
	}
	s.using = using
	change := 1
	if !using {
		change = -1
	}
	s.load.pool.use.Add(change, now)
	s.load.place.use.Add(change, now)
}

// least is the least of some samples in wayWindow to twice as long, in seconds; 0 is none.
type least struct {
	current, previous float64
	turnedAt          time.Time
}

func (l *least) take(sample time.Duration, now time.Time) {
	if now.Sub(l.turnedAt) > wayWindow {
		l.previous, l.current, l.turnedAt = l.current, 0, now
	}
	if l.current == 0 || sample.Seconds() < l.current {
		l.current = sample.Seconds()
	}
}

func (l *least) value() float64 {
	if l.previous == 0 || l.current > 0 && l.current < l.previous {
		return l.current
	}
	return l.previous
}

// follow moves a mean, in seconds, by one time.
func follow(mean *float64, sample time.Duration) {
	if *mean == 0 {
		*mean = sample.Seconds()
		return
	}
	*mean += timeStep * (sample.Seconds() - *mean)
}

// dropLost ends the wait of requests that nobody answers any more. The memory would keep
// them for seconds, and a place look full long after its back ends had reset flows.
func (p *placeAsked) dropLost(now time.Time) {
	usual := time.Duration(lostTimes * p.took * float64(time.Second))
	waiting := p.begun
	p.begun = nil
	for _, each := range waiting {
		state := each.state
		switch {
		case !state.waits || !state.waitsSince.Equal(each.at):
		case now.Sub(state.track.passedAt) > min(max(usual, state.repeatsWithin()), lostLongest):
			state.release(now)
			state.lost = true
		default:
			state.sent(now)
			p.begun = append(p.begun, each)
		}
	}
}

// repeatsWithin is within what time from its latest packet a flow that waits shows another.
func (s *flowState) repeatsWithin() time.Duration {
	return s.track.passedAt.Sub(s.waitsSince) + repeatFirst + repeatLate
}

// working is the part of the time of a request that it is at its back end.
func (p *placeAsked) working() float64 {
	if p.took <= 0 {
		return 1
	}
	return min(1, max(leastWorking, 1-p.way.value()/p.took))
}

// leastWorking is the least part, where answers take hardly longer than their way, or less
// than openings did. With none, a place would look idle however much is asked of it, and draw
// what others have no room for; a twentieth is the 5 ms of work in an answer of 100 ms.
const leastWorking = 0.05

// summarizePlaces returns what was asked of each place since the last summary, and begins
// anew.
func (f *Flows) summarizePlaces(elapsed time.Duration, now time.Time) map[demand.PoolZone]demand.Load {
	made := make(map[demand.PoolZone]demand.Load, len(f.places))
	rate := func(count int) float64 { return float64(count) / max(elapsed, summaryPause).Seconds() }
	for place, asked := range f.places {
		asked.dropLost(now)
		made[place] = demand.Load{
			InFlight:    asked.use.Mean(now) * asked.working(),
			NewFlows:    rate(asked.openings),
			Responses:   rate(asked.answers),
			Refusals:    rate(asked.refusals),
			RequestRate: rate(asked.asks),
		}
		asked.openings, asked.answers, asked.refusals, asked.asks = 0, 0, 0, 0
	}
	return made
}
