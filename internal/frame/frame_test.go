package frame

import (
	"net"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/router"
)

func synDatagram(t testing.TB) []byte {
	ip := &layers.IPv4{Version: 4, IHL: 5, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(10, 64, 0, 5).To4(), DstIP: net.IPv4(10, 200, 0, 1).To4()}
	tcp := &layers.TCP{SrcPort: 40000, DstPort: 80, SYN: true, Seq: 77}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
	buffer := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, tcp))
	return buffer.Bytes()
}

func TestDecode(t *testing.T) {
	packet, cause := NewDecoder().Decode(synDatagram(t))
	require.Equal(t, CauseNone, cause)
	require.Equal(t, "10.64.0.5:40000-10.200.0.1:80", packet.Key.String())
	require.Equal(t, router.PacketOpens, packet.Flags)
}

func TestDecodeInvalid(t *testing.T) {
	modify := func(edit func([]byte) []byte) []byte { return edit(append([]byte(nil), synDatagram(t)...)) }
	cases := map[string]struct {
		datagram []byte
		cause    Cause
	}{
		"empty":     {nil, CauseTruncated},
		"short":     {modify(func(b []byte) []byte { return b[:30] }), CauseTruncated},
		"tail":      {modify(func(b []byte) []byte { return append(b, 0) }), CauseOversize},
		"oversize":  {make([]byte, MaximumSize+1), CauseOversize},
		"version 6": {modify(func(b []byte) []byte { b[0] = 0x65; return b }), CauseVersion},
		"fragment":  {modify(func(b []byte) []byte { b[6] = 0x20; return b }), CauseFragment},
		"udp":       {modify(func(b []byte) []byte { b[9] = 17; return b }), CauseProtocol},
		"ihl":       {modify(func(b []byte) []byte { b[0] = 0x41; return b }), CauseHeader},
		"offset":    {modify(func(b []byte) []byte { b[32] = 0x10; return b }), CauseHeader},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, cause := NewDecoder().Decode(test.datagram)
			require.Equal(t, test.cause.String(), cause.String())
		})
	}
}

func TestRefusal(t *testing.T) {
	packet, _ := NewDecoder().Decode(synDatagram(t))
	datagram, err := Refusal(packet, "refused_overload", 2*time.Second)
	require.NoError(t, err)
	parsed := gopacket.NewPacket(datagram, layers.LayerTypeIPv4, gopacket.Default)
	tcp, isTCP := parsed.Layer(layers.LayerTypeTCP).(*layers.TCP)
	require.True(t, isTCP)
	require.True(t, tcp.RST && tcp.ACK)
	require.Equal(t, uint32(78), tcp.Ack)
	require.Equal(t, "not run: refused_overload; retry after 2000 ms", string(tcp.Payload))
}

func FuzzDecode(f *testing.F) {
	f.Add(synDatagram(f))
	f.Add([]byte{0x45})
	decoder := NewDecoder()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		packet, cause := decoder.Decode(datagram)
		if cause == CauseNone && packet.Key.Protocol != 6 {
			t.Fatalf("accepted packet has protocol %d, want 6", packet.Key.Protocol)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	decoder, datagram := NewDecoder(), synDatagram(b)
	b.ReportAllocs()
	for b.Loop() {
		decoder.Decode(datagram)
	}
}
