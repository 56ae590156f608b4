package balancer

import (
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
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

// observed is what was observed, as tables are made with it: the demand on each
// pool, and the back ends that are unwell. Demand is how many requests of this
// zone's clients wait at a time. Routers spread a zone's packets evenly over its
// balancers, so each sees one part in as many.
type observed struct {
	smoothedInFlight
	// zones and remote are what the table in force was made with, by pool: the
	// back ends, and the share of new flows that goes to other zones.
	zones  map[string]*poolZones
	remote map[string]float64
	// planned are the parts of a pool's new flows for each zone by the latest picture, and
	// parts those that the table in force was made with; pools of which no picture tells
	// have none.
	planned, parts map[demand.Pool]map[demand.Zone]float64
	// divided are the pools whose weights in the table in force are by parts.
	divided map[string]bool
	// unwell are the back ends whose answers differ from the others', and
	// healthWeights the factors below 1 that the table in force was made with.
	unwell        map[incarnation.ID]observe.Health
	healthWeights map[incarnation.ID]float64
	// limits bound what is taken off by health.
	limits healthLimits
	// balancers is how many there are in the zone, this one included.
	balancers int
}

func newObserved() observed {
	return observed{smoothedInFlight: newSmoothedInFlight(), remote: make(map[string]float64),
		healthWeights: make(map[incarnation.ID]float64), balancers: 1}
}

// startTable takes the back ends that a new table is made with.
func (o *observed) startTable(zones map[string]*poolZones) {
	o.zones = zones
	o.parts = o.planned
	clear(o.healthWeights)
	for backend := range o.unwell {
		o.healthWeights[backend] = o.healthWeight(backend)
	}
	clear(o.remote)
	for name, zone := range zones {
		o.remote[name] = o.remoteShare(name, zone)
	}
}

func (o *observed) remoteShare(pool string, zone *poolZones) float64 {
	return shares.RemoteShare(o.inFlight[pool]*float64(o.balancers), zone.localSlots, zone.remoteSlots)
}

// take follows a summary and tells whether the table should be made anew.
func (o *observed) take(summary *observe.Summary, now time.Time) bool {
	if summary == nil || now.Sub(summary.At) > observedFor {
		clear(o.inFlight)
		return false
	}
	if !o.smoothedInFlight.update(summary, demandTime) {
		return false
	}
	changed := false
	for pool := range summary.InFlight {
		if zone := o.zones[pool]; zone != nil && !o.divided[pool] {
			changed = changed || math.Abs(o.remoteShare(pool, zone)-o.remote[pool]) > shareStep
		}
	}
	return changed
}

// judge takes what so many balancers found of back ends, and tells whether the table
// should be made anew.
func (o *observed) judge(found map[incarnation.ID]observe.Finding, observers int) bool {
	unwell := make(map[incarnation.ID]observe.Health, len(o.unwell))
	for backend, finding := range found {
		if health := finding.Health(observers, o.unwell[backend]); !health.Healthy() {
			unwell[backend] = health
		}
	}
	o.unwell = unwell
	return o.healthChanged()
}

// healthWeight is the factor for the weight of a back end.
func (o *observed) healthWeight(backend incarnation.ID) float64 {
	health, unwell := o.unwell[backend]
	if !unwell {
		return 1
	}
	return shares.LimitedWeight(shares.HealthWeight(health), o.limits.of(backend))
}

// use is the part of the slots of a pool in this zone that are in use.
func (o *observed) use(pool string) float64 {
	zone := o.zones[pool]
	if zone == nil || zone.localSlots == 0 {
		return 0
	}
	return o.inFlight[pool] * float64(o.balancers) / zone.localSlots
}

// healthChanged tells whether the weight of a back end moves by enough.
func (o *observed) healthChanged() bool {
	for backend := range o.unwell {
		if applied, found := o.healthWeights[backend]; !found || math.Abs(o.healthWeight(backend)-applied) > healthStep {
			return true
		}
	}
	for backend := range o.healthWeights {
		if o.unwell[backend].Healthy() {
			return true
		}
	}
	return false
}

// plan takes the parts of new flows for each zone, and tells whether some move by enough.
func (o *observed) plan(parts map[demand.Pool]map[demand.Zone]float64) bool {
	o.planned = parts
	if len(parts) != len(o.parts) {
		return true
	}
	for pool, zones := range parts {
		applied, found := o.parts[pool]
		if !found || partsMove(zones, applied) || partsMove(applied, zones) {
			return true
		}
	}
	return false
}

// partsMove tells whether the part of a zone differs by enough from another one's. Zones that
// only the other one names are not looked at.
func partsMove(parts, other map[demand.Zone]float64) bool {
	for zone, part := range parts {
		if math.Abs(part-other[zone]) > shareStep {
			return true
		}
	}
	return false
}

// describe is the demand by pool, for the log.
func (o *observed) describe() map[string]float64 {
	described := make(map[string]float64, len(o.inFlight))
	for pool, waiting := range o.inFlight {
		described[pool] = math.Round(waiting*float64(o.balancers)*10) / 10
	}
	return described
}
