package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// demandOf is a demand on one pool with two urgencies, seen at a time.
func demandOf(waiting float64, seenAt time.Time) []PoolState {
	return []PoolState{{Pool: "lending", Priorities: []Priority{1, 2}, Pressure: Pressure{RequestsPerSlot: waiting, SeenAt: seenAt}}}
}

// press steps a gate with a constant pressure for a time and returns the last levels.
func press(gate *Controller, waiting float64, from time.Time, length time.Duration) (*Refusals, time.Time) {
	var levels *Refusals
	until := from.Add(length)
	for ; from.Before(until); from = from.Add(250 * time.Millisecond) {
		levels = gate.Update(demandOf(waiting, from), from)
	}
	return levels, from
}

func refusedOf(levels *Refusals, urgency Priority) float64 {
	for _, level := range levels.All() {
		if level.Priority == urgency {
			return level.Fraction
		}
	}
	return 0
}

func TestTheLeastUrgentGiveWayFirst(t *testing.T) {
	gate := NewController()
	levels, now := press(gate, 5, start, 5*time.Second)
	require.Equal(t, 1.0, refusedOf(levels, 2))
	require.Less(t, refusedOf(levels, 1), 0.1, "the pool is short of room, not at its end")
	levels, _ = press(gate, 20, now, 5*time.Second)
	require.Equal(t, 1-minimumAdmitted, refusedOf(levels, 1))
}

func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	gate := NewController()
	levels, now := press(gate, lowestPriorityTarget, start, 10*time.Second)
	require.Nil(t, levels)
	_, now = press(gate, 20, now, 5*time.Second)
	levels, _ = press(gate, idlePressure-0.1, now, 250*time.Millisecond)
	require.Nil(t, levels, "at once, whatever was before")
}

func TestUnknownOrOldPressureRefusesNobody(t *testing.T) {
	gate := NewController()
	levels, now := press(gate, 20, start, 5*time.Second)
	require.NotNil(t, levels)
	require.Nil(t, gate.Update(demandOf(20, now.Add(-maximumPressureAge)), now), "old")
	require.Nil(t, gate.Update(demandOf(20, time.Time{}), now), "unknown")
	require.Nil(t, gate.Update(nil, now), "no pool")
}

func TestGateThatHasJustStartedRefusesNobody(t *testing.T) {
	levels, now := press(NewController(), 20, start, startupDelay)
	require.Nil(t, levels)
	require.False(t, now.Before(start.Add(startupDelay)))
}

// A pool whose requests are all of one urgency has nobody to give way; only where most
// back ends shed is a part refused.
func TestOneUrgencyGivesWayToNobody(t *testing.T) {
	gate := NewController()
	var levels *Refusals
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(250 * time.Millisecond) {
		levels = gate.Update([]PoolState{{Pool: "lending", Priorities: []Priority{0}, Pressure: Pressure{RequestsPerSlot: otherPrioritiesTarget - 0.5, SeenAt: now}}}, now)
	}
	require.Nil(t, levels)
}

// Whatever the pressure does: what is more urgent is refused no sooner, parts stay
// within bounds, the most urgent never all, and below the free pressure nobody.
func TestLevelsStayInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate, now := NewController(), start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause")) * time.Millisecond)
			waiting := rapid.Float64Range(0, 40).Draw(t, "waiting")
			urgencies := []Priority{0, 1, 2, 7}[:rapid.IntRange(1, 4).Draw(t, "urgencies")]
			levels := gate.Update([]PoolState{{Pool: "lending", Priorities: urgencies, Pressure: Pressure{RequestsPerSlot: waiting, SeenAt: now}}}, now)
			if waiting < idlePressure {
				require.Nil(t, levels)
			}
			last := 0.0
			for _, urgency := range urgencies {
				refused := refusedOf(levels, urgency)
				require.GreaterOrEqual(t, refused, last)
				require.LessOrEqual(t, refused, 1.0)
				last = refused
			}
			require.LessOrEqual(t, refusedOf(levels, urgencies[0]), 1-minimumAdmitted)
		}
	})
}

// The draw is fair: of many flows, whatever their hashes have in common, the part that is
// refused is that of the level.
func TestPartOfFlowsIsRefused(t *testing.T) {
	levels := &Refusals{pools: map[string][]Refusal{"lending": {{Pool: "lending", Priority: 2, Fraction: 0.3}}}}
	for _, shift := range []int{0, 8, 32, 48} {
		refused := 0
		for flow := range uint64(20000) {
			if levels.Match("lending", 2, flow<<shift) != nil {
				refused++
			}
		}
		require.InDelta(t, 0.3, float64(refused)/20000, 0.02)
	}
	require.Nil(t, levels.Match("lending", 1, 1))
	require.Nil(t, levels.Match("covers", 2, 1))
	require.Nil(t, (*Refusals)(nil).Match("lending", 2, 1))
}

func TestRefusingAllocatesNothing(t *testing.T) {
	levels, _ := press(NewController(), 20, start, 5*time.Second)
	require.Zero(t, testing.AllocsPerRun(100, func() { levels.Match("lending", 2, 7) }))
}
