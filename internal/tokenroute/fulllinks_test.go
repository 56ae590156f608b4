package tokenroute

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// congestedFleet are judges a part of which stand behind links that are full: what they forward is
// late or lost, and so are their messages. All back ends live.
type congestedFleet struct {
	*simulation
	// congestedEvery is that one balancer in so many is behind a full link, from congestedFrom on.
	congestedEvery, congestedFrom int
	// loss is the part of the packets that is lost there, and delay what the others wait, in
	// milliseconds.
	loss  float64
	delay int
	// resets counts the flows reset by balancers behind full links, and by the others.
	congestedResets, otherResets int
}

func newCongestedFleet(balancers, backends, flows int, gone bool, loss float64, delay int) *congestedFleet {
	nowhere := func(int) string { return "" }
	made := &congestedFleet{simulation: newSimulationWithFlows(balancers, backends, 0, flows, mechanism.Set{}, nowhere, nowhere),
		congestedEvery: 3, congestedFrom: 4000, loss: loss, delay: delay}
	if gone {
		made.table = tombstoneTable(backends)
	}
	made.extraDelay = func(place, now int) int {
		if made.isCongested(place, now) {
			return delay
		}
		return 0
	}
	return made
}

func (l *congestedFleet) isCongested(place, now int) bool {
	return place%l.congestedEvery == l.congestedEvery-1 && now >= l.congestedFrom
}

func (l *congestedFleet) run(until int) {
	for now := 0; now < until; now += stepTime {
		for index := range l.flows {
			l.stepFlow(&l.flows[index], now)
		}
		for place := range l.nodes {
			l.evaluate(place, now)
			l.exchange(place, now)
		}
	}
}

// stepFlow moves a flow on: f.nextAt is when its client sends next, f.answeredAt when the answer
// comes.
func (l *congestedFleet) stepFlow(f *simulatedFlow, now int) {
	node := &l.nodes[f.balancer]
	switch {
	case f.waiting && f.answeredAt > 0 && now >= f.answeredAt:
		node.flows.Decide(l.table, Packet{Key: f.key, Token: Token(f.backend + 1), Sequence: 1000 * f.requests,
			Acknowledged: 5000*f.requests + 300}, at(now))
		f.waiting, f.answeredAt, f.nextAt = false, 0, now+1000+l.random.IntN(4000)
		return
	case now < f.nextAt:
		return
	case !f.waiting:
		f.requests++
		f.sentAt, f.retransmits, f.waiting = now, 0, true
	default:
		f.retransmits++
	}
	f.nextAt = never
	if f.retransmits < len(retransmitTimes) {
		f.nextAt = f.sentAt + retransmitTimes[f.retransmits]
	}
	packet := Packet{Key: f.key, Token: Token(f.backend + 1), Sequence: 1000 * f.requests, Acknowledged: 5000 * f.requests, Length: 500}
	if node.flows.Decide(l.table, packet, at(now)).Verdict == Refuse {
		l.countReset(f.balancer)
		f.waiting, f.answeredAt, f.nextAt = false, 0, now+1000
		return
	}
	takes := 25
	if l.isCongested(f.balancer, now) {
		if l.random.Float64() < l.loss {
			return
		}
		takes += l.random.IntN(l.delay + 1)
	}
	if f.answeredAt == 0 || now+takes < f.answeredAt {
		f.answeredAt = now + takes
	}
}

func (l *congestedFleet) countReset(place int) {
	if place%l.congestedEvery == l.congestedEvery-1 {
		l.congestedResets++
	} else {
		l.otherResets++
	}
}

func (l *congestedFleet) evaluate(place, now int) {
	node := &l.nodes[place]
	node.flows.EvaluatePending(at(now))
	for range node.flows.TakeAbandonedFlows() {
		l.countReset(place)
	}
}

// tombstoneTable has back ends whose entries have all gone; they serve on.
func tombstoneTable(backends int) *Table {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	changes[0].GetRoutes().IdleMilliseconds = 15_000
	for number := range backends {
		changes = append(changes, gone(backend(2, uint64(number+1), "lending")))
	}
	return NewTable(newDirectory(changes...), defaultOptions())
}

// A third of the balancers stand behind links that lose a part of the packets and hold up the
// others, while every back end lives; the entries of some have gone though they serve on, as
// planned work may have it, and then no disruption excuses a reset. Without a judgement of the
// own link 30 to 190 flows of living back ends were reset in 8 s where entries had gone.
func TestBalancersBehindCongestedLinksResetNoLiveFlows(t *testing.T) {
	const balancers, backends = 60, 90
	for _, gone := range []bool{false, true} {
		for _, loss := range []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.7} {
			for _, delay := range []int{0, 300, 600} {
				t.Run(fmt.Sprintf("loss %v, delay %d ms, entries gone %v", loss, delay, gone), func(t *testing.T) {
					t.Parallel()
					l := newCongestedFleet(balancers, backends, busyFlows, gone, loss, delay)
					l.run(12_000)
					require.Zero(t, l.congestedResets, "by balancers behind full links")
					require.Zero(t, l.otherResets, "by the others")
				})
			}
		}
	}
}

// Where a back end has few flows, none else may know that it lives. What balancers behind
// full links think then must not reach the others.
func TestCongestedLinksDoNotMisleadOtherBalancers(t *testing.T) {
	for _, size := range [][3]int{{60, 90, 5}, {60, 300, 1}, {100, 1000, 1}} {
		for _, gone := range []bool{false, true} {
			for _, loss := range []float64{0.1, 0.3, 0.5, 0.7} {
				t.Run(fmt.Sprintf("%v, loss %v, entries gone %v", size, loss, gone), func(t *testing.T) {
					t.Parallel()
					l := newCongestedFleet(size[0], size[1], size[2], gone, loss, 0)
					l.run(12_000)
					require.Zero(t, l.otherResets)
				})
			}
		}
	}
}

// A balancer that has seen next to nothing answered knows little of its own link.
func TestExpectedLinkLossFallsWithResponses(t *testing.T) {
	var judged linkMonitor
	require.Greater(t, judged.expectedLinkLoss(retransmitsToReport, at(0), at(600)), maxLinkLossForFailure)
	for now := range 250 {
		judged.countResponse(false, at(40*now))
	}
	require.LessOrEqual(t, judged.expectedLinkLoss(retransmitsToFail, at(8600), at(10_000)), maxLinkLossForFailure)
	for now := range 10 {
		judged.countResponse(now%3 == 0, at(10_000+40*now))
	}
	require.Greater(t, judged.expectedLinkLoss(retransmitsToFail, at(10_000), at(10_400)), maxLinkLossForFailure, "it has turned bad since")
	require.Zero(t, func() int { prompt, _ := judged.countSince(at(0), at(40_000)); return prompt }(), "what is old is forgotten")
}
