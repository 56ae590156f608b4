package dataplane

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/frame"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

func datagram(t testing.TB, port uint16, syn bool) []byte {
	ip := &layers.IPv4{Version: 4, IHL: 5, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(10, 64, 0, 5).To4(), DstIP: net.IPv4(10, 200, 0, 1).To4()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(port), DstPort: 80, SYN: syn, ACK: !syn}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, tcp, gopacket.Payload(make([]byte, 100))))
	return buffer.Bytes()
}

func listenUDP(t testing.TB) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	require.NoError(t, socket.SetReadBuffer(4<<20))
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// testPlane starts a plane with one service and one back end, and returns it with
// the socket of the back end.
func testPlane(t testing.TB, leaving bool) (*Plane, *net.UDPConn) {
	back := listenUDP(t)
	service := &apiv1.ServiceRule{Name: "lending", Address: "10.200.0.1", Port: 80,
		Candidates: []*apiv1.Candidate{{Backend: 1, Weight: 100, Leaving: leaving}}}
	set, err := rule.NewSet(&apiv1.Epoch{Number: 1, Services: []*apiv1.ServiceRule{service}})
	require.NoError(t, err)
	routing := router.New(flowtable.New(1 << 16))
	started := time.Now()
	plane, err := Listen(Settings{Address: "127.0.0.1:0", Router: routing, Logger: slog.New(slog.DiscardHandler),
		Clock: func() uint32 { return uint32(time.Since(started).Milliseconds()) }})
	require.NoError(t, err)
	plane.SetView((&router.View{Settled: set}).Compile(), 1, Targets{1: back.LocalAddr().(*net.UDPAddr)})
	plane.SetContact(^uint32(0), false)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- plane.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return plane, back
}

func receive(t testing.TB, socket *net.UDPConn) []byte {
	buffer := make([]byte, 4096)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	count, err := socket.Read(buffer)
	require.NoError(t, err)
	return buffer[:count]
}

func TestForwardsUnchanged(t *testing.T) {
	plane, back := testPlane(t, false)
	client := listenUDP(t)
	sent := datagram(t, 40000, true)
	_, err := client.WriteTo(sent, plane.socket.LocalAddr())
	require.NoError(t, err)
	require.Equal(t, sent, receive(t, back))
	require.Eventually(t, func() bool { return plane.InForce() == 1 }, time.Second, time.Millisecond)
}

func TestRefusesWithReset(t *testing.T) {
	plane, _ := testPlane(t, true)
	client := listenUDP(t)
	_, err := client.WriteTo(datagram(t, 40000, true), plane.socket.LocalAddr())
	require.NoError(t, err)
	response := gopacket.NewPacket(receive(t, client), layers.LayerTypeIPv4, gopacket.Default)
	tcp, isTCP := response.Layer(layers.LayerTypeTCP).(*layers.TCP)
	require.True(t, isTCP)
	require.True(t, tcp.RST)
	require.Contains(t, string(tcp.Payload), "not run: refused_no_backend; retry after 2000 ms")
}

func TestInvalidDatagramsAreCounted(t *testing.T) {
	plane, back := testPlane(t, false)
	client := listenUDP(t)
	for _, invalid := range [][]byte{{}, {0x45}, make([]byte, frame.MaximumSize+1), append([]byte{0x65}, make([]byte, 40)...)} {
		_, err := client.WriteTo(invalid, plane.socket.LocalAddr())
		require.NoError(t, err)
	}
	_, err := client.WriteTo(datagram(t, 40001, true), plane.socket.LocalAddr())
	require.NoError(t, err)
	receive(t, back)
	paths := plane.PathCounts()
	require.Equal(t, uint64(2), paths["bad_truncated"])
	require.Equal(t, uint64(1), paths["bad_oversize"])
	require.Equal(t, uint64(1), paths["bad_wrong_version"])
}

func TestPacketBufferIsBounded(t *testing.T) {
	buffer := newPacketBuffer(2)
	first := frame.Packet{}
	second := frame.Packet{}
	second.Key.SourcePort = 2
	stored, isFirst := buffer.add(first, []byte{1}, nil)
	require.True(t, stored && isFirst)
	stored, isFirst = buffer.add(first, []byte{2}, nil)
	require.True(t, stored && !isFirst)
	stored, _ = buffer.add(second, []byte{3}, nil)
	require.False(t, stored, "a full buffer accepts no packet")
	require.Len(t, buffer.take(first.Key), 2)
	stored, isFirst = buffer.add(second, []byte{3}, nil)
	require.True(t, stored && isFirst)
}

// preload is the number of datagrams queued in the socket before the timer runs.
// It fits the default limit of socket buffers.
const preload = 128

// benchmarkWorker times one traffic goroutine alone: the datagrams are queued in
// its socket before the timer starts, and nobody reads the output.
func benchmarkWorker(b *testing.B, plane *Plane, process func(worker *worker, count int)) {
	client := listenUDP(b)
	var datagrams [][]byte
	for port := range 1024 {
		datagrams = append(datagrams, datagram(b, uint16(2000+port), port == 0))
	}
	worker := newWorker(plane)
	sent := 0
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; done += preload {
		b.StopTimer()
		for range preload {
			_, _ = client.WriteTo(datagrams[sent%len(datagrams)], plane.socket.LocalAddr())
			sent++
		}
		b.StartTimer()
		for handled := 0; handled < preload; {
			count, err := plane.batch.ReadBatch(worker.input, 0)
			if err != nil {
				b.Fatal(err)
			}
			process(worker, count)
			handled += count
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// idlePlane returns a plane that runs no traffic goroutine; the benchmark takes
// its place.
func idlePlane(b *testing.B) *Plane {
	plane, _ := testPlane(b, false)
	idle, err := Listen(Settings{Address: "127.0.0.1:0", Router: plane.router, Logger: plane.logger, Clock: plane.clock})
	require.NoError(b, err)
	idle.targets.Store(plane.targets.Load())
	b.Cleanup(func() { _ = idle.socket.Close() })
	return idle
}

func BenchmarkForward(b *testing.B) {
	plane := idlePlane(b)
	benchmarkWorker(b, plane, func(worker *worker, count int) { worker.process(count) })
}

// BenchmarkRelay measures the upper bound of throughput: the same batches are
// relayed without a decision.
func BenchmarkRelay(b *testing.B) {
	plane := idlePlane(b)
	target := (*plane.targets.Load())[1]
	benchmarkWorker(b, plane, func(worker *worker, count int) {
		for index := range count {
			output := &worker.output[index]
			output.Buffers[0] = worker.input[index].Buffers[0][:worker.input[index].N]
			output.Addr = target
		}
		worker.queued = count
		worker.flush()
	})
}
