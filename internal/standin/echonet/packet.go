// Package echonet is the stand-in of a network whose packets carry a token that
// both ends return: routers, back ends and clients, written from the users'
// published pages. It does not use the adapter, so that a fault of the adapter
// shows.
package echonet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The flags of a packet.
const (
	FlagACK = 1
	FlagFIN = 2
	FlagSYN = 4
	FlagRST = 128
)

const headerSize = 32

// Packet is one packet of a flow.
type Packet struct {
	Token           uint32
	Source          [4]byte
	SourcePort      uint16
	Destination     [4]byte
	DestinationPort uint16
	Seq, Ack        uint32
	Flags           byte
	Data            []byte
	// Checksum is what the packet carried; Valid tells whether it is right.
	Checksum      uint32
	ChecksumValid bool
}

// Encode writes a packet with its keyed sum, or with none on a reset of the
// system's own.
func (packet Packet) Encode(key uint64) []byte {
	head := make([]byte, headerSize, headerSize+len(packet.Data))
	binary.BigEndian.PutUint32(head[4:], packet.Token)
	binary.BigEndian.PutUint16(head[8:], packet.SourcePort)
	copy(head[10:], packet.Destination[:])
	binary.BigEndian.PutUint16(head[14:], packet.DestinationPort)
	copy(head[16:], packet.Source[:])
	binary.BigEndian.PutUint32(head[20:], packet.Seq)
	binary.BigEndian.PutUint32(head[24:], packet.Ack)
	head[28] = packet.Flags
	binary.BigEndian.PutUint16(head[30:], uint16(len(packet.Data)))
	encoded := append(head, packet.Data...)
	binary.BigEndian.PutUint32(encoded, checksum(encoded, key))
	return encoded
}

// checksum covers everything but the sum itself, the echo and the pad.
func checksum(encoded []byte, key uint64) uint32 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.Write(encoded[8:29])
	_, _ = digest.Write(encoded[30:])
	return uint32(digest.Sum64()) | 1
}

// Decode reads a packet and checks its sum.
func Decode(encoded []byte, key uint64) (Packet, error) {
	if len(encoded) < headerSize || int(binary.BigEndian.Uint16(encoded[30:])) != len(encoded)-headerSize {
		return Packet{}, errors.Newf("a packet of %d bytes has a wrong length", len(encoded))
	}
	packet := Packet{
		Checksum:        binary.BigEndian.Uint32(encoded),
		Token:           binary.BigEndian.Uint32(encoded[4:]),
		SourcePort:      binary.BigEndian.Uint16(encoded[8:]),
		DestinationPort: binary.BigEndian.Uint16(encoded[14:]),
		Seq:             binary.BigEndian.Uint32(encoded[20:]),
		Ack:             binary.BigEndian.Uint32(encoded[24:]),
		Flags:           encoded[28],
		Data:            append([]byte(nil), encoded[headerSize:]...),
	}
	copy(packet.Destination[:], encoded[10:])
	copy(packet.Source[:], encoded[16:])
	packet.ChecksumValid = packet.Checksum == checksum(encoded, key)
	return packet, nil
}

// reply turns a packet round, with the echo that it brought.
func (packet Packet) reply(flags byte, seq, ack uint32, data []byte) Packet {
	return Packet{
		Token: packet.Token, Flags: flags, Seq: seq, Ack: ack, Data: data,
		Source: packet.Destination, SourcePort: packet.DestinationPort,
		Destination: packet.Source, DestinationPort: packet.SourcePort,
	}
}

// nextSeq is the sequence number after a packet's data; a packet without data takes one.
func (packet Packet) nextSeq() uint32 { return packet.Seq + uint32(max(1, len(packet.Data))) }
