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

// request returns a packet with data of a client's flow: its n-th request. The numbers advance so
// little that those of any two requests of a test may belong to one flow.
func request(client byte, token Token, n uint32) Packet {
	return Packet{Key: clientKey(client), Token: token, Sequence: n, Acknowledged: 5 * n, Length: 500}
}

// acknowledgement returns a packet without data, for the answer to the n-th request.
func acknowledgement(client byte, token Token, n uint32) Packet {
	return Packet{Key: clientKey(client), Token: token, Sequence: n + 500, Acknowledged: 5*n + 4}
}

func clientKey(client byte) flow.Key {
	built := key(40000)
	built.Source[3] = client
	return built
}

// retransmitTimes are the times in milliseconds after which clients retransmit an unacknowledged
// packet.
var retransmitTimes = []int{200, 600, 1400, 3000}

// sendUnanswered sends the first request of some clients to a silent back end, with all its
// retransmissions up to a time, and returns the verdict on the last packet of each client. Another
// back end answers a request every 50 ms.
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

// A back end that falls silent makes its clients wait for their deadlines unless their flows are
// reset. Simulated days with crashes in fleetbench lost 181 and 200 requests that way.
func TestFlowsOfSilentBackendAreReset(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	require.Equal(t, []Verdict{Forward, Forward}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1, 2}, 0, 200), "one retransmission is not enough")
	require.Equal(t, []Verdict{Forward, Refuse}, sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600), "the second client suffices")
	require.Equal(t, Refuse, flows.Decide(table, request(1, 2, 1), at(620)).Verdict)
	refused := flows.Decide(table, request(3, 2, 1), at(700))
	require.Equal(t, Refuse, refused.Verdict, "a request of another flow is refused at once")
	require.Equal(t, ReasonDeadBackend, refused.Reason)
	require.Equal(t, Forward, flows.Decide(table, request(4, 3, 1), at(700)).Verdict, "other back ends are not affected")
	require.Equal(t, Forward, flows.Decide(table, acknowledgement(5, 2, 1), at(700)).Verdict, "a packet without data is forwarded")
}

func TestFailedBackendGetsNoNewFlows(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	sendUnanswered(flows, table, 2, []byte{1, 2}, 0, 600)
	for port := range 200 {
		require.NotEqual(t, Token(2), flows.Decide(table, firstPacket(port), at(700)).Backend.Token)
	}
}

// A request that must not be repeated is lost if it goes to a failed back end, so flows without an
// outstanding request are also reset when the failure is detected.
func TestFailureAbandonsRecentFlows(t *testing.T) {
	table, flows := manyBackends(3), NewFlows(mechanism.Set{})
	flows.Decide(table, request(8, 2, 1), at(0))
	answered := acknowledgement(8, 2, 1)
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
	require.Equal(t, map[flow.Key]uint32{clientKey(1): 5, clientKey(2): 5, clientKey(8): 9}, acknowledged)
	require.Empty(t, flows.TakeAbandonedFlows())
}

// A single client needs one more retransmission than two, even if the directory says that the back
// end is gone: it may keep serving, and the retransmissions may have been lost on the way.
func TestSingleClientNeedsOneMoreRetransmission(t *testing.T) {
	table := manyBackends(3)
	require.Equal(t, []Verdict{Forward}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1}, 0, 600))
	require.Equal(t, []Verdict{Refuse}, sendUnanswered(NewFlows(mechanism.Set{}), table, 2, []byte{1}, 0, 1400))
	entries := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 2, "lending")), backend(3, 3, "lending"))
	require.Equal(t, []Verdict{Forward}, sendUnanswered(NewFlows(mechanism.Set{}), NewTable(entries, defaultOptions()), 2, []byte{1}, 0, 600))
	require.Equal(t, []Verdict{Refuse}, sendUnanswered(NewFlows(mechanism.Set{}), NewTable(entries, defaultOptions()), 2, []byte{1}, 0, 1400))
}

// The directory may learn between two copies that the entry is gone. Earlier unanswered copies
// still count.
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
		"the answer to that client may be older than the unanswered requests")
	flows.Decide(table, acknowledgement(8, 2, 1), at(650))
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

// A balancer that was stalled reads the copies of a packet together. They are no evidence, since
// the back end had no time to answer.
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

