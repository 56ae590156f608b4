package shares

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

func drawZones(t *rapid.T) map[demand.Zone]ZoneLoad {
	zones := make(map[demand.Zone]ZoneLoad)
	for index := range rapid.IntRange(1, 10).Draw(t, "zones") {
		zones[demand.Zone(fmt.Sprint(index))] = ZoneLoad{
			Demand: rapid.Float64Range(0, 500).Draw(t, "demand"),
			Slots:  float64(rapid.IntRange(0, 200).Draw(t, "slots")),
		}
	}
	return zones
}

// distribute returns the load on each zone's back ends when all zones follow ZoneShares, and
// how much of it crosses zones.
func distribute(zones map[demand.Zone]ZoneLoad) (load map[demand.Zone]float64, crossing float64) {
	load = make(map[demand.Zone]float64)
	for from := range zones {
		for to, share := range ZoneShares(zones, from) {
			load[to] += share * zones[from].Demand
			if to != from {
				crossing += share * zones[from].Demand
			}
		}
	}
	return load, crossing
}

// While capacity is short, the pressure of all zones is equal within 2%. Only the excess of
// zones crosses, no zone sends to one with a higher pressure, and while a zone has free
// capacity, its flows stay.
func TestZonesHaveEqualPressure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		target, ok := targetPressure(zones)
		if !ok {
			require.Nil(t, ZoneShares(zones, "0"))
			return
		}
		load, crossing := distribute(zones)
		excess := 0.0
		for name, zone := range zones {
			excess += math.Max(0, zone.Demand-target*zone.Slots)
			if zone.Slots == 0 {
				require.InDelta(t, 0, load[name], 1e-6)
				continue
			}
			pressure := load[name] / zone.Slots
			require.LessOrEqual(t, pressure, target*1.02)
			if target > targetUtilization {
				require.GreaterOrEqual(t, pressure, target*0.98)
			}
			shares := ZoneShares(zones, name)
			total := 0.0
			for to, share := range shares {
				total += share
				if to != name && share > 0 {
					require.LessOrEqual(t, load[to]/zones[to].Slots, pressure*1.0001, "to a zone with a higher pressure")
				}
			}
			require.InDelta(t, 1, total, 1e-9)
			if zone.Demand <= targetUtilization*zone.Slots {
				require.InDelta(t, 1, shares[name], 1e-9, "its zone has free capacity")
			}
		}
		require.InDelta(t, excess, crossing, 1e-6)
	})
}

// newAggregate returns an aggregate with the given request rates, requests in flight,
// capacities and numbers of balancers of zones.
func newAggregate(rates, inFlight, capacity map[demand.Zone]float64, counted map[demand.Zone]int) *demand.Aggregate {
	aggregate := &demand.Aggregate{ZoneBalancers: counted, Loads: make(map[demand.PoolZone]demand.Load), Capacity: make(map[demand.PoolZone]float64)}
	for zone, rate := range rates {
		aggregate.Loads[demand.PoolZone{Pool: "lending", Zone: zone}] = demand.Load{RequestRate: rate, InFlight: inFlight[zone]}
	}
	for zone, slots := range capacity {
		aggregate.Capacity[demand.PoolZone{Pool: "lending", Zone: zone}] = slots
	}
	return aggregate.WithCapacity(aggregate.Capacity)
}

func TestZoneLoadsOfAnAggregate(t *testing.T) {
	aggregate := newAggregate(
		map[demand.Zone]float64{"a": 100, "b": 100},
		map[demand.Zone]float64{"a": 6, "b": 24},
		map[demand.Zone]float64{"a": 20, "b": 10, "c": 7},
		map[demand.Zone]int{"a": 2, "b": 4})
	listed := map[demand.Zone]int{"a": 4, "b": 4}
	require.Equal(t, map[demand.Zone]ZoneLoad{"a": {Demand: 30 * 8.0 / 6 * 2 / 3, Slots: 20},
		"b": {Demand: 30 * 8.0 / 6 / 3, Slots: 10}, "c": {Slots: 7}}, ZoneLoads(aggregate, "lending", "a", listed),
		"demand is distributed by request rates, balancers that are not counted have the mean load; c has back ends only")
	listed["c"] = 3
	require.NotContains(t, ZoneLoads(aggregate, "lending", "a", listed), demand.Zone("c"), "a zone without a counted balancer is left out")
	listed["a"] = 5
	require.Nil(t, ZoneLoads(aggregate, "lending", "a", listed), "too few balancers of the local zone are counted")
	require.Empty(t, ZoneLoads(aggregate, "borrowing", "b", listed))
}

