package tokenroute

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// request is a packet with data of a client's flow: its n-th request.
func request(client byte, token Token, n uint32) Packet {
	return Packet{Key: clientKey(client), Token: token, Sequence: 1000 * n, Acknowledged: 5000 * n, Length: 500}
}

// acknowledgement is a packet without data.
func acknowledgement(client byte, token Token) Packet {
	return Packet{Key: clientKey(client), Token: token, Sequence: 7, Acknowledged: 9}
}

func clientKey(client byte) flow.Key {
	made := key(40000)
	made.Source[3] = client
	return made
}

// retransmitTimes are when clients send a packet again that nobody acknowledged.
var retransmitTimes = []int{200, 600, 1400, 3000}

// sendUnanswered sends the first request of some clients to a back end that stays silent,
// with all its repetitions up to a time, and returns the verdicts of the last
// packet of each client. Another back end answers a request every 50 ms.
func sendUnanswered(flows *Flows, table *Table, token Token, clients []byte, from, until int) []Verdict {
	for now := 0; now < until; now += 50 {
		if now == 0 || slices.Contains(retransmitTimes, now) {
			for _, client := range clients {
				flows.Decide(table, request(client, token, 1), at(from+now))
			}
		}
		flows.Decide(table, request(200, 3, uint32(from+now)), at(from+now+1))
	}
	var verdicts []Verdict
	for _, client := range clients {
		verdicts = append(verdicts, flows.Decide(table, request(client, token, 1), at(from+until)).Verdict)
	}
	return verdicts
}

// A back end that falls silent costs its clients their deadlines, unless they
// are told: fleetbench days of crashes lost 181 and 200 requests so.
func TestFlowsOfSilentBackendAreReset(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	require.Equal(t, []Verdict{Forward, Forward}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1, 2}, 0, 200), "one repetition says little")
	require.Equal(t, []Verdict{Forward, Refuse}, sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600), "the second client decides")
	require.Equal(t, Refuse, flows.Decide(table, request(1, 2, 1), at(620)).Verdict)
	told := flows.Decide(table, request(3, 2, 1), at(700))
	require.Equal(t, Refuse, told.Verdict, "a request of another flow is told at once")
	require.Equal(t, ReasonDeadBackend, told.Reason)
	require.Equal(t, Forward, flows.Decide(table, request(4, 3, 1), at(700)).Verdict, "other back ends are not touched")
	require.Equal(t, Forward, flows.Decide(table, acknowledgement(5, 2), at(700)).Verdict, "what asks for nothing passes")
}

func TestFailedBackendGetsNoNewFlows(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600)
	for port := range 200 {
		require.NotEqual(t, Token(2), flows.Decide(table, firstPacket(port), at(700)).Backend.Token)
	}
}

// A request that must not be repeated is lost when it goes to a dead back end,
// so flows that wait for nothing yet are reset with the verdict.
func TestFailureAbandonsRecentFlows(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	flows.Decide(table, request(8, 2, 1), at(0))
	answered := acknowledgement(8, 2)
	answered.Acknowledged = 5300
	flows.Decide(table, answered, at(20))
	flows.Decide(table, request(7, 3, 1), at(100))
	sendUnanswered(flows, table, 2, []byte{1}, 100, 600)
	require.Empty(t, flows.TakeAbandonedFlows())
	sendUnanswered(flows, table, 2, []byte{2}, 110, 600)
	acknowledged := make(map[flow.Key]uint32)
	for _, abandoned := range flows.TakeAbandonedFlows() {
		require.Equal(t, Token(2), abandoned.Backend.Token)
		acknowledged[abandoned.Key] = abandoned.Acknowledged
	}
	require.Equal(t, map[flow.Key]uint32{clientKey(1): 5000, clientKey(2): 5000, clientKey(8): 5300}, acknowledged)
	require.Empty(t, flows.TakeAbandonedFlows())
}

// One client needs one repetition more, also where the directory says that the back end is
// gone: it may serve on, and the repetitions may have been lost on the way.
func TestSingleClientNeedsOneMoreRetransmission(t *testing.T) {
	table := manyBackends(3)
	require.Equal(t, []Verdict{Forward}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1}, 0, 600))
	require.Equal(t, []Verdict{Refuse}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1}, 0, 1400))
	all := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 2, "lending")), backend(3, 3, "lending"))
	require.Equal(t, []Verdict{Forward}, sendUnanswered(NewFlows(mechanism.Set{}), NewTable(all, defaultOptions()), 2, []byte{1}, 0, 600))
	require.Equal(t, []Verdict{Refuse}, sendUnanswered(NewFlows(mechanism.Set{}), NewTable(all, defaultOptions()), 2, []byte{1}, 0, 1400))
}

