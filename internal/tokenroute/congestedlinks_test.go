package tokenroute

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// congestedFleet is a simulated fleet in which a fraction of the balancers is behind congested
// links: what they forward is late or lost, and so are their messages. All back ends are live.
type congestedFleet struct {
	*simulation
	// One balancer in congestedEvery is behind a congested link, from congestedFrom on.
	congestedEvery, congestedFrom int
	// loss is the fraction of packets lost there, and delay the maximum delay of the others, in
	// milliseconds.
	loss  float64
	delay int
	// congestedResets counts the flows reset by balancers behind congested links, and otherResets
	// those reset by the others.
	congestedResets, otherResets int
}

func newCongestedFleet(balancers, backends, flows int, gone bool, loss float64, delay int) *congestedFleet {
	nowhere := func(int) string { return "" }
	fleet := &congestedFleet{simulation: newSimulationWithFlows(balancers, backends, 0, flows, mechanism.Set{}, nowhere, nowhere),
		congestedEvery: 3, congestedFrom: 4000, loss: loss, delay: delay}
	if gone {
		fleet.table = tombstoneTable(backends)
	}
	fleet.extraDelay = func(balancer, now int) int {
		if fleet.isCongested(balancer, now) {
			return delay
		}
		return 0
	}
	return fleet
}

func (l *congestedFleet) isCongested(balancer, now int) bool {
	return balancer%l.congestedEvery == l.congestedEvery-1 && now >= l.congestedFrom
}

func (l *congestedFleet) run(until int) {
	for now := 0; now < until; now += stepTime {
		for index := range l.flows {
			l.stepFlow(&l.flows[index], now)
		}
		for balancer := range l.nodes {
			l.evaluate(balancer, now)
			l.exchange(balancer, now)
		}
	}
}

// stepFlow advances a flow. f.nextAt is when its client sends next, and f.answeredAt when the
// answer arrives.
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
	responseDelay := 25
	if l.isCongested(f.balancer, now) {
		if l.random.Float64() < l.loss {
			return
		}
		responseDelay += l.random.IntN(l.delay + 1)
	}
	if f.answeredAt == 0 || now+responseDelay < f.answeredAt {
		f.answeredAt = now + responseDelay
	}
}

func (l *congestedFleet) countReset(balancer int) {
	if balancer%l.congestedEvery == l.congestedEvery-1 {
		l.congestedResets++
	} else {
		l.otherResets++
	}
}

func (l *congestedFleet) evaluate(balancer, now int) {
	node := &l.nodes[balancer]
	node.flows.EvaluatePending(at(now))
	for range node.flows.TakeAbandonedFlows() {
		l.countReset(balancer)
	}
}

// tombstoneTable returns a table of back ends whose entries have all been removed although they
// still serve.
func tombstoneTable(backends int) *Table {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	changes[0].GetRoutes().IdleMilliseconds = 15_000
	for number := range backends {
		changes = append(changes, gone(backend(2, uint64(number+1), "lending")))
	}
	return NewTable(newDirectory(changes...), defaultOptions())
}

// A third of the balancers is behind links that lose a fraction of the packets and delay the
// others, while every back end is live. In some cases the entries of the back ends have been
// removed although they still serve, as planned work may do. No resets are tolerated then, since
// there is no disruption. Without an estimate of the loss on the balancer's own link, 30 to 190
// flows of live back ends were reset in 8 s in those cases.
func TestBalancersBehindCongestedLinksResetNoLiveFlows(t *testing.T) {
	const balancers, backends = 60, 90
	for _, gone := range []bool{false, true} {
		for _, loss := range []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.7} {
			for _, responseDelay := range []int{0, 300, 600} {
				t.Run(fmt.Sprintf("loss %v, delay %d ms, entries gone %v", loss, responseDelay, gone), func(t *testing.T) {
					t.Parallel()
					fleet := newCongestedFleet(balancers, backends, busyFlows, gone, loss, responseDelay)
					fleet.run(12_000)
					require.Zero(t, fleet.congestedResets, "flows reset by balancers behind congested links")
					require.Zero(t, fleet.otherResets, "flows reset by the other balancers")
				})
			}
		}
	}
}

// Where a back end has few flows, no other balancer may know that it is live. What balancers behind
// congested links conclude must then not reach the others.
func TestCongestedLinksDoNotMisleadOtherBalancers(t *testing.T) {
	for _, size := range [][3]int{{60, 90, 5}, {60, 300, 1}, {100, 1000, 1}} {
		for _, gone := range []bool{false, true} {
			for _, loss := range []float64{0.1, 0.3, 0.5, 0.7} {
				t.Run(fmt.Sprintf("%v, loss %v, entries gone %v", size, loss, gone), func(t *testing.T) {
					t.Parallel()
					fleet := newCongestedFleet(size[0], size[1], size[2], gone, loss, 0)
					fleet.run(12_000)
					require.Zero(t, fleet.otherResets)
				})
			}
		}
	}
}

// A balancer that has seen hardly any responses knows little about its own link.
func TestExpectedLinkLossFallsWithResponses(t *testing.T) {
	var monitor linkMonitor
	require.Greater(t, monitor.expectedLinkLoss(retransmitsToReport, at(0), at(600)), maxLinkLossForFailure)
	for now := range 250 {
		monitor.countResponse(false, at(40*now))
	}
	require.LessOrEqual(t, monitor.expectedLinkLoss(retransmitsToFail, at(8600), at(10_000)), maxLinkLossForFailure)
	for now := range 10 {
		monitor.countResponse(now%3 == 0, at(10_000+40*now))
	}
	require.Greater(t, monitor.expectedLinkLoss(retransmitsToFail, at(10_000), at(10_400)), maxLinkLossForFailure, "the link has become worse since")
	require.Zero(t, func() int { prompt, _ := monitor.countSince(at(0), at(40_000)); return prompt }(), "old responses are dropped")
}
