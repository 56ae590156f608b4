package tokenroute

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

const (
	propertyBalancers = 3
	propertyBackends  = 6
	propertyPorts     = 2
	// propertyMoves bounds the bytes by which one step moves a flow in each direction, and
	// propertyFlowLength those of a whole flow.
	propertyMoves      = flow.MaxDistance / 4
	propertyFlowLength = 2 * flow.MaxDistance
	// propertyCached is a time within which a flow without packets is still cached, in milliseconds.
	propertyCached = 2900
)

// portFlow is a flow of the property test, as its client sees it.
type portFlow struct {
	portUse
	backend *Backend
	// others are the back ends that have answered its SYN beside the one that opened it.
	others    []*Backend
	startedAt int
	ended     bool
	// seen holds what each balancer has seen of the flow.
	seen [propertyBalancers]flowSeen
}

// flowSeen is what one balancer has seen of a flow.
type flowSeen struct {
	// any is set once a packet has passed, syn if the SYN has, and opener if the back end that opened
	// the flow is known since.
	any, syn, opener bool
	// numbers is set once a packet has passed by which balancers know the numbers of both ends.
	numbers bool
	// mistaken is set while the balancer takes a late packet of an earlier flow for that of a later one.
	mistaken bool
	// former is set if the flow before it with the same key was known when the first packet passed.
	former bool
	lastAt int
	// moved is by how much the flow has moved since then.
	moved uint32
}

// knowsOpener reports whether a balancer must know which back end opened the flow.
func (s flowSeen) knowsOpener(now int) bool {
	return s.syn && s.opener && now-s.lastAt < propertyCached && s.moved <= flow.MaxDistance/2
}

// portWorld is the state of the property test.
type portWorld struct {
	balancers [propertyBalancers]*Flows
	table     *Table
	now       int
	draining  map[uint64]bool
	// current and former are the latest flow of each port and the one before it.
	current, former [propertyPorts]*portFlow
	// used holds the numbers of all SYNs.
	used map[uint32]bool
}

func newPortWorld(t *rapid.T) *portWorld {
	disabled, err := mechanism.Parse([]string{string(mechanism.Verdicts)})
	require.NoError(t, err)
	world := &portWorld{draining: make(map[uint64]bool), used: make(map[uint32]bool)}
	for index := range world.balancers {
		// Verdicts depend on retransmissions, which are not played here.
		world.balancers[index] = NewFlows(disabled)
	}
	world.buildTable()
	return world
}

func (w *portWorld) buildTable() {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1)))}
	for number := uint64(1); number <= propertyBackends; number++ {
		entry := backend(2, number, "lending")
		entry.GetBackend().Draining = w.draining[number]
		changes = append(changes, entry)
	}
	options := defaultOptions()
	options.Now = at(w.now)
	w.table = NewTable(newDirectory(changes...), options)
}

// drain changes which back ends drain. One of them never does.
func (w *portWorld) drain(t *rapid.T) {
	number := rapid.Uint64Range(1, propertyBackends-1).Draw(t, "back end")
	w.draining[number] = !w.draining[number]
	w.buildTable()
}

func (w *portWorld) wait(t *rapid.T) {
	w.now += rapid.SampledFrom([]int{1, 20, 140, 200, 400, 1000, 2500, 7000}).Draw(t, "pause ms")
}

func drawBalancer(t *rapid.T) int { return rapid.IntRange(0, propertyBalancers-1).Draw(t, "balancer") }

func drawPort(t *rapid.T) int { return rapid.IntRange(0, propertyPorts-1).Draw(t, "port") }

// begin opens another flow of a port, which ends the one before it, whether or not its end passes a
// balancer.
func (w *portWorld) begin(t *rapid.T) {
	port, balancer := drawPort(t), drawBalancer(t)
	previous := w.current[port]
	begun := &portFlow{portUse: portUse{port: port, synSequence: rapid.Uint32().Draw(t, "SYN")}, startedAt: w.now}
	begun.backendSequence = rapid.Uint32().Draw(t, "back end's number")
	if previous != nil {
		begun.synSequence = previous.synSequence + rapid.Uint32Range(4*propertyFlowLength, 1<<25).Draw(t, "client's distance")
		if rapid.Bool().Draw(t, "by clock") {
			begun.synSequence = previous.synSequence + max(250*uint32(w.now-previous.startedAt), previous.sent+2)
		}
		// Flows whose numbers are all near those of another one can't be told apart.
		distance := rapid.Uint32Range(4*propertyFlowLength, 1<<25)
		begun.backendSequence = previous.backendSequence + distance.Draw(t, "back end's distance")
	}
	for w.used[begun.synSequence] {
		// No client draws the first number of a recent flow again.
		begun.synSequence++
	}
	w.used[begun.synSequence] = true
	w.former[port], w.current[port] = previous, begun
	w.sendSYN(t, begun, balancer, 0)
}

// sendSYN sends the SYN of a flow or a copy of it. The first back end that it reaches opens the
// flow.
func (w *portWorld) sendSYN(t *rapid.T, f *portFlow, balancer, copies int) {
	seen := w.seenBy(f, balancer)
	decision := w.balancers[balancer].Decide(w.table, f.syn(copies), at(w.now))
	require.Equal(t, Forward, decision.Verdict)
	switch {
	case seen.knowsOpener(w.now) && w.now-f.startedAt < copyMillis:
		require.Equal(t, f.backend.Number, decision.Backend.Number, "a copy goes to the opener")
	case !seen.any:
		require.True(t, w.table.Route(key(f.port).Address()).Accepts(decision.Backend), "a new flow goes by the route")
	}
	if f.backend == nil {
		f.backend = decision.Backend
	} else if f.backend.Number != decision.Backend.Number {
		f.others = append(f.others, decision.Backend)
	}
	if w.now-f.startedAt >= copyMillis {
		seen.opener = false
	}
	seen.any, seen.syn, seen.mistaken, seen.lastAt = true, true, false, w.now
}