// The directory may learn between two copies that the entry is gone. What was left unanswered
// before counts on.
func TestRetransmissionsCountAcrossEntryRemoval(t *testing.T) {
	before := NewTable(newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 2, "lending"), backend(3, 3, "lending")), defaultOptions())
	after := NewTable(newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 2, "lending")), backend(3, 3, "lending")), defaultOptions())
	flows := NewFlows(mechanism.Set{})
	for now := 0; now < 1400; now += 50 {
		table := before
		if now >= 300 {
			table = after
		}
		if now == 0 || slices.Contains(retransmitTimes, now) {
			require.Equal(t, Forward, flows.Decide(table, request(1, 2, 1), at(now)).Verdict)
		}
		flows.Decide(table, request(9, 3, uint32(now+1)), at(now+1))
	}
	require.Equal(t, Refuse, flows.Decide(after, request(1, 2, 1), at(1400)).Verdict)
}

func TestNewerAcknowledgementClearsFailure(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	flows.Decide(table, request(9, 2, 1), at(0))
	sendUnanswered(flows, table, 2, []byte{1, 2}, 10, 600)
	require.Equal(t, Refuse, flows.Decide(table, request(3, 2, 1), at(640)).Verdict)
	flows.Decide(table, request(9, 2, 2), at(645))
	require.Equal(t, Refuse, flows.Decide(table, request(3, 2, 1), at(646)).Verdict,
		"the answer to that client may be older than the requests that wait")
	flows.Decide(table, acknowledgement(8, 2), at(650))
	require.Equal(t, Forward, flows.Decide(table, request(1, 2, 1), at(700)).Verdict)
	require.Equal(t, Forward, flows.Decide(table, request(3, 2, 1), at(700)).Verdict)
}

func TestNextRequestShowsThatThePreviousWasAnswered(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600)
	require.Equal(t, Refuse, flows.Decide(table, request(3, 2, 1), at(640)).Verdict)
	flows.Decide(table, request(9, 2, 1), at(641))
	flows.Decide(table, request(9, 2, 2), at(645))
	require.Equal(t, Forward, flows.Decide(table, request(3, 2, 1), at(650)).Verdict,
		"a request sent later was answered")
}

// A balancer that was stalled reads the copies of a packet together. They say
// nothing, since the back end never had the time to answer.
func TestCopiesReadTogetherCountOnce(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	for range 5 {
		for client := range byte(5) {
			require.Equal(t, Forward, flows.Decide(table, request(client, 2, 1), at(0)).Verdict)
		}
	}
	for range 5 {
		for client := range byte(5) {
			require.Equal(t, Forward, flows.Decide(table, request(client, 2, 1), at(5000)).Verdict)
		}
	}
}

func TestFailureExpiresUnlessEntryIsGone(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600)
	require.Equal(t, Refuse, flows.Decide(table, request(3, 2, 1), at(2500)).Verdict)
	require.Equal(t, []incarnation.ID{{Number: 2}}, flows.Summarize(at(2500)).Dead)
	require.Empty(t, flows.Summarize(at(4800)).Dead)
	require.Equal(t, Forward, flows.Decide(table, request(3, 2, 1), at(2700)).Verdict)
	all := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 2, "lending")), backend(3, 3, "lending"))
	require.Equal(t, Refuse, flows.Decide(NewTable(all, defaultOptions()), request(4, 2, 1), at(2700)).Verdict)
	require.Equal(t, Refuse, flows.Decide(NewTable(all, defaultOptions()), request(4, 2, 1), at(30_000)).Verdict)
}

// modelClient is a client of a back end that lives: it repeats a request until
// the answer comes, and sends the next one a while later.
type modelClient struct {
	n, retransmits   uint32
	sentAt, answerAt int
	lossLeft         bool
}

const never = int(^uint(0) >> 1)

// send returns whether the client sends a packet at a time, the next request
// or a copy of the last one.
func (c *modelClient) send(now, think int) bool {
	switch {
	case c.n == 0 || now >= c.answerAt+think:
		*c = modelClient{n: c.n + 1, sentAt: now, answerAt: never, lossLeft: true}
		return true
	case now < c.answerAt && int(c.retransmits) < len(retransmitTimes) && now-c.sentAt >= retransmitTimes[c.retransmits]:
		c.retransmits++
		return true
	}
	return false
}

