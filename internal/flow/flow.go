// Package flow identifies and hashes transport flows.
//
// A flow is one TCP connection as a balancer sees it: the 5-tuple that every
// packet of the connection carries. Key holds the 5-tuple, and Key.Hash selects
// the back end. All nodes must derive the same hash from the same flow on every
// processor architecture, so the hash is a fixed function (xxHash64) of the 13
// bytes that Key.Bytes returns.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// BinarySize is the length in bytes of the binary form of a key.
const BinarySize = 13

// ProtocolTCP is the protocol number of TCP in an IPv4 header.
const ProtocolTCP = 6

// Address is the destination that identifies a service: IPv4 address, port and
// protocol.
type Address struct {
	IP       [4]byte
	Port     uint16
	Protocol uint8
}

// Key identifies a flow by its 5-tuple.
type Key struct {
	Source          [4]byte
	Destination     [4]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        uint8
}

// Address returns the destination of the flow, which identifies its service.
func (key Key) Address() Address {
	return Address{IP: key.Destination, Port: key.DestinationPort, Protocol: key.Protocol}
}

// Bytes returns the fixed binary form of the key, in network byte order.
func (key Key) Bytes() [BinarySize]byte {
	var bytes [BinarySize]byte
	copy(bytes[0:4], key.Source[:])
	copy(bytes[4:8], key.Destination[:])
	binary.BigEndian.PutUint16(bytes[8:10], key.SourcePort)
	binary.BigEndian.PutUint16(bytes[10:12], key.DestinationPort)
	bytes[12] = key.Protocol
	return bytes
}

// Hash returns the hash of the flow. It is the same on all nodes.
func (key Key) Hash() uint64 {
	bytes := key.Bytes()
	return xxhash.Sum64(bytes[:])
}

// FromBytes parses the binary form of a key. It returns an error if the length
// is not BinarySize.
func FromBytes(bytes []byte) (Key, error) {
	if len(bytes) != BinarySize {
		return Key{}, errors.Newf("flow key has %d bytes, want %d", len(bytes), BinarySize)
	}
	var key Key
	copy(key.Source[:], bytes[0:4])
	copy(key.Destination[:], bytes[4:8])
	key.SourcePort = binary.BigEndian.Uint16(bytes[8:10])
	key.DestinationPort = binary.BigEndian.Uint16(bytes[10:12])
	key.Protocol = bytes[12]
	return key, nil
}

// String returns the key in the form that Parse accepts:
// "10.1.0.5:40000-10.9.0.1:80".
func (key Key) String() string {
	return fmt.Sprintf("%s-%s",
		netip.AddrPortFrom(netip.AddrFrom4(key.Source), key.SourcePort),
		netip.AddrPortFrom(netip.AddrFrom4(key.Destination), key.DestinationPort))
}

// Parse parses a TCP flow of the form "source:port-destination:port".
func Parse(text string) (Key, error) {
	source, destination, found := strings.Cut(text, "-")
	if !found {
		return Key{}, errors.Newf("flow %q: want SOURCE:PORT-DESTINATION:PORT", text)
	}
	from, err := netip.ParseAddrPort(source)
	if err != nil || !from.Addr().Is4() {
		return Key{}, errors.Newf("flow %q: source %q is not an IPv4 address and port", text, source)
	}
	to, err := netip.ParseAddrPort(destination)
	if err != nil || !to.Addr().Is4() {
		return Key{}, errors.Newf("flow %q: destination %q is not an IPv4 address and port", text, destination)
	}
	return Key{
		Source:          from.Addr().As4(),
		Destination:     to.Addr().As4(),
		SourcePort:      from.Port(),
		DestinationPort: to.Port(),
		Protocol:        ProtocolTCP,
	}, nil
}

// ParseAddress returns the TCP service address for an IPv4 address in text form
// and a port.
func ParseAddress(ip string, port uint32) (Address, error) {
	parsed, err := netip.ParseAddr(ip)
	if err != nil || !parsed.Is4() {
		return Address{}, errors.Newf("address %q is not an IPv4 address", ip)
	}
	if port == 0 || port > 65535 {
		return Address{}, errors.Newf("port %s is not between 1 and 65535", strconv.FormatUint(uint64(port), 10))
	}
	return Address{IP: parsed.As4(), Port: uint16(port), Protocol: ProtocolTCP}, nil
}

// String returns the address in the form IP:port.
func (address Address) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(address.IP), address.Port).String()
}
