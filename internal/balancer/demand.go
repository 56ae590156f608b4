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
	shareStep = 0.02
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
	// balancers is how many there are in the zone, this one included.
	balancers int
}

func newDemand() demand {
	return demand{waiting: make(map[string]float64), remote: make(map[string]float64), balancers: 1}
}

// startTable takes the back ends that a new table is made with.
func (d *demand) startTable(zones map[string]*poolZones) {
	d.zones = zones
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
