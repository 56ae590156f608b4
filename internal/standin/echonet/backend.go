package echonet

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// flowKey is the client's end of a flow, as a back end keeps it.
type flowKey struct {
	source [4]byte
	port   uint16
}

// Backend is one run of a back end. It answers each request with its own id
// and the request.
type Backend struct {
	ID   string
	Pool string
	// clientPort is the port at which clients take packets.
	clientPort   uint16
	numericID    uint64
	checksumKey  uint64
	socket       *net.UDPConn
	mutex        sync.Mutex
	flows        map[flowKey]uint32
	requestState requestState
	// opened counts first packets taken, foreign those for other back ends,
	// unknown packets of flows that it does not hold, and forged ones whose
	// sum was wrong.
	opened, misrouted, unknownFlow, badChecksum int
}

// StartBackend opens a back end at an address.
func StartBackend(id, pool string, address netip.AddrPort, clientPort uint16, key uint64) (*Backend, error) {
	socket, err := listenWithRetry(address)
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s: listen on %s", id, address)
	}
	made := &Backend{ID: id, Pool: pool, clientPort: clientPort, checksumKey: key, socket: socket, flows: make(map[flowKey]uint32),
		requestState: newRequestState()}
	if _, err := fmt.Sscanf(id, "i-%x", &made.numericID); err != nil {
		return nil, errors.Wrapf(err, "back end %s", id)
	}
	go made.receiveLoop()
	return made, nil
}

const (
	// bindTimeout is for how long an address in use is tried again: a process that
	// is just being started holds a copy of each socket of this one, those too
	// that were closed meanwhile, until its program is loaded.
	bindTimeout = time.Second
	// bindRetryInterval is the pause between two tries.
	bindRetryInterval = 2 * time.Millisecond
)

// listenWithRetry opens a socket at an address, also when one there was closed just now.
func listenWithRetry(address netip.AddrPort) (*net.UDPConn, error) {
	for began := time.Now(); ; time.Sleep(bindRetryInterval) {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > bindTimeout {
			return socket, err
		}
	}
}

// Stop ends the back end; it forgets its flows.
func (backend *Backend) Stop() { _ = backend.socket.Close() }

// Counts returns the packets that the back end has seen by kind.
func (backend *Backend) Counts() (opened, foreign, unknown, forged int) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.opened, backend.misrouted, backend.unknownFlow, backend.badChecksum
}

const (
	datagramSize  = 2048
	numericIDSize = 8
)

func (backend *Backend) receiveLoop() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := backend.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size > numericIDSize {
			backend.handlePacket(buffer[:size])
		}
	}
}

func (backend *Backend) handlePacket(datagram []byte) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if intended := binary.BigEndian.Uint64(datagram); intended != 0 && intended != backend.numericID {
		backend.misrouted++
		return
	}
	packet, err := Decode(datagram[numericIDSize:], backend.checksumKey)
	if err != nil || !packet.ChecksumValid {
		backend.badChecksum++
		return
	}
	name := flowKey{source: packet.Source, port: packet.SourcePort}
	seq, held := backend.flows[name]
	switch {
	case packet.Flags&FlagSYN != 0:
		if !held {
			backend.opened++
			seq = rand.Uint32()
			backend.flows[name] = seq
			backend.requestState.openedPorts[packet.SourcePort] = true
		}
		backend.send(packet.reply(FlagSYN|FlagACK, seq, packet.Seq+1, nil))
	case !held:
		backend.unknownFlow++
		backend.send(packet.reply(FlagRST, packet.Ack, 0, nil))
	case packet.Flags&FlagFIN != 0:
		delete(backend.flows, name)
		delete(backend.requestState.latest, name)
	case len(packet.Data) > 0:
		backend.handleRequest(name, packet)
	}
}

func (backend *Backend) send(packet Packet) {
	client := netip.AddrPortFrom(netip.AddrFrom4(packet.Destination), backend.clientPort)
	_, _ = backend.socket.WriteToUDPAddrPort(packet.Encode(backend.checksumKey), client)
}
