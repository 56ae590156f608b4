// Package compile turns the operators' configuration into the rules of an epoch. Rules
// compiles them for given weights of the back ends; NewestWeights and EpochWeights read the
// weights that are in use.
package compile

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// FullWeight is the weight of a back end that takes its full share of new flows.
const FullWeight = 100

// Weights maps back ends to their weights, 0 to rule.MaximumWeight. Back ends that are not
// in the map have FullWeight.
type Weights map[uint32]uint32

// NewestWeights returns the weights in the newest epoch of a document, the pending one if
// there is one. Nodes that do not decide weights themselves use them.
func NewestWeights(document *apiv1.EpochDocument) Weights {
	epoch := document.GetSettled()
	if document.GetPending() != nil {
		epoch = document.GetPending()
	}
	return EpochWeights(epoch)
}

// EpochWeights returns the weights in an epoch.
func EpochWeights(epoch *apiv1.Epoch) Weights {
	weights := make(Weights)
	for _, service := range epoch.GetServices() {
		for _, candidate := range service.GetCandidates() {
			weights[candidate.GetBackend()] = candidate.GetWeight()
		}
	}
	return weights
}

// Rules compiles a configuration with the given weights. The rules are sorted by the name
// of the service. The result depends on nothing else, so that all nodes with the same
// input compile the same rules.
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

// ClearedMarks returns, by back end, the incarnation of the last leaving mark that the
// operators have cleared.
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
