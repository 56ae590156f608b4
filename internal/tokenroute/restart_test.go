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

// restartingBackend is a directory of three back ends, the second of which restarts under the same
// number.
type restartingBackend struct {
	entries  *directory.Directory
	revision uint64
}

func newRestartingBackend(startedAt int) *restartingBackend {
	built := &restartingBackend{entries: directory.New(time.Minute), revision: 100}
	first := backend(2, 2, "lending")
	first.GetBackend().StartedMilliseconds = startOf(startedAt)
	table := routes(1, route(1, share("lending", 1)))
	table.GetRoutes().IdleMilliseconds = 15_000
	changes := []*apiv1.DirectoryChange{table, backend(2, 1, "lending"), first, backend(2, 3, "lending")}
	built.entries.Apply(&apiv1.DirectoryBatch{Changes: changes, Revision: built.revision}, at(startedAt))
	return built
}

// startOf returns the start in the directory entry of a back end that started at the given time.
func startOf(milliseconds int) uint64 { return uint64(at(milliseconds).UnixMilli()) }

func (r *restartingBackend) table() *Table { return NewTable(r.entries, defaultOptions()) }

// restart applies a restart of the second back end to the directory and returns the new table.
func (r *restartingBackend) restart(startedAt, learnedAt int) *Table {
	r.revision++
	restarted := backend(r.revision, 2, "lending")
	restarted.GetBackend().StartedMilliseconds = startOf(startedAt)
	r.entries.Apply(&apiv1.DirectoryBatch{Changes: []*apiv1.DirectoryChange{restarted}, Revision: r.revision}, at(learnedAt))
	return r.table()
}

func id(number uint64, startedAt int) incarnation.ID {
	return incarnation.ID{Number: number, Start: incarnation.Start(startOf(startedAt))}
}

// Evidence against one start of a back end says nothing about the next one. The flows of the next
// start would otherwise be reset although it is alive.
func TestFailureOfEarlierStartDoesNotAffectNext(t *testing.T) {
	restarting, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
	before := restarting.table()
	require.Equal(t, []Verdict{Forward, Refuse}, sendUnanswered(flows, before, 2, []byte{1, 2}, 0, 600))
	after := restarting.restart(500, 700)
	require.Equal(t, Forward, flows.Decide(after, request(3, 2, 1), at(750)).Verdict, "a flow of the new start")
	require.Equal(t, Forward, flows.Decide(after, request(1, 2, 1), at(1400)).Verdict, "a copy of a request that the earlier start left unanswered")
	flows.TakeAbandonedFlows()
	for client := range evidence.Client(3) {
		flows.Receive(evidence.UnansweredRequest{Backend: id(2, -60_000), Client: client + 50, SentAt: at(900)}, after, at(1600))
	}
	flows.EvaluatePending(at(2000))
	require.Equal(t, Forward, flows.Decide(after, request(4, 2, 1), at(2001)).Verdict, "unanswered requests of the earlier start")
	require.Empty(t, flows.TakeAbandonedFlows())
	for client := range evidence.Client(2) {
		flows.Receive(evidence.UnansweredRequest{Backend: id(2, 500), Client: client + 50, SentAt: at(1500)}, after, at(2100))
	}
	flows.EvaluatePending(at(2400))
	require.Equal(t, Refuse, flows.Decide(after, request(5, 2, 1), at(2401)).Verdict, "unanswered requests of this start")
}

