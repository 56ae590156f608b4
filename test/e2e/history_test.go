package e2e

import (
	"fmt"
	"slices"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// outcome is the result of opening a flow or of a request on an open flow.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeBroken
	outcomeDeadline
	// outcomeShed means that the back end reported that it had not run the request.
	outcomeShed
)

// attempt is the opening of a flow with its first request, or a later request on it.
type attempt struct {
	route     string
	isOpening bool
	at        time.Time
	ended     time.Time
	result    outcome
	// server is "pool/id" of the back end that answered, previousServer that of the back end
	// which had answered on the flow before.
	server, previousServer string
	// id identifies the flow, flow is its name in the logs, and body the content of the request.
	id   echonet.FlowID
	flow string
	body string
	// via are the indexes of the balancers that the packets were sent to.
	via []int
}

// history is what a soak recorded, for the checker.
type history struct {
	attempts []attempt
	// pools are all pools that each route has had, with the span during which each was the
	// route's only pool.
	pools map[string][]poolSpan
	// leaving is when a back end was announced as draining or removed, dead when it stopped.
	leaving, dead map[string]time.Time
	// crashed are the back ends that stopped without having been drained or removed.
	crashed map[string]bool
	// cuts are the spans in which each back end received nothing.
	cuts map[string][]span
	// disturbances are the faults of the store or of balancers, with their times.
	disturbances []disturbance
	// blackholes are the times at which open connections of balancers stopped carrying data.
	blackholes []blackhole
	// bursts are the spans in which overloadedRoutes received more requests than their back
	// ends can process.
	bursts           []span
	overloadedRoutes map[string]bool
	// runs counts how often each request was run, by its body. opened are the flows of which a
	// back end received first packets.
	runs   map[string]int
	opened map[echonet.FlowID]bool
	// stalls are the times at which the process that plays the store, the back ends and the
	// clients did not run.
	stalls []span
	// startedAt is the time that reported times are relative to.
	startedAt time.Time
	// violations are those that were found while the soak ran.
	violations []string
}

// disturbance is a fault of balancers, or of the store if balancers is empty.
type disturbance struct {
	span
	balancers []int
}

// blackhole is the time at which a balancer's open connections to the store, or those of its
// peers to it, stopped carrying data.
type blackhole struct {
	at       time.Time
	balancer int
}

// span is a period of time. A zero until means that it has not ended.
type span struct {
	from, until time.Time
}

// poolSpan is a period in which a route has one pool.
type poolSpan struct {
	pool string
	span
}

// affects reports whether a disturbance is one of the store or of one of the balancers.
func (d disturbance) affects(balancers []int) bool {
	return len(d.balancers) == 0 || slices.ContainsFunc(d.balancers, func(balancer int) bool { return slices.Contains(balancers, balancer) })
}

// undisturbed reports whether neither the store nor any of the balancers was disturbed from
// one time until another, or in settleTime before.
func (history *history) undisturbed(from, until time.Time, balancers []int) bool {
	for _, disturbance := range history.disturbances {
		if disturbance.affects(balancers) && disturbance.from.Before(until) && disturbance.until.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

// cutOff reports whether the back end of an attempt's flow received nothing at some time
// during the attempt, or until a time before it.
func (history *history) cutOff(attempt attempt, before time.Duration) bool {
	return slices.ContainsFunc(history.cuts[attempt.previousServer], func(cut span) bool {
		return cut.from.Before(attempt.ended) && cut.until.Add(before).After(attempt.at)
	})
}

// allowedDelay returns the extra time that an update may take to reach the balancers of an
// attempt. It isn't zero if open connections of one of them have just stopped carrying data.
func (history *history) allowedDelay(attempt attempt) time.Duration {
	isRecent := func(blackhole blackhole) bool {
		return slices.Contains(attempt.via, blackhole.balancer) && blackhole.at.Before(attempt.at) && attempt.at.Sub(blackhole.at) < settleTime+blackholeSlack
	}
	if slices.ContainsFunc(history.blackholes, isRecent) {
		return blackholeSlack
	}
	return 0
}

// duringBurst reports whether an attempt overlaps a burst on its route, or the time that
// recovery may take after a burst.
func (history *history) duringBurst(attempt attempt) bool {
	return history.overloadedRoutes[attempt.route] && slices.ContainsFunc(history.bursts, func(burst span) bool {
		return attempt.ended.After(burst.from) && attempt.at.Before(burst.until.Add(burstRecoveryBound))
	})
}

// nearCrash reports whether a back end crashed shortly before or during an attempt. The
// planned stop of a back end that had left before doesn't count.
func (history *history) nearCrash(attempt attempt) bool {
	for server, died := range history.dead {
		if history.crashed[server] && died.Before(attempt.ended) && died.Add(crashRecoveryBound).After(attempt.at) {
			return true
		}
	}
	return false
}

// describe formats an attempt for the report, with the time since its back end began to leave.
func (history *history) describe(entry attempt) string {
	text := fmt.Sprintf("route %s, opens %t, at %.2f s, took %s, %s, by %q after %q, flow %s, via balancers %v", entry.route, entry.isOpening,
		entry.at.Sub(history.startedAt).Seconds(), entry.ended.Sub(entry.at), outcomeNames[entry.result], entry.server, entry.previousServer, entry.flow, entry.via)
	if left, leaving := history.leaving[entry.server]; leaving {
		text += fmt.Sprintf(", %.2f s after it began to leave", entry.at.Sub(left).Seconds())
	}
	return text + "; " + history.describeStalls(entry.at, entry.ended)
}
