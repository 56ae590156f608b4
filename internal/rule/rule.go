// Package rule selects back ends for flows by weighted rendezvous hashing.
//
// A Rule is an immutable function from flows to back ends. All nodes with the
// same rule make the same choice without communication. When a weight changes,
// only those flows move whose best score moves between the changed back end and
// another one. That keeps the number of records of moved flows small.
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

// MaximumWeight is the largest weight of a candidate. Weights are integers, so it bounds how
// small the share of a back end relative to others can be: with 1000, a zone with 14 back ends
// sent 0.091 of its flows to the 1,400 back ends in other zones when these had weight 1.
const MaximumWeight = 1_000_000

// NoBackend is the back end number that means no back end.
const NoBackend = 0

// Candidate is one back end in a rule.
type Candidate struct {
	Backend uint32
	// Weight is the relative share, 0 to MaximumWeight. A candidate of weight 0 is
	// never selected.
	Weight uint32
	// Identity replaces Backend in the hash where Backend is only an index. If it is
	// 0, Backend is hashed.
	Identity uint64
	seed     uint64
}

// Rule selects among the back ends of one service. It is immutable.
type Rule struct {
	Service    string
	Address    flow.Address
	candidates []Candidate
}

// New returns a rule. The salt differs between services, so that a flow hash
// does not order the back ends of two services in the same way. The order of the
// candidates does not matter, since New sorts them.
func New(service string, address flow.Address, salt uint64, candidates []Candidate) *Rule {
	sorted := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		candidate.Weight = min(candidate.Weight, MaximumWeight)
		identity := candidate.Identity
		if identity == 0 {
			identity = uint64(candidate.Backend)
		}
		candidate.seed = mix(salt + identity*0x9e3779b97f4a7c15)
		sorted = append(sorted, candidate)
	}
	byBackend := func(one, other Candidate) int { return cmp.Compare(one.Backend, other.Backend) }
	if !slices.IsSortedFunc(sorted, byBackend) {
		slices.SortFunc(sorted, byBackend)
	}
	return &Rule{Service: service, Address: address, candidates: sorted}
}

// Without returns the rule with the given back ends at weight 0, or the rule
// itself if none of them is a candidate with a weight. If that leaves no back end,
// Pick returns NoBackend.
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

// Candidates returns the candidates of the rule in the order of their numbers.
func (rule *Rule) Candidates() []Candidate {
	return append([]Candidate(nil), rule.candidates...)
}

// Pick returns the back end for a flow hash, or NoBackend if every weight is 0.
// It does not allocate.
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
		// This is score/weight < bestScore/bestWeight without division. The
		// products are below 2^59.
		if best == NoBackend || score*bestWeight < bestScore*weight {
			best, bestScore, bestWeight = candidate.Backend, score, weight
		}
	}
	return best
}

// RankedCandidate is a candidate of one of several rules, as returned by TopCandidates.
type RankedCandidate struct {
	Candidate
	// RuleIndex is the index of its rule.
	RuleIndex int
}

// TopCandidates fills ranked with the candidates of all rules that rank first for a flow hash,
// best first, and returns their number, at most 16. Candidates for which skip returns true are
// left out. Weights are comparable across rules, so that the order is that of a single rule with
// the candidates of all. TopCandidates does not allocate.
func TopCandidates(rules []*Rule, hash uint64, ranked []RankedCandidate, skip func(rule int, backend uint32) bool) int {
	var scores [16]uint64
	limit := min(len(ranked), len(scores))
	count := 0
	for ruleIndex, rule := range rules {
		for index := range rule.candidates {
			candidate := &rule.candidates[index]
			if candidate.Weight == 0 {
				continue
			}
			score := negativeLogarithm(mix(hash^candidate.seed)) * MaximumWeight / uint64(candidate.Weight)
			if count == limit && score >= scores[count-1] {
				continue
			}
			if skip(ruleIndex, candidate.Backend) {
				continue
			}
			if count < limit {
				count++
			}
			position := count - 1
			for ; position > 0 && scores[position-1] > score; position-- {
				ranked[position], scores[position] = ranked[position-1], scores[position-1]
			}
			ranked[position], scores[position] = RankedCandidate{Candidate: *candidate, RuleIndex: ruleIndex}, score
		}
	}
	return count
}

// Score returns the score of each candidate for a flow hash, lowest first, to explain
// a decision. Scores are scaled by MaximumWeight/weight; weight 0 has the highest.
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

// Score is the score of one back end for one flow. The lowest Value wins.
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
