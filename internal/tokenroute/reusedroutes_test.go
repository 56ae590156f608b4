package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// bindingChange ends what bound a port to the back end that opened its flows.
type bindingChange struct {
	name string
	// apply makes the change known to a balancer at a time in milliseconds, and returns the table from
	// then on.
	apply func(t *testing.T, flows *Flows, bound *Backend, now int) *Table
	// refuses is set if new flows are refused from then on.
	refuses bool
}

const reusedPool = 5

// reusedPortDirectory returns a directory with back ends 1 to 5 of the pool that the route names,
// each in a zone of its own, and 11 of another pool.
func reusedPortDirectory(changes ...*apiv1.DirectoryChange) *directory.Directory {
	lowPriority := route(1, share("lending", 1))
	lowPriority.Priority = 2
	all := []*apiv1.DirectoryChange{routes(1, lowPriority), inZone(backend(2, 11, "covers"), "zone-0")}
	for number := uint64(1); number <= reusedPool; number++ {
		all = append(all, inZonePerNumber(backend(2, number, "lending")))
	}
	return newDirectory(append(all, changes...)...)
}

func inZonePerNumber(change *apiv1.DirectoryChange) *apiv1.DirectoryChange {
	return inZone(change, zoneOfNumber(change.GetBackend().GetNumber()))
}

func zoneOfNumber(number uint64) string { return "zone-" + string(rune('0'+number)) }

func tableAt(now int, options Options, changes ...*apiv1.DirectoryChange) *Table {
	options.Now = at(now)
	return NewTable(reusedPortDirectory(changes...), options)
}

var bindingChanges = []bindingChange{
	{name: "drains", apply: func(_ *testing.T, _ *Flows, bound *Backend, now int) *Table {
		return tableAt(now, defaultOptions(), draining(inZonePerNumber(backend(3, bound.Number, "lending"))))
	}},
	{name: "the route names another pool", apply: func(_ *testing.T, _ *Flows, _ *Backend, now int) *Table {
		return tableAt(now, defaultOptions(), routes(3, route(1, share("covers", 1))))
	}},
	{name: "ends", apply: func(_ *testing.T, _ *Flows, bound *Backend, now int) *Table {
		return tableAt(now, defaultOptions(), gone(inZonePerNumber(backend(3, bound.Number, "lending"))))
	}},
	{name: "fails", apply: func(_ *testing.T, flows *Flows, bound *Backend, now int) *Table {
		table := tableAt(now, defaultOptions())
		for client := range evidence.Client(2) {
			flows.Receive(evidence.UnansweredRequest{Backend: bound.Incarnation(), Client: client, Zone: bound.Zone, SentAt: at(now)}, table, at(now))
		}
		flows.EvaluatePending(at(now + pendingMillis))
		return table
	}},
	{name: "its zone is evacuated", apply: func(_ *testing.T, _ *Flows, bound *Backend, now int) *Table {
		options := defaultOptions()
		options.Evacuated = map[string]uint64{bound.Zone: 3}
		return tableAt(now, options)
	}},
	{name: "is cold", apply: func(_ *testing.T, _ *Flows, bound *Backend, now int) *Table {
		return tableAt(now, coldZone(bound.Zone, at(now+600_000), 0, true))
	}},
	{name: "the route is dropped", refuses: true, apply: func(_ *testing.T, _ *Flows, _ *Backend, now int) *Table {
		return tableAt(now, defaultOptions(), routes(3, route(2, share("covers", 1))))
	}},
	{name: "the pool is refused", refuses: true, apply: func(t *testing.T, flows *Flows, _ *Backend, now int) *Table {
		flows.SetRefusals(lowPriorityRefusals(t))
		return tableAt(now, defaultOptions())
	}},
}

// useTwice sends the SYN of a flow and one copy of it, opens the flow at the back end that got the
// copy, and ends it.
func (u *portUse) useTwice(flows *Flows, table *Table, now int) (first, copied Decision) {
	first = flows.Decide(table, u.syn(0), at(now))
	if first.Verdict != Forward {
		return first, first
	}
	copied = flows.Decide(table, u.syn(1), at(now+200))
	token := copied.Backend.Token
	for _, packet := range []Packet{u.acknowledgement(token), u.request(token), u.answered(token), u.end(token)} {
		flows.Decide(table, packet, at(now+210))
	}
	return first, copied
}

