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

// collectDemand gives the picture of demand and room.
func collectDemand(picture *demand.Aggregate, gauge func(*prometheus.Desc, float64, ...string)) {
	if picture == nil || picture.At.IsZero() {
		return
	}
	gauge(aggregateAgeDescription, picture.Age(time.Now()).Seconds())
	for zone, count := range picture.ZoneBalancers {
		gauge(aggregateBalancersDescription, float64(count), string(zone))
	}
	tell := func(place demand.PoolZone) {
		gauge(capacityDescription, picture.Capacity[place], string(place.Pool), string(place.Zone))
		gauge(pressureDescription, picture.Pressure(place), string(place.Pool), string(place.Zone))
	}
	for place := range picture.Capacity {
		tell(place)
	}
	for place, load := range picture.Loads {
		gauge(requestRateDescription, load.RequestRate, string(place.Pool), string(place.Zone))
		if _, found := picture.Capacity[place]; !found {
			tell(place)
		}
	}
}
