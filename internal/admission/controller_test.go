package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// statesOf returns the state of one pool with two priorities and a pressure.
func statesOf(requestsPerSlot float64, seenAt time.Time) []PoolState {
	return []PoolState{{Pool: "lending", Priorities: []Priority{1, 2}, Pressure: Pressure{RequestsPerSlot: requestsPerSlot, SeenAt: seenAt}}}
}

// update updates a controller with a constant pressure for a time and returns the last
// refusals.
func update(controller *Controller, requestsPerSlot float64, from time.Time, length time.Duration) (*Refusals, time.Time) {
	var refusals *Refusals
	until := from.Add(length)
	for ; from.Before(until); from = from.Add(250 * time.Millisecond) {
		refusals = controller.Update(statesOf(requestsPerSlot, from), from)
	}
	return refusals, from
}

func fractionOf(refusals *Refusals, priority Priority) float64 {
	for _, refusal := range refusals.All() {
		if refusal.Priority == priority {
			return refusal.Fraction
		}
	}
	return 0
}

func TestLowestPriorityIsRefusedFirst(t *testing.T) {
	controller := NewController()
	refusals, now := update(controller, 5, start, 5*time.Second)
	require.Equal(t, 1.0, fractionOf(refusals, 2))
	require.Less(t, fractionOf(refusals, 1), 0.1, "the pool is short of capacity, but not overloaded")
	refusals, _ = update(controller, 20, now, 5*time.Second)
	require.Equal(t, 1-minimumAdmitted, fractionOf(refusals, 1))
}

func TestNoFlowIsRefusedWhileThereIsCapacity(t *testing.T) {
	controller := NewController()
	refusals, now := update(controller, lowestPriorityTarget, start, 10*time.Second)
	require.Nil(t, refusals)
	_, now = update(controller, 20, now, 5*time.Second)
	refusals, _ = update(controller, idlePressure-0.1, now, 250*time.Millisecond)
	require.Nil(t, refusals, "at once, whatever the previous refusals")
}

func TestUnknownOrOldPressureRefusesNoFlow(t *testing.T) {
	controller := NewController()
	refusals, now := update(controller, 20, start, 5*time.Second)
	require.NotNil(t, refusals)
	require.Nil(t, controller.Update(statesOf(20, now.Add(-maximumPressureAge)), now), "old")
	require.Nil(t, controller.Update(statesOf(20, time.Time{}), now), "unknown")
	require.Nil(t, controller.Update(nil, now), "no pool")
}

func TestNewControllerRefusesNoFlow(t *testing.T) {
	refusals, now := update(NewController(), 20, start, startupDelay)
	require.Nil(t, refusals)
	require.False(t, now.Before(start.Add(startupDelay)))
}

// Where all requests of a pool have the same priority, there is no lower one to refuse
// first. A fraction is refused only where most back ends shed.
func TestSinglePriorityIsTreatedAsHigh(t *testing.T) {
	controller := NewController()
	var refusals *Refusals
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(250 * time.Millisecond) {
		refusals = controller.Update([]PoolState{{Pool: "lending", Priorities: []Priority{0}, Pressure: Pressure{RequestsPerSlot: otherPrioritiesTarget - 0.5, SeenAt: now}}}, now)
	}
	require.Nil(t, refusals)
}

// For any pressure over time: a priority is not refused before lower ones, fractions are
// within bounds, the highest priority is never refused entirely, and below the idle pressure
// no flow is refused.
func TestFractionsAreOrderedByPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller, now := NewController(), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause")) * time.Millisecond)
			requestsPerSlot := rapid.Float64Range(0, 40).Draw(t, "waiting")
			priorities := []Priority{0, 1, 2, 7}[:rapid.IntRange(1, 4).Draw(t, "urgencies")]
			refusals := controller.Update([]PoolState{{Pool: "lending", Priorities: priorities, Pressure: Pressure{RequestsPerSlot: requestsPerSlot, SeenAt: now}}}, now)
			if requestsPerSlot < idlePressure {
				require.Nil(t, refusals)
			}
			last := 0.0
			for _, priority := range priorities {
				refused := fractionOf(refusals, priority)
				require.GreaterOrEqual(t, refused, last)
				require.LessOrEqual(t, refused, 1.0)
				last = refused
			}
			require.LessOrEqual(t, fractionOf(refusals, priorities[0]), 1-minimumAdmitted)
		}
	})
}

// The selection of flows is uniform: of many flows, whatever their hashes have in common, the
// fraction of the refusal is refused.
func TestFractionOfFlowsIsRefused(t *testing.T) {
	refusals := &Refusals{pools: map[string][]Refusal{"lending": {{Pool: "lending", Priority: 2, Fraction: 0.3}}}}
	for _, shift := range []int{0, 8, 32, 48} {
		refused := 0
		for flow := range uint64(20000) {
			if refusals.Match("lending", 2, flow<<shift) != nil {
				refused++
			}
		}
		require.InDelta(t, 0.3, float64(refused)/20000, 0.02)
	}
	require.Nil(t, refusals.Match("lending", 1, 1))
	require.Nil(t, refusals.Match("covers", 2, 1))
	require.Nil(t, (*Refusals)(nil).Match("lending", 2, 1))
}

func TestMatchDoesNotAllocate(t *testing.T) {
	refusals, _ := update(NewController(), 20, start, 5*time.Second)
	require.Zero(t, testing.AllocsPerRun(100, func() { refusals.Match("lending", 2, 7) }))
}
