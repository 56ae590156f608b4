package balancer

import (
	"math"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
)

const (
	// feedInterval is the mean interval at which a follower is sent the total demand. Its calls are
	// answered one to three times a second, and each message takes about 50 bytes per pool zone. A
	// message may be sent up to feedTolerance early: with calls answered every 0.92 s, every second
	// reply would otherwise carry nothing, and aggregates would be a second older at each level of
	// the tree.
	feedInterval  = time.Second
	feedTolerance = 250 * time.Millisecond
	// urgentFeedInterval is the minimum interval while the pressure of a pool zone has changed by
	// more than minPressureChange, in requests per slot, since the last message: at such a change,
	// flows worth a quarter of the capacity start or stop crossing zones.
	urgentFeedInterval = 300 * time.Millisecond
	minPressureChange  = 0.25
	// feedTTL is how long a follower that does not call is remembered.
	feedTTL = 10 * time.Second
)

// demandFeed is what followers were sent of the total demand.
type demandFeed struct {
	// encoded is the encoded form of source, the latest total demand, made at encodedAt.
	encoded   *apiv1.DemandReport
	source    demand.Aggregate
	encodedAt time.Time
	// pressures are those of source. The map is replaced and never modified.
	pressures map[demand.PoolZone]float64
	sent      map[string]feedState
}

// feedState records when a follower was last sent the total demand, with which pressures, and when
// it is due again.
type feedState struct {
	sentAt, dueAt time.Time
	pressures     map[demand.PoolZone]float64
}

// next returns the state after a message at the given time, and whether that message may be sent
// now.
func (s feedState) next(pressures map[demand.PoolZone]float64, now time.Time) (feedState, bool) {
	state := feedState{sentAt: now, dueAt: now.Add(feedInterval), pressures: pressures}
	if now.Before(s.dueAt.Add(-feedTolerance)) {
		return state, now.Sub(s.sentAt) >= urgentFeedInterval && pressureChanged(s.pressures, pressures)
	}
	if now.Before(s.dueAt) {
		state.dueAt = s.dueAt.Add(feedInterval)
	}
	return state, true
}

// totalDemandFor returns the total demand to send to a follower, or nil if it was sent recently.
// The aggregate is encoded for all followers together, at most once per shareUpdateInterval.
func (c *control) totalDemandFor(follower string, now time.Time) *apiv1.DemandReport {
	f := &c.demand.demandFeed
	if f.encoded == nil || now.Sub(f.encodedAt) >= shareUpdateInterval {
		f.refresh(c.demand.tree.Aggregate(now), c.demand.capacity.slots, now)
	}
	next, due := f.sent[follower].next(f.pressures, now)
	if !due {
		return nil
	}
	f.sent[follower] = next
	return &apiv1.DemandReport{
		Balancers:       f.encoded.GetBalancers(),
		AgeMilliseconds: uint32(max(0, f.source.Age(now)).Milliseconds()),
		Zones:           f.encoded.GetZones(),
		Places:          f.encoded.GetPlaces(),
		Above:           uint32(c.demand.tree.Depth(now)),
	}
}

// refresh encodes an aggregate and drops the followers that no longer call.
func (f *demandFeed) refresh(aggregate demand.Aggregate, slots map[demand.PoolZone]float64, now time.Time) {
	f.encoded, f.source, f.encodedAt = encodeAggregate(aggregate, now), aggregate, now
	f.pressures = make(map[demand.PoolZone]float64, len(aggregate.Loads))
	withCapacity := aggregate.WithCapacity(slots)
	for poolZone := range aggregate.Loads {
		f.pressures[poolZone] = withCapacity.Pressure(poolZone)
	}
	if f.sent == nil {
		f.sent = make(map[string]feedState)
	}
	for follower, last := range f.sent {
		if now.Sub(last.sentAt) > feedTTL {
			delete(f.sent, follower)
		}
	}
}

// pressureChanged reports whether the pressure of a pool zone has changed enough to be sent sooner.
// A pool zone whose requests have no capacity has infinite pressure, and does not count as changed
// while it stays infinite.
func pressureChanged(before, after map[demand.PoolZone]float64) bool {
	differs := func(a, b float64) bool { return a != b && math.Abs(a-b) > minPressureChange }
	for poolZone, pressure := range after {
		if differs(before[poolZone], pressure) {
			return true
		}
	}
	for poolZone, pressure := range before {
		if _, found := after[poolZone]; !found && differs(pressure, 0) {
			return true
		}
	}
	return false
}
