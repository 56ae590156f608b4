package replication

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// What a balancer needs to serve DefaultTreeFanout followers without its own
// traffic being held up: a large table of routes goes out to all of them at
// once, and a large store comes in whole.
const (
	servingCores    = 0.1
	servingMegabits = 100
)

// unknownTier ranks balancers whose strength is unknown behind the others.
const unknownTier = math.MinInt32

// sortByRank puts balancers in the order that all of them know: the strong ones
// first, those that are about as strong by a hash of their names.
func sortByRank(balancers []*apiv1.Balancer) {
	order := make([]rankKey, 0, len(balancers))
	for _, b := range balancers {
		order = append(order, rankKeyOf(b))
	}
	slices.SortFunc(order, rankKey.compare)
	for place, ranked := range order {
		balancers[place] = ranked.balancer
	}
}

// rankKey is what the order of balancers goes by, worked out once for each.
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

// tier groups balancers by strength: each tier is twice as strong as the one
// below, by whichever of processor and link is the scarcer one.
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
