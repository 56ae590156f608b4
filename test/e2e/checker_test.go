package e2e

import (
	"fmt"
	"slices"
	"strings"
	"time"
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
