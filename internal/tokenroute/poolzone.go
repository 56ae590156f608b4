package tokenroute

import (
	"slices"
	"strings"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// poolZone holds the back ends of a pool in one zone. It is immutable, and tables share it as long
// as nothing that it depends on changes.
type poolZone struct {
	// version is the version of the group of entries, and weight the weight of each back end for
	// new flows. uniform is set if all back ends have the same weight.
	version uint64
	weight  uint32
	uniform bool
	// evacuated is set while the zone takes no new flows, and withheldByEvacuation if at least one
	// back end takes none only for that reason.
	evacuated, withheldByEvacuation bool
	// timeIndependent is set unless the pool zone changes with time alone.
	timeIndependent bool
	// backends lists all back ends by ID, and restarted those of which an earlier start was known.
	backends, restarted []*Backend
	// eligible lists the back ends that may take new flows, by ID. rule ranks them for a flow.
	eligible []*Backend
	rule     *rule.Rule
}

// reusable reports whether the pool zone is still valid for a group of the given version,
// evacuation state and weight.
func (p *poolZone) reusable(version uint64, evacuated bool, weight uint32, uniform bool) bool {
	return p.timeIndependent && p.uniform && uniform && p.version == version && p.evacuated == evacuated && p.weight == weight
}

// accepts reports whether a back end of the pool zone takes new flows.
func (p *poolZone) accepts(backend *Backend) bool {
	i, found := slices.BinarySearchFunc(p.eligible, backend.ID, func(each *Backend, id string) int { return strings.Compare(each.ID, id) })
	return found && p.eligible[i].Number == backend.Number
}

// poolZone builds the pool zone of a group. A back end may take new flows if it has an entry, or
// had one that expired during an outage of the store and may come back, unless it is draining,
// another back end of the pool owns its token, or its zone is evacuated.
func (b *builder) poolZone(group *directory.BackendGroup, backends []*Backend) *poolZone {
	_, evacuated := b.options.Evacuated[group.Zone]
	weight, uniform := b.weight(group.PoolZone)
	built := &poolZone{version: group.Version, weight: weight, uniform: uniform, evacuated: evacuated,
		timeIndependent: b.options.WarmupOf == nil, backends: backends}
	for i := range group.Entries {
		entry, backend := &group.Entries[i], backends[i]
		if entry.Restarted {
			built.restarted = append(built.restarted, backend)
		}
		if entry.Gone && !entry.RemovalSeenAt.IsZero() {
			built.timeIndependent = built.timeIndependent && !b.mayReturn(entry)
		}
		if entry.GetDraining() || !b.ownsToken(backend) {
			continue
		}
		recovering := entry.Gone && b.options.StoreRecovery.covers(entry.RemovalSeenAt, b.options.Now)
		switch {
		case evacuated:
			built.withheldByEvacuation = built.withheldByEvacuation || !entry.Gone
		case recovering:
			b.acceptUntil(backend, b.options.StoreRecovery.Until)
			built.eligible = append(built.eligible, backend)
		case !entry.Gone:
			built.eligible = append(built.eligible, backend)
		}
	}
	built.rule = b.rule(group, built.eligible, weight, uniform)
	return built
}

// acceptUntil limits the time for which a back end without an entry takes new flows. The limit
// holds even if the next table is late.
func (b *builder) acceptUntil(backend *Backend, until time.Time) {
	if until.After(b.acceptedUntil[backend.Incarnation()]) {
		b.acceptedUntil[backend.Incarnation()] = until
	}
}

// mayReturn reports whether a back end whose entry disappeared may still take new flows for some
// time.
func (b *builder) mayReturn(entry *directory.BackendEntry) bool {
	return b.options.StoreRecovery.covers(entry.RemovalSeenAt, b.options.Now) || b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyPoolGrace
}

// removedPoolZone returns the pool zone with the back ends whose entries disappeared recently as
// the eligible ones. They take new flows if their pool has no other back end.
func (b *builder) removedPoolZone(group *directory.BackendGroup, zone *poolZone) *poolZone {
	built := &poolZone{backends: zone.backends, withheldByEvacuation: zone.withheldByEvacuation}
	for i := range group.Entries {
		entry := &group.Entries[i]
		recent := entry.Gone && b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyPoolGrace
		if recent && !zone.evacuated && !entry.GetDraining() && b.ownsToken(zone.backends[i]) {
			b.acceptUntil(zone.backends[i], entry.RemovalSeenAt.Add(b.options.EmptyPoolGrace))
			built.eligible = append(built.eligible, zone.backends[i])
		}
	}
	built.rule = b.rule(group, built.eligible, zone.weight, zone.uniform)
	return built
}

// weight returns the weight for new flows of each back end of a pool in one zone if all of them
// have the same, and reports whether they do.
func (b *builder) weight(poolZone directory.PoolZone) (weight uint32, uniform bool) {
	if b.options.WeightOfPoolZone == nil {
		return 0, false
	}
	return b.options.WeightOfPoolZone(poolZone)
}

// rule returns the rule that ranks the given back ends of a group for a flow.
func (b *builder) rule(group *directory.BackendGroup, eligible []*Backend, weight uint32, uniform bool) *rule.Rule {
	candidates := make([]rule.Candidate, len(eligible))
	next := 0
	for i, backend := range eligible {
		if !uniform {
			for group.Entries[next].GetId() != backend.ID {
				next++
			}
			weight = b.options.WeightOf(group.Entries[next])
		}
		candidates[i] = rule.Candidate{Backend: uint32(i + 1), Weight: weight, Identity: backend.Number}
	}
	return rule.New(group.Pool, flow.Address{}, salt(group.Pool), candidates)
}
