package router

import (
	"github.com/bits-and-blooms/bloom/v3"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Phase is how far a node is with the pending epoch. Two nodes are never more
// than one phase apart; package core explains why that is enough.
type Phase uint32

const (
	// PhaseNone: nothing is pending; the settled rule is the only one.
	PhaseNone Phase = 0
	// PhaseLearned: the pending epoch is known. New flows still follow the
	// settled rule, but flows on which the two rules differ are bound.
	PhaseLearned Phase = 1
	// PhaseActive: new flows follow the pending rule, bound where they differ.
	PhaseActive Phase = 2
	// PhaseFlipped: flows that no record names follow the pending rule.
	PhaseFlipped Phase = 3
)

// String names the phase for operators.
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

// View is what the traffic goroutines know of the agreed state. The control
// goroutine replaces it as a whole; it is never changed.
type View struct {
	Settled *rule.Set
	Pending *rule.Set
	Phase   Phase
	// DropUnknownFlows drops packets of unknown flows that are open already: a node
	// that was cut off is about to record such flows.
	DropUnknownFlows bool
	// ActiveMarks are the back ends that new flows avoid already.
	ActiveMarks map[uint32]bool
	// KnownMarks are all marked back ends.
	KnownMarks map[uint32]bool
	// Leaving are all back ends that take no new flows by a mark or by a rule.
	Leaving map[uint32]bool
	// Keepers and Filters tell which flows may be displaced.
	Keepers *Keepers
	Filters map[string]*bloom.BloomFilter

	services map[flow.Address]*serviceView
}

// serviceView holds the rules that matter for one service, ready to use.
type serviceView struct {
	// fallback is the rule for a flow that no record names.
	fallback *rule.Rule
	// proposal is the rule for a new flow; nil refuses new flows.
	proposal *rule.Rule
	// alternatives are the further rules that nodes at hand may follow. A flow on
	// which any of them differs from the fallback is ambiguous.
	alternatives []*rule.Rule
	// notInForce is set while a new service is not in force yet.
	notInForce bool
}

// Compile prepares the view for use; it is called once, before publication.
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

// choice is what the rules of a view say about one flow.
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

// Ambiguous reports whether the rules of the view differ on a flow.
func (view *View) Ambiguous(key flow.Key, hash uint64) bool {
	service := view.services[key.Address()]
	return service != nil && service.choose(hash).ambiguous
}

// mayHaveRecord reports whether a flow may have a record although the rules
// agree on it. Without the filter of either keeper the answer is yes.
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

// Service returns the name of the service at an address, or "".
func (view *View) Service(address flow.Address) string {
	service := view.services[address]
	if service == nil || service.fallback == nil {
		return ""
	}
	return service.fallback.Service
}

// Proposal returns the rule for new flows at an address, or nil.
func (view *View) Proposal(address flow.Address) *rule.Rule {
	if service := view.services[address]; service != nil {
		return service.proposal
	}
	return nil
}
