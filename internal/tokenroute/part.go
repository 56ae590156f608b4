package tokenroute

import (
	"slices"
	"strings"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// part is the back ends of a pool in one zone. It is immutable, and tables share it as long
// as nothing that it depends on changes.
type part struct {
	// version is that of the group of entries, and weight what each back end takes of new
	// flows; uniform is set where all take the same.
	version uint64
	weight  uint32
	uniform bool
	// evacuated is set while the zone takes no new flows, and withheld when some back end
	// takes none only because of that.
	evacuated, withheld bool
	// lasting is set unless the part changes with time alone.
	lasting bool
	// backends are all, and restarted those of which an earlier start was known, by id.
	backends, restarted []*Backend
	// chosen are those that may take new flows, by id, and rule orders flows over them.
	chosen []*Backend
	rule   *rule.Rule
}

// sees tells whether a part may be taken over where its group, the state of its zone and its
// weight are these.
func (p *part) sees(version uint64, evacuated bool, weight uint32, uniform bool) bool {
	return p.lasting && p.uniform && uniform && p.version == version && p.evacuated == evacuated && p.weight == weight
}

// takes tells whether a back end takes new flows here.
func (p *part) takes(backend *Backend) bool {
	place, found := slices.BinarySearchFunc(p.chosen, backend.ID, func(each *Backend, id string) int { return strings.Compare(each.ID, id) })
	return found && p.chosen[place].Number == backend.Number
}

// part makes the part of a group. Those that may take new flows have an entry, or one that
// lapsed while the store was away and may come back. None of them is in an evacuated zone.
func (b *builder) part(group *directory.BackendGroup, backends []*Backend) *part {
	_, evacuated := b.options.Evacuated[group.Zone]
	weight, uniform := b.weight(group.PoolZone)
	made := &part{version: group.Version, weight: weight, uniform: uniform, evacuated: evacuated,
		lasting: b.options.Warm == nil, backends: backends}
	for place := range group.Entries {
		entry, backend := &group.Entries[place], backends[place]
		if entry.Restarted {
			made.restarted = append(made.restarted, backend)
		}
		if entry.Gone && !entry.RemovalSeenAt.IsZero() {
			made.lasting = made.lasting && !b.mayReturn(entry)
		}
		if entry.GetDraining() || !b.holdsToken(backend) {
			continue
		}
		switch ready := !entry.Gone || b.options.Lapse.covers(entry.RemovalSeenAt, b.options.Now); {
		case evacuated:
			made.withheld = made.withheld || !entry.Gone
		case ready:
			made.chosen = append(made.chosen, backend)
		}
	}
	made.rule = b.rule(group, made.chosen, weight, uniform)
	return made
}

// mayReturn tells whether a back end that vanished may still take new flows for a time.
func (b *builder) mayReturn(entry *directory.BackendEntry) bool {
	return b.options.Lapse.covers(entry.RemovalSeenAt, b.options.Now) || b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyGrace
}

// vanished is the part with those back ends that have just vanished. They take new flows
// where their pool has no other.
func (b *builder) vanished(group *directory.BackendGroup, of *part) *part {
	made := &part{backends: of.backends, withheld: of.withheld}
	for place := range group.Entries {
		entry := &group.Entries[place]
		just := entry.Gone && b.options.Now.Sub(entry.RemovalSeenAt) < b.options.EmptyGrace
		if just && !of.evacuated && !entry.GetDraining() && b.holdsToken(of.backends[place]) {
			made.chosen = append(made.chosen, of.backends[place])
		}
	}
	made.rule = b.rule(group, made.chosen, of.weight, of.uniform)
	return made
}

// weight is the share of new flows that each back end of a place takes, where all take the
// same.
func (b *builder) weight(place directory.PoolZone) (weight uint32, uniform bool) {
	if b.options.WeighPlace == nil {
		return 0, false
	}
	return b.options.WeighPlace(place)
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
			weight = b.options.Weigh(group.Entries[next])
		}
		candidates[place] = rule.Candidate{Backend: uint32(place + 1), Weight: weight, Identity: backend.Number}
	}
	return rule.New(group.Pool, flow.Address{}, salt(group.Pool), candidates)
}
