package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

var (
	pressureDescription = prometheus.NewDesc("indigobarrow_balancer_demand_pressure",
		"Requests at the back ends of a pool in a zone for each slot that takes new flows; from 1 on they queue.",
		[]string{"pool", "zone"}, nil)
	requestRateDescription = prometheus.NewDesc("indigobarrow_balancer_demand_asks_per_second",
		"New flows and later requests that the clients of a zone ask of a pool.", []string{"pool", "zone"}, nil)
	capacityDescription = prometheus.NewDesc("indigobarrow_balancer_demand_room_slots",
		"Slots of a pool in a zone that take new flows.", []string{"pool", "zone"}, nil)
	aggregateAgeDescription = prometheus.NewDesc("indigobarrow_balancer_demand_age_seconds",
		"Age of the oldest part of the picture of demand.", nil, nil)
	aggregateBalancersDescription = prometheus.NewDesc("indigobarrow_balancer_demand_balancers",
		"Balancers that the picture of demand counts, by zone.", []string{"zone"}, nil)
)

// collectDemand collects the gauges of an aggregate: its age, its balancers by zone, and the
// capacity, pressure and request rate of each pool zone.
func collectDemand(aggregate *demand.Aggregate, gauge func(*prometheus.Desc, float64, ...string)) {
	if aggregate == nil || aggregate.At.IsZero() {
		return
	}
	gauge(aggregateAgeDescription, aggregate.Age(time.Now()).Seconds())
	for zone, count := range aggregate.ZoneBalancers {
		gauge(aggregateBalancersDescription, float64(count), string(zone))
	}
	report := func(poolZone demand.PoolZone) {
		gauge(capacityDescription, aggregate.Capacity[poolZone], string(poolZone.Pool), string(poolZone.Zone))
		gauge(pressureDescription, aggregate.Pressure(poolZone), string(poolZone.Pool), string(poolZone.Zone))
	}
	for poolZone := range aggregate.Capacity {
		report(poolZone)
	}
	for poolZone, load := range aggregate.Loads {
		gauge(requestRateDescription, load.RequestRate, string(poolZone.Pool), string(poolZone.Zone))
		if _, found := aggregate.Capacity[poolZone]; !found {
			report(poolZone)
		}
	}
}
