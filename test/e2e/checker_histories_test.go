package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// builder makes up histories.
type builder struct {
	start time.Time
}

func newHistoryBuilder() builder { return builder{start: time.Now()} }

// timeAt is the time some seconds after the start.
func (story builder) timeAt(number float64) time.Time {
	return story.start.Add(time.Duration(number * float64(time.Second)))
}

// answeredOpening is a flow's opening that was answered soon.
func (story builder) answeredOpening(at float64, server string) attempt {
	return attempt{route: "lending", isOpening: true, at: story.timeAt(at), ended: story.timeAt(at + 0.1), server: server}
}

// laterRequest is a request on an open flow of lending/i-1.
func (story builder) laterRequest(result outcome, server string) attempt {
	return attempt{route: "lending", at: story.timeAt(20), ended: story.timeAt(20.1), result: result, previousServer: "lending/i-1", server: server}
}

func (story builder) build(attempts ...attempt) *history {
	return &history{
		attempts: attempts,
		pools:    map[string][]poolSpan{"lending": {{pool: "lending", span: span{from: story.start}}}},
		leaving:  map[string]time.Time{},
		dead:     map[string]time.Time{},
	}
}

// For each promise a made-up history that breaks it is caught, and one that is
// excused is not.
func TestCheckerDetectsEachViolation(t *testing.T) {
	story := newHistoryBuilder()
	second, opened, later, made := story.timeAt, story.answeredOpening, story.laterRequest, story.build
	require.Empty(t, made(opened(10, "lending/i-1"), later(outcomeAnswered, "lending/i-1"), later(outcomeDeadline, "")).check())
	require.Len(t, made(opened(1, "covers/i-1")).check(), 1, "another service")
	require.Len(t, made(later(outcomeBroken, "")).check(), 1, "reset")
	require.Len(t, made(later(outcomeAnswered, "lending/i-2")).check(), 1, "another back end")

	excused := made(later(outcomeBroken, ""))
	excused.dead["lending/i-1"] = second(19)
	require.Empty(t, excused.check(), "its back end had ended")

	drained := made(opened(14, "lending/i-1"))
	drained.leaving["lending/i-1"] = second(10)
	require.Len(t, drained.check(), 1, "drain")
	drained.attempts[0].at = second(13.5)
	require.Len(t, drained.check(), 1)
	drained.blackholes = []blackhole{{at: second(9.9), balancer: 2}}
	require.Len(t, drained.check(), 1, "another balancer's connections had just gone silent")
	drained.attempts[0].via = []int{2}
	require.Empty(t, drained.check(), "connections had just gone silent")
	drained.attempts[0].at = second(14.1)
	require.Len(t, drained.check(), 1, "connections had gone silent, but longer ago")
	drained.blackholes, drained.attempts[0].via = nil, nil
	drained.disturbances = []disturbance{{span: span{from: second(9), until: second(10.5)}, balancers: []int{2}}}
	require.Len(t, drained.check(), 1, "another balancer was down just before")
	drained.attempts[0].via = []int{1, 2}
	require.Empty(t, drained.check(), "its balancer was down just before")
	drained.disturbances[0].until = second(9.9)
	require.Len(t, drained.check(), 1, "its balancer had been in touch for long enough")
	drained.disturbances[0].balancers = nil
	require.Empty(t, drained.check(), "the store was down just before")

	restarted := made(opened(13.9, "lending/i-1"))
	restarted.leaving["lending/i-1"] = second(5)
	restarted.disturbances = []disturbance{{span: span{from: second(10), until: second(10)}, balancers: []int{2}}}
	restarted.attempts[0].via = []int{2}
	require.Empty(t, restarted.check(), "its balancer was started 3.9 s before")
	restarted.attempts[0].at = second(14)
	require.Len(t, restarted.check(), 1, "its balancer was started 4 s before")
	restarted.attempts[0].at, restarted.attempts[0].via = second(13.9), []int{1}
	require.Len(t, restarted.check(), 1, "another balancer was started")

	moved := made(opened(14, "lending/i-1"))
	moved.pools["lending"] = append(moved.pools["lending"], poolSpan{pool: "covers", span: span{from: second(10)}})
	moved.pools["lending"][0].until = second(10)
	require.Len(t, moved.check(), 1, "configuration")
	moved.blackholes = []blackhole{{at: second(9.9), balancer: 2}}
	require.Len(t, moved.check(), 1, "another balancer's connections had just gone silent")
	moved.attempts[0].via = []int{1, 2}
	require.Empty(t, moved.check(), "connections had just gone silent")
	moved.attempts[0].at = second(14.1)
	require.Len(t, moved.check(), 1, "connections had gone silent, but longer ago")

	held := later(outcomeAnswered, "lending/i-1")
	held.ended = second(21.5)
	require.Len(t, made(held).check(), 1, "held up")
	held.ended, held.via = second(26), []int{2}
	require.Len(t, made(held).check(), 1, "held up for long")

	refused := opened(10, "")
	refused.result = outcomeRefused
	require.Len(t, made(refused).check(), 1, "refusal")
	refused.port = 7
	excusedRefusal := made(refused)
	excusedRefusal.overloadedRoutes = map[string]bool{"lending": true}
	excusedRefusal.bursts = []span{{from: second(7), until: second(9)}}
	require.Empty(t, excusedRefusal.check(), "refused in a burst")
	excusedRefusal.openedPorts = map[uint16]bool{7: true}
	require.Len(t, excusedRefusal.check(), 1, "refused, but it reached a back end")
	excusedRefusal.openedPorts = nil
	excusedRefusal.bursts[0].until = second(7.9)
	require.Len(t, excusedRefusal.check(), 2, "refused after a burst: new flows in calm, and all are served as before")

	mourned := made(refused)
	mourned.dead["lending/i-9"] = second(8)
	require.Len(t, mourned.check(), 1, "refused after the planned end of a back end that had left")
	mourned.crashed = map[string]bool{"lending/i-9": true}
	require.Empty(t, mourned.check(), "refused after the crash of a back end")
	mourned.dead["lending/i-9"] = second(3.9)
	require.Len(t, mourned.check(), 1, "refused long after a crash")
	mourned.dead["lending/i-9"] = second(10.2)
	require.Len(t, mourned.check(), 1, "refused before a crash")

	shed := later(outcomeShed, "lending/i-1")
	shed.body = "page"
	require.Empty(t, made(shed).check())
	ran := made(shed)
	ran.runs = map[string]int{"page": 1}
	require.Len(t, ran.check(), 1, "shed, but it ran")
	ran.runs["page"] = 0
	ran.overloadedRoutes = map[string]bool{"lending": true}
	require.Len(t, ran.check(), 1, "shed with no burst near")
	ran.bursts = []span{{from: second(17), until: second(19)}}
	require.Empty(t, ran.check(), "shed in a burst")
	require.Len(t, made(later(outcomeBroken, "")).check(), 1)
	ran.attempts[0] = later(outcomeBroken, "")
	require.Len(t, ran.check(), 1, "an open flow was reset in a burst")

	late := opened(10, "")
	late.result, late.ended = outcomeDeadline, second(11.4)
	unserved := made(late)
	unserved.overloadedRoutes = map[string]bool{"lending": true}
	require.Len(t, unserved.check(), 1, "not opened with no burst near")
	unserved.attempts[0].result = outcomeRefused
	require.Len(t, unserved.check(), 2, "refused with no burst near")

	answered := later(outcomeAnswered, "lending/i-1")
	answered.body = "page"
	twice := made(answered)
	twice.runs = map[string]int{"page": 2}
	require.Len(t, twice.check(), 1, "ran twice")
	twice.runs["page"] = 0
	require.Len(t, twice.check(), 1, "answered without a run")
	twice.runs["page"] = 1
	require.Empty(t, twice.check())

	told := made()
	told.violations = []string{"settings were not taken"}
	require.Len(t, told.check(), 1)
}

