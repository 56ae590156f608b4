package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// minZoneShare is the part of zones that get nothing, all back ends of each together. It only
// counts where all others are avoided.
const minZoneShare = 0.0005

// planZoneShares plans the parts of new flows for each zone by the latest picture, and tells
// whether the table should be made anew.
func (c *control) planZoneShares(now time.Time) bool {
	aggregate := c.demand.aggregate.Load()
	off := c.balancer.disabled
	if !c.aggregateUsable(aggregate, now) || off.Has(mechanism.DemandShares) || off.Has(mechanism.ZoneSharing) {
		return c.observed.setPlannedShares(nil)
	}
	localZone := demand.Zone(c.balancer.settings.Load().GetZone())
	planned := make(map[demand.Pool]map[demand.Zone]float64)
	for pool := range aggregate.ZonePools() {
		if zoneShares := shares.ZoneShares(shares.ZoneLoads(aggregate, pool, localZone, c.balancersByZone), localZone); zoneShares != nil {
			planned[pool] = zoneShares
		}
	}
	return c.observed.setPlannedShares(planned)
}

// recoveryDelay is for how long a picture that had lapsed must be fresh to be planned by again.
// Each going and coming is a table and other shares; reports that are late come a second
// apart, so three in time are needed.
const recoveryDelay = 3 * time.Second

// aggregateUsable tells whether plans may rest on the picture. Told once a second, pictures get older
// than 3 s now and then without a fault; zones that then went by what they see alone sent
// their surplus to one that still kept its own: one of four zones was served 0.69 where the
// others had 0.83 to 0.85. So they rest on it for all of demand.MaximumAge.
func (c *control) aggregateUsable(aggregate *demand.Aggregate, now time.Time) bool {
	if !aggregate.Fresh(now) {
		if c.observed.plannedShares != nil || !c.demand.staleAt.IsZero() {
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

// shareWeight is the weight of a pool's back ends in a zone that together take their part
// of the new flows; the greatest weight is 1.
func (c *control) shareWeight(zoneShares map[demand.Zone]float64, poolZone demand.ZonePool) float64 {
	weight := func(zone demand.Zone) float64 {
		backends := c.demand.capacity.backends[demand.ZonePool{Pool: poolZone.Pool, Zone: zone}]
		return math.Max(zoneShares[zone], minZoneShare) / math.Max(1, float64(backends))
	}
	greatest := weight(poolZone.Zone)
	for zone := range zoneShares {
		greatest = math.Max(greatest, weight(zone))
	}
	return weight(poolZone.Zone) / greatest
}
