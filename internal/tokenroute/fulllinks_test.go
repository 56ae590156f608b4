package tokenroute

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// fullLinks are judges a part of which stand behind links that are full: what they forward is
// late or lost, and so are their messages. All back ends live.
type fullLinks struct {
	*simulation
	// part is that one balancer in so many is behind a full link, from fullFrom on.
	part, fullFrom int
	// loss is the part of the packets that is lost there, and delay what the others wait, in
	// milliseconds.
	loss  float64
	delay int
	// resets counts the flows reset by balancers behind full links, and by the others.
	full, others int
}

func newFullLinks(balancers, backends, flows int, gone bool, loss float64, delay int) *fullLinks {
	nowhere := func(int) string { return "" }
	made := &fullLinks{simulation: newSimulationWithFlows(balancers, backends, 0, flows, mechanism.Set{}, nowhere, nowhere),
		part: 3, fullFrom: 4000, loss: loss, delay: delay}
	if gone {
		made.table = goneTable(backends)
	}
	made.extraDelay = func(place, now int) int {
		if made.isFull(place, now) {
			return delay
		}
		return 0
	}
	return made
}

func (l *fullLinks) isFull(place, now int) bool { return place%l.part == l.part-1 && now >= l.fullFrom }

func (l *fullLinks) run(until int) {
	for now := 0; now < until; now += stepTime {
		for index := range l.flows {
			l.ask(&l.flows[index], now)
		}
		for place := range l.nodes {
			l.settle(place, now)
			l.exchange(place, now)
		}
	}
}

// ask moves a flow on: f.nextAt is when its client sends next, f.answeredAt when the answer
// comes.
func (l *fullLinks) ask(f *simulatedFlow, now int) {
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
		l.count(f.balancer)
		f.waiting, f.answeredAt, f.nextAt = false, 0, now+1000
		return
	}
	takes := 25
	if l.isFull(f.balancer, now) {
		if l.random.Float64() < l.loss {
			return
		}
		takes += l.random.IntN(l.delay + 1)
	}
	if f.answeredAt == 0 || now+takes < f.answeredAt {
		f.answeredAt = now + takes
	}
}

func (l *fullLinks) count(place int) {
	if place%l.part == l.part-1 {
		l.full++
	} else {
		l.others++
	}
}

func (l *fullLinks) settle(place, now int) {
	node := &l.nodes[place]
	node.flows.EvaluatePending(at(now))
	for range node.flows.TakeAbandoned() {
		l.count(place)
	}
}

// goneTable has back ends whose entries have all gone; they serve on.
func goneTable(backends int) *Table {
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
func TestBalancersBehindFullLinksResetNoLivingFlow(t *testing.T) {
	const balancers, backends = 60, 90
	for _, gone := range []bool{false, true} {
		for _, loss := range []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.7} {
			for _, delay := range []int{0, 300, 600} {
				t.Run(fmt.Sprintf("loss %v, delay %d ms, entries gone %v", loss, delay, gone), func(t *testing.T) {
					t.Parallel()
					l := newFullLinks(balancers, backends, busyFlows, gone, loss, delay)
					l.run(12_000)
					require.Zero(t, l.full, "by balancers behind full links")
					require.Zero(t, l.others, "by the others")
				})
			}
		}
	}
}

// Where a back end has few flows, none else may know that it lives. What balancers behind
// full links think then must not reach the others.
func TestDoubtsOfFullLinksStayThere(t *testing.T) {
	for _, size := range [][3]int{{60, 90, 5}, {60, 300, 1}, {100, 1000, 1}} {
		for _, gone := range []bool{false, true} {
			for _, loss := range []float64{0.1, 0.3, 0.5, 0.7} {
				t.Run(fmt.Sprintf("%v, loss %v, entries gone %v", size, loss, gone), func(t *testing.T) {
					t.Parallel()
					l := newFullLinks(size[0], size[1], size[2], gone, loss, 0)
					l.run(12_000)
					require.Zero(t, l.others)
				})
			}
		}
	}
}

// A balancer that has seen next to nothing answered knows little of its own link.
func TestDoubtFallsWithAnswers(t *testing.T) {
	var judged link
	require.Greater(t, judged.doubt(retransmitsToReport, at(0), at(600)), doubtOfVerdict)
	for now := range 250 {
		judged.answered(false, at(40*now))
	}
	require.LessOrEqual(t, judged.doubt(retransmitsToFail, at(8600), at(10_000)), doubtOfVerdict)
	for now := range 10 {
		judged.answered(now%3 == 0, at(10_000+40*now))
	}
	require.Greater(t, judged.doubt(retransmitsToFail, at(10_000), at(10_400)), doubtOfVerdict, "it has turned bad since")
	require.Zero(t, func() int { prompt, _ := judged.since(at(0), at(40_000)); return prompt }(), "what is old is forgotten")
}
