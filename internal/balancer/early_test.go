package balancer

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/rule"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

func newTestPacket(client byte, sequence uint32) tokenroute.Packet {
	return tokenroute.Packet{Key: flow.Key{Source: [4]byte{100, 64, 0, client}}, Sequence: sequence, Length: 1}
}

func TestEarlyPacketsAreBounded(t *testing.T) {
	var kept earlyBuffer
	now := time.Now()
	for sequence := range uint32(maxEarlyPackets + 3) {
		kept.add(newTestPacket(1, sequence), []byte{1}, now)
	}
	require.EqualValues(t, 3, kept.lost.Load())
	taken := kept.take(now.Add(maxEarlyAge - 1))
	require.Len(t, taken, maxEarlyPackets)
	require.EqualValues(t, 3, taken[0].packet.Sequence, "the oldest were dropped")
	require.EqualValues(t, maxEarlyPackets+2, taken[maxEarlyPackets-1].packet.Sequence)
	require.False(t, kept.pending())
}

// The retransmission of a first packet comes after 200 ms and may open the flow through
// another balancer.
func TestEarlyOpenersExpireBeforeTheirRetransmission(t *testing.T) {
	var kept earlyBuffer
	now := time.Now()
	first := newTestPacket(1, 1)
	first.First, first.Length = true, 0
	kept.add(first, []byte{1}, now)
	kept.add(newTestPacket(2, 1), []byte{2}, now)
	taken := kept.take(now.Add(200 * time.Millisecond))
	require.Len(t, taken, 1)
	require.Equal(t, []byte{2}, taken[0].datagram)
	require.EqualValues(t, 1, kept.lost.Load())
}

// newTestTraffic returns the traffic state of a balancer without starting its goroutine.
func newTestTraffic(t *testing.T, codec Codec) *traffic {
	balancer := &Balancer{
		logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		started: time.Now(), dependencies: Dependencies{Codec: codec},
	}
	balancer.settings.Store(testSettings())
	balancer.traffic = newTraffic(balancer, listenLoopback(t))
	return balancer.traffic
}

// refusalCountingCodec counts the packets that are refused.
type refusalCountingCodec struct {
	testCodec
	refused *int
}

func (c refusalCountingCodec) Refuse(output []byte, _ tokenroute.Packet) []byte {
	*c.refused++
	return output
}

func (c refusalCountingCodec) ClientAddress(tokenroute.Packet) netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:9")
}

// A packet that has waited is not refused: its client may have opened the flow through
// another balancer meanwhile, and the refusal would end it.
func TestNoEarlyPacketIsRefused(t *testing.T) {
	refused := 0
	traffic := newTestTraffic(t, refusalCountingCodec{refused: &refused})
	now := time.Now()
	table := newTestTable(netip.MustParseAddrPort("127.0.0.1:9"))
	nowhere := tokenroute.Packet{Key: flow.Key{Source: [4]byte{100, 64, 0, 1}, Destination: [4]byte{198, 18, 0, 1},
		DestinationPort: 444, Protocol: flow.ProtocolTCP}, First: true}
	traffic.earlyBuffer.add(nowhere, []byte{1}, now)
	traffic.routeEarlyPackets(table, now.Add(time.Millisecond))
	require.Zero(t, refused)
	require.EqualValues(t, 1, traffic.decisionCounts[tokenroute.ReasonNoRoute].Load())
	traffic.route(nowhere, []byte{1}, table, now.Add(2*time.Millisecond))
	require.Equal(t, 1, refused, "a packet that arrives now is refused")
}

// Acknowledgements are evaluated as of their arrival, and time must not run backwards
// after them.
func TestEarlyAcknowledgementsComeFirst(t *testing.T) {
	var kept earlyBuffer
	now := time.Now()
	acknowledgement := newTestPacket(2, 1)
	acknowledgement.Length = 0
	kept.add(newTestPacket(1, 1), []byte{1}, now)
	kept.add(acknowledgement, []byte{2}, now)
	kept.add(newTestPacket(3, 1), []byte{3}, now)
	var order []byte
	for _, each := range kept.take(now) {
		order = append(order, each.datagram...)
	}
	require.Equal(t, []byte{2, 1, 3}, order)
}

// An acknowledgement that has waited does not count as an answer to a request that was
// sent after the acknowledgement arrived.
func TestEarlyAcknowledgementCountsAsOfItsArrival(t *testing.T) {
	traffic := newTestTraffic(t, testCodec{})
	arrivedAt := time.Now()
	table := newTestTable(netip.MustParseAddrPort("127.0.0.1:9"))
	key := flow.Key{Source: [4]byte{100, 64, 0, 1}, Destination: [4]byte{198, 18, 0, 1}, DestinationPort: 443, Protocol: flow.ProtocolTCP}
	request := tokenroute.Packet{Key: key, Token: tokenroute.TokenOf(7), Sequence: 1, Length: 1}
	traffic.earlyBuffer.add(request, []byte{1}, arrivedAt)
	traffic.earlyBuffer.add(tokenroute.Packet{Key: key, Token: tokenroute.TokenOf(7), Acknowledged: 5}, []byte{1}, arrivedAt.Add(time.Millisecond))
	now := arrivedAt.Add(300 * time.Millisecond)
	traffic.routeEarlyPackets(table, now)
	require.EqualValues(t, 2, traffic.decisionCounts[tokenroute.ReasonToken].Load())
	receive := func(sentAt time.Time) []evidence.Observation {
		traffic.flows.Receive(evidence.UnansweredRequest{Backend: evidence.Backend{Number: 7}, Client: 1, Zone: "maadi", SentAt: sentAt}, table, now)
		return traffic.flows.TakeObservations()
	}
	require.Empty(t, receive(arrivedAt.Add(100*time.Millisecond)))
	require.Len(t, receive(arrivedAt), 1, "it answers what was sent before it arrived")
}

