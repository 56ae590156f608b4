package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// summaryPause is the time between two summaries.
	summaryPause = 250 * time.Millisecond
	// judgePause is the time between two comparisons of answers.
	judgePause = time.Second
	// answersKept is the part of what is known of answers that is kept from one
	// comparison to the next: half of it lasts 6.6 seconds.
	answersKept = 0.9
)

// Summarize returns what was observed since the last summary, or nil while
// another one is not due.
func (f *Flows) Summarize(now time.Time) *observe.Summary {
	if now.Sub(f.summarizedAt) < summaryPause {
		return nil
	}
	elapsed := now.Sub(f.summarizedAt)
	f.summarizedAt = now
	if now.Sub(f.judgedAt) >= judgePause {
		f.judgedAt = now
		f.compareAnswers()
	}
	made := &observe.Summary{
		At:       now,
		InFlight: make(map[string]float64, len(f.pools)),
		Loads:    f.summarizePlaces(elapsed, now),
		Dead:     f.liveness.failed(now),

		Findings: make(map[incarnation.ID]observe.Finding),
	}
	for name, pool := range f.pools {
		made.InFlight[name] = pool.use.Mean(now)
	}
	for id, known := range f.loads {
		if !known.finding.IsZero() {
			made.Findings[id] = known.finding
		}
	}
	return made
}

// question is what back ends of a pool are asked alike: the address.
type question struct {
	pool    *poolUse
	address flow.Address
}

// compareAnswers compares the answers of the back ends of each pool to each
// address.
func (f *Flows) compareAnswers() {
	asked := make(map[question][]*load, len(f.pools))
	for _, known := range f.loads {
		known.finding = observe.Finding{}
		for address, answers := range known.answers {
			if answers.Empty() {
				delete(known.answers, address)
				continue
			}
			question := question{pool: known.pool, address: address}
			asked[question] = append(asked[question], known)
		}
	}
	for question, loads := range asked {
		f.compareTo(question, loads)
	}
}

// compareTo compares the answers of the back ends of a pool to one address. While the pool is
// saturated, only those count that had settled before.
func (f *Flows) compareTo(question question, loads []*load) {
	saturated := f.isSaturated(question.pool.name)
	tallies := make([]*observe.ResponseCounts, len(loads))
	for place, known := range loads {
		answers := known.answers[question.address]
		if saturated {
			answers.DiscardRecent()
		}
		tallies[place] = answers.Total()
		answers.Advance(answersKept)
	}
	for place, finding := range observe.Compare(tallies) {
		loads[place].finding = loads[place].finding.Plus(finding.AboveNoise())
	}
}

// Saturate takes the pools that have no free slot. Requests wait in queues there, the longer
// the busier their back end is, and what is shed is answered at once: neither tells which back
// end is unwell. It may be called by any goroutine.
func (f *Flows) Saturate(pools map[string]bool) { f.saturated.Store(&pools) }

func (f *Flows) isSaturated(pool string) bool {
	saturated := f.saturated.Load()
	return saturated != nil && (*saturated)[pool]
}
