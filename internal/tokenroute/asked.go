package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
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
func (s *flowState) countAsked(begins bool) {
	place := s.load.place
	if !begins {
		place.answers++
		return
	}
	if s.asked || s.opening.count == 0 {
		place.home.asks++
	}
	s.asked = true
}

// summarizePlaces returns what was asked of each place since the last summary, and begins
// anew.
func (f *Flows) summarizePlaces(elapsed time.Duration, now time.Time) map[demand.Place]demand.Load {
	made := make(map[demand.Place]demand.Load, len(f.places))
	rate := func(count int) float64 { return float64(count) / max(elapsed, summaryPause).Seconds() }
	for place, asked := range f.places {
		made[place] = demand.Load{
			Waiting:  asked.use.Mean(now),
			Openings: rate(asked.openings),
			Answers:  rate(asked.answers),
			Refusals: rate(asked.refusals),
			Asks:     rate(asked.asks),
		}
		asked.openings, asked.answers, asked.refusals, asked.asks = 0, 0, 0, 0
	}
	return made
}
