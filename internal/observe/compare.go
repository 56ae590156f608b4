package observe

import (
	"math"
	"slices"
)

const (
	// minimumResponses is how many answers a back end must have given to be compared
	// with, and minimumCompared how many such back ends there must be.
	minimumResponses = 8
	minimumCompared  = 3
	// maximumBaseline is the usual part of the answers from which on an end of the scale tells
	// nothing of those that have more there: the answers beside it are the unusual ones.
	maximumBaseline = 0.3
)

// Compare compares the answers of the back ends of a pool and returns what it
// finds of each. A back end that fails answers with an error, which is shorter
// than what was asked for; a slow one takes longer. What is short or long is told
// by the half of the back ends that have the fewest such answers, so that several
// back ends may be unwell at once, and a pool that answers so as a whole has
// nobody who differs.
func Compare(pool []*ResponseCounts) []Finding {
	found := make([]Finding, len(pool))
	failing := tailExcesses(pool, func(t *ResponseCounts) *histogram { return &t.lengths }, false)
	slow := tailExcesses(pool, func(t *ResponseCounts) *histogram { return &t.times }, true)
	for place := range found {
		found[place] = Finding{Failing: failing[place], Slow: slow[place]}
	}
	return found
}

// tailExcesses returns for each back end how many of its answers at one end of the
// scale, the upper or the lower one, go beyond what is usual there. Of all places
// where that end may begin it takes the one with the most evidence.
func tailExcesses(pool []*ResponseCounts, histogramOf func(*ResponseCounts) *histogram, upper bool) []Excess {
	found := make([]Excess, len(pool))
	ends := make([]tail, len(pool))
	for offset := range buckets - 1 {
		place := offset
		if upper {
			place = buckets - 1 - offset
		}
		for index, tally := range pool {
			counted := histogramOf(tally)
			ends[index].count += float64(counted.counts[place])
			ends[index].total = float64(counted.total)
		}
		usual, known := baselineFraction(ends)
		if !known {
			return found
		}
		if usual >= maximumBaseline {
			return found
		}
		for index, end := range ends {
			ratio := end.evidenceAgainst(usual)
			if ratio > found[index].Evidence {
				found[index] = Excess{Fraction: (end.fraction() - usual) / (1 - usual), Evidence: ratio}
			}
		}
	}
	return found
}

// tail is how many of a back end's answers lie at one end of the scale.
type tail struct {
	count, total float64
}

func (e tail) fraction() float64 { return e.count / e.total }

// evidenceAgainst is the log-likelihood ratio of what was counted against a
// usual part; 0 when the part is not above it.
func (e tail) evidenceAgainst(usual float64) float64 {
	if e.total < 1 || e.fraction() <= usual {
		return 0
	}
	return e.total * kullbackLeibler(e.fraction(), usual)
}

// baselineFraction is the part at that end of the half of the back ends with the
// smallest part. One answer more keeps it above 0.
func baselineFraction(ends []tail) (part float64, known bool) {
	var compared []tail
	for _, end := range ends {
		if end.total >= minimumResponses {
			compared = append(compared, end)
		}
	}
	if len(compared) < minimumCompared {
		return 0, false
	}
	slices.SortFunc(compared, func(a, b tail) int {
		return int(math.Copysign(1, a.count*b.total-b.count*a.total))
	})
	count, total := 1.0, 2.0
	for _, end := range compared[:(len(compared)+1)/2] {
		count += end.count
		total += end.total
	}
	return count / total, true
}

// kullbackLeibler is that of Kullback and Leibler between two chances.
func kullbackLeibler(seen, expected float64) float64 {
	sum := 0.0
	if seen > 0 {
		sum += seen * math.Log(seen/expected)
	}
	if seen < 1 {
		sum += (1 - seen) * math.Log((1-seen)/(1-expected))
	}
	return sum
}