// What was disturbed is excused by each rule on its own, no more than that.
func TestCheckerExcusesEachDisturbance(t *testing.T) {
	story := newHistoryBuilder()
	second := story.timeAt
	ofBalancer := []disturbance{{span: span{from: second(7), until: second(8)}, balancers: []int{2}}}
	refused := story.answeredOpening(10, "")
	refused.result, refused.port, refused.via = outcomeRefused, 7, []int{2}
	refusal := story.build(refused)
	require.Equal(t, []string{"a new flow was refused in calm"}, refusal.violationsOf(refused))

	moved := story.build(story.answeredOpening(14, "lending/i-1"))
	moved.pools["lending"] = []poolSpan{{pool: "lending", span: span{from: second(0), until: second(10)}}, {pool: "covers", span: span{from: second(10)}}}
	moved.attempts[0].via = []int{2}
	require.Len(t, moved.check(), 1)
	moved.disturbances = []disturbance{{span: span{from: second(11), until: second(12)}, balancers: []int{2}}}
	require.Empty(t, moved.check(), "its balancer was disturbed since it moved")
	moved.attempts[0].via = []int{1}
	require.Len(t, moved.check(), 1, "another one was")

	held := story.laterRequest(outcomeAnswered, "lending/i-1")
	held.ended, held.via = second(26), []int{2}
	slow := story.build(held)
	slow.disturbances = []disturbance{{span: span{from: second(15), until: second(16.1)}, balancers: []int{2}}}
	require.Empty(t, slow.check(), "held up, but its balancer was disturbed 3.9 s before")
	slow.disturbances[0].until = second(16)
	require.Len(t, slow.check(), 1, "held up, its balancer in touch for 4 s")
	slow.dead["lending/i-1"] = second(25)
	require.Empty(t, slow.check(), "its back end ended meanwhile")
	slow.dead["lending/i-1"] = second(27)
	require.Len(t, slow.check(), 1, "its back end ended later")

	rules := map[string]func(*history) string{
		"refusal":   func(history *history) string { return history.checkRefusal(refused) },
		"untouched": func(history *history) string { return history.checkRefusedUndelivered(refused) },
		"burst":     func(history *history) string { return history.checkBurstRecovery(refused) },
	}
	for name, rule := range rules {
		judged := story.build(refused)
		judged.openedPorts = map[uint16]bool{7: true}
		if name == "burst" {
			judged.overloadedRoutes = map[string]bool{"lending": true}
		}
		require.NotEmpty(t, rule(judged), name)
		judged.disturbances = ofBalancer
		require.Empty(t, rule(judged), "%s: its balancer was disturbed", name)
		judged.disturbances = nil
		judged.dead["lending/i-9"] = second(8)
		require.NotEmpty(t, rule(judged), "%s: a back end that had left ended", name)
		judged.crashed = map[string]bool{"lending/i-9": true}
		require.Empty(t, rule(judged), "%s: a back end crashed", name)
	}

	crowded := story.build(refused)
	crowded.overloadedRoutes = map[string]bool{"urgent": true}
	crowded.bursts = []span{{from: second(9), until: second(11)}}
	require.Len(t, crowded.check(), 1, "refused in a burst on another route")
	crowded.overloadedRoutes["lending"] = true
	require.Empty(t, crowded.check(), "refused in a burst on its route")
}