// A request that may not be repeated is lost if its flow's back end has restarted in the meantime
// and no longer holds the flow. So flows of the earlier start are reset once the new one is known,
// including idle ones, and each only once. Flows that the new start may hold are not reset.
func TestFlowsOfEarlierStartAreReset(t *testing.T) {
	restarting, flows := newRestartingBackend(-60_000), NewFlows(mechanism.Set{})
	table := restarting.table()
	exchange := func(client byte, now int) {
		flows.Decide(table, request(client, 2, uint32(now+1)), at(now))
		flows.Decide(table, acknowledgement(client, 2, uint32(now+1)), at(now+20))
	}
	exchange(1, 0) // idle when the new start becomes known
	for now := 0; now < 12_000; now += 2000 {
		exchange(2, now)
		flows.Decide(table, request(9, 3, uint32(now+1)), at(now))
	}
	exchange(3, 11_000)
	exchange(4, 12_300) // opened at the new start, before its entry was known
	table = restarting.restart(12_100, 13_000)
	flows.SetTable(table, at(13_010))
	reset := make(map[flow.Key]Reason)
	for _, abandoned := range flows.TakeAbandonedFlows() {
		require.Equal(t, id(2, 12_100), abandoned.Backend.Incarnation())
		reset[abandoned.Key] = abandoned.Reason
	}
	require.Equal(t, map[flow.Key]Reason{clientKey(1): ReasonRestarted, clientKey(2): ReasonRestarted}, reset)
	require.Equal(t, "restarted_backend", ReasonRestarted.String())
	flows.SetTable(restarting.table(), at(13_100))
	require.Empty(t, flows.TakeAbandonedFlows(), "each flow is abandoned once")
	exchange(4, 13_200)
	require.Empty(t, flows.TakeAbandonedFlows())
}

// The rank of a back end for a flow depends on its number, not on its start.
func TestRestartKeepsBackendOrder(t *testing.T) {
	restarting := newRestartingBackend(-60_000)
	before, after := restarting.table(), restarting.restart(500, 700)
	for port := range 300 {
		one := NewFlows(mechanism.Set{}).Decide(before, firstPacket(port), at(0)).Backend
		other := NewFlows(mechanism.Set{}).Decide(after, firstPacket(port), at(0)).Backend
		require.Equal(t, one.Number, other.Number)
	}
}

// A back end restarts repeatedly under its number. Its entries arrive up to 3 s late, clocks differ
// by up to 2 s, and clients open flows, stay idle and send requests. No flow of the current start
// is ever reset.
func TestFlowsOfCurrentStartAreNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		skew := rapid.IntRange(-2000, 2000).Draw(t, "clock differs by ms")
		restarting, flows := newRestartingBackend(skew-1000), NewFlows(mechanism.Set{})
		table, currentStart, learnAt, startedAt := restarting.table(), 0, -1, 0
		type client struct {
			openedAt, nextAt int
			n                uint32
		}
		clients := make([]client, rapid.IntRange(1, 12).Draw(t, "clients"))
		for now := 0; now < 60_000; now += 20 {
			if learnAt < 0 && random.IntN(400) == 0 {
				startedAt, learnAt = now, now+random.IntN(3000)
				currentStart = now
			}
			if learnAt >= 0 && now >= learnAt {
				table = restarting.restart(startedAt+skew, now)
				learnAt = -1
			}
			flows.SetTable(table, at(now))
			for index := range clients {
				c := &clients[index]
				if c.openedAt < currentStart || c.n == 0 {
					// The back end resets flows that it doesn't hold, and the client opens another
					// one.
					*c = client{openedAt: now, nextAt: now + random.IntN(8000)}
				}
				if now < c.nextAt {
					continue
				}
				c.n++
				packet := request(byte(index+1), 2, c.n)
				packet.Key.SourcePort = uint16(c.openedAt/20 + 1000)
				require.Equal(t, Forward, flows.Decide(table, packet, at(now)).Verdict)
				packet.Length, packet.Acknowledged = 0, packet.Acknowledged+4
				flows.Decide(table, packet, at(now+15))
				c.nextAt = now + 100 + random.IntN(6000)
			}
			for _, abandoned := range flows.TakeAbandonedFlows() {
				opened := (int(abandoned.Key.SourcePort) - 1000) * 20
				require.Less(t, opened, currentStart, "a flow of the current start was reset at %d ms", now)
			}
		}
	})
}
