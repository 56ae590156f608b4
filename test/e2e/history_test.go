package e2e

import (
	"fmt"
	"slices"
	"time"
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
	route     string
	isOpening bool
	at        time.Time
	ended     time.Time
	result    outcome
	// server is "pool/id" of who answered, earlier that of the flow before.
	server, previousServer string
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
	// disturbances are the spans of faults of the store or of balancers.
	disturbances []disturbance
	// blackholes are when open connections of balancers went silent.
	blackholes []blackhole
	// bursts are when more was asked of some routes than their back ends can do.
	bursts           []span
	overloadedRoutes map[string]bool
	// runs tells how often each request has run, took of which clients' ports a
	// back end took first packets.
	runs        map[string]int
	openedPorts map[uint16]bool
	// startedAt is what times are told from.
	startedAt time.Time
	// violations are what was found broken while the soak ran.
	violations []string
}

// disturbance is a fault of balancers, or of the store if none are named.
type disturbance struct {
	span
	balancers []int
}

// blackhole is when the open connections to the store of a balancer, or to it of the
// others, went silent.
type blackhole struct {
	at       time.Time
	balancer int
}

type span struct {
	from, until time.Time
}

type poolSpan struct {
	pool string
	span
}

// affects tells whether a trouble struck the store or one of some balancers.
func (struck disturbance) affects(places []int) bool {
	return len(struck.balancers) == 0 || slices.ContainsFunc(struck.balancers, func(place int) bool { return slices.Contains(places, place) })
}

// undisturbed tells whether the store and some balancers were in touch from one time
// until another: nothing disturbed them then or in settleTime before.
func (history *history) undisturbed(from, until time.Time, places []int) bool {
	for _, trouble := range history.disturbances {
		if trouble.affects(places) && trouble.from.Before(until) && trouble.until.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

// allowedDelay is how much later news may come at an attempt: that via the balancer whose
// connections have gone silent.
func (history *history) allowedDelay(attempt attempt) time.Duration {
	silent := func(silence blackhole) bool {
		return slices.Contains(attempt.via, silence.balancer) && silence.at.Before(attempt.at) && attempt.at.Sub(silence.at) < settleTime+blackholeSlack
	}
	if slices.ContainsFunc(history.blackholes, silent) {
		return blackholeSlack
	}
	return 0
}

// duringBurst tells whether an attempt falls into a burst on its route, or into what a
// burst may cost after it.
func (history *history) duringBurst(attempt attempt) bool {
	return history.overloadedRoutes[attempt.route] && slices.ContainsFunc(history.bursts, func(burst span) bool {
		return attempt.ended.After(burst.from) && attempt.at.Before(burst.until.Add(burstRecoveryBound))
	})
}

// nearCrash tells whether a back end crashed a little before an attempt or during it.
// The planned end of one that had left excuses nothing.
func (history *history) nearCrash(attempt attempt) bool {
	for server, died := range history.dead {
		if history.crashed[server] && died.Before(attempt.ended) && died.Add(crashRecoveryBound).After(attempt.at) {
			return true
		}
	}
	return false
}

// describe tells an attempt for a reader, with the time since its back end began to leave.
func (history *history) describe(told attempt) string {
	text := fmt.Sprintf("route %s, opens %t, at %.2f s, took %s, %s, by %q after %q, flow %s, via balancers %v", told.route, told.isOpening,
		told.at.Sub(history.startedAt).Seconds(), told.ended.Sub(told.at), outcomeNames[told.result], told.server, told.previousServer, told.flow, told.via)
	if left, leaving := history.leaving[told.server]; leaving {
		text += fmt.Sprintf(", %.2f s after it began to leave", told.at.Sub(left).Seconds())
	}
	return text
}
