package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

// leastPart is the part of zones that get nothing, all back ends of each together. It only
// counts where all others are avoided.
const leastPart = 0.0005

// divide plans the parts of new flows for each zone by the latest picture, and tells
// whether the table should be made anew.
func (c *control) divide(now time.Time) bool {
	picture := c.demand.picture.Load()
	off := c.balancer.disabled
	if !c.steady(picture, now) || off.Has(mechanism.DemandShares) || off.Has(mechanism.ZoneSharing) {
		return c.observed.plan(nil)
	}
	own := demand.Zone(c.balancer.settings.Load().GetZone())
	planned := make(map[demand.Pool]map[demand.Zone]float64)
	for pool := range picture.ZonePools() {
		if parts := shares.ZoneShares(shares.ZoneLoads(picture, pool, own, c.balancersByZone), own); parts != nil {
			planned[pool] = parts
		}
	}
	return c.observed.plan(planned)
}

// returnTime is for how long a picture that had lapsed must be fresh to be planned by again.
// Each going and coming is a table and other shares; reports that are late come a second
// apart, so three in time are needed.
const returnTime = 3 * time.Second

// steady tells whether plans may rest on the picture. Told once a second, pictures get older
// than 3 s now and then without a fault; zones that then went by what they see alone sent
// their surplus to one that still kept its own: one of four zones was served 0.69 where the
// others had 0.83 to 0.85. So they rest on it for all of demand.MaximumAge.
func (c *control) steady(picture *demand.Aggregate, now time.Time) bool {
	if !picture.Fresh(now) {
		if c.observed.planned != nil || !c.demand.lapsedAt.IsZero() {
			c.demand.lapsedAt = now
		}
		return false
	}
	if now.Sub(c.demand.lapsedAt) < returnTime {
		return false
	}
	c.demand.lapsedAt = time.Time{}
	return true
}

// partWeight is the weight of a pool's back ends in a zone that together take their part
// of the new flows; the greatest weight is 1.
func (c *control) partWeight(parts map[demand.Zone]float64, place demand.ZonePool) float64 {
	each := func(zone demand.Zone) float64 {
		backends := c.demand.room.backends[demand.ZonePool{Pool: place.Pool, Zone: zone}]
		return math.Max(parts[zone], leastPart) / math.Max(1, float64(backends))
	}
	greatest := each(place.Zone)
	for zone := range parts {
		greatest = math.Max(greatest, each(zone))
	}
	return each(place.Zone) / greatest
}
