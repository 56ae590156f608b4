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
	// settleTime is for how long nothing must have disturbed the store or the
	// balancers before a bound in time is judged.
	settleTime = 4 * time.Second
	// latencyBound is how long a request may take in calm.
	latencyBound = time.Second
	// blackholeSlack is how much later news may come where connections have just gone
	// silent, which only time shows: new ones work, so it excuses nothing else.
	blackholeSlack = time.Second
	// burstRecoveryBound is after how long all are served as before a burst.
	burstRecoveryBound = 2 * time.Second
	// crashRecoveryBound is for how long the death of a back end may cost new flows.
	crashRecoveryBound = 6 * time.Second
)

// check returns the promises that were broken, in words.
func (history *history) check() []string {
	broken := slices.Clone(history.violations)
	for _, judged := range history.attempts {
		for _, complaint := range history.violationsOf(judged) {
			broken = append(broken, fmt.Sprintf("%s: %s", complaint, history.describe(judged)))
		}
	}
	return broken
}

// violationsOf returns the promises that were broken in one attempt.
func (history *history) violationsOf(judged attempt) []string {
	var broken []string
	rules := []func(attempt) string{
		history.checkPool, history.checkAffinity, history.checkDrain, history.checkConfiguration, history.checkRefusal, history.checkLatency,
		history.checkRefusedUndelivered, history.checkRunCount, history.checkBurstRecovery,
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

// checkAffinity: an open flow is broken, or answered by another back end, only if
// its back end has ended.
func (history *history) checkAffinity(attempt attempt) string {
	if attempt.isOpening {
		return ""
	}
	died, dead := history.dead[attempt.previousServer]
	if dead && died.Before(attempt.ended) {
		return ""
	}
	switch {
	case attempt.result == outcomeBroken:
		return "an open flow was reset while its back end lived"
	case attempt.result == outcomeAnswered && attempt.server != attempt.previousServer:
		return "an open flow was answered by another back end"
	}
	return ""
}

// checkDrain: the store, when a back end began to leave, and who took a new flow were
// in touch, so that the flow goes elsewhere.
func (history *history) checkDrain(attempt attempt) string {
	left, leaving := history.leaving[attempt.server]
	late := leaving && attempt.at.After(left.Add(drainBound+history.allowedDelay(attempt)))
	if attempt.isOpening && attempt.result == outcomeAnswered && late && history.undisturbed(left, left, nil) && history.undisturbed(attempt.at, attempt.ended, attempt.via) {
		return "a new flow went to a leaving back end"
	}
	return ""
}

func (history *history) checkConfiguration(attempt attempt) string {
	if !attempt.isOpening || attempt.result != outcomeAnswered {
		return ""
	}
	for _, allowed := range history.pools[attempt.route] {
		settled := attempt.at.After(allowed.from.Add(configBound+history.allowedDelay(attempt))) && (allowed.until.IsZero() || attempt.ended.Before(allowed.until))
		if settled && allowed.pool != poolOf(attempt.server) && history.undisturbed(attempt.at, attempt.ended, attempt.via) {
			return "a new flow followed an older configuration"
		}
	}
	return ""
}

// checkRefusal: in calm no flow is refused, but where a burst crowds its route.
func (history *history) checkRefusal(attempt attempt) string {
	if attempt.isOpening && attempt.result == outcomeRefused && !history.duringBurst(attempt) && !history.nearCrash(attempt) &&
		history.undisturbed(attempt.at, attempt.ended, attempt.via) {
		return "a new flow was refused in calm"
	}
	return ""
}

// checkRefusedUndelivered: a first packet that balancers in touch refused has reached no back
// end.
func (history *history) checkRefusedUndelivered(attempt attempt) string {
	if attempt.isOpening && attempt.result == outcomeRefused && history.openedPorts[attempt.port] && !history.nearCrash(attempt) &&
		history.undisturbed(attempt.at, attempt.ended, attempt.via) {
		return "a refused first packet reached a back end"
	}
	return ""
}

// checkRunCount: a request runs once at most, one that was answered once, and one that
// was refused or shed not at all.
func (history *history) checkRunCount(attempt attempt) string {
	runs := history.runs[attempt.body]
	switch {
	case runs > 1:
		return "a request ran twice"
	case runs > 0 && (attempt.result == outcomeShed || attempt.isOpening && attempt.result == outcomeRefused):
		return "a request ran that was said not to have run"
	case runs == 0 && attempt.result == outcomeAnswered && attempt.body != "":
		return "a request was answered that has not run"
	}
	return ""
}

// checkBurstRecovery: after a burst all are served as before it.
func (history *history) checkBurstRecovery(attempt attempt) string {
	if attempt.result == outcomeAnswered || !history.overloadedRoutes[attempt.route] || history.duringBurst(attempt) || history.nearCrash(attempt) ||
		!history.undisturbed(attempt.at, attempt.ended, attempt.via) {
		return ""
	}
	return "a request was not served though no burst was near"
}

// checkLatency: in calm, planned stops and all, a request on an open flow is
// answered soon.
func (history *history) checkLatency(attempt attempt) string {
	if attempt.isOpening || attempt.ended.Sub(attempt.at) < latencyBound || !history.undisturbed(attempt.at, attempt.ended, attempt.via) {
		return ""
	}
	if died, dead := history.dead[attempt.previousServer]; dead && died.Before(attempt.ended) {
		return ""
	}
	return "a request was held up in calm"
}
