package shares

import (
	"math"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// minimumOwnZoneCoverage is the fraction of the balancers of the local zone that an aggregate
// must include for shares to be computed from it. For a while after its start, each balancer
// knows its own load only.
const minimumOwnZoneCoverage = 0.5

// ZoneLoad is the demand on a pool by the clients of a zone, and the pool's capacity there.
type ZoneLoad struct {
	// Demand is the mean number of requests in flight from the zone's clients, whichever zone
	// they were sent to. Slots is how many requests the zone's back ends process at once.
	Demand, Slots float64
}

// ZoneShares returns the fraction of the new flows of the zone from that goes to each zone.
// All zones compute their shares from the same loads.
//
// The target pressure is the utilization up to which each zone is filled: targetUtilization,
// or that of all zones together where capacity is short. A zone keeps its flows up to the
// target and sends the excess to the zones that are below it, in proportion to their spare
// capacity. So pressure is the same in all zones while capacity is short, no zone sends to one
// that ends up with a higher pressure than its own, and the traffic between zones is the least
// possible, since only the excess of a zone crosses.
//
// ZoneShares returns nil if no zone has a slot.
func ZoneShares(zones map[demand.Zone]ZoneLoad, from demand.Zone) map[demand.Zone]float64 {
	pressure, ok := targetPressure(zones)
	if !ok {
		return nil
	}
	spare := make(map[demand.Zone]float64, len(zones))
	totalSpare := 0.0
	for name, zone := range zones {
		spare[name] = math.Max(0, pressure*zone.Slots-zone.Demand)
		totalSpare += spare[name]
	}
	own := zones[from]
	kept := 1.0
	if excess := own.Demand - pressure*own.Slots; excess > 0 {
		kept = 1 - excess/own.Demand
	}
	if own.Slots == 0 {
		kept = 0
	}
	shares := make(map[demand.Zone]float64, len(zones))
	for name := range zones {
		if totalSpare > 0 {
			shares[name] = (1 - kept) * spare[name] / totalSpare
		}
	}
	shares[from] += kept
	return shares
}

// targetPressure returns the pressure up to which zones are filled, and false if there are no
// slots.
func targetPressure(zones map[demand.Zone]ZoneLoad) (float64, bool) {
	requests, slots := 0.0, 0.0
	for _, zone := range zones {
		requests += zone.Demand
		slots += zone.Slots
	}
	if slots <= 0 {
		return 0, false
	}
	return math.Max(targetUtilization, requests/slots), true
}

// ZoneLoads returns the load of a pool in each zone as an aggregate shows it. The map listed
// has the number of balancers in each zone. ZoneLoads returns nil if the aggregate includes
// too few balancers of the local zone.
//
// The requests in flight give the total demand, and the request rates of the zones' clients
// its distribution over the zones. Requests in flight can't give the distribution: where back
// ends shed requests, these don't wait for long, and the zone with the highest request rate
// would seem no busier than others. Balancers that the aggregate lacks are assumed to have the
// same load as the others of their zone. A zone that has balancers but none in the aggregate
// is left out: it is partitioned from this one, or its balancers are starting.
func ZoneLoads(aggregate *demand.Aggregate, pool demand.Pool, own demand.Zone, listed map[demand.Zone]int) map[demand.Zone]ZoneLoad {
	if float64(aggregate.ZoneBalancers[own]) < minimumOwnZoneCoverage*float64(listed[own]) {
		return nil
	}
	zones := make(map[demand.Zone]ZoneLoad)
	inFlight, totalRate, included, balancers := 0.0, 0.0, 0, 0
	for _, poolZone := range aggregate.PoolZones()[pool] {
		zone := poolZone.Zone
		counted, all := aggregate.ZoneBalancers[zone], max(listed[zone], aggregate.ZoneBalancers[zone])
		if counted == 0 && all > 0 {
			continue
		}
		load := aggregate.Loads[poolZone]
		inFlight += load.InFlight
		rate := 0.0
		if counted > 0 {
			rate = load.RequestRate * float64(all) / float64(counted)
		}
		totalRate += rate
		included, balancers = included+counted, balancers+all
		zones[zone] = ZoneLoad{Demand: rate, Slots: aggregate.Capacity[poolZone]}
	}
	for name, zone := range zones {
		zone.Demand = ratio(zone.Demand, totalRate) * inFlight * float64(balancers) / math.Max(1, float64(included))
		zones[name] = zone
	}
	return zones
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
