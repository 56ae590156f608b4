package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// minZoneShare is the share that a zone with no planned share gets, for all its back ends together.
// It only matters when the back ends of all other zones are avoided.
const minZoneShare = 0.0005

// planZoneShares plans the shares of new flows for each zone from the latest aggregate, and reports
// whether the table should be rebuilt.
func (c *control) planZoneShares(now time.Time) bool {
	aggregate := c.demand.aggregate.Load()
	disabled := c.balancer.disabled
	if !c.aggregateUsable(aggregate, now) || disabled.Has(mechanism.DemandShares) || disabled.Has(mechanism.ZoneSharing) {
		return c.weightInputs.setPlannedShares(nil)
	}
	localZone := demand.Zone(c.balancer.settings.Load().GetZone())
	planned := make(map[demand.Pool]map[demand.Zone]float64)
	for pool := range aggregate.PoolZones() {
		if zoneShares := shares.ZoneShares(shares.ZoneLoads(aggregate, pool, localZone, c.balancersByZone), localZone); zoneShares != nil {
			planned[pool] = zoneShares
		}
	}
	return c.weightInputs.setPlannedShares(planned)
}

// recoveryDelay is how long an aggregate must have been fresh again, after being stale, before it
// is used for planning. Each switch between planning and not planning rebuilds the table with other
// shares. Late reports arrive a second apart, so three must arrive in time.
const recoveryDelay = 3 * time.Second

// aggregateUsable reports whether shares may be planned from the aggregate. With one report a
// second, aggregates occasionally get older than 3 s without any fault. Zones that then fell back
// to what they observed themselves sent their surplus to a zone that still kept its own flows: one
// of four zones served 0.69 of its requests while the others served 0.83 to 0.85. An aggregate is
// therefore used for all of demand.MaximumAge.
func (c *control) aggregateUsable(aggregate *demand.Aggregate, now time.Time) bool {
	if !aggregate.Fresh(now) {
		if c.weightInputs.plannedShares != nil || !c.demand.staleAt.IsZero() {
			c.demand.staleAt = now
		}
		return false
	}
	if now.Sub(c.demand.staleAt) < recoveryDelay {
		return false
	}
	c.demand.staleAt = time.Time{}
	return true
}

// shareWeight returns the weight of each of a pool's back ends in a zone, so that together they
// take their zone's share of new flows. The greatest weight of all zones is 1.
func (c *control) shareWeight(zoneShares map[demand.Zone]float64, poolZone demand.PoolZone) float64 {
	weight := func(zone demand.Zone) float64 {
		backends := c.demand.capacity.backends[demand.PoolZone{Pool: poolZone.Pool, Zone: zone}]
		return math.Max(zoneShares[zone], minZoneShare) / math.Max(1, float64(backends))
	}
	maximum := weight(poolZone.Zone)
	for zone := range zoneShares {
		maximum = math.Max(maximum, weight(zone))
	}
	return weight(poolZone.Zone) / maximum
}
