package e2e

import (
	"fmt"
	"slices"
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
	// silenceSlack is how much later news may come where connections have just gone
	// silent, which only time shows: new ones work, so it excuses nothing else.
	silenceSlack = time.Second
	// burstBound is after how long all are served as before a burst.
	burstBound = 2 * time.Second
	// deathBound is for how long the death of a back end may cost new flows.
	deathBound = 6 * time.Second
)

// outcome is how a flow's opening or a request on it ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeBroken
	outcomeDeadline
	// outcomeShed: the back end said that it has not run the request.
	outcomeShed
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
	// port is the client's port of the flow, flow its name in the logs, body the
	// request's bytes.
	port uint16
	flow string
	body string
	// via are the balancers that its packets were sent to, by their places.
	via []int
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
	// crashed are the back ends that ended without having left.
	crashed map[string]bool
	// troubles are the spans of faults of the store or of balancers.
	troubles []trouble
	// silences are when open connections of balancers went silent.
	silences []silence
	// bursts are when more was asked of some routes than their back ends can do.
	bursts  []span
	crowded map[string]bool
	// runs tells how often each request has run, took of which clients' ports a
	// back end took first packets.
	runs map[string]int
	took map[uint16]bool
	// began is what times are told from.
	began time.Time
	// complaints are what was found broken while the soak ran.
	complaints []string
}

// trouble is a fault of balancers, or of the store if none are named.
type trouble struct {
	span
	places []int
}

// silence is when the open connections to the store of a balancer, or to it of the
// others, went silent.
type silence struct {
	at    time.Time
	place int
}

type span struct {
	from, until time.Time
}

type poolSpan struct {
	pool string
	span
}

// concerns tells whether a trouble struck the store or one of some balancers.
func (struck trouble) concerns(places []int) bool {
	return len(struck.places) == 0 || slices.ContainsFunc(struck.places, func(place int) bool { return slices.Contains(places, place) })
}

// calm tells whether the store and some balancers were in touch from one time
// until another: nothing disturbed them then or in calmTime before.
func (history *history) calm(from, until time.Time, places []int) bool {
	for _, trouble := range history.troubles {
		if trouble.concerns(places) && trouble.from.Before(until) && trouble.until.Add(calmTime).After(from) {
			return false
		}
	}
	return true
}

// slack is how much later news may come at an attempt: that via the balancer whose
// connections have gone silent.
func (history *history) slack(attempt attempt) time.Duration {
	silent := func(silence silence) bool {
		return slices.Contains(attempt.via, silence.place) && silence.at.Before(attempt.at) && attempt.at.Sub(silence.at) < calmTime+silenceSlack
	}
	if slices.ContainsFunc(history.silences, silent) {
		return silenceSlack
	}
	return 0
}

// crowd tells whether an attempt falls into a burst on its route, or into what a
// burst may cost after it.
func (history *history) crowd(attempt attempt) bool {
	return history.crowded[attempt.route] && slices.ContainsFunc(history.bursts, func(burst span) bool {
		return attempt.ended.After(burst.from) && attempt.at.Before(burst.until.Add(burstBound))
	})
}

// bereft tells whether a back end crashed a little before an attempt or during it.
// The planned end of one that had left excuses nothing.
func (history *history) bereft(attempt attempt) bool {
	for server, died := range history.dead {
		if history.crashed[server] && died.Before(attempt.ended) && died.Add(deathBound).After(attempt.at) {
			return true
		}
	}
	return false
}

// check returns the promises that were broken, in words.
func (history *history) check() []string {
	broken := slices.Clone(history.complaints)
	for _, judged := range history.attempts {
		for _, complaint := range history.judge(judged) {
			broken = append(broken, fmt.Sprintf("%s: %s", complaint, history.tell(judged)))
		}
	}
	return broken
}

// tell tells an attempt for a reader, with the time since its back end began to leave.
func (history *history) tell(told attempt) string {
	text := fmt.Sprintf("route %s, opens %t, at %.2f s, took %s, %s, by %q after %q, flow %s, via balancers %v", told.route, told.opens,
		told.at.Sub(history.began).Seconds(), told.ended.Sub(told.at), outcomeNames[told.result], told.server, told.earlier, told.flow, told.via)
	if left, leaving := history.leaving[told.server]; leaving {
		text += fmt.Sprintf(", %.2f s after it began to leave", told.at.Sub(left).Seconds())
	}
	return text
}

