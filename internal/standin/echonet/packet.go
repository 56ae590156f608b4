// Package echonet simulates a network whose packets carry a token that both ends
// return. It has routers, back ends and clients, and is written from the users'
// published documentation. It does not use the adapter of the system under test, so
// that faults of the adapter become visible.
//
// StartBackend and StartClient open the ends, a Router picks the balancer of each
// packet, and Client.Open opens flows.
package echonet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// These are the flags of a packet.
const (
	FlagACK = 1
	FlagFIN = 2
	FlagSYN = 4
	FlagRST = 128
)

const headerSize = 32

// Packet is one packet of a flow.
type Packet struct {
	// Token is the token that both ends return.
	Token           uint32
	Source          [4]byte
	SourcePort      uint16
	Destination     [4]byte
	DestinationPort uint16
	Seq, Ack        uint32
	Flags           byte
	Data            []byte
	// Checksum is the checksum that the packet carried, or 0 for a reset made by the
	// system under test itself. ChecksumValid reports whether it is correct.
	Checksum      uint32
	ChecksumValid bool
}

// Encode returns the encoded packet with its keyed checksum.
func (packet Packet) Encode(key uint64) []byte {
	header := make([]byte, headerSize, headerSize+len(packet.Data))
	binary.BigEndian.PutUint32(header[4:], packet.Token)
	binary.BigEndian.PutUint16(header[8:], packet.SourcePort)
	copy(header[10:], packet.Destination[:])
	binary.BigEndian.PutUint16(header[14:], packet.DestinationPort)
	copy(header[16:], packet.Source[:])
	binary.BigEndian.PutUint32(header[20:], packet.Seq)
	binary.BigEndian.PutUint32(header[24:], packet.Ack)
	header[28] = packet.Flags
	binary.BigEndian.PutUint16(header[30:], uint16(len(packet.Data)))
	encoded := append(header, packet.Data...)
	binary.BigEndian.PutUint32(encoded, checksum(encoded, key))
	return encoded
}

// checksum returns the keyed checksum of an encoded packet. It covers everything but
// the checksum itself, the token and the padding.
func checksum(encoded []byte, key uint64) uint32 {
	digest := xxhash.NewWithSeed(key)
	_, _ = digest.Write(encoded[8:29])
	_, _ = digest.Write(encoded[30:])
	return uint32(digest.Sum64()) | 1
}

// Decode decodes a packet and checks its checksum. A wrong checksum is no error, but is
// shown by ChecksumValid.
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

// reply returns a packet in the opposite direction with the same token.
func (packet Packet) reply(flags byte, seq, ack uint32, data []byte) Packet {
	return Packet{
		Token: packet.Token, Flags: flags, Seq: seq, Ack: ack, Data: data,
		Source: packet.Destination, SourcePort: packet.DestinationPort,
		Destination: packet.Source, DestinationPort: packet.SourcePort,
	}
}

// nextSeq returns the sequence number after the packet's data. A packet without data
// counts as one byte, and so does the end of a flow.
func (packet Packet) nextSeq() uint32 {
	next := packet.Seq + uint32(max(1, len(packet.Data)))
	if packet.Flags&FlagFIN != 0 && len(packet.Data) > 0 {
		next++
	}
	return next
}
