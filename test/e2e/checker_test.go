package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The bounds that the checker judges by.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// calmTime is for how long nothing must have disturbed the store or the
	// balancers before a bound in time is judged.
	calmTime = 4 * time.Second
	// heldBound is how long a request may take in calm.
	heldBound = time.Second
)

// outcome is how a flow's opening or a request on it ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeBroken
	outcomeDeadline
)

// attempt is one opening with its first request, or a later request.
type attempt struct {
	route  string
	opens  bool
	at     time.Time
	ended  time.Time
	result outcome
	// server is "pool/id" of who answered, earlier that of the flow before.
	server, earlier string
}

// history is all that the checker judges.
type history struct {
	attempts []attempt
	// allowed are the pools that a route ever had, with the time from which on
	// a pool was the only one, and until when.
	pools map[string][]poolSpan
	// leaving is when a back end was said to be leaving or gone; dead when it
	// ended.
	leaving, dead map[string]time.Time
	// troubles are the spans of faults of the store or of balancers.
	troubles []span
}

type span struct {
	from, until time.Time
}

type poolSpan struct {
	pool string
	span
}

// calm tells whether nothing disturbed the time from calmTime before.
func (history *history) calm(from, until time.Time) bool {
	for _, trouble := range history.troubles {
		if trouble.from.Before(until) && trouble.until.Add(calmTime).After(from) {
			return false
		}
	}
	return true
}

// check returns the promises that were broken, in words.
func (history *history) check() []string {
	var broken []string
	rules := []func(attempt) string{
		history.checkPool, history.checkFlow, history.checkDrain, history.checkConfiguration, history.checkRefusal, history.checkHeld,
	}
	for _, judged := range history.attempts {
		for _, rule := range rules {
			if complaint := rule(judged); complaint != "" {
				broken = append(broken, fmt.Sprintf("%s: %+v", complaint, judged))
			}
		}
	}
	return broken
}

func poolOf(server string) string {
	pool, _, _ := strings.Cut(server, "/")
	return pool
}

func (history *history) checkPool(attempt attempt) string {
	if attempt.result != outcomeAnswered {
		return ""
	}
	for _, allowed := range history.pools[attempt.route] {
		if allowed.pool == poolOf(attempt.server) {
			return ""
		}
	}
	return "answered by a pool that the route never had"
}

// checkFlow: an open flow is broken, or answered by another back end, only if
// its back end has ended.
func (history *history) checkFlow(attempt attempt) string {
	if attempt.opens {
		return ""
	}
	died, dead := history.dead[attempt.earlier]
	if dead && died.Before(attempt.ended) {
		return ""
	}
	switch {
	case attempt.result == outcomeBroken:
		return "an open flow was reset while its back end lived"
	case attempt.result == outcomeAnswered && attempt.server != attempt.earlier:
		return "an open flow was answered by another back end"
	}
	return ""
}

func (history *history) checkDrain(attempt attempt) string {
	left, leaving := history.leaving[attempt.server]
	late := leaving && attempt.at.After(left.Add(drainBound))
	if attempt.opens && attempt.result == outcomeAnswered && late && history.calm(left, attempt.ended) {
		return "a new flow went to a leaving back end"
	}
	return ""
}

func (history *history) checkConfiguration(attempt attempt) string {
	if !attempt.opens || attempt.result != outcomeAnswered {
		return ""
	}
	for _, allowed := range history.pools[attempt.route] {
		settled := attempt.at.After(allowed.from.Add(configBound)) && (allowed.until.IsZero() || attempt.ended.Before(allowed.until))
		if settled && allowed.pool != poolOf(attempt.server) && history.calm(allowed.from, attempt.ended) {
			return "a new flow followed an older configuration"
		}
	}
	return ""
}

func (history *history) checkRefusal(attempt attempt) string {
	if attempt.opens && attempt.result == outcomeRefused && len(history.dead) == 0 && history.calm(attempt.at, attempt.ended) {
		return "a new flow was refused in calm"
	}
	return ""
}

// checkHeld: in calm, planned stops and all, a request on an open flow is
// answered soon.
func (history *history) checkHeld(attempt attempt) string {
	if attempt.opens || attempt.ended.Sub(attempt.at) < heldBound || !history.calm(attempt.at, attempt.ended) {
		return ""
	}
	if died, dead := history.dead[attempt.earlier]; dead && died.Before(attempt.ended) {
		return ""
	}
	return "a request was held up in calm"
}

// For each promise a made-up history that breaks it is caught, and one that is
// excused is not.
func TestCheckerCatchesEachBreach(t *testing.T) {
	start := time.Now()
	second := func(number float64) time.Time { return start.Add(time.Duration(number * float64(time.Second))) }
	opened := func(at float64, server string) attempt {
		return attempt{route: "lending", opens: true, at: second(at), ended: second(at + 0.1), server: server}
	}
	later := func(result outcome, server string) attempt {
		return attempt{route: "lending", at: second(20), ended: second(20.1), result: result, earlier: "lending/i-1", server: server}
	}
	made := func(attempts ...attempt) *history {
		return &history{
			attempts: attempts,
			pools:    map[string][]poolSpan{"lending": {{pool: "lending", span: span{from: start}}}},
			leaving:  map[string]time.Time{},
			dead:     map[string]time.Time{},
		}
	}
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
	drained.troubles = []span{{from: second(9), until: second(9.5)}}
	require.Empty(t, drained.check(), "the store was down just before")

	moved := made(opened(14, "lending/i-1"))
	moved.pools["lending"] = append(moved.pools["lending"], poolSpan{pool: "covers", span: span{from: second(10)}})
	moved.pools["lending"][0].until = second(10)
	require.Len(t, moved.check(), 1, "configuration")

	held := later(outcomeAnswered, "lending/i-1")
	held.ended = second(21.5)
	require.Len(t, made(held).check(), 1, "held up")

	refused := opened(10, "")
	refused.result = outcomeRefused
	require.Len(t, made(refused).check(), 1, "refusal")
}
