package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/shares"
)

const (
	// demandTime is how fast the estimate of demand follows what is observed.
	demandTime = time.Second
	// shareStep is by how much the remote share of a pool must have changed for a
	// new table.
	shareStep = 0.05
	// healthStep is the same for the weight of a back end.
	healthStep = 0.1
	// observedFor is how old a summary may be. A balancer without packets makes
	// none.
	observedFor = 2 * time.Second
)

// demand estimates how many requests of this zone's clients wait at a time, by
// pool. Routers spread a zone's packets evenly over its balancers, so each sees
// one part in as many.
type demand struct {
	seenAt time.Time
	// waiting is how many wait here, smoothed.
	waiting map[string]float64
	// zones and remote are what the table in force was made with, by pool: the
	// back ends, and the share of new flows that goes to other zones.
	zones  map[string]*poolZones
	remote map[string]float64
	// unwell are the back ends whose answers differ from the others', and
	// healthWeights the factors below 1 that the table in force was made with.
	unwell        map[uint64]observe.Health
	healthWeights map[uint64]float64
	// balancers is how many there are in the zone, this one included.
	balancers int
}

func newDemand() demand {
	return demand{waiting: make(map[string]float64), remote: make(map[string]float64),
		healthWeights: make(map[uint64]float64), balancers: 1}
}

// startTable takes the back ends that a new table is made with.
func (d *demand) startTable(zones map[string]*poolZones) {
	d.zones = zones
	clear(d.healthWeights)
	for number, health := range d.unwell {
		d.healthWeights[number] = shares.HealthWeight(health)
	}
	clear(d.remote)
	for name, zone := range zones {
		d.remote[name] = d.remoteShare(name, zone)
	}
}

func (d *demand) remoteShare(pool string, zone *poolZones) float64 {
	return shares.Remote(d.waiting[pool]*float64(d.balancers), zone.localSlots, zone.remoteSlots)
}

// take follows a summary and tells whether the table should be made anew.
func (d *demand) take(summary *observe.Summary, now time.Time) bool {
	if summary == nil || now.Sub(summary.At) > observedFor {
		clear(d.waiting)
		return false
	}
	if !summary.At.After(d.seenAt) {
		return false
	}
	part := 1 - math.Exp(-summary.At.Sub(d.seenAt).Seconds()/demandTime.Seconds())
	d.seenAt = summary.At
	changed := false
	for pool, waiting := range summary.Waiting {
		d.waiting[pool] += part * (waiting - d.waiting[pool])
		if zone := d.zones[pool]; zone != nil {
			changed = changed || math.Abs(d.remoteShare(pool, zone)-d.remote[pool]) > shareStep
		}
	}
	return changed
}

// judge takes what so many balancers found of back ends, and tells whether the table
// should be made anew.
func (d *demand) judge(found map[uint64]observe.Finding, observers int) bool {
	unwell := make(map[uint64]observe.Health, len(d.unwell))
	for number, finding := range found {
		if health := finding.Health(observers, d.unwell[number]); !health.Well() {
			unwell[number] = health
		}
	}
	d.unwell = unwell
	return d.healthChanged()
}

// healthWeight is the factor for the weight of a back end.
func (d *demand) healthWeight(number uint64) float64 { return shares.HealthWeight(d.unwell[number]) }

// use is the part of the slots of a pool in this zone that are in use.
func (d *demand) use(pool string) float64 {
	zone := d.zones[pool]
	if zone == nil || zone.localSlots == 0 {
		return 0
	}
	return d.waiting[pool] * float64(d.balancers) / zone.localSlots
}

// healthChanged tells whether the weight of a back end moves by enough.
func (d *demand) healthChanged() bool {
	for number := range d.unwell {
		if applied, found := d.healthWeights[number]; !found || math.Abs(d.healthWeight(number)-applied) > healthStep {
			return true
		}
	}
	for number := range d.healthWeights {
		if d.unwell[number].Well() {
			return true
		}
	}
	return false
}

// describe is the demand by pool, for the log.
func (d *demand) describe() map[string]float64 {
	described := make(map[string]float64, len(d.waiting))
	for pool, waiting := range d.waiting {
		described[pool] = math.Round(waiting*float64(d.balancers)*10) / 10
	}
	return described
}