// A port that is used again each second was bound for good to the back end that opened one of its
// flows at the second try, and got new flows there after that back end drained or the route changed.
func TestReusedPortFollowsRoute(t *testing.T) {
	for _, change := range bindingChanges {
		for _, uses := range []int{30, 31} {
			requireReusedPortFollows(t, change, uses)
		}
	}
}

func requireReusedPortFollows(t *testing.T, change bindingChange, uses int) {
	flows, table := NewFlows(mechanism.Set{}).WithZone("zone-1"), tableAt(0, defaultOptions())
	use, now := portUse{port: 1, synSequence: 7}, 0
	next := func() portUse {
		return portUse{port: 1, synSequence: use.synSequence + 250_000, backendSequence: use.backendSequence + 1_000_000}
	}
	var bound *Backend
	for ; now < uses*1000; now += 1000 {
		use = next()
		_, copied := use.useTwice(flows, table, now)
		bound = copied.Backend
	}
	table = change.apply(t, flows, bound, now)
	for end := now + 1500; now < end; now += 500 {
		use = next()
		first, copied := use.useTwice(flows, table, now+pendingMillis)
		for _, decision := range []Decision{first, copied} {
			require.Equal(t, change.refuses, decision.Verdict == Refuse, change.name)
			if decision.Backend != nil {
				require.NotEqual(t, bound.Number, decision.Backend.Number, change.name)
			}
		}
	}
}

// The copy of a SYN goes where the flow was opened, whatever has changed meanwhile. If that is not
// known, it follows the route as it is now.
func TestCopyOfFirstPacketStaysWithOpener(t *testing.T) {
	for _, change := range bindingChanges {
		for _, opened := range []bool{true, false} {
			flows, table := NewFlows(mechanism.Set{}).WithZone("zone-1"), tableAt(0, defaultOptions())
			use := portUse{port: 1, synSequence: 7, backendSequence: 1_000_000}
			first := flows.Decide(table, use.syn(0), at(0))
			if opened {
				flows.Decide(table, use.acknowledgement(first.Backend.Token), at(5))
			}
			table = change.apply(t, flows, first.Backend, 10)
			for index, copied := range []Decision{flows.Decide(table, use.syn(1), at(250)), flows.Decide(table, use.syn(2), at(650))} {
				switch {
				case change.name == "the route is dropped":
					require.Equal(t, ReasonNoRoute, copied.Reason)
				case opened:
					require.Equal(t, first.Backend.Number, copied.Backend.Number, change.name)
				case change.name != "the pool is refused":
					require.NotEqual(t, first.Backend.Number, copied.Backend.Number, change.name)
				default:
					require.Equal(t, Forward, copied.Verdict, "copy %d may have opened its flow", index+1)
				}
			}
		}
	}
}

// A SYN with the number of an earlier flow is a copy only while its client may still send copies.
func TestSameNumberLongAfterOpensAnotherFlow(t *testing.T) {
	flows, table := NewFlows(mechanism.Set{}), manyBackends(5)
	use := portUse{port: 1, synSequence: 7, backendSequence: 1_000_000}
	opener := use.openThrough(flows, table, 2)[0]
	require.Equal(t, opener, flows.Decide(table, use.syn(2), at(copyMillis-1)).Backend)
	require.Equal(t, opener, flows.flowCache.find(key(1)).opening.openedBy)
	flows.Decide(table, use.syn(0), at(copyMillis))
	require.Nil(t, flows.flowCache.find(key(1)).opening.openedBy)
}

const copyMillis = int(copyTimeout / time.Millisecond)

// A copy of the SYN of an earlier flow that comes after the port was used again opens nothing: its
// answer would change the token of the later flow.
func TestLateCopyOfEarlierFirstPacketIsDropped(t *testing.T) {
	flows, table := NewFlows(mechanism.Set{}), manyBackends(5)
	earlier, later := twoUses(true)
	flows.Decide(table, earlier.syn(0), at(0))
	opener := flows.Decide(table, later.syn(0), at(300)).Backend
	require.Equal(t, Decision{Verdict: Drop, Reason: ReasonLate}, flows.Decide(table, earlier.syn(1), at(310)))
	require.Equal(t, opener, flows.Decide(table, later.syn(1), at(320)).Backend)
}
