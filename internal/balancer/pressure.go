package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// pressureTimeConstant is how fast what waits here is followed. One balancer sees some requests
// at a time, so a single look is mostly chance.
const pressureTimeConstant = 300 * time.Millisecond

const (
	// minAggregatePressure is the pressure that the picture must show before anybody is refused:
	// below it the fleet itself counts fewer requests than slots, so some are free. What one
	// balancer sees, multiplied, is no ground: before the first traffic a zone's part of next
	// to nothing made pressures of billions of a quiet start, and 409 flows were refused.
	minAggregatePressure = 1.0
	// minLocalInFlight is how many requests must wait here on average for what waits here to be
	// taken at the scale of all. With fewer, one more is as much as the whole pool can do;
	// the picture itself is taken, a second or two late.
	minLocalInFlight = 1.0
)

// pressureEstimator follow what waits at this balancer for each pool. A picture is a second or
// two old, and in that time a burst fills the queues of all back ends; what waits here is
// known at once. Of the picture is taken which part of all passes here, which changes
// slowly: with the pressure of the picture itself a burst was refused half a second
// later, and for a second after its end.
//
// The part changes at once where another balancer of the zone stops: what is asked here grows
// then, by the part that maxGrowth allows.
type pressureEstimator struct {
	smoothedWaiting
	rates requestRates
}

// addSummary follows the requests that wait here, and what is asked.
func (p *pressureEstimator) addSummary(summary *observe.Summary) {
	p.update(summary, pressureTimeConstant)
	p.rates.addSummary(summary)
}

// estimate is the pressure on a pool. Routers spread a zone's packets evenly over its
// balancers, and the picture tells which part of what is asked of the pool the zone's
// clients ask. It is unknown while the picture is one of less than half of the balancers
// listed, or while nothing was seen here: those left out may be short of room, or not. It is
// none while the picture shows room.
func (p *pressureEstimator) estimate(pool demand.Pool, localZone demand.Zone, aggregate *demand.Aggregate, listed zoneCounts) admission.Pressure {
	if aggregate == nil || 2*aggregate.Balancers < listed.total() {
		return admission.Pressure{}
	}
	waiting, slots := aggregate.PoolTotals(pool)
	fraction := zoneRequestFraction(pool, localZone, aggregate)
	if slots == 0 || fraction == 0 {
		return admission.Pressure{}
	}
	seenAt := aggregate.OldestAt
	if p.lastSummaryAt.Before(seenAt) {
		seenAt = p.lastSummaryAt
	}
	if waiting < minAggregatePressure*slots {
		return admission.Pressure{SeenAt: seenAt}
	}
	scale := float64(aggregate.ZoneBalancers[localZone]) / fraction
	if waiting >= minLocalInFlight*scale {
		waiting = p.waiting[string(pool)] * scale / min(p.rates.growthSince(pool, aggregate.OldestAt), maxGrowth(aggregate.ZoneBalancers[localZone]))
	}
	return admission.Pressure{RequestsPerSlot: waiting / slots, SeenAt: seenAt}
}

const (
	// saturationPressure is the pressure that a picture shows of a pool without a free slot.
	saturationPressure = 1.0
	// localSaturationPressure is the pressure from which on what waits here is taken to show the same
	// before the picture does, if minSaturationInFlight requests wait at least: what is seen of it
	// here is uncertain by a third.
	localSaturationPressure = 1.5
	minSaturationInFlight   = 1.0
)

// maxGrowth is how many times the part of a balancer grows when another one of its zone stops.
// What is asked grows in a burst too, so no more of it is put down to that.
func maxGrowth(balancers int) float64 {
	if balancers < 2 {
		return 2
	}
	return float64(balancers) / float64(balancers-1)
}

// saturated tells whether a pool has no free slot, as far as is known. It errs towards
// saturation, by which answers count for nothing for a while.
func (p *pressureEstimator) saturated(pool demand.Pool, localZone demand.Zone, aggregate *demand.Aggregate) bool {
	if aggregate == nil {
		return false
	}
	waiting, slots := aggregate.PoolTotals(pool)
	if slots == 0 {
		return false
	}
	if waiting >= saturationPressure*slots {
		return true
	}
	fraction, local := zoneRequestFraction(pool, localZone, aggregate), p.waiting[string(pool)]
	return fraction > 0 && local >= minSaturationInFlight && local*float64(aggregate.ZoneBalancers[localZone])/fraction >= localSaturationPressure*slots
}

// zoneRequestFraction is the part of what is asked of a pool that the clients of a zone ask, by the
// balancers that the picture has. Others may be gone, and what they carried passes those
// that are left: to take them for as busy made pressure of a roll of half the machines.
func zoneRequestFraction(pool demand.Pool, localZone demand.Zone, aggregate *demand.Aggregate) float64 {
	localRate, totalRate := 0.0, 0.0
	for zone := range aggregate.ZoneBalancers {
		rate := aggregate.Loads[demand.ZonePool{Pool: pool, Zone: zone}].Offered
		totalRate += rate
		if zone == localZone {
			localRate = rate
		}
	}
	if localRate == 0 {
		return 0
	}
	return localRate / totalRate
}
