package echonet

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// flowKey identifies a flow at a back end by the client's address and port.
type flowKey struct {
	source [4]byte
	port   uint16
}

// backendFlow is a back end's end of a flow.
type backendFlow struct {
	// syn is the client's initial sequence number, and initial the back end's own.
	syn, initial uint32
	// latest is the client's latest sequence number.
	latest uint32
}

// maxAdvance is how far the packets of a flow are from each other at most.
const maxAdvance = 4096

// holds reports whether a packet belongs to the flow, and not to another one of the same port.
func (flow *backendFlow) holds(packet Packet) bool {
	return flow != nil && (packet.Seq-flow.latest <= maxAdvance || flow.latest-packet.Seq <= maxAdvance)
}

// Backend is one run of a simulated back end. It answers each request with its own ID
// and the request's body. It is safe for concurrent use.
type Backend struct {
	ID   string
	Pool string
	// clientPort is the port at which clients receive packets.
	clientPort uint16
	// numericID is the number in the ID.
	numericID   uint64
	checksumKey uint64
	socket      *net.UDPConn
	// unreachable is set while the back end receives nothing.
	unreachable  atomic.Bool
	mutex        sync.Mutex
	flows        map[flowKey]*backendFlow
	requestState requestState
	// opened counts the flows that were opened, misrouted the packets for other
	// back ends, unknownFlow the packets of flows that are not open here, and
	// badChecksum the packets that are malformed or have a wrong checksum.
	opened, misrouted, unknownFlow, badChecksum int
}

// StartBackend starts a back end at an address. The ID has the form "i-" and a
// hexadecimal number. Packets carry a checksum under checksumKey.
func StartBackend(id, pool string, address netip.AddrPort, clientPort uint16, checksumKey uint64) (*Backend, error) {
	socket, err := listenWithRetry(address)
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s: listen on %s", id, address)
	}
	backend := &Backend{ID: id, Pool: pool, clientPort: clientPort, checksumKey: checksumKey, socket: socket, flows: make(map[flowKey]*backendFlow),
		requestState: newRequestState()}
	if _, err := fmt.Sscanf(id, "i-%x", &backend.numericID); err != nil {
		return nil, errors.Wrapf(err, "back end %s", id)
	}
	go backend.receiveLoop()
	return backend, nil
}

const (
	// bindTimeout is for how long binding to an address in use is retried. A child
	// process that is being started inherits a copy of each socket of this process
	// and holds it until its program is loaded, even if the socket was closed here
	// meanwhile.
	bindTimeout = time.Second
	// bindRetryInterval is the time between two attempts.
	bindRetryInterval = 2 * time.Millisecond
)

// listenWithRetry opens a UDP socket at an address. It retries for bindTimeout while the
// address is in use, since a socket there may have been closed only just before.
func listenWithRetry(address netip.AddrPort) (*net.UDPConn, error) {
	for start := time.Now(); ; time.Sleep(bindRetryInterval) {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > bindTimeout {
			return socket, err
		}
	}
}

// Stop closes the back end. Its flows are lost.
func (backend *Backend) Stop() { _ = backend.socket.Close() }

// SetUnreachable makes the back end drop what it receives, or receive again.
func (backend *Backend) SetUnreachable(unreachable bool) { backend.unreachable.Store(unreachable) }

// Counts returns the number of flows opened, and of the packets for other back ends, for
// unknown flows, and with a bad checksum or format.
func (backend *Backend) Counts() (opened, misrouted, unknownFlow, badChecksum int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.opened, backend.misrouted, backend.unknownFlow, backend.badChecksum
}

const (
	datagramSize = 2048
	// numericIDSize is the size of the back end's numeric ID, which precedes each
	// packet from a balancer.
	numericIDSize = 8
)

func (backend *Backend) receiveLoop() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := backend.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size > numericIDSize && !backend.unreachable.Load() {
			backend.handlePacket(buffer[:size])
		}
	}
}

// handlePacket processes a datagram from a balancer: the numeric ID of the back end for
// which it is meant, or 0 for any, and the packet.
func (backend *Backend) handlePacket(datagram []byte) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if destination := binary.BigEndian.Uint64(datagram); destination != 0 && destination != backend.numericID {
		backend.misrouted++
		return
	}
	packet, err := Decode(datagram[numericIDSize:], backend.checksumKey)
	if err != nil || !packet.ChecksumValid {
		backend.badChecksum++
		return
	}
	key := flowKey{source: packet.Source, port: packet.SourcePort}
	flow := backend.flows[key]
	switch {
	case packet.Flags&FlagSYN != 0:
		backend.handleSYN(key, packet)
		return
	case !flow.holds(packet):
		backend.unknownFlow++
		backend.send(packet.reply(FlagRST, packet.Ack, 0, nil))
		return
	}
	flow.latest = packet.Seq
	switch {
	case packet.Flags&FlagFIN != 0:
		backend.send(packet.reply(FlagFIN|FlagACK, packet.Ack, packet.Seq+1, nil))
		backend.forget(key)
	case len(packet.Data) > 0:
		backend.handleRequest(key, packet)
	}
}

// handleSYN answers a SYN. One with another number opens another flow from the same port.
func (backend *Backend) handleSYN(key flowKey, packet Packet) {
	flow := backend.flows[key]
	if flow == nil || flow.syn != packet.Seq {
		backend.forget(key)
		backend.opened++
		flow = &backendFlow{syn: packet.Seq, initial: rand.Uint32(), latest: packet.Seq}
		backend.flows[key] = flow
		backend.requestState.opened[FlowID{Port: packet.SourcePort, Sequence: packet.Seq}] = true
	}
	backend.send(packet.reply(FlagSYN|FlagACK, flow.initial, packet.Seq+1, nil))
}

// forget ends a flow.
func (backend *Backend) forget(key flowKey) {
	delete(backend.flows, key)
	delete(backend.requestState.latest, key)
}

func (backend *Backend) send(packet Packet) {
	client := netip.AddrPortFrom(netip.AddrFrom4(packet.Destination), backend.clientPort)
	_, _ = backend.socket.WriteToUDPAddrPort(packet.Encode(backend.checksumKey), client)
}