func TestEarlyPacketsExpire(t *testing.T) {
	var kept earlyBuffer
	now := time.Now()
	kept.add(newTestPacket(1, 1), []byte{1}, now)
	kept.add(newTestPacket(2, 1), []byte{2}, now.Add(maxEarlyAge/2))
	taken := kept.take(now.Add(maxEarlyAge))
	require.Len(t, taken, 1)
	require.Equal(t, []byte{2}, taken[0].datagram)
	require.EqualValues(t, 1, kept.lost.Load())
	require.EqualValues(t, 1, kept.sent.Load())
}

// A back end would count a second transmission of a first packet as another flow.
func TestOnlyTheLastRetransmissionIsKept(t *testing.T) {
	var kept earlyBuffer
	now := time.Now()
	datagram := []byte{1}
	kept.add(newTestPacket(1, 1), datagram, now)
	kept.add(newTestPacket(2, 1), []byte{2}, now)
	datagram[0] = 3
	kept.add(newTestPacket(1, 1), datagram, now.Add(time.Millisecond))
	datagram[0] = 4
	taken := kept.take(now.Add(time.Millisecond))
	require.Len(t, taken, 2)
	require.Equal(t, []byte{2}, taken[0].datagram)
	require.Equal(t, []byte{3}, taken[1].datagram, "the data that arrived, not what the buffer held later")
}

// testCodec decodes datagrams whose first byte identifies the client. All of them are
// first packets.
type testCodec struct{ Codec }

func (testCodec) MaximumSize() int { return 16 }

func (testCodec) Decode(datagram []byte) (tokenroute.Packet, error) {
	if len(datagram) == 0 {
		return tokenroute.Packet{}, errors.New("empty")
	}
	key := flow.Key{Source: [4]byte{100, 64, 0, datagram[0]}, Destination: [4]byte{198, 18, 0, 1}, DestinationPort: 443, Protocol: flow.ProtocolTCP}
	return tokenroute.Packet{Key: key, First: true}, nil
}

func (testCodec) Forward(output, datagram []byte, _ *tokenroute.Backend) []byte {
	return append(output, datagram...)
}

func (testCodec) RequestID([]byte) []byte { return nil }

// newTestTable returns a table that routes everything to one back end.
func newTestTable(target netip.AddrPort) *tokenroute.Table {
	replica := directory.New(time.Minute)
	replica.Apply(newTestBatch(target), time.Now())
	return tokenroute.NewTable(replica, tokenroute.Options{
		WeightOf: func(directory.BackendEntry) uint32 { return rule.MaximumWeight }, Now: time.Now()})
}

// newTestBatch returns the entries of a directory with one back end.
func newTestBatch(target netip.AddrPort) *apiv1.DirectoryBatch {
	address := target.Addr().As4()
	return &apiv1.DirectoryBatch{Revision: 2, Complete: true, Changes: []*apiv1.DirectoryChange{
		{Revision: 1, Entry: &apiv1.DirectoryChange_Routes{Routes: &apiv1.RouteTable{Version: 1, Routes: []*apiv1.ServiceRoute{
			{Name: "r", Address: 0xc6120001, Port: 443, Pools: []*apiv1.PoolShare{{Pool: "one", Weight: 1}}}}}}},
		{Revision: 2, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-7", Number: 7,
			Pool: "one", Address: binary.BigEndian.Uint32(address[:]), Port: uint32(target.Port())}}},
	}}
}

func listenLoopback(t *testing.T) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// After a power loss clients' packets arrive before a balancer has any data. The first
// table must route them even if no further packet arrives. Without the mechanism the
// clients have to retransmit them.
func TestFirstTableRoutesEarlyPackets(t *testing.T) {
	for _, without := range []string{"", string(mechanism.EarlyPackets)} {
		t.Run("without "+without, func(t *testing.T) {
			disabled, err := mechanism.Parse([]string{without}[:min(1, len(without))])
			require.NoError(t, err)
			balancer := &Balancer{
				logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
				started: time.Now(), disabled: disabled, dependencies: Dependencies{Codec: testCodec{}},
			}
			balancer.settings.Store(testSettings())
			socket, backend, client := listenLoopback(t), listenLoopback(t), listenLoopback(t)
			balancer.traffic = newTraffic(balancer, socket)
			balancer.control = newControl(balancer, rand.New(rand.NewPCG(1, 2)))
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- balancer.traffic.run(ctx) }()
			t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
			_, err = client.WriteToUDPAddrPort([]byte{9}, socket.LocalAddr().(*net.UDPAddr).AddrPort())
			require.NoError(t, err)
			require.Eventually(t, func() bool { return balancer.traffic.decisionCounts[tokenroute.ReasonNoTable].Load() == 1 },
				time.Second, time.Millisecond)
			now := time.Now()
			batch := newTestBatch(backend.LocalAddr().(*net.UDPAddr).AddrPort())
			balancer.control.handleNews(&apiv1.DirectoryNews{Batch: batch, AsOfNanoseconds: balancer.control.sinceStart(now)}, now)
			balancer.control.rebuildTable(now)
			require.NotNil(t, balancer.table.Load())
			require.NoError(t, backend.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			size, _, err := backend.ReadFromUDPAddrPort(make([]byte, 16))
			if without == "" {
				require.NoError(t, err)
				require.Equal(t, 1, size)
				return
			}
			require.Error(t, err)
		})
	}
}
