package router

import (
	"github.com/bits-and-blooms/bloom/v3"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Phase is the progress of a node with the pending epoch. Two nodes are never
// more than one phase apart; package core explains why that is sufficient.
type Phase uint32

const (
	// PhaseNone means that no epoch is pending; only the settled rule exists.
	PhaseNone Phase = 0
	// PhaseLearned means that the node has the pending epoch. New flows still
	// follow the settled rule, but flows for which the two rules differ are bound
	// at the keepers.
	PhaseLearned Phase = 1
	// PhaseActive means that new flows follow the pending rule, and are bound at
	// the keepers where the two rules differ.
	PhaseActive Phase = 2
	// PhaseFlipped means that flows without a record follow the pending rule.
	PhaseFlipped Phase = 3
)

// String returns the name of the phase as shown to operators.
func (phase Phase) String() string {
	switch phase {
	case PhaseNone:
		return "none"
	case PhaseLearned:
		return "learned"
	case PhaseActive:
		return "active"
	case PhaseFlipped:
		return "flipped"
	}
	return "unknown"
}

// View is the part of the agreed state that the traffic goroutines read. The
// control goroutine replaces it as a whole; a published view is never modified.
type View struct {
	// Settled is the rule set in force, and Pending the rule set of the pending
	// epoch, or nil.
	Settled *rule.Set
	Pending *rule.Set
	// Phase is the progress of this node with the pending epoch.
	Phase Phase
	// DropUnknownFlows drops packets of unknown flows other than SYNs: a node that
	// was isolated from its group is about to record such flows.
	DropUnknownFlows bool
	// ActiveMarks holds the marked back ends that new flows avoid already.
	ActiveMarks map[uint32]bool
	// KnownMarks holds all marked back ends.
	KnownMarks map[uint32]bool
	// Leaving holds all back ends that accept no new flows, by a mark or by a
	// rule.
	Leaving map[uint32]bool
	// Keepers and Filters determine which flows may have a record. Filters holds,
	// for each keeper, a Bloom filter of the displaced flows that it has recorded.
	Keepers *Keepers
	Filters map[string]*bloom.BloomFilter

	services map[flow.Address]*serviceView
}

// serviceView holds the rules that apply to one service.
type serviceView struct {
	// fallback is the rule for flows without a record.
	fallback *rule.Rule
	// proposal is the rule for new flows; if it is nil, new flows are refused.
	proposal *rule.Rule
	// alternatives are the other rules that nodes of the group may follow. A flow
	// is ambiguous if any of them and the fallback pick different back ends.
	alternatives []*rule.Rule
	// notInForce is set until a new service comes into force.
	notInForce bool
}

// Compile prepares the view for use and returns it. It must be called once,
// before the view is published.
func (view *View) Compile() *View {
	view.services = make(map[flow.Address]*serviceView)
	for address := range view.Settled.Rules() {
		view.services[address] = view.compileService(address)
	}
	for address := range view.Pending.Rules() {
		view.services[address] = view.compileService(address)
	}
	return view
}

func (view *View) compileService(address flow.Address) *serviceView {
	settled, pending := view.Settled.Rule(address), view.Pending.Rule(address)
	if view.Pending == nil {
		pending = settled
	}
	service := &serviceView{fallback: settled, proposal: settled}
	if settled == nil {
		service.fallback, service.proposal = pending, pending
		service.notInForce = view.Phase < PhaseActive
	}
	if view.Phase >= PhaseActive {
		service.proposal = pending
	}
	if view.Phase >= PhaseFlipped && pending != nil {
		service.fallback = pending
	}
	if service.proposal != nil {
		service.proposal = service.proposal.Without(view.ActiveMarks)
	}
	for _, candidate := range []*rule.Rule{settled, pending} {
		if candidate != nil {
			service.addAlternative(candidate)
			service.addAlternative(candidate.Without(view.KnownMarks))
		}
	}
	service.addAlternative(service.proposal)
	return service
}

func (service *serviceView) addAlternative(candidate *rule.Rule) {
	if candidate == nil || candidate == service.fallback {
		return
	}
	for _, other := range service.alternatives {
		if other == candidate {
			return
		}
	}
	service.alternatives = append(service.alternatives, candidate)
}

// choice holds the back ends that the rules of a view pick for one flow.
type choice struct {
	fallback  uint32
	proposal  uint32
	ambiguous bool
}

func (service *serviceView) choose(hash uint64) choice {
	result := choice{fallback: service.fallback.Pick(hash)}
	for _, other := range service.alternatives {
		if other.Pick(hash) != result.fallback {
			result.ambiguous = true
			break
		}
	}
	result.proposal = result.fallback
	if service.proposal == nil {
		result.proposal = rule.NoBackend
	} else if service.proposal != service.fallback && result.ambiguous {
		result.proposal = service.proposal.Pick(hash)
	}
	return result
}

// Ambiguous reports whether the rules of the view pick different back ends for a
// flow.
func (view *View) Ambiguous(key flow.Key, hash uint64) bool {
	service := view.services[key.Address()]
	return service != nil && service.choose(hash).ambiguous
}

// mayHaveRecord reports whether a flow may have a record although the rules agree
// on it. It returns true if the filters of both keepers are missing.
func (view *View) mayHaveRecord(key flow.Key, hash uint64) bool {
	if view.Keepers == nil || view.Keepers.Len() == 0 {
		return false
	}
	first, second := view.Keepers.Pick(hash)
	filter := view.Filters[first]
	if filter == nil {
		filter = view.Filters[second]
	}
	if filter == nil {
		return true
	}
	bytes := key.Bytes()
	return filter.Test(bytes[:])
}

// Service returns the name of the service at an address, or "" if there is none.
func (view *View) Service(address flow.Address) string {
	service := view.services[address]
	if service == nil || service.fallback == nil {
		return ""
	}
	return service.fallback.Service
}

// Proposal returns the rule for new flows at an address, or nil if there is none.
func (view *View) Proposal(address flow.Address) *rule.Rule {
	if service := view.services[address]; service != nil {
		return service.proposal
	}
	return nil
}
