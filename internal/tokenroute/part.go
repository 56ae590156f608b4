package tokenroute

import (
	"slices"
	"strings"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// poolZone is the back ends of a pool in one zone. It is immutable, and tables share it as long
// as nothing that it depends on changes.
type poolZone struct {
	// version is that of the group of entries, and weight what each back end takes of new
	// flows; uniform is set where all take the same.
	version uint64
	weight  uint32
	uniform bool
	// evacuated is set while the zone takes no new flows, and withheld when some back end
	// takes none only because of that.
	evacuated, withheldByEvacuation bool
	// timeIndependent is set unless the part changes with time alone.
	timeIndependent bool
	// backends are all, and restarted those of which an earlier start was known, by id.
	backends, restarted []*Backend
	// eligible are those that may take new flows, by id, and rule orders flows over them.
	eligible []*Backend
	rule     *rule.Rule
}

// reusable tells whether a part may be taken over where its group, the state of its zone and its
// weight are these.
func (p *poolZone) reusable(version uint64, evacuated bool, weight uint32, uniform bool) bool {
	return p.timeIndependent && p.uniform && uniform && p.version == version && p.evacuated == evacuated && p.weight == weight
}

// accepts tells whether a back end takes new flows here.
func (p *poolZone) accepts(backend *Backend) bool {
	place, found := slices.BinarySearchFunc(p.eligible, backend.ID, func(each *Backend, id string) int { return strings.Compare(each.ID, id) })
	return found && p.eligible[place].Number == backend.Number
}

// poolZone makes the part of a group. Those that may take new flows have an entry, or one that
// lapsed while the store was away and may come back. None of them is in an evacuated zone.
func (b *builder) poolZone(group *directory.BackendGroup, backends []*Backend) *poolZone {
	_, evacuated := b.options.Evacuated[group.Zone]
	weight, uniform := b.weight(group.PoolZone)
	made := &poolZone{version: group.Version, weight: weight, uniform: uniform, evacuated: evacuated,
		timeIndependent: b.options.WarmupOf == nil, backends: backends}
	for place := range group.Entries {
		entry, backend := &group.Entries[place], backends[place]
		if entry.Restarted {
			made.restarted = append(made.restarted, backend)
		}
		if entry.Gone && !entry.RemovalSeenAt.IsZero() {
			made.timeIndependent = made.timeIndependent && !b.mayReturn(entry)
		}
		if entry.GetDraining() || !b.ownsToken(backend) {
			continue
		}
		switch ready := !entry.Gone || b.options.StoreRecovery.covers(entry.RemovalSeenAt, b.options.Now); {
		case evacuated:
			made.withheldByEvacuation = made.withheldByEvacuation || !entry.Gone
		case ready:
			made.eligible = append(made.eligible, backend)
		}
	}
	made.rule = b.rule(group, made.eligible, weight, uniform)
	return made
}

// mayReturn tells whether a back end that vanished may still take new flows for a time.
func (b *builder) mayReturn(entry *directory.BackendEntry) bool {
	return b.options.StoreRecovery.covers(entry.RemovalSeenAt, b.options.Now) || b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyPoolGrace
}

// vanishedPoolZone is the part with those back ends that have just vanished. They take new flows
// where their pool has no other.
func (b *builder) vanishedPoolZone(group *directory.BackendGroup, of *poolZone) *poolZone {
	made := &poolZone{backends: of.backends, withheldByEvacuation: of.withheldByEvacuation}
	for place := range group.Entries {
		entry := &group.Entries[place]
		just := entry.Gone && b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyPoolGrace
		if just && !of.evacuated && !entry.GetDraining() && b.ownsToken(of.backends[place]) {
			made.eligible = append(made.eligible, of.backends[place])
		}
	}
	made.rule = b.rule(group, made.eligible, of.weight, of.uniform)
	return made
}

// weight is the share of new flows that each back end of a place takes, where all take the
// same.
func (b *builder) weight(place directory.PoolZone) (weight uint32, uniform bool) {
	if b.options.WeightOfPoolZone == nil {
		return 0, false
	}
	return b.options.WeightOfPoolZone(place)
}

// rule orders flows over some back ends of a group.
func (b *builder) rule(group *directory.BackendGroup, chosen []*Backend, weight uint32, uniform bool) *rule.Rule {
	candidates := make([]rule.Candidate, len(chosen))
	next := 0
	for place, backend := range chosen {
		if !uniform {
			for group.Entries[next].GetId() != backend.ID {
				next++
			}
			weight = b.options.WeightOf(group.Entries[next])
		}
		candidates[place] = rule.Candidate{Backend: uint32(place + 1), Weight: weight, Identity: backend.Number}
	}
	return rule.New(group.Pool, flow.Address{}, salt(group.Pool), candidates)
}
