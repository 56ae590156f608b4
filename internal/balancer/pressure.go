package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// pressureTimeConstant is the time constant of the smoothed number of requests in flight through
// this balancer. One balancer sees only some requests at a time, so a single sample is mostly
// noise.
const pressureTimeConstant = 300 * time.Millisecond

const (
	// minAggregatePressure is the pressure that the aggregate must show before any flow is refused.
	// Below it the balancers together count fewer requests than slots, so some slots are free.
	// Scaling up what one balancer sees is not enough: before the first traffic, a zone's request
	// fraction close to 0 gave an idle start pressures of billions, and 409 flows were refused.
	minAggregatePressure = 1.0
	// minLocalInFlight is the average number of requests that must be in flight through this
	// balancer, by the aggregate, before the local count is scaled up to the whole pool. With
	// fewer, a single additional request would scale to as much as the whole pool can handle; the
	// count in the aggregate is used instead, which is a second or two old.
	minLocalInFlight = 1.0
)

// pressureEstimator estimates the pressure on each pool from the requests in flight through this
// balancer. An aggregate is a second or two old, and within that time a burst fills the queues of
// all back ends, whereas the number of requests in flight here is known at once. The aggregate only
// gives the fraction of all requests that passes through this balancer, which changes slowly: with
// the pressure of the aggregate itself, a burst was refused half a second later, and flows were
// still refused for a second after its end.
//
// That fraction changes at once when another balancer of the zone stops. The request rate here then
// grows, which is corrected for up to the factor maxGrowth.
type pressureEstimator struct {
	smoothedInFlight
	requestRates requestRates
}

// addSummary updates the numbers of requests in flight and the request rates.
func (p *pressureEstimator) addSummary(summary *observe.Summary) {
	p.update(summary, pressureTimeConstant)
	p.requestRates.addSummary(summary)
}

// estimate returns the pressure on a pool. Routers spread a zone's packets evenly over its
// balancers, and the aggregate gives the fraction of the pool's requests that come from the zone's
// clients. The pressure is unknown if the aggregate covers less than half of the balancers in the
// directory, or if nothing was observed here: the balancers left out may see a lack of capacity or
// not. It is also unknown if the aggregate has no slots of the pool or no requests from the zone.
// It is zero while the aggregate shows free slots.
func (p *pressureEstimator) estimate(pool demand.Pool, localZone demand.Zone, aggregate *demand.Aggregate, listed zoneCounts) admission.Pressure {
	if aggregate == nil || 2*aggregate.Balancers < listed.total() {
		return admission.Pressure{}
	}
	waiting, slots := aggregate.PoolTotals(pool)
	fraction := zoneRequestFraction(pool, localZone, aggregate)
	if slots == 0 || fraction == 0 {
		return admission.Pressure{}
	}
	seenAt := aggregate.At
	if p.lastSummaryAt.Before(seenAt) {
		seenAt = p.lastSummaryAt
	}
	if waiting < minAggregatePressure*slots {
		return admission.Pressure{SeenAt: seenAt}
	}
	scale := float64(aggregate.ZoneBalancers[localZone]) / fraction
	if waiting >= minLocalInFlight*scale {
		waiting = p.inFlight[string(pool)] * scale / min(p.requestRates.growthSince(pool, aggregate.At), maxGrowth(aggregate.ZoneBalancers[localZone]))
	}
	return admission.Pressure{RequestsPerSlot: waiting / slots, SeenAt: seenAt}
}

const (
	// saturationPressure is the pressure at which an aggregate shows that a pool has no free slot.
	saturationPressure = 1.0
	// localSaturationPressure is the pressure, estimated from the requests in flight here, from
	// which a pool counts as saturated before the aggregate shows it, if at least
	// minSaturationInFlight requests are in flight here. The local estimate is uncertain by a
	// third.
	localSaturationPressure = 1.5
	minSaturationInFlight   = 1.0
)

// maxGrowth returns the factor by which a balancer's fraction of its zone's requests grows when
// another balancer of the zone stops. The request rate grows in a burst too, so growth beyond this
// factor is not attributed to a stopped balancer.
func maxGrowth(balancers int) float64 {
	if balancers < 2 {
		return 2
	}
	return float64(balancers) / float64(balancers-1)
}

// saturated reports whether a pool has no free slot, as far as is known. It errs towards
// saturation, the cost of which is that responses are ignored for a while.
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
	fraction, local := zoneRequestFraction(pool, localZone, aggregate), p.inFlight[string(pool)]
	return fraction > 0 && local >= minSaturationInFlight && local*float64(aggregate.ZoneBalancers[localZone])/fraction >= localSaturationPressure*slots
}

// zoneRequestFraction returns the fraction of a pool's request rate that comes from the clients of
// a zone, by the balancers in the aggregate. Other balancers may have stopped, with their traffic
// now passing through the remaining ones: counting them as equally busy produced pressure when half
// of the machines were being restarted.
func zoneRequestFraction(pool demand.Pool, localZone demand.Zone, aggregate *demand.Aggregate) float64 {
	localRate, totalRate := 0.0, 0.0
	for zone := range aggregate.ZoneBalancers {
		rate := aggregate.Loads[demand.PoolZone{Pool: pool, Zone: zone}].RequestRate
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