// Zones whose aggregates are one to two seconds old must not oscillate while demand varies by
// half with a period of 13 s. They lose hardly more than with exact ones: 0.21 of the demand
// exceeds the slots of all zones then, and 0.23 to 0.39 is lost where each zone keeps its own
// flows. Shares change direction as often as demand does.
func TestOldAggregatesDoNotCauseOscillation(t *testing.T) {
	for _, slots := range [][]float64{{40, 20, 20}, {52, 14, 14}, {28, 26, 26}} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			simulation := newOscillation(slots)
			for range 3 * 130 {
				simulation.step()
			}
			require.LessOrEqual(t, simulation.excess/simulation.requested, simulation.totalExcess/simulation.requested+0.01)
			require.Less(t, simulation.pressureSpread/float64(simulation.overloadedSteps), 0.2, "mean relative difference of pressures while a zone is overloaded")
			require.LessOrEqual(t, simulation.reversals, 2*3+1, "each of three periods reverses a share twice")
		})
	}
}

// oscillation simulates three zones whose demand oscillates, in steps of 0.1 s.
type oscillation struct {
	names  []demand.Zone
	slots  []float64
	now    int
	shares []map[demand.Zone]float64
	// loads has the load of each zone in each step.
	loads [][]float64
	// requested is the sum of the demand, excess what exceeded the slots of its zone, and
	// totalExcess what exceeded the slots of all zones.
	requested, excess, totalExcess float64
	// pressureSpread is the sum of the relative differences between the highest and the
	// lowest pressure over the overloadedSteps, in which a zone is overloaded.
	pressureSpread  float64
	overloadedSteps int
	// keptShare is what the second zone kept when this last changed by 0.02 or more. The
	// field rising is set if that was an increase, and reversals counts changes of direction.
	keptShare float64
	rising    bool
	reversals int
}

func newOscillation(slots []float64) *oscillation {
	simulation := &oscillation{names: []demand.Zone{"a", "b", "c"}, slots: slots, keptShare: 1}
	for _, name := range simulation.names {
		simulation.shares = append(simulation.shares, map[demand.Zone]float64{name: 1})
	}
	return simulation
}

// total returns the slots of all zones. The mean demand is 1.1 times as much.
func (s *oscillation) total() float64 { return s.slots[0] + s.slots[1] + s.slots[2] }

func (s *oscillation) demand(zone, step int) float64 {
	mean := 1.1 * s.total() * []float64{0.29, 0.37, 0.34}[zone]
	return mean * (1 + 0.55*math.Sin(2*math.Pi*(float64(step)/130+0.08*float64(zone))))
}

func (s *oscillation) step() {
	if s.now%10 == 0 && s.now >= 20 {
		s.updateShares(s.now - 10)
	}
	load := make([]float64, len(s.names))
	requested := 0.0
	for zone := range s.names {
		requested += s.demand(zone, s.now)
		for to, target := range s.names {
			load[to] += s.shares[zone][target] * s.demand(zone, s.now)
		}
	}
	s.loads = append(s.loads, load)
	s.now++
	if s.now <= 30 {
		return // no aggregate yet
	}
	highest, lowest := 0.0, math.Inf(1)
	for zone, slots := range s.slots {
		s.excess += math.Max(0, load[zone]-slots)
		highest, lowest = math.Max(highest, load[zone]/slots), math.Min(lowest, load[zone]/slots)
	}
	s.requested += requested
	s.totalExcess += math.Max(0, requested-s.total())
	if highest > 1 {
		s.pressureSpread += (highest - lowest) / highest
		s.overloadedSteps++
	}
	s.count(s.shares[1]["b"])
}

// updateShares computes the shares of all zones from the aggregate of an earlier step.
func (s *oscillation) updateShares(past int) {
	rates, inFlight, capacity := map[demand.Zone]float64{}, map[demand.Zone]float64{}, map[demand.Zone]float64{}
	counted := map[demand.Zone]int{"a": 10, "b": 10, "c": 10}
	for zone, name := range s.names {
		rates[name] = s.demand(zone, past)
		// Queues grow to five requests for each slot, then back ends shed.
		pressure := s.loads[past][zone] / s.slots[zone]
		inFlight[name] = math.Min(5, pressure*math.Max(1, pressure)) * s.slots[zone]
		capacity[name] = s.slots[zone]
	}
	aggregate := newAggregate(rates, inFlight, capacity, counted)
	for zone, name := range s.names {
		s.shares[zone] = ZoneShares(ZoneLoads(aggregate, "lending", name, counted), name)
	}
}

func (s *oscillation) count(keptShare float64) {
	if math.Abs(keptShare-s.keptShare) < 0.02 {
		return
	}
	if rising := keptShare > s.keptShare; rising != s.rising {
		s.reversals++
		s.rising = rising
	}
	s.keptShare = keptShare
}