// seenBy returns what a balancer has seen of a port's latest flow, of which a packet passes now.
func (w *portWorld) seenBy(f *portFlow, balancer int) *flowSeen {
	seen := &f.seen[balancer]
	if former := w.former[f.port]; !seen.any && former != nil {
		before := former.seen[balancer]
		seen.mistaken = before.mistaken
		seen.former = before.numbers && w.now-before.lastAt < propertyCached
	}
	return seen
}

// copySYN sends a copy of the SYN of a port's flow, which may have opened meanwhile.
func (w *portWorld) copySYN(t *rapid.T) {
	f := w.current[drawPort(t)]
	if f != nil && w.now-f.startedAt < copyMillis {
		w.sendSYN(t, f, drawBalancer(t), 1)
	}
}

// pass sends a later packet of a port's flow with the token of the back end that opened it.
func (w *portWorld) pass(t *rapid.T) {
	f := w.current[drawPort(t)]
	if f == nil {
		return
	}
	packet := f.request(f.backend.Token)
	if rapid.Bool().Draw(t, "without data") {
		packet.Length = 0
	}
	w.passThrough(t, f, packet, drawBalancer(t))
}

func (w *portWorld) passThrough(t *rapid.T, f *portFlow, packet Packet, balancer int) {
	seen := w.seenBy(f, balancer)
	decision := w.balancers[balancer].Decide(w.table, packet, at(w.now))
	require.Equal(t, Decision{Verdict: Forward, Reason: ReasonToken, Backend: f.backendNow(w)}, decision)
	cached := w.now-seen.lastAt < propertyCached
	seen.syn = seen.syn && cached
	seen.opener = seen.syn
	seen.numbers = seen.numbers && cached || packet.Length > 0 && !seen.mistaken
	seen.any = true
	seen.lastAt, seen.moved = w.now, 0
}

// backendNow returns the back end of the flow as the latest table describes it.
func (f *portFlow) backendNow(w *portWorld) *Backend {
	return w.table.tokens.backends(f.backend.Token)[0]
}

// passWithOtherToken sends a packet with the token of a back end that has answered too, by way of a
// balancer that knows which one opened the flow.
func (w *portWorld) passWithOtherToken(t *rapid.T) {
	f, balancer := w.current[drawPort(t)], drawBalancer(t)
	if f == nil || len(f.others) == 0 || !f.seen[balancer].knowsOpener(w.now) {
		return
	}
	decision := w.balancers[balancer].Decide(w.table, f.request(f.others[0].Token), at(w.now))
	require.Equal(t, f.backend.Number, decision.Backend.Number, "an open flow stays with its opener")
	f.seen[balancer].lastAt, f.seen[balancer].moved = w.now, 0
}

// move lets a flow move by way of other balancers.
func (w *portWorld) move(t *rapid.T) {
	f := w.current[drawPort(t)]
	if f == nil || f.ended || f.sent > propertyFlowLength || f.received > propertyFlowLength {
		return
	}
	sent, received := rapid.Uint32Range(0, propertyMoves).Draw(t, "sent"), rapid.Uint32Range(0, propertyMoves).Draw(t, "received")
	f.sent, f.received = f.sent+sent, f.received+received
	for index := range f.seen {
		f.seen[index].moved += max(sent, received)
	}
}

// end ends a port's flow by way of a balancer. Packets of it may still follow.
func (w *portWorld) end(t *rapid.T) {
	f := w.current[drawPort(t)]
	if f == nil {
		return
	}
	packet := f.end(f.backend.Token)
	balancer := drawBalancer(t)
	w.passThrough(t, f, packet, balancer)
	f.ended = true
	f.seen[balancer].syn, f.seen[balancer].opener = false, false
}

// passLate sends a packet of the flow before a port's latest one: a copy that was on its way for
// long.
func (w *portWorld) passLate(t *rapid.T) {
	port, balancer := drawPort(t), drawBalancer(t)
	former := w.former[port]
	if former == nil {
		return
	}
	packet := former.request(former.backend.Token)
	packet.Closing = rapid.Bool().Draw(t, "closing")
	decision := w.balancers[balancer].Decide(w.table, packet, at(w.now))
	require.Equal(t, Decision{Verdict: Forward, Reason: ReasonToken, Backend: former.backendNow(w)}, decision)
	if seen := &w.current[port].seen[balancer]; !seen.former || former.seen[balancer].moved > flow.MaxDistance/2 {
		// A balancer that knows nothing of the former flow takes it for a later one.
		*seen = flowSeen{any: true, mistaken: true}
	}
}

// Clients use few ports again and again, at once or after seconds, with random numbers or such from a
// clock. Their packets pass any balancer, in any order, with copies, gaps and without their SYN or
// their end. A packet with the token of the back end that opened its flow goes there. One with the
// token of another back end that answered goes there too, if its balancer knows which one opened the
// flow. The first packet of a flow goes by the route as it is now, and its copies go to the back end
// that opened the flow.
func TestOpenFlowsKeepTheirBackendAndNewOnesFollowTheRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newPortWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"wait": world.wait, "drain": world.drain, "begin": world.begin, "copy": world.copySYN, "pass": world.pass,
			"pass with other token": world.passWithOtherToken, "move": world.move, "end": world.end, "pass late": world.passLate,
		})
	})
}
