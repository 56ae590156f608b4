// Package frame decodes the datagrams that reach a node and encodes the resets
// that a node returns.
//
// Each UDP datagram carries one IPv4 packet with no header in between (Generic
// UDP Encapsulation, variant 1), so the balanced traffic is real TCP. A Decoder
// parses datagrams, and Refusal builds the RST that refuses a SYN. Both use
// gopacket.
package frame

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// Port is the port that IANA has assigned to Generic UDP Encapsulation.
const Port = 6080

// MaximumSize is the size in bytes of the largest datagram accepted.
const MaximumSize = 2048

// Cause is the reason why a datagram was dropped before routing.
type Cause uint8

const (
	// CauseNone means that the datagram is valid.
	CauseNone Cause = iota
	// CauseTruncated means that the datagram is shorter than its headers say.
	CauseTruncated
	// CauseVersion means that the datagram does not carry an IPv4 packet.
	CauseVersion
	// CauseFragment means that the packet is a fragment. Fragments are dropped
	// because they lack the ports.
	CauseFragment
	// CauseProtocol means that the packet is not TCP.
	CauseProtocol
	// CauseOversize means that the datagram is longer than MaximumSize or than
	// the packet it carries.
	CauseOversize
	// CauseHeader means that a header is malformed.
	CauseHeader
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{
	"none", "truncated", "wrong_version", "fragment", "wrong_protocol", "oversize", "bad_header",
}

// String returns the name of the cause as used in metrics.
func (cause Cause) String() string {
	if cause < CauseCount {
		return causeNames[cause]
	}
	return "unknown"
}

// Packet holds the fields of a datagram that the router needs.
type Packet struct {
	Key   flow.Key
	Hash  uint64
	Flags router.PacketFlags
	// Sequence is the TCP sequence number and Length the size of the payload;
	// Refusal uses them to compute the acknowledgment number.
	Sequence uint32
	Length   int
}

// Decoder decodes datagrams without allocating. It must not be used by several
// goroutines at once.
type Decoder struct {
	ip      layers.IPv4
	tcp     layers.TCP
	payload gopacket.Payload
	parser  *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
}

// NewDecoder returns a decoder for use by one goroutine.
func NewDecoder() *Decoder {
	decoder := &Decoder{decoded: make([]gopacket.LayerType, 0, 3)}
	decoder.parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4,
		&decoder.ip, &decoder.tcp, &decoder.payload)
	decoder.parser.IgnoreUnsupported = true
	return decoder
}

const (
	minimumIPv4Header = 20
	versionIPv4       = 4
	fragmentMask      = 0x3fff
)

// Decode decodes one datagram. The packet is valid only if the cause is
// CauseNone.
func (decoder *Decoder) Decode(datagram []byte) (Packet, Cause) {
	if cause := checkHeader(datagram); cause != CauseNone {
		return Packet{}, cause
	}
	decoder.parser.Truncated = false
	err := decoder.parser.DecodeLayers(datagram, &decoder.decoded)
	if err != nil {
		return Packet{}, CauseHeader
	}
	if decoder.parser.Truncated {
		return Packet{}, CauseTruncated
	}
	if len(decoder.decoded) < 2 || decoder.decoded[1] != layers.LayerTypeTCP {
		return Packet{}, CauseProtocol
	}
	return decoder.packet(), CauseNone
}

// checkHeader detects the faults for which gopacket would allocate an error.
func checkHeader(datagram []byte) Cause {
	if len(datagram) < minimumIPv4Header {
		return CauseTruncated
	}
	if len(datagram) > MaximumSize {
		return CauseOversize
	}
	if datagram[0]>>4 != versionIPv4 {
		return CauseVersion
	}
	total := int(binary.BigEndian.Uint16(datagram[2:4]))
	switch {
	case total > len(datagram):
		return CauseTruncated
	case total < len(datagram):
		return CauseOversize
	case binary.BigEndian.Uint16(datagram[6:8])&fragmentMask != 0:
		return CauseFragment
	case datagram[9] != flow.ProtocolTCP:
		return CauseProtocol
	}
	return CauseNone
}

func (decoder *Decoder) packet() Packet {
	packet := Packet{
		Sequence: decoder.tcp.Seq,
		Length:   len(decoder.tcp.Payload),
	}
	packet.Key = flow.Key{
		SourcePort:      uint16(decoder.tcp.SrcPort),
		DestinationPort: uint16(decoder.tcp.DstPort),
		Protocol:        flow.ProtocolTCP,
	}
	copy(packet.Key.Source[:], decoder.ip.SrcIP)
	copy(packet.Key.Destination[:], decoder.ip.DstIP)
	packet.Hash = packet.Key.Hash()
	if decoder.tcp.SYN && !decoder.tcp.ACK {
		packet.Flags |= router.PacketOpens
	}
	if decoder.tcp.FIN || decoder.tcp.RST {
		packet.Flags |= router.PacketCloses
	}
	return packet
}

const refusalTimeToLive = 64

// Refusal returns the datagram that refuses a SYN: a RST whose data states the
// cause and the time after which to retry (RFC 1122, section 4.2.2.12).
func Refusal(packet Packet, cause string, retryAfter time.Duration) ([]byte, error) {
	ip := &layers.IPv4{
		Version:  versionIPv4,
		IHL:      minimumIPv4Header / 4,
		TTL:      refusalTimeToLive,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    packet.Key.Destination[:],
		DstIP:    packet.Key.Source[:],
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(packet.Key.DestinationPort),
		DstPort: layers.TCPPort(packet.Key.SourcePort),
		RST:     true,
		ACK:     true,
		Ack:     packet.Sequence + 1 + uint32(packet.Length),
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, errors.Wrap(err, "refusal: checksum")
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	text := gopacket.Payload(RefusalText(cause, retryAfter))
	if err := gopacket.SerializeLayers(buffer, options, ip, tcp, text); err != nil {
		return nil, errors.Wrap(err, "refusal: serialise")
	}
	return buffer.Bytes(), nil
}

// RefusalText returns the text that a refusal carries as data.
func RefusalText(cause string, retryAfter time.Duration) string {
	return fmt.Sprintf("not run: %s; retry after %d ms", cause, retryAfter.Milliseconds())
}
