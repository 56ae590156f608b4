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
	// comparisonInterval is the time between two comparisons of responses.
	comparisonInterval = time.Second
	// responseDecay is the factor by which the counts of responses are multiplied at each
	// comparison. Their half-life is 6.6 seconds.
	responseDecay = 0.9
)

// Summarize returns what was observed since the last summary, or nil while the next one is not due.
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
	summary := &observe.Summary{
		At:       now,
		InFlight: make(map[string]float64, len(f.pools)),
		Loads:    f.summarizeDemand(elapsed, now),
		Dead:     f.failureDetector.failed(now),

		Findings: make(map[incarnation.ID]observe.Finding),
	}
	for name, pool := range f.pools {
		summary.InFlight[name] = pool.use.Mean(now)
	}
	for id, load := range f.loads {
		if !load.finding.IsZero() {
			summary.Findings[id] = load.finding
		}
	}
	return summary
}

// responseGroup identifies responses that can be compared: those of the back ends of one pool for
// one address.
type responseGroup struct {
	pool    *poolUse
	address flow.Address
}

// compareResponses compares the responses of the back ends of each pool for each address.
func (f *Flows) compareResponses() {
	groups := make(map[responseGroup][]*backendLoad, len(f.pools))
	for _, load := range f.loads {
		load.finding = observe.Finding{}
		for address, history := range load.responses {
			if history.Empty() {
				delete(load.responses, address)
				continue
			}
			group := responseGroup{pool: load.pool, address: address}
			groups[group] = append(groups[group], load)
		}
	}
	for group, loads := range groups {
		f.compareGroup(group, loads)
	}
}

// compareGroup compares the responses of the back ends of a pool for one address. While the pool is
// saturated, the responses of the latest intervals between comparisons are discarded, and only those
// that were settled before are used (see observe.ResponseHistory).
func (f *Flows) compareGroup(group responseGroup, loads []*backendLoad) {
	saturated := f.isSaturated(group.pool.name)
	counts := make([]*observe.ResponseCounts, len(loads))
	for i, load := range loads {
		history := load.responses[group.address]
		if saturated {
			history.DiscardRecent()
		}
		counts[i] = history.Total()
		history.Advance(responseDecay)
	}
	for i, finding := range observe.Compare(counts) {
		loads[i].finding = loads[i].finding.Plus(finding.AboveNoise())
	}
}

// SetSaturatedPools sets the pools that have no free slot. Requests to them wait in queues, the
// longer the busier their back end is, and requests that are shed are answered at once. Neither
// shows which back end is unhealthy. It may be called by any goroutine.
func (f *Flows) SetSaturatedPools(pools map[string]bool) { f.saturated.Store(&pools) }

func (f *Flows) isSaturated(pool string) bool {
	saturated := f.saturated.Load()
	return saturated != nil && (*saturated)[pool]
}
