package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// builder builds artificial histories whose times are relative to start.
type builder struct {
	start time.Time
}

func newHistoryBuilder() builder { return builder{start: time.Now()} }

// timeAt returns the time some seconds after the start.
func (builder builder) timeAt(seconds float64) time.Time {
	return builder.start.Add(time.Duration(seconds * float64(time.Second)))
}

// answeredOpening returns the opening of a flow that a back end answered after 0.1 s.
func (builder builder) answeredOpening(at float64, server string) attempt {
	return attempt{route: "lending", isOpening: true, at: builder.timeAt(at), ended: builder.timeAt(at + 0.1), server: server}
}

// laterRequest returns a request on an open flow of back end lending/i-1.
func (builder builder) laterRequest(result outcome, server string) attempt {
	return attempt{route: "lending", at: builder.timeAt(20), ended: builder.timeAt(20.1), result: result, previousServer: "lending/i-1", server: server}
}

func (builder builder) build(attempts ...attempt) *history {
	return &history{
		attempts: attempts,
		pools:    map[string][]poolSpan{"lending": {{pool: "lending", span: span{from: builder.start}}}},
		leaving:  map[string]time.Time{},
		dead:     map[string]time.Time{},
	}
}

// For each guarantee, the checker must report an artificial history that violates it, and must
// not report one in which the violation is excused.
func TestCheckerDetectsEachViolation(t *testing.T) {
	builder := newHistoryBuilder()
	timeAt, answeredOpening, laterRequest, build := builder.timeAt, builder.answeredOpening, builder.laterRequest, builder.build
	require.Empty(t, build(answeredOpening(10, "lending/i-1"), laterRequest(outcomeAnswered, "lending/i-1"), laterRequest(outcomeDeadline, "")).check())
	require.Len(t, build(answeredOpening(1, "covers/i-1")).check(), 1, "another service")
	require.Len(t, build(laterRequest(outcomeBroken, "")).check(), 1, "reset")
	require.Len(t, build(laterRequest(outcomeAnswered, "lending/i-2")).check(), 1, "another back end")

	excused := build(laterRequest(outcomeBroken, ""))
	excused.dead["lending/i-1"] = timeAt(19)
	require.Empty(t, excused.check(), "its back end had stopped")

	stalled := build(answeredOpening(14.6, "lending/i-1"))
	stalled.leaving["lending/i-1"] = timeAt(11)
	stalled.stalls = []span{{from: timeAt(10.5), until: timeAt(11.5)}, {from: timeAt(14), until: timeAt(14.2)}}
	require.Empty(t, stalled.check(), "the store did not run for 0.7 s of the 3.6 s")
	stalled.stalls[0].until = timeAt(11.3)
	require.Len(t, stalled.check(), 1, "it ran for 3.1 s")
	stalled.stalls = []span{{from: timeAt(8), until: timeAt(11)}, {from: timeAt(14.6), until: timeAt(18)}}
	require.Len(t, stalled.check(), 1, "it ran all the time between")
	stalled = build(laterRequest(outcomeAnswered, "lending/i-1"))
	stalled.attempts[0].ended = timeAt(21.5)
	stalled.stalls = []span{{from: timeAt(19), until: timeAt(20.6)}}
	require.Empty(t, stalled.check(), "its client did not run for 0.6 s of the 1.5 s")
	stalled.stalls[0].until = timeAt(20.4)
	require.Len(t, stalled.check(), 1, "1.1 s without the stall")
	stalled = build(answeredOpening(13.5, "covers/i-1"))
	stalled.pools["lending"] = []poolSpan{{pool: "covers", span: span{from: timeAt(1), until: timeAt(10)}}, {pool: "lending", span: span{from: timeAt(10)}}}
	require.Len(t, stalled.check(), 1, "older configuration")
	stalled.stalls = []span{{from: timeAt(11), until: timeAt(11.6)}}
	require.Empty(t, stalled.check(), "the store ran for 2.9 s since the change")

	stalled = build(laterRequest(outcomeBroken, ""))
	stalled.attempts[0].ended = timeAt(20.95)
	stalled.stalls = []span{{from: timeAt(20.3), until: timeAt(20.9)}}
	require.Empty(t, stalled.check(), "its back end did not run for 0.6 s")
	stalled.stalls[0].until = timeAt(20.7)
	require.Len(t, stalled.check(), 1, "reset though it did not run for 0.4 s only")
	stalled.stalls = []span{{from: timeAt(18), until: timeAt(19.9)}}
	require.Len(t, stalled.check(), 1, "reset though it ran during the request")

	cut := build(laterRequest(outcomeBroken, ""))
	cut.cuts = map[string][]span{"lending/i-1": {{from: timeAt(13), until: timeAt(17)}}}
	require.Empty(t, cut.check(), "its back end was cut off until 3 s before")
	cut.cuts["lending/i-1"][0].until = timeAt(15.9)
	require.Len(t, cut.check(), 1, "reset 4.1 s after the cut")
	cut.cuts = map[string][]span{"lending/i-2": {{from: timeAt(13), until: timeAt(17)}}}
	require.Len(t, cut.check(), 1, "another back end was cut off")
	cut = build(laterRequest(outcomeAnswered, "lending/i-1"))
	cut.attempts[0].ended = timeAt(21.5)
	require.Len(t, cut.check(), 1, "delayed")
	cut.cuts = map[string][]span{"lending/i-1": {{from: timeAt(18), until: timeAt(20.2)}}}
	require.Empty(t, cut.check(), "sent while its back end was cut off")
	cut.cuts["lending/i-1"][0].until = timeAt(19.9)
	require.Len(t, cut.check(), 1, "sent after the cut")

	drained := build(answeredOpening(14, "lending/i-1"))
	drained.leaving["lending/i-1"] = timeAt(10)
	require.Len(t, drained.check(), 1, "drain")
	drained.attempts[0].at = timeAt(13.5)
	require.Len(t, drained.check(), 1)
	drained.blackholes = []blackhole{{at: timeAt(9.9), balancer: 2}}
	require.Len(t, drained.check(), 1, "another balancer's connections had just stopped carrying data")
	drained.attempts[0].via = []int{2}
	require.Empty(t, drained.check(), "connections had just stopped carrying data")
	drained.attempts[0].at = timeAt(14.1)
	require.Len(t, drained.check(), 1, "connections had stopped carrying data, but longer ago")
	drained.blackholes, drained.attempts[0].via = nil, nil
	drained.disturbances = []disturbance{{span: span{from: timeAt(9), until: timeAt(10.5)}, balancers: []int{2}}}
	require.Len(t, drained.check(), 1, "another balancer was down just before")
	drained.attempts[0].via = []int{1, 2}
	require.Empty(t, drained.check(), "its balancer was down just before")
	drained.disturbances[0].until = timeAt(9.9)
	require.Len(t, drained.check(), 1, "its balancer had been undisturbed for long enough")
	drained.disturbances[0].balancers = nil
	require.Empty(t, drained.check(), "the store was down just before")

	restarted := build(answeredOpening(13.9, "lending/i-1"))
	restarted.leaving["lending/i-1"] = timeAt(5)
	restarted.disturbances = []disturbance{{span: span{from: timeAt(10), until: timeAt(10)}, balancers: []int{2}}}
	restarted.attempts[0].via = []int{2}
	require.Empty(t, restarted.check(), "its balancer was started 3.9 s before")
	restarted.attempts[0].at = timeAt(14)
	require.Len(t, restarted.check(), 1, "its balancer was started 4 s before")
	restarted.attempts[0].at, restarted.attempts[0].via = timeAt(13.9), []int{1}
	require.Len(t, restarted.check(), 1, "another balancer was started")

	moved := build(answeredOpening(14, "lending/i-1"))
	moved.pools["lending"] = append(moved.pools["lending"], poolSpan{pool: "covers", span: span{from: timeAt(10)}})
	moved.pools["lending"][0].until = timeAt(10)
	require.Len(t, moved.check(), 1, "configuration")
	moved.blackholes = []blackhole{{at: timeAt(9.9), balancer: 2}}
	require.Len(t, moved.check(), 1, "another balancer's connections had just stopped carrying data")
	moved.attempts[0].via = []int{1, 2}
	require.Empty(t, moved.check(), "connections had just stopped carrying data")
	moved.attempts[0].at = timeAt(14.1)
	require.Len(t, moved.check(), 1, "connections had stopped carrying data, but longer ago")

	delayed := laterRequest(outcomeAnswered, "lending/i-1")
	delayed.ended = timeAt(21.5)
	require.Len(t, build(delayed).check(), 1, "delayed request")
	delayed.ended, delayed.via = timeAt(26), []int{2}
	require.Len(t, build(delayed).check(), 1, "delayed for long")

	refused := answeredOpening(10, "")
	refused.result = outcomeRefused
	require.Len(t, build(refused).check(), 1, "refusal")
	refused.id = echonet.FlowID{Port: 7}
	excusedRefusal := build(refused)
	excusedRefusal.overloadedRoutes = map[string]bool{"lending": true}
	excusedRefusal.bursts = []span{{from: timeAt(7), until: timeAt(9)}}
	require.Empty(t, excusedRefusal.check(), "refused in a burst")
	excusedRefusal.opened = map[echonet.FlowID]bool{{Port: 7}: true}
	require.Len(t, excusedRefusal.check(), 1, "refused, but it reached a back end")
	excusedRefusal.opened = nil
	excusedRefusal.bursts[0].until = timeAt(7.9)
	require.Len(t, excusedRefusal.check(), 2, "refused after a burst: violates checkRefusal and checkBurstRecovery")

	afterCrash := build(refused)
	afterCrash.dead["lending/i-9"] = timeAt(8)
	require.Len(t, afterCrash.check(), 1, "refused after the planned stop of a back end that had left")
	afterCrash.crashed = map[string]bool{"lending/i-9": true}
	require.Empty(t, afterCrash.check(), "refused after the crash of a back end")
	afterCrash.dead["lending/i-9"] = timeAt(3.9)
	require.Len(t, afterCrash.check(), 1, "refused long after a crash")
	afterCrash.dead["lending/i-9"] = timeAt(10.2)
	require.Len(t, afterCrash.check(), 1, "refused before a crash")

	shed := laterRequest(outcomeShed, "lending/i-1")
	shed.body = "page"
	require.Empty(t, build(shed).check())
	executed := build(shed)
	executed.runs = map[string]int{"page": 1}
	require.Len(t, executed.check(), 1, "shed, but it ran")
	executed.runs["page"] = 0
	executed.overloadedRoutes = map[string]bool{"lending": true}
	require.Len(t, executed.check(), 1, "shed with no burst near")
	executed.bursts = []span{{from: timeAt(17), until: timeAt(19)}}
	require.Empty(t, executed.check(), "shed in a burst")
	require.Len(t, build(laterRequest(outcomeBroken, "")).check(), 1)
	executed.attempts[0] = laterRequest(outcomeBroken, "")
	require.Len(t, executed.check(), 1, "an open flow was reset in a burst")

	late := answeredOpening(10, "")
	late.result, late.ended = outcomeDeadline, timeAt(11.4)
	unserved := build(late)
	unserved.overloadedRoutes = map[string]bool{"lending": true}
	require.Len(t, unserved.check(), 1, "not opened with no burst near")
	unserved.attempts[0].result = outcomeRefused
	require.Len(t, unserved.check(), 2, "refused with no burst near")

	answered := laterRequest(outcomeAnswered, "lending/i-1")
	answered.body = "page"
	twice := build(answered)
	twice.runs = map[string]int{"page": 2}
	require.Len(t, twice.check(), 1, "ran twice")
	twice.runs["page"] = 0
	require.Len(t, twice.check(), 1, "answered without a run")
	twice.runs["page"] = 1
	require.Empty(t, twice.check())

	recorded := build()
	recorded.violations = []string{"settings were not applied"}
	require.Len(t, recorded.check(), 1)
}

