package tokenroute

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// restartingBackend is a directory of three back ends of which the second one starts again under
// its number.
type restartingBackend struct {
	entries  *directory.Directory
	revision uint64
}

func newRestartingBackend(startedAt int) *restartingBackend {
	made := &restartingBackend{entries: directory.New(time.Minute), revision: 100}
	first := backend(2, 2, "lending")
	first.GetBackend().StartedMilliseconds = startOf(startedAt)
	table := routes(1, route(1, share("lending", 1)))
	table.GetRoutes().IdleMilliseconds = 15_000
	changes := []*apiv1.DirectoryChange{table, backend(2, 1, "lending"), first, backend(2, 3, "lending")}
	made.entries.Apply(&apiv1.DirectoryBatch{Changes: changes, Revision: made.revision}, at(startedAt))
	return made
}

// startOf is the start of a back end at a time, as its entry tells it.
func startOf(milliseconds int) uint64 { return uint64(at(milliseconds).UnixMilli()) }

func (r *restartingBackend) table() *Table { return NewTable(r.entries, defaultOptions()) }

// restart lets the directory learn that the second back end has started again.
func (r *restartingBackend) restart(startedAt, learnedAt int) *Table {
	r.revision++
	again := backend(r.revision, 2, "lending")
	again.GetBackend().StartedMilliseconds = startOf(startedAt)
	r.entries.Apply(&apiv1.DirectoryBatch{Changes: []*apiv1.DirectoryChange{again}, Revision: r.revision}, at(learnedAt))
	return r.table()
}

func id(number uint64, startedAt int) incarnation.ID {
	return incarnation.ID{Number: number, Start: incarnation.Start(startOf(startedAt))}
}

// What speaks against a start of a back end says nothing of the next one, whose flows would
// else be reset while it lives.
func TestFailureOfEarlierStartDoesNotAffectNext(t *testing.T) {
	back, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
	before := back.table()
	require.Equal(t, []Verdict{Forward, Refuse}, sendUnanswered(flows, before, 2, []byte{1, 2}, 0, 600))
	after := back.restart(500, 700)
	require.Equal(t, Forward, flows.Decide(after, request(3, 2, 1), at(750)).Verdict, "a flow of the new start")
	require.Equal(t, Forward, flows.Decide(after, request(1, 2, 1), at(1400)).Verdict, "a copy of what the earlier one left unanswered")
	flows.TakeAbandonedFlows()
	for client := range evidence.Client(3) {
		flows.Receive(evidence.UnansweredRequest{Backend: id(2, -60_000), Client: client + 50, SentAt: at(900)}, after, at(1600))
	}
	flows.EvaluatePending(at(2000))
	require.Equal(t, Forward, flows.Decide(after, request(4, 2, 1), at(2001)).Verdict, "witnesses of the earlier start")
	require.Empty(t, flows.TakeAbandonedFlows())
	for client := range evidence.Client(2) {
		flows.Receive(evidence.UnansweredRequest{Backend: id(2, 500), Client: client + 50, SentAt: at(1500)}, after, at(2100))
	}
	flows.EvaluatePending(at(2400))
	require.Equal(t, Refuse, flows.Decide(after, request(5, 2, 1), at(2401)).Verdict, "witnesses of this one")
}

// A request that may not be repeated is lost when its flow's back end has started again
// since and holds the flow no more. So flows of the earlier start are reset once the new one
// is known, the idle ones too, each once; those that it may hold are not.
func TestFlowsOfEarlierStartAreReset(t *testing.T) {
	back, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
	table := back.table()
	exchange := func(client byte, now int) {
		flows.Decide(table, request(client, 2, uint32(now+1)), at(now))
		done := acknowledgement(client, 2)
		done.Acknowledged = 5000*uint32(now+1) + 300
		flows.Decide(table, done, at(now+20))
	}
	exchange(1, 0) // rests when the new start comes
	for now := 0; now < 12_000; now += 2000 {
		exchange(2, now)
		flows.Decide(table, request(9, 3, uint32(now+1)), at(now))
	}
	exchange(3, 11_000)
	exchange(4, 12_300) // opened at the new start, before its entry was known
	table = back.restart(12_100, 13_000)
	flows.SetTable(table, at(13_010))
	reset := make(map[flow.Key]Reason)
	for _, abandoned := range flows.TakeAbandonedFlows() {
		require.Equal(t, id(2, 12_100), abandoned.Backend.Incarnation())
		reset[abandoned.Key] = abandoned.Reason
	}
	require.Equal(t, map[flow.Key]Reason{clientKey(1): ReasonRestarted, clientKey(2): ReasonRestarted}, reset)
	require.Equal(t, "restarted_backend", ReasonRestarted.String())
	flows.SetTable(back.table(), at(13_100))
	require.Empty(t, flows.TakeAbandonedFlows(), "each is told once")
	exchange(4, 13_200)
	require.Empty(t, flows.TakeAbandonedFlows())
}

// The place of a back end in the order of a flow goes by its number, not by its start.
func TestRestartKeepsBackendOrder(t *testing.T) {
	back := newRestartingBackend(-60_000)
	before, after := back.table(), back.restart(500, 700)
	for port := range 300 {
		one := NewFlows(mechanism.Set{}).Decide(before, firstPacket(port), at(0)).Backend
		other := NewFlows(mechanism.Set{}).Decide(after, firstPacket(port), at(0)).Backend
		require.Equal(t, one.Number, other.Number)
	}
}

// A back end starts again and again under its number; its entries come up to 3 s late, clocks
// differ by up to 2 s, and clients open flows, rest and ask. No flow of the living start is
// ever reset.
func TestFlowsOfCurrentStartAreNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		skew := rapid.IntRange(-2000, 2000).Draw(t, "clock differs by ms")
		back, flows := newRestartingBackend(skew-1000), NewFlows(mechanism.Set{})
		table, living, learnAt, startedAt := back.table(), 0, -1, 0
		type client struct {
			openedAt, nextAt int
			n                uint32
		}
		clients := make([]client, rapid.IntRange(1, 12).Draw(t, "clients"))
		for now := 0; now < 60_000; now += 20 {
			if learnAt < 0 && chance.IntN(400) == 0 {
				startedAt, learnAt = now, now+chance.IntN(3000)
				living = now
			}
			if learnAt >= 0 && now >= learnAt {
				table = back.restart(startedAt+skew, now)
				learnAt = -1
			}
			flows.SetTable(table, at(now))
			for place := range clients {
				c := &clients[place]
				if c.openedAt < living || c.n == 0 {
					// The back end resets what it does not hold, and the client opens another flow.
					*c = client{openedAt: now, nextAt: now + chance.IntN(8000)}
				}
				if now < c.nextAt {
					continue
				}
				c.n++
				packet := request(byte(place+1), 2, c.n)
				packet.Key.SourcePort = uint16(c.openedAt/20 + 1000)
				require.Equal(t, Forward, flows.Decide(table, packet, at(now)).Verdict)
				packet.Length, packet.Acknowledged = 0, packet.Acknowledged+300
				flows.Decide(table, packet, at(now+15))
				c.nextAt = now + 100 + chance.IntN(6000)
			}
			for _, abandoned := range flows.TakeAbandonedFlows() {
				opened := (int(abandoned.Key.SourcePort) - 1000) * 20
				require.Less(t, opened, living, "a flow of the living start was reset at %d", now)
			}
		}
	})
}
