// Package rule chooses back ends by weighted rendezvous hashing.
//
// A Rule is an immutable function from flows to back ends. Every node that
// holds the same rule makes the same choice without a message. When a weight
// changes, only flows whose best score moves between the changed back end and
// another one are displaced, which is what keeps the records few.
//
// The score of a back end for a flow is -log2(u)/weight with u uniform in
// (0, 1]; the lowest score wins. This is the method of Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates" (1998), with the weighting
// by exponential races.
package rule

import (
	"cmp"
	"slices"
	"sort"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// MaximumWeight is the largest weight of a candidate. Weights are whole numbers, so it bounds
// how small the part is that a back end may take beside others: with 1000, the 1,400 back ends
// elsewhere of a zone of 14 took 0.091 of its flows at the least weight there is.
const MaximumWeight = 1_000_000

// NoBackend is the back end number that stands for none.
const NoBackend = 0

// Candidate is one back end in a rule.
type Candidate struct {
	Backend uint32
	// Weight is the relative share, 0 to MaximumWeight; 0 is never chosen.
	Weight uint32
	// Identity orders flows over the candidates in place of Backend where
	// Backend is only an index; 0 takes Backend.
	Identity uint64
	seed     uint64
}

// Rule chooses among the back ends of one service. It is immutable.
type Rule struct {
	Service    string
	Address    flow.Address
	candidates []Candidate
}

// New makes a rule. The salt separates services, so that one flow hash does
// not order the back ends of two services alike. Candidates are sorted, hence
// their order does not matter.
func New(service string, address flow.Address, salt uint64, candidates []Candidate) *Rule {
	kept := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		candidate.Weight = min(candidate.Weight, MaximumWeight)
		identity := candidate.Identity
		if identity == 0 {
			identity = uint64(candidate.Backend)
		}
		candidate.seed = mix(salt + identity*0x9e3779b97f4a7c15)
		kept = append(kept, candidate)
	}
	byBackend := func(one, other Candidate) int { return cmp.Compare(one.Backend, other.Backend) }
	if !slices.IsSortedFunc(kept, byBackend) {
		slices.SortFunc(kept, byBackend)
	}
	return &Rule{Service: service, Address: address, candidates: kept}
}

// Without returns the rule with the given back ends at weight 0, or the rule
// itself when it names none of them. When that would leave no back end, the
// rule has no choice and Pick returns NoBackend.
func (rule *Rule) Without(excluded map[uint32]bool) *Rule {
	found := false
	for _, candidate := range rule.candidates {
		found = found || excluded[candidate.Backend] && candidate.Weight > 0
	}
	if !found {
		return rule
	}
	copied := &Rule{Service: rule.Service, Address: rule.Address}
	copied.candidates = append([]Candidate(nil), rule.candidates...)
	for index := range copied.candidates {
		if excluded[copied.candidates[index].Backend] {
			copied.candidates[index].Weight = 0
		}
	}
	return copied
}

// Candidates returns the back ends of the rule in the order of their numbers.
func (rule *Rule) Candidates() []Candidate {
	return append([]Candidate(nil), rule.candidates...)
}

// Pick returns the back end for a flow hash, or NoBackend when every weight is
// 0. It does not allocate.
func (rule *Rule) Pick(hash uint64) uint32 {
	best := uint32(NoBackend)
	var bestScore, bestWeight uint64
	for index := range rule.candidates {
		candidate := &rule.candidates[index]
		if candidate.Weight == 0 {
			continue
		}
		score := negativeLogarithm(mix(hash ^ candidate.seed))
		weight := uint64(candidate.Weight)
		// score/weight < bestScore/bestWeight without division; the products
		// stay below 2^59.
		if best == NoBackend || score*bestWeight < bestScore*weight {
			best, bestScore, bestWeight = candidate.Backend, score, weight
		}
	}
	return best
}

// RankedCandidate is a candidate of one of several rules.
type RankedCandidate struct {
	Candidate
	// RuleIndex is the place of its rule.
	RuleIndex int
}

// TopCandidates puts the first candidates of all rules in the order of a flow into found, the
// first one first, and returns how many there are; candidates for which except is true are
// left out. Weights count across the rules, so that the order is that of one rule with the
// candidates of all. It does not allocate.
func TopCandidates(rules []*Rule, hash uint64, found []RankedCandidate, except func(rule int, backend uint32) bool) int {
	var scores [16]uint64
	limit := min(len(found), len(scores))
	count := 0
	for place, rule := range rules {
		for index := range rule.candidates {
			candidate := &rule.candidates[index]
			if candidate.Weight == 0 {
				continue
			}
			score := negativeLogarithm(mix(hash^candidate.seed)) * MaximumWeight / uint64(candidate.Weight)
			if count == limit && score >= scores[count-1] {
				continue
			}
			if except(place, candidate.Backend) {
				continue
			}
			if count < limit {
				count++
			}
			at := count - 1
			for ; at > 0 && scores[at-1] > score; at-- {
				found[at], scores[at] = found[at-1], scores[at-1]
			}
			found[at], scores[at] = RankedCandidate{Candidate: *candidate, RuleIndex: place}, score
		}
	}
	return count
}

// Score returns the score of each candidate for a flow hash, lowest first, for
// explanations. The score is scaled by MaximumWeight/weight; weight 0 has the highest.
func (rule *Rule) Score(hash uint64) []Score {
	scores := make([]Score, 0, len(rule.candidates))
	for _, candidate := range rule.candidates {
		value := ^uint64(0)
		if candidate.Weight > 0 {
			value = negativeLogarithm(mix(hash^candidate.seed)) * MaximumWeight / uint64(candidate.Weight)
		}
		scores = append(scores, Score{Backend: candidate.Backend, Weight: candidate.Weight, Value: value})
	}
	sort.SliceStable(scores, func(i, j int) bool { return scores[i].Value < scores[j].Value })
	return scores
}

// Score is how one back end stood for one flow.
type Score struct {
	Backend uint32
	Weight  uint32
	Value   uint64
}

// mix is the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	value ^= value >> 31
	return value
}
