package shares

import (
	"math"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// ownZoneSeen is the part of the balancers of the own zone that a picture must count for
// shares to rest on it. After a start each balancer sees itself only for a while.
const ownZoneSeen = 0.5

// Zone is what is known of a pool in a zone.
type Zone struct {
	// Demand is how many requests of the zone's clients wait at a time, wherever they
	// were sent, and Slots how many the zone's back ends handle at once.
	Demand, Slots float64
}

// Among returns which parts of the new flows of a zone go to each zone, by the same
// picture in all of them.
//
// The water level is the pressure up to which each zone is filled: fullUse, or that of
// all together where room is short. A zone keeps what it has below the level and sends
// the rest to the zones that are below it, in proportion to what they lack. So pressure is
// the same everywhere while room is short, nobody sends to a zone that is fuller than its
// own will be, and no less could cross: only what a zone has beyond the level does.
//
// Without a slot anywhere it returns nil.
func Among(zones map[demand.Zone]Zone, from demand.Zone) map[demand.Zone]float64 {
	level, ok := waterLevel(zones)
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

// waterLevel is the pressure up to which zones are filled.
func waterLevel(zones map[demand.Zone]Zone) (float64, bool) {
	asked, slots := 0.0, 0.0
	for _, zone := range zones {
		asked += zone.Demand
		slots += zone.Slots
	}
	if slots <= 0 {
		return 0, false
	}
	return math.Max(fullUse, asked/slots), true
}

// Zones returns what a picture tells of a pool in each zone, where listed are the
// balancers that there are. It returns nil where too little of the own zone was seen.
//
// How much there is to do is told by the requests that wait, and whose it is by what each
// zone's clients ask: where back ends shed, requests don't wait for long, and the zone that
// asks for most would seem no busier than others. Balancers that are not counted are taken
// to see as much as the others of their zone. A zone of which nobody is counted is left
// alone: it is cut off, or its balancers start.
func Zones(picture *demand.Picture, pool demand.Pool, own demand.Zone, listed map[demand.Zone]int) map[demand.Zone]Zone {
	if float64(picture.Zones[own]) < ownZoneSeen*float64(listed[own]) {
		return nil
	}
	made := make(map[demand.Zone]Zone)
	waiting, asks, seen, there := 0.0, 0.0, 0, 0
	for _, place := range picture.Pools()[pool] {
		zone := place.Zone
		counted, all := picture.Zones[zone], max(listed[zone], picture.Zones[zone])
		if counted == 0 && all > 0 {
			continue
		}
		load := picture.Places[place]
		waiting += load.Waiting
		asked := 0.0
		if counted > 0 {
			asked = load.Asks * float64(all) / float64(counted)
		}
		asks += asked
		seen, there = seen+counted, there+all
		made[zone] = Zone{Demand: asked, Slots: picture.Room[place]}
	}
	for name, zone := range made {
		zone.Demand = portion(zone.Demand, asks) * waiting * float64(there) / math.Max(1, float64(seen))
		made[name] = zone
	}
	return made
}

func portion(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
