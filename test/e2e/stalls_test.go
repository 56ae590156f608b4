package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// stallTick is how often the process of the test checks that it runs.
	stallTick = 10 * time.Millisecond
	// stallThreshold is the lateness from which the process counts as stalled. The store,
	// the routers, the back ends and the clients, which it plays, stand still meanwhile.
	stallThreshold = 100 * time.Millisecond
	// stallLimit is how long the process may not run during an attempt for the loss of that
	// attempt to count. A back end that does not run for longer leaves two copies of a request
	// unanswered, and counts as dead; it is disturbed, as if it had been cut off.
	stallLimit = 500 * time.Millisecond
)

// stalls records when the process of the test did not run.
type stalls struct {
	mutex sync.Mutex
	spans []span
}

// watch records stalls until the context is done.
func (stalls *stalls) watch(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallTick)
		now := time.Now()
		if now.Sub(last) >= stallThreshold {
			stalls.mutex.Lock()
			stalls.spans = append(stalls.spans, span{from: last, until: now})
			stalls.mutex.Unlock()
		}
		last = now
	}
}

// recorded returns the stalls so far.
func (stalls *stalls) recorded() []span {
	stalls.mutex.Lock()
	defer stalls.mutex.Unlock()
	return append([]span(nil), stalls.spans...)
}

// runningTime returns how long the process of the test ran in a period. What it plays can
// neither send nor answer while it does not run, so times that a request or an update takes
// are counted in it; a balancer that does not run is not excused.
func (history *history) runningTime(from, until time.Time) time.Duration {
	running := until.Sub(from)
	for _, each := range history.stalls {
		begin, end := laterOf(each.from, from), earlierOf(each.until, until)
		running -= max(0, end.Sub(begin))
	}
	return running
}

// stalledDuring reports whether the process that plays the attempt's client and back end did
// not run for stallLimit or more of the attempt.
func (history *history) stalledDuring(attempt attempt) bool {
	return attempt.ended.Sub(attempt.at)-history.runningTime(attempt.at, attempt.ended) >= stallLimit
}

func laterOf(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

func earlierOf(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// describeStalls formats the stalls that overlap a period, or came within settleTime before
// it, with their times since the start.
func (history *history) describeStalls(from, until time.Time) string {
	var texts []string
	for _, each := range history.stalls {
		if each.from.Before(until) && each.until.Add(settleTime).After(from) {
			texts = append(texts, fmt.Sprintf("%.2f to %.2f s", each.from.Sub(history.startedAt).Seconds(), each.until.Sub(history.startedAt).Seconds()))
		}
	}
	if len(texts) == 0 {
		return "the test ran all the time"
	}
	return "the test did not run " + strings.Join(texts, ", ")
}
