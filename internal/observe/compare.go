package observe

import (
	"math"
	"slices"
)

const (
	// minimumResponses is how many responses a back end must have given for others to
	// be compared with it, and minimumCompared is how many such back ends there must be.
	minimumResponses = 8
	minimumCompared  = 3
	// maximumBaseline is the baseline fraction from which on a tail says nothing about back
	// ends with more responses there: the responses outside the tail are the unusual ones.
	maximumBaseline = 0.3
)

// Compare compares the responses of the back ends of a pool and returns a finding
// for each. A failing back end responds with errors, which are shorter than regular
// responses; a slow one takes longer. The baseline of short or late responses is
// that of the half of the back ends that have the fewest of them, so that several
// back ends may be unhealthy at once, and a pool that fails or is slow as a whole
// has no back end that differs.
func Compare(pool []*ResponseCounts) []Finding {
	findings := make([]Finding, len(pool))
	failing := tailExcesses(pool, func(c *ResponseCounts) *histogram { return &c.lengths }, false)
	slow := tailExcesses(pool, func(c *ResponseCounts) *histogram { return &c.times }, true)
	for index := range findings {
		findings[index] = Finding{Failing: failing[index], Slow: slow[index]}
	}
	return findings
}

// tailExcesses returns for each back end the fraction of its responses in the upper
// or the lower tail that exceeds the baseline there. Of all buckets where the tail
// may begin, it takes the one with the most evidence.
func tailExcesses(pool []*ResponseCounts, histogramOf func(*ResponseCounts) *histogram, upper bool) []Excess {
	excesses := make([]Excess, len(pool))
	tails := make([]tail, len(pool))
	for offset := range buckets - 1 {
		bucket := offset
		if upper {
			bucket = buckets - 1 - offset
		}
		for index, responses := range pool {
			values := histogramOf(responses)
			tails[index].count += float64(values.counts[bucket])
			tails[index].total = float64(values.total)
		}
		baseline, ok := baselineFraction(tails)
		if !ok {
			return excesses
		}
		if baseline >= maximumBaseline {
			return excesses
		}
		for index, tail := range tails {
			ratio := tail.evidenceAgainst(baseline)
			if ratio > excesses[index].Evidence {
				excesses[index] = Excess{Fraction: (tail.fraction() - baseline) / (1 - baseline), Evidence: ratio}
			}
		}
	}
	return excesses
}

// tail has the number of a back end's responses in one tail of their distribution,
// and the total number of its responses.
type tail struct {
	count, total float64
}

func (t tail) fraction() float64 { return t.count / t.total }

// evidenceAgainst returns the log-likelihood ratio of the counts against a baseline
// fraction, or 0 if the fraction is not above the baseline.
func (t tail) evidenceAgainst(baseline float64) float64 {
	if t.total < 1 || t.fraction() <= baseline {
		return 0
	}
	return t.total * kullbackLeibler(t.fraction(), baseline)
}

// baselineFraction returns the fraction of responses in the tail for the half of the
// back ends with the smallest fractions. Two added responses, one of them in the tail,
// keep it above 0. It returns false if too few back ends can be compared.
func baselineFraction(tails []tail) (fraction float64, ok bool) {
	var compared []tail
	for _, tail := range tails {
		if tail.total >= minimumResponses {
			compared = append(compared, tail)
		}
	}
	if len(compared) < minimumCompared {
		return 0, false
	}
	slices.SortFunc(compared, func(a, b tail) int {
		return int(math.Copysign(1, a.count*b.total-b.count*a.total))
	})
	count, total := 1.0, 2.0
	for _, tail := range compared[:(len(compared)+1)/2] {
		count += tail.count
		total += tail.total
	}
	return count / total, true
}

// kullbackLeibler returns the Kullback-Leibler divergence between two Bernoulli
// distributions with the given probabilities.
func kullbackLeibler(observed, expected float64) float64 {
	sum := 0.0
	if observed > 0 {
		sum += observed * math.Log(observed/expected)
	}
	if observed < 1 {
		sum += (1 - observed) * math.Log((1-observed)/(1-expected))
	}
	return sum
}
