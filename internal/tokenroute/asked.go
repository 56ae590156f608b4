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
	// than lostLongest, and no shorter than lostShortest.
	lostTimes    = 8
	lostShortest = 500 * time.Millisecond
	lostLongest  = 3 * time.Second
)

// placeAsked is what the flows that pass here ask of the back ends of a pool in a zone
// since the last summary.
type placeAsked struct {
	use                         observe.Use
	openings, answers, refusals int
	// home counts what is asked of the pool, at its place in this balancer's zone; asks
	// is used there only.
	home *placeAsked
	asks int
	// took is the mean time of an answer, and way that of a flow's opening, which takes the
	// way there and back and no work; in seconds.
	took, way float64
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
	place := demand.Place{Pool: demand.Pool(pool), Zone: demand.Zone(zone)}
	known := f.places[place]
	if known != nil {
		return known
	}
	known = &placeAsked{}
	if f.places == nil {
		f.places = make(map[demand.Place]*placeAsked)
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
		place.answers++
		follow(&place.took, now.Sub(s.waitsSince))
		return
	}
	opens := !s.asked && s.opening.count > 0
	if opens {
		follow(&place.way, now.Sub(s.opening.sentAt))
	} else {
		place.home.asks++
	}
	s.asked, s.waitsSince = true, now
	if len(place.begun) < generationLimit {
		place.begun = append(place.begun, begun{state: s, at: now})
	}
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
	lost := time.Duration(lostTimes * p.took * float64(time.Second))
	lost = min(max(lost, lostShortest), lostLongest)
	waiting := p.begun
	p.begun = nil
	for _, each := range waiting {
		state := each.state
		switch {
		case !state.waits || !state.waitsSince.Equal(each.at):
		case now.Sub(state.track.passedAt) > lost:
			state.release(now)
		default:
			p.begun = append(p.begun, each)
		}
	}
}

// working is the part of the time of a request that it is at its back end.
func (p *placeAsked) working() float64 {
	if p.took <= 0 {
		return 1
	}
	return min(1, max(leastWorking, 1-p.way/p.took))
}

// leastWorking is the least part, where answers take hardly longer than their way.
const leastWorking = 0.05

// summarizePlaces returns what was asked of each place since the last summary, and begins
// anew.
func (f *Flows) summarizePlaces(elapsed time.Duration, now time.Time) map[demand.Place]demand.Load {
	made := make(map[demand.Place]demand.Load, len(f.places))
	rate := func(count int) float64 { return float64(count) / max(elapsed, summaryPause).Seconds() }
	for place, asked := range f.places {
		asked.dropLost(now)
		made[place] = demand.Load{
			Waiting:  asked.use.Mean(now) * asked.working(),
			Openings: rate(asked.openings),
			Answers:  rate(asked.answers),
			Refusals: rate(asked.refusals),
			Asks:     rate(asked.asks),
		}
		asked.openings, asked.answers, asked.refusals, asked.asks = 0, 0, 0, 0
	}
	return made
}
