package rule

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// Set holds the rules of one epoch by service address. It is immutable.
type Set struct {
	Number   uint64
	Revision uint64
	rules    map[flow.Address]*Rule
}

// NewSet validates and compiles the services of an epoch.
func NewSet(epoch *apiv1.Epoch) (*Set, error) {
	set := &Set{
		Number:   epoch.GetNumber(),
		Revision: epoch.GetConfigurationRevision(),
		rules:    make(map[flow.Address]*Rule, len(epoch.GetServices())),
	}
	for _, service := range epoch.GetServices() {
		address, err := flow.ParseAddress(service.GetAddress(), service.GetPort())
		if err != nil {
			return nil, errors.Wrapf(err, "epoch %d, service %s", set.Number, service.GetName())
		}
		if other := set.rules[address]; other != nil {
			return nil, errors.Newf("epoch %d: services %s and %s share address %s",
				set.Number, other.Service, service.GetName(), address)
		}
		set.rules[address] = compile(service, address)
	}
	return set, nil
}

func compile(service *apiv1.ServiceRule, address flow.Address) *Rule {
	candidates := make([]Candidate, 0, len(service.GetCandidates()))
	for _, candidate := range service.GetCandidates() {
		weight := candidate.GetWeight()
		if candidate.GetLeaving() {
			weight = 0
		}
		candidates = append(candidates, Candidate{Backend: candidate.GetBackend(), Weight: weight})
	}
	return New(service.GetName(), address, service.GetSalt(), candidates)
}

// Rule returns the rule for a service address, or nil if there is none.
func (set *Set) Rule(address flow.Address) *Rule {
	if set == nil {
		return nil
	}
	return set.rules[address]
}

// Rules returns all rules of the set by service address. The map must not be
// modified.
func (set *Set) Rules() map[flow.Address]*Rule {
	if set == nil {
		return nil
	}
	return set.rules
}
