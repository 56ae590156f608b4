package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

const (
	// summaryInterval is the time between two summaries.
	summaryInterval = 250 * time.Millisecond
	// comparisonInterval is the time between two comparisons of answers.
	comparisonInterval = time.Second
	// responseDecay is the part of what is known of answers that is kept from one
	// comparison to the next: half of it lasts 6.6 seconds.
	responseDecay = 0.9
)

// Summarize returns what was observed since the last summary, or nil while
// another one is not due.
func (f *Flows) Summarize(now time.Time) *observe.Summary {
	if now.Sub(f.summarizedAt) < summaryInterval {
		return nil
	}
	elapsed := now.Sub(f.summarizedAt)
	f.summarizedAt = now
	if now.Sub(f.comparedAt) >= comparisonInterval {
		f.comparedAt = now
		f.compareResponses()
	}
	made := &observe.Summary{
		At:       now,
		InFlight: make(map[string]float64, len(f.pools)),
		Loads:    f.summarizeDemand(elapsed, now),
		Dead:     f.failureDetector.failed(now),

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

// responseGroup is what back ends of a pool are asked alike: the address.
type responseGroup struct {
	pool    *poolUse
	address flow.Address
}

// compareResponses compares the answers of the back ends of each pool to each
// address.
func (f *Flows) compareResponses() {
	asked := make(map[responseGroup][]*backendLoad, len(f.pools))
	for _, known := range f.loads {
		known.finding = observe.Finding{}
		for address, answers := range known.responses {
			if answers.Empty() {
				delete(known.responses, address)
				continue
			}
			question := responseGroup{pool: known.pool, address: address}
			asked[question] = append(asked[question], known)
		}
	}
	for question, loads := range asked {
		f.compareGroup(question, loads)
	}
}

// compareGroup compares the answers of the back ends of a pool to one address. While the pool is
// saturated, only those count that had settled before.
func (f *Flows) compareGroup(question responseGroup, loads []*backendLoad) {
	saturated := f.isSaturated(question.pool.name)
	tallies := make([]*observe.ResponseCounts, len(loads))
	for place, known := range loads {
		answers := known.responses[question.address]
		if saturated {
			answers.DiscardRecent()
		}
		tallies[place] = answers.Total()
		answers.Advance(responseDecay)
	}
	for place, finding := range observe.Compare(tallies) {
		loads[place].finding = loads[place].finding.Plus(finding.AboveNoise())
	}
}

// SetSaturatedPools takes the pools that have no free slot. Requests wait in queues there, the longer
// the busier their back end is, and what is shed is answered at once: neither tells which back
// end is unwell. It may be called by any goroutine.
func (f *Flows) SetSaturatedPools(pools map[string]bool) { f.saturated.Store(&pools) }

func (f *Flows) isSaturated(pool string) bool {
	saturated := f.saturated.Load()
	return saturated != nil && (*saturated)[pool]
}