// Guards against a failure that lasts as long as the directory entry of the back end is gone. A
// back end that leaves serves without an entry. After it had been unreachable for 2 s, its open
// flows were reset for up to a minute, and no request reached it that could have shown that it lives.
func TestFailureExpiresWhetherOrNotEntryIsGone(t *testing.T) {
	entries := newDirectory(routes(1, route(1, share("lending", 1))), gone(backend(2, 2, "lending")), backend(3, 3, "lending"))
	for name, later := range map[string]*Table{"listed": manyBackends(3), "gone": NewTable(entries, defaultOptions())} {
		flows := NewFlows(mechanism.Set{})
		sendUnanswered(flows, manyBackends(3), 2, []byte{1, 2}, 0, 600)
		require.Equal(t, Refuse, flows.Decide(later, request(3, 2, 1), at(2500)).Verdict, name)
		require.Equal(t, []incarnation.ID{{Number: 2}}, flows.Summarize(at(2500)).Dead, name)
		require.Empty(t, flows.Summarize(at(4800)).Dead, name)
		require.Equal(t, Forward, flows.Decide(later, request(3, 2, 1), at(2700)).Verdict, name)
		require.Equal(t, Forward, flows.Decide(later, request(4, 2, 1), at(2700)).Verdict, name)
		require.Equal(t, Forward, flows.Decide(later, request(4, 2, 1), at(30_000)).Verdict, name)
		require.Equal(t, []Verdict{Refuse}, sendUnanswered(flows, later, 2, []byte{5}, 30_100, 600),
			"%s: one more client suffices while the others' requests are unanswered", name)
	}
}

// modelClient is a client of a live back end. It retransmits a request until the answer arrives,
// and sends the next one some time later.
type modelClient struct {
	n, retransmits   uint32
	sentAt, answerAt int
	lossLeft         bool
}

const never = int(^uint(0) >> 1)

// send reports whether the client sends a packet at the given time: the next request or a copy of
// the last one.
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

// A balancer whose own link is congested loses the requests to all its back ends. In the scenario
// kayalpath-edge-grown, a balancer that was sending a large configuration to its followers reset 27
// flows of healthy back ends.
func TestCongestedLinkFailsNoBackend(t *testing.T) {
	const backends = 12
	for lost := 1; lost <= backends; lost++ {
		table, flows := manyBackends(backends), NewFlows(mechanism.Set{})
		failed := false
		for now := 0; now <= 3000; now += 100 {
			for token := 1; token <= backends; token++ {
				packet := request(byte(token), Token(token), uint32(now+1))
				if token <= lost {
					if now != 0 && !slices.Contains(retransmitTimes, now) {
						continue
					}
					packet = request(byte(token), Token(token), 1)
				}
				failed = failed || flows.Decide(table, packet, at(now)).Verdict == Refuse
			}
		}
		require.Equal(t, lost <= 4, failed, "%d of %d back ends silent", lost, backends)
	}
}

// The flows of a back end that answers within 140 ms are never reset, whatever the clients do and
// however long the balancer stalls, with one copy or answer of each request lost.
func TestFlowsOfLiveBackendAreNeverReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, flows := manyBackends(3), NewFlows(mechanism.Set{})
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		clients := make([]modelClient, rapid.IntRange(1, 8).Draw(t, "clients"))
		longestThink := rapid.IntRange(1, 3000).Draw(t, "longest pause")
		stalls := rapid.IntRange(0, 3).Draw(t, "stalls a second")
		stalledUntil := 0
		var waiting []int
		for now := 0; now < 20_000; now += 10 {
			if random.IntN(100) < stalls {
				stalledUntil = max(stalledUntil, now+random.IntN(3000))
			}
			for index := range clients {
				if clients[index].send(now, random.IntN(longestThink)) {
					waiting = append(waiting, index)
				}
			}
			if now < stalledUntil {
				continue
			}
			for _, index := range waiting {
				client := &clients[index]
				packet := request(byte(index+1), 2, client.n)
				require.Equal(t, Forward, flows.Decide(table, packet, at(now)).Verdict, "at %d ms", now)
				if client.lossLeft && random.IntN(10) == 0 {
					client.lossLeft = false
					continue
				}
				client.answerAt = min(client.answerAt, now+random.IntN(140))
			}
			waiting = waiting[:0]
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
	cache := flows.flowCache
	require.LessOrEqual(t, len(cache.current)+len(cache.previous), 2*maxGenerationFlows)
	flows.rotate(at(600_000))
	flows.rotate(at(600_000 + int(generationTime/time.Millisecond)))
	require.Empty(t, cache.current)
	require.Empty(t, cache.previous)
	require.Empty(t, flows.failureDetector.health)
	require.Empty(t, flows.backoffs)
	flows.rotate(at(600_000 + 2*int(generationTime/time.Millisecond)))
	require.Empty(t, flows.loads)
}

// BenchmarkObserve measures tracking a request and its acknowledgement.
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

// BenchmarkFailureDetectorMemory measures the memory for the flows that one balancer tracks at the
// size expected in two years: 170 million flows over 12,000 balancers.
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