// A balancer whose own link is full loses the requests to all its back ends: on
// kayalpath-edge-grown, while it sent a large configuration to its followers,
// it reset 27 flows of back ends that were well (snapshot 0a64c42b).
func TestCongestedLinkFailsNoBackend(t *testing.T) {
	const backends = 12
	for lost := 1; lost <= backends; lost++ {
		table, flows := manyBackends(backends), NewFlows(mechanism.Set{})
		condemned := false
		for now := 0; now <= 3000; now += 100 {
			for token := 1; token <= backends; token++ {
				packet := request(byte(token), Token(token), uint32(now+1))
				if token <= lost {
					if now != 0 && !slices.Contains(retransmitTimes, now) {
						continue
					}
					packet = request(byte(token), Token(token), 1)
				}
				condemned = condemned || flows.Decide(table, packet, at(now)).Verdict == Refuse
			}
		}
		require.Equal(t, lost <= 4, condemned, "%d of %d back ends silent", lost, backends)
	}
}

// Whatever the clients do, however the balancer stalls, and with one copy or
// answer of each request lost, the flows of a back end that answers within
// 140 ms are never reset.
func TestFlowsOfLiveBackendAreNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, flows := manyBackends(3), NewFlows(mechanism.Set{})
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		clients := make([]modelClient, rapid.IntRange(1, 8).Draw(t, "clients"))
		longestThink := rapid.IntRange(1, 3000).Draw(t, "longest pause")
		stalls := rapid.IntRange(0, 3).Draw(t, "stalls a second")
		stalledUntil := 0
		var held []int
		for now := 0; now < 20_000; now += 10 {
			if chance.IntN(100) < stalls {
				stalledUntil = max(stalledUntil, now+chance.IntN(3000))
			}
			for index := range clients {
				if clients[index].send(now, chance.IntN(longestThink)) {
					held = append(held, index)
				}
			}
			if now < stalledUntil {
				continue
			}
			for _, index := range held {
				client := &clients[index]
				packet := request(byte(index+1), 2, client.n)
				require.Equal(t, Forward, flows.Decide(table, packet, at(now)).Verdict, "at %d ms", now)
				if client.lossLeft && chance.IntN(10) == 0 {
					client.lossLeft = false
					continue
				}
				client.answerAt = min(client.answerAt, now+chance.IntN(140))
			}
			held = held[:0]
		}
	})
}

func TestFailureDetectorMemoryIsBounded(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	for port := range 60000 {
		packet := request(1, 2, 1)
		packet.Key = key(port)
		flows.Decide(table, packet, at(port/100))
	}
	memory := flows.flowCache
	require.LessOrEqual(t, len(memory.current)+len(memory.previous), 2*maxGenerationFlows)
	flows.rotate(at(600_000))
	flows.rotate(at(600_000 + int(generationTime/time.Millisecond)))
	require.Empty(t, memory.current)
	require.Empty(t, memory.previous)
	require.Empty(t, flows.failureDetector.health)
	require.Empty(t, flows.backoffs)
	flows.rotate(at(600_000 + 2*int(generationTime/time.Millisecond)))
	require.Empty(t, flows.loads)
}

// BenchmarkObserve is the cost of following a request and its acknowledgement.
func BenchmarkObserve(b *testing.B) {
	table := manyBackends(200)
	flows := NewFlows(mechanism.Set{})
	backend := flows.Decide(table, firstPacket(1), start).Backend
	number := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		number++
		packet := request(byte(number), 2, number)
		packet.Key.SourcePort = uint16(number % 14000)
		flows.observe(packet, flows.flowCache.find(packet.Key), backend, start)
		packet.Length = 0
		packet.Acknowledged++
		flows.observe(packet, flows.flowCache.find(packet.Key), backend, start)
	}
}

// BenchmarkFailureDetectorMemory is the memory of the flows that one balancer follows
// at the size of two years: 170 million flows over 12,000 balancers.
func BenchmarkFailureDetectorMemory(b *testing.B) {
	const count = 170_000_000 / 12_000
	backend := NewFlows(mechanism.Set{}).Decide(manyBackends(3), firstPacket(1), start).Backend
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		flows := NewFlows(mechanism.Set{})
		for port := range count {
			packet := request(1, 2, 1)
			packet.Key.SourcePort = uint16(port)
			flows.observe(packet, flows.flowCache.find(packet.Key), backend, start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/flow")
		runtime.KeepAlive(flows)
	}
}