// judge returns the promises that were broken in one attempt.
func (history *history) judge(judged attempt) []string {
	var broken []string
	rules := []func(attempt) string{
		history.checkPool, history.checkFlow, history.checkDrain, history.checkConfiguration, history.checkRefusal, history.checkHeld,
		history.checkUntouched, history.checkOnce, history.checkBurst,
	}
	for _, rule := range rules {
		if complaint := rule(judged); complaint != "" {
			broken = append(broken, complaint)
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

// checkDrain: the store, when a back end began to leave, and who took a new flow were
// in touch, so that the flow goes elsewhere.
func (history *history) checkDrain(attempt attempt) string {
	left, leaving := history.leaving[attempt.server]
	late := leaving && attempt.at.After(left.Add(drainBound+history.slack(attempt)))
	if attempt.opens && attempt.result == outcomeAnswered && late && history.calm(left, left, nil) && history.calm(attempt.at, attempt.ended, attempt.via) {
		return "a new flow went to a leaving back end"
	}
	return ""
}

func (history *history) checkConfiguration(attempt attempt) string {
	if !attempt.opens || attempt.result != outcomeAnswered {
		return ""
	}
	for _, allowed := range history.pools[attempt.route] {
		settled := attempt.at.After(allowed.from.Add(configBound+history.slack(attempt))) && (allowed.until.IsZero() || attempt.ended.Before(allowed.until))
		if settled && allowed.pool != poolOf(attempt.server) && history.calm(attempt.at, attempt.ended, attempt.via) {
			return "a new flow followed an older configuration"
		}
	}
	return ""
}

// checkRefusal: in calm no flow is refused, but where a burst crowds its route.
func (history *history) checkRefusal(attempt attempt) string {
	if attempt.opens && attempt.result == outcomeRefused && !history.crowd(attempt) && !history.bereft(attempt) &&
		history.calm(attempt.at, attempt.ended, attempt.via) {
		return "a new flow was refused in calm"
	}
	return ""
}

// checkUntouched: a first packet that balancers in touch refused has reached no back
// end.
func (history *history) checkUntouched(attempt attempt) string {
	if attempt.opens && attempt.result == outcomeRefused && history.took[attempt.port] && !history.bereft(attempt) &&
		history.calm(attempt.at, attempt.ended, attempt.via) {
		return "a refused first packet reached a back end"
	}
	return ""
}

// checkOnce: a request runs once at most, one that was answered once, and one that
// was refused or shed not at all.
func (history *history) checkOnce(attempt attempt) string {
	runs := history.runs[attempt.body]
	switch {
	case runs > 1:
		return "a request ran twice"
	case runs > 0 && (attempt.result == outcomeShed || attempt.opens && attempt.result == outcomeRefused):
		return "a request ran that was said not to have run"
	case runs == 0 && attempt.result == outcomeAnswered && attempt.body != "":
		return "a request was answered that has not run"
	}
	return ""
}

// checkBurst: after a burst all are served as before it.
func (history *history) checkBurst(attempt attempt) string {
	if attempt.result == outcomeAnswered || !history.crowded[attempt.route] || history.crowd(attempt) || history.bereft(attempt) ||
		!history.calm(attempt.at, attempt.ended, attempt.via) {
		return ""
	}
	return "a request was not served though no burst was near"
}

// checkHeld: in calm, planned stops and all, a request on an open flow is
// answered soon.
func (history *history) checkHeld(attempt attempt) string {
	if attempt.opens || attempt.ended.Sub(attempt.at) < heldBound || !history.calm(attempt.at, attempt.ended, attempt.via) {
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
	drained.attempts[0].at = second(13.5)
	require.Len(t, drained.check(), 1)
	drained.silences = []silence{{at: second(9.9), place: 2}}
	require.Len(t, drained.check(), 1, "another balancer's connections had just gone silent")
	drained.attempts[0].via = []int{2}
	require.Empty(t, drained.check(), "connections had just gone silent")
	drained.attempts[0].at = second(14.1)
	require.Len(t, drained.check(), 1, "connections had gone silent, but longer ago")
	drained.silences, drained.attempts[0].via = nil, nil
	drained.troubles = []trouble{{span: span{from: second(9), until: second(10.5)}, places: []int{2}}}
	require.Len(t, drained.check(), 1, "another balancer was down just before")
	drained.attempts[0].via = []int{1, 2}
	require.Empty(t, drained.check(), "its balancer was down just before")
	drained.troubles[0].until = second(9.9)
	require.Len(t, drained.check(), 1, "its balancer had been in touch for long enough")
	drained.troubles[0].places = nil
	require.Empty(t, drained.check(), "the store was down just before")

	restarted := made(opened(13.9, "lending/i-1"))
	restarted.leaving["lending/i-1"] = second(5)
	restarted.troubles = []trouble{{span: span{from: second(10), until: second(10)}, places: []int{2}}}
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
	moved.silences = []silence{{at: second(9.9), place: 2}}
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
	excusedRefusal.crowded = map[string]bool{"lending": true}
	excusedRefusal.bursts = []span{{from: second(7), until: second(9)}}
	require.Empty(t, excusedRefusal.check(), "refused in a burst")
	excusedRefusal.took = map[uint16]bool{7: true}
	require.Len(t, excusedRefusal.check(), 1, "refused, but it reached a back end")
	excusedRefusal.took = nil
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
	ran.crowded = map[string]bool{"lending": true}
	require.Len(t, ran.check(), 1, "shed with no burst near")
	ran.bursts = []span{{from: second(17), until: second(19)}}
	require.Empty(t, ran.check(), "shed in a burst")
	require.Len(t, made(later(outcomeBroken, "")).check(), 1)
	ran.attempts[0] = later(outcomeBroken, "")
	require.Len(t, ran.check(), 1, "an open flow was reset in a burst")

	late := opened(10, "")
	late.result, late.ended = outcomeDeadline, second(11.4)
	unserved := made(late)
	unserved.crowded = map[string]bool{"lending": true}
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
	told.complaints = []string{"settings were not taken"}
	require.Len(t, told.check(), 1)
}