// Each rule must by itself excuse what a disturbance affected, and nothing else.
func TestCheckerExcusesEachDisturbance(t *testing.T) {
	builder := newHistoryBuilder()
	timeAt := builder.timeAt
	balancerDisturbance := []disturbance{{span: span{from: timeAt(7), until: timeAt(8)}, balancers: []int{2}}}
	refused := builder.answeredOpening(10, "")
	refused.result, refused.id, refused.via = outcomeRefused, echonet.FlowID{Port: 7}, []int{2}
	refusal := builder.build(refused)
	require.Equal(t, []string{"a new flow was refused without a disturbance"}, refusal.violationsOf(refused))

	moved := builder.build(builder.answeredOpening(14, "lending/i-1"))
	moved.pools["lending"] = []poolSpan{{pool: "lending", span: span{from: timeAt(0), until: timeAt(10)}}, {pool: "covers", span: span{from: timeAt(10)}}}
	moved.attempts[0].via = []int{2}
	require.Len(t, moved.check(), 1)
	moved.disturbances = []disturbance{{span: span{from: timeAt(11), until: timeAt(12)}, balancers: []int{2}}}
	require.Empty(t, moved.check(), "its balancer was disturbed since it moved")
	moved.attempts[0].via = []int{1}
	require.Len(t, moved.check(), 1, "another balancer was disturbed")

	delayed := builder.laterRequest(outcomeAnswered, "lending/i-1")
	delayed.ended, delayed.via = timeAt(26), []int{2}
	delayedHistory := builder.build(delayed)
	delayedHistory.disturbances = []disturbance{{span: span{from: timeAt(15), until: timeAt(16.1)}, balancers: []int{2}}}
	require.Empty(t, delayedHistory.check(), "delayed, but its balancer was disturbed 3.9 s before")
	delayedHistory.disturbances[0].until = timeAt(16)
	require.Len(t, delayedHistory.check(), 1, "delayed, its balancer undisturbed for 4 s")
	delayedHistory.dead["lending/i-1"] = timeAt(25)
	require.Empty(t, delayedHistory.check(), "its back end stopped meanwhile")
	delayedHistory.dead["lending/i-1"] = timeAt(27)
	require.Len(t, delayedHistory.check(), 1, "its back end stopped later")

	rules := map[string]func(*history) string{
		"refusal":   func(history *history) string { return history.checkRefusal(refused) },
		"untouched": func(history *history) string { return history.checkRefusedUndelivered(refused) },
		"burst":     func(history *history) string { return history.checkBurstRecovery(refused) },
	}
	for name, rule := range rules {
		tested := builder.build(refused)
		tested.opened = map[echonet.FlowID]bool{{Port: 7}: true}
		if name == "burst" {
			tested.overloadedRoutes = map[string]bool{"lending": true}
		}
		require.NotEmpty(t, rule(tested), name)
		tested.disturbances = balancerDisturbance
		require.Empty(t, rule(tested), "%s: its balancer was disturbed", name)
		tested.disturbances = nil
		tested.dead["lending/i-9"] = timeAt(8)
		require.NotEmpty(t, rule(tested), "%s: a back end that had left stopped", name)
		tested.crashed = map[string]bool{"lending/i-9": true}
		require.Empty(t, rule(tested), "%s: a back end crashed", name)
	}

	overloaded := builder.build(refused)
	overloaded.overloadedRoutes = map[string]bool{"urgent": true}
	overloaded.bursts = []span{{from: timeAt(9), until: timeAt(11)}}
	require.Len(t, overloaded.check(), 1, "refused in a burst on another route")
	overloaded.overloadedRoutes["lending"] = true
	require.Empty(t, overloaded.check(), "refused in a burst on its route")
}
