package shares

import (
	"math"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// minimumOwnZoneCoverage is the part of the balancers of the own zone that a picture must count for
// shares to rest on it. After a start each balancer sees itself only for a while.
const minimumOwnZoneCoverage = 0.5

// ZoneLoad is what is known of a pool in a zone.
type ZoneLoad struct {
	// Demand is how many requests of the zone's clients wait at a time, wherever they
	// were sent, and Slots how many the zone's back ends handle at once.
	Demand, Slots float64
}

// ZoneShares returns which parts of the new flows of a zone go to each zone, by the same
// picture in all of them.
//
// The water level is the pressure up to which each zone is filled: targetUtilization, or that of
// all together where room is short. A zone keeps what it has below the level and sends
// the rest to the zones that are below it, in proportion to what they lack. So pressure is
// the same everywhere while room is short, nobody sends to a zone that is fuller than its
// own will be, and no less could cross: only what a zone has beyond the level does.
//
// Without a slot anywhere it returns nil.
func ZoneShares(zones map[demand.Zone]ZoneLoad, from demand.Zone) map[demand.Zone]float64 {
	level, ok := targetPressure(zones)
	if !ok {
		return nil
	}
	lacking := make(map[demand.Zone]float64, len(zones))
	all := 0.0
	for name, zone := range zones {
		lacking[name] = math.Max(0, level*zone.Slots-zone.Demand)
		all += lacking[name]
	}
	own := zones[from]
	kept := 1.0
	if beyond := own.Demand - level*own.Slots; beyond > 0 {
		kept = 1 - beyond/own.Demand
	}
	if own.Slots == 0 {
		kept = 0
	}
	parts := make(map[demand.Zone]float64, len(zones))
	for name := range zones {
		if all > 0 {
			parts[name] = (1 - kept) * lacking[name] / all
		}
	}
	parts[from] += kept
	return parts
}

// targetPressure is the pressure up to which zones are filled.
func targetPressure(zones map[demand.Zone]ZoneLoad) (float64, bool) {
	asked, slots := 0.0, 0.0
	for _, zone := range zones {
		asked += zone.Demand
		slots += zone.Slots
	}
	if slots <= 0 {
		return 0, false
	}
	return math.Max(targetUtilization, asked/slots), true
}

// ZoneLoads returns what a picture tells of a pool in each zone, where listed are the
// balancers that there are. It returns nil where too little of the own zone was seen.
//
// How much there is to do is told by the requests that wait, and whose it is by what each
// zone's clients ask: where back ends shed, requests don't wait for long, and the zone that
// asks for most would seem no busier than others. Balancers that are not counted are taken
// to see as much as the others of their zone. A zone of which nobody is counted is left
// alone: it is cut off, or its balancers start.
func ZoneLoads(picture *demand.Aggregate, pool demand.Pool, own demand.Zone, listed map[demand.Zone]int) map[demand.Zone]ZoneLoad {
	if float64(picture.ZoneBalancers[own]) < minimumOwnZoneCoverage*float64(listed[own]) {
		return nil
	}
	made := make(map[demand.Zone]ZoneLoad)
	waiting, asks, seen, there := 0.0, 0.0, 0, 0
	for _, place := range picture.PoolZones()[pool] {
		zone := place.Zone
		counted, all := picture.ZoneBalancers[zone], max(listed[zone], picture.ZoneBalancers[zone])
		if counted == 0 && all > 0 {
			continue
		}
		load := picture.Loads[place]
		waiting += load.InFlight
		asked := 0.0
		if counted > 0 {
			asked = load.RequestRate * float64(all) / float64(counted)
		}
		asks += asked
		seen, there = seen+counted, there+all
		made[zone] = ZoneLoad{Demand: asked, Slots: picture.Capacity[place]}
	}
	for name, zone := range made {
		zone.Demand = ratio(zone.Demand, asks) * waiting * float64(there) / math.Max(1, float64(seen))
		made[name] = zone
	}
	return made
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
