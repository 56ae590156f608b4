package dataplane

import (
	"net"
	"sync"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/frame"
)

// bufferedPacket waits for an answer of the keepers.
type bufferedPacket struct {
	packet   frame.Packet
	datagram []byte
	from     net.Addr
}

// packetBuffer holds packets while their flow is being asked about, within a bound.
type packetBuffer struct {
	mutex   sync.Mutex
	packets map[flow.Key][]bufferedPacket
	count   int
	limit   int
}

func newPacketBuffer(limit int) *packetBuffer {
	return &packetBuffer{packets: make(map[flow.Key][]bufferedPacket), limit: limit}
}

// add parks a copy of a datagram. It reports whether there was room, and
// whether the flow is new here, so that a question must be asked.
func (parking *packetBuffer) add(packet frame.Packet, datagram []byte, from net.Addr) (stored, first bool) {
	parking.mutex.Lock()
	defer parking.mutex.Unlock()
	if parking.count >= parking.limit {
		return false, false
	}
	waiting := parking.packets[packet.Key]
	copied := bufferedPacket{packet: packet, datagram: append([]byte(nil), datagram...), from: from}
	parking.packets[packet.Key] = append(waiting, copied)
	parking.count++
	return true, len(waiting) == 0
}

// take removes and returns the packets of a flow.
func (parking *packetBuffer) take(key flow.Key) []bufferedPacket {
	parking.mutex.Lock()
	defer parking.mutex.Unlock()
	waiting := parking.packets[key]
	delete(parking.packets, key)
	parking.count -= len(waiting)
	return waiting
}
