package replication

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// servingCores and servingMegabits are what a balancer needs to serve DefaultTreeFanout
// followers without delaying its own traffic: a large route table is sent to all of
// them at once, and a large store is received in full.
const (
	servingCores    = 0.1
	servingMegabits = 100
)

// unknownTier ranks balancers of unknown strength last.
const unknownTier = math.MinInt32

// sortByRank sorts balancers into the order that all of them compute: by strength, with
// the strongest first, and by a hash of their names among those of similar strength.
func sortByRank(balancers []*apiv1.Balancer) {
	keys := make([]rankKey, 0, len(balancers))
	for _, b := range balancers {
		keys = append(keys, rankKeyOf(b))
	}
	slices.SortFunc(keys, rankKey.compare)
	for index, key := range keys {
		balancers[index] = key.balancer
	}
}

// rankKey is the sort key of a balancer, computed once.
type rankKey struct {
	balancer *apiv1.Balancer
	tier     int
	nameHash uint64
}

func (r rankKey) compare(other rankKey) int {
	return cmp.Or(
		cmp.Compare(other.tier, r.tier),
		cmp.Compare(r.nameHash, other.nameHash),
		cmp.Compare(r.balancer.GetName(), other.balancer.GetName()),
	)
}

// tier groups balancers by strength: each tier is twice as strong as the one below. The
// strength is limited by the scarcer of processor and link.
func tier(b *apiv1.Balancer) int {
	strength := min(b.GetProcessorCores()/servingCores, b.GetLinkMegabits()/servingMegabits)
	if strength <= 0 {
		return unknownTier
	}
	return int(math.Floor(math.Log2(strength)))
}

func nameHash(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
