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
	i, found := slices.BinarySearchFunc(p.eligible, backend.ID, func(each *Backend, id string) int { return strings.Compare(each.ID, id) })
	return found && p.eligible[i].Number == backend.Number
}

// poolZone makes the part of a group. Those that may take new flows have an entry, or one that
// lapsed while the store was away and may come back. None of them is in an evacuated zone.
func (b *builder) poolZone(group *directory.Group, backends []*Backend) *poolZone {
	_, evacuated := b.options.Evacuated[group.Zone]
	weight, uniform := b.weight(group.Place)
	built := &poolZone{version: group.Version, weight: weight, uniform: uniform, evacuated: evacuated,
		timeIndependent: b.options.Warmup == nil, backends: backends}
	for i := range group.Entries {
		entry, backend := &group.Entries[i], backends[i]
		if entry.Restarted {
			built.restarted = append(built.restarted, backend)
		}
		if entry.Gone && !entry.VanishedAt.IsZero() {
			built.timeIndependent = built.timeIndependent && !b.mayReturn(entry)
		}
		if entry.GetDraining() || !b.ownsToken(backend) {
			continue
		}
		switch ready := !entry.Gone || b.options.StoreRecovery.covers(entry.VanishedAt, b.options.Now); {
		case evacuated:
			built.withheldByEvacuation = built.withheldByEvacuation || !entry.Gone
		case ready:
			built.eligible = append(built.eligible, backend)
		}
	}
	built.rule = b.rule(group, built.eligible, weight, uniform)
	return built
}

// mayReturn tells whether a back end that vanished may still take new flows for a time.
func (b *builder) mayReturn(entry *directory.BackendEntry) bool {
	return b.options.StoreRecovery.covers(entry.VanishedAt, b.options.Now) || b.options.Now.Sub(entry.VanishedAt) < b.options.EmptyPoolGrace
}

// vanishedPoolZone is the part with those back ends that have just vanished. They take new flows
// where their pool has no other.
func (b *builder) vanishedPoolZone(group *directory.Group, zone *poolZone) *poolZone {
	built := &poolZone{backends: zone.backends, withheldByEvacuation: zone.withheldByEvacuation}
	for i := range group.Entries {
		entry := &group.Entries[i]
		recent := entry.Gone && b.options.Now.Sub(entry.VanishedAt) < b.options.EmptyPoolGrace
		if recent && !zone.evacuated && !entry.GetDraining() && b.ownsToken(zone.backends[i]) {
			built.eligible = append(built.eligible, zone.backends[i])
		}
	}
	built.rule = b.rule(group, built.eligible, zone.weight, zone.uniform)
	return built
}

// weight is the share of new flows that each back end of a place takes, where all take the
// same.
func (b *builder) weight(place directory.Place) (weight uint32, uniform bool) {
	if b.options.PlaceWeight == nil {
		return 0, false
	}
	return b.options.PlaceWeight(place)
}

// rule orders flows over some back ends of a group.
func (b *builder) rule(group *directory.Group, eligible []*Backend, weight uint32, uniform bool) *rule.Rule {
	candidates := make([]rule.Candidate, len(eligible))
	next := 0
	for i, backend := range eligible {
		if !uniform {
			for group.Entries[next].GetId() != backend.ID {
				next++
			}
			weight = b.options.Weight(group.Entries[next])
		}
		candidates[i] = rule.Candidate{Backend: uint32(i + 1), Weight: weight, Identity: backend.Number}
	}
	return rule.New(group.Pool, flow.Address{}, salt(group.Pool), candidates)
}
