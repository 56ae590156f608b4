package router

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Keepers selects the two nodes that keep the record of a flow, by rendezvous
// hashing. The two are in different zones if the members allow it. Keepers is
// immutable.
type Keepers struct {
	members []keeperMember
}

type keeperMember struct {
	id   string
	zone string
	seed uint64
}

// NewKeepers returns the keepers for a set of members, given as a map from node
// ID to zone.
func NewKeepers(zones map[string]string) *Keepers {
	keepers := &Keepers{}
	for id, zone := range zones {
		keepers.members = append(keepers.members,
			keeperMember{id: id, zone: zone, seed: xxhash.Sum64String(id)})
	}
	sort.Slice(keepers.members, func(i, j int) bool {
		return keepers.members[i].id < keepers.members[j].id
	})
	return keepers
}

// Len returns the number of members.
func (keepers *Keepers) Len() int {
	if keepers == nil {
		return 0
	}
	return len(keepers.members)
}

// Pick returns the two keepers of a flow hash, the highest ranked one first.
// With one member, second is empty; with none, both are. It does not allocate.
func (keepers *Keepers) Pick(hash uint64) (first, second string) {
	var bestScore uint64
	best := -1
	for index := range keepers.members {
		score := keeperScore(hash, keepers.members[index].seed)
		if best < 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	if best < 0 {
		return "", ""
	}
	next := keepers.pickSecond(hash, best, true)
	if next < 0 {
		next = keepers.pickSecond(hash, best, false)
	}
	if next < 0 {
		return keepers.members[best].id, ""
	}
	return keepers.members[best].id, keepers.members[next].id
}

// pickSecond returns the index of the highest ranked member other than first, or
// -1 if there is none. With otherZone, it considers only members in other zones
// than that of first.
func (keepers *Keepers) pickSecond(hash uint64, first int, otherZone bool) int {
	var bestScore uint64
	best := -1
	for index := range keepers.members {
		sameZone := keepers.members[index].zone == keepers.members[first].zone
		if index == first || otherZone && sameZone {
			continue
		}
		score := keeperScore(hash, keepers.members[index].seed)
		if best < 0 || score > bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// keeperScore mixes the hash of a flow with the seed of a member.
func keeperScore(hash, seed uint64) uint64 {
	value := hash ^ seed
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 29
	value *= 0x94d049bb133111eb
	return value ^ value>>32
}
