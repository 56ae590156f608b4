// Package compile turns the operators' configuration into the rules of an
// epoch.
package compile

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// FullWeight is the weight of a back end that takes its full share.
const FullWeight = 100

// Weights gives the weight of a back end, 0 to rule.MaximumWeight. Back ends
// that it does not name have FullWeight.
type Weights map[uint32]uint32

// NewestWeights reads the weights of a document's newest epoch. A node that does not
// decide weights wants those.
func NewestWeights(document *apiv1.EpochDocument) Weights {
	epoch := document.GetSettled()
	if document.GetPending() != nil {
		epoch = document.GetPending()
	}
	return EpochWeights(epoch)
}

// EpochWeights reads the weights of an epoch.
func EpochWeights(epoch *apiv1.Epoch) Weights {
	weights := make(Weights)
	for _, service := range epoch.GetServices() {
		for _, candidate := range service.GetCandidates() {
			weights[candidate.GetBackend()] = candidate.GetWeight()
		}
	}
	return weights
}

// Rules compiles a configuration with the given weights. Services are sorted by
// name. The result depends on nothing else, so that all nodes that know the
// same facts want the same rules.
func Rules(configuration *apiv1.Configuration, weights Weights) []*apiv1.ServiceRule {
	rules := make([]*apiv1.ServiceRule, 0, len(configuration.GetServices()))
	for _, service := range configuration.GetServices() {
		rules = append(rules, compileService(service, weights))
	}
	sort.Slice(rules, func(i, j int) bool { return rules[i].GetName() < rules[j].GetName() })
	return rules
}

func compileService(service *apiv1.Service, weights Weights) *apiv1.ServiceRule {
	compiled := &apiv1.ServiceRule{
		Name:    service.GetName(),
		Address: service.GetAddress(),
		Port:    service.GetPort(),
		Salt:    xxhash.Sum64String(service.GetName()),
	}
	for _, backend := range service.GetBackends() {
		weight, found := weights[backend.GetId()]
		if !found {
			weight = FullWeight
		}
		compiled.Candidates = append(compiled.Candidates, &apiv1.Candidate{
			Backend:       backend.GetId(),
			TunnelAddress: backend.GetTunnelAddress(),
			Weight:        min(weight, rule.MaximumWeight),
			Leaving:       backend.GetLeaving(),
		})
	}
	return compiled
}

// ClearedMarks gives, by back end, the incarnation of the last leaving mark
// that the operators have ended.
func ClearedMarks(configuration *apiv1.Configuration) map[uint32]uint64 {
	cleared := make(map[uint32]uint64)
	for _, service := range configuration.GetServices() {
		for _, backend := range service.GetBackends() {
			if backend.GetClearedMark() > 0 {
				cleared[backend.GetId()] = backend.GetClearedMark()
			}
		}
	}
	return cleared
}
