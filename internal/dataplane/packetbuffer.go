package dataplane

import (
	"net"
	"sync"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/frame"
)

// bufferedPacket is a packet that waits for the lookup of its flow.
type bufferedPacket struct {
	packet   frame.Packet
	datagram []byte
	from     net.Addr
}

// packetBuffer holds at most limit packets while their flows are looked up.
type packetBuffer struct {
	mutex   sync.Mutex
	packets map[flow.Key][]bufferedPacket
	count   int
	limit   int
}

func newPacketBuffer(limit int) *packetBuffer {
	return &packetBuffer{packets: make(map[flow.Key][]bufferedPacket), limit: limit}
}

// add buffers a copy of a datagram. It reports whether there was space for it,
// and whether it is the first packet of its flow in the buffer, in which case the
// caller must start a lookup.
func (packetBuffer *packetBuffer) add(packet frame.Packet, datagram []byte, from net.Addr) (stored, first bool) {
	packetBuffer.mutex.Lock()
	defer packetBuffer.mutex.Unlock()
	if packetBuffer.count >= packetBuffer.limit {
		return false, false
	}
	waiting := packetBuffer.packets[packet.Key]
	copied := bufferedPacket{packet: packet, datagram: append([]byte(nil), datagram...), from: from}
	packetBuffer.packets[packet.Key] = append(waiting, copied)
	packetBuffer.count++
	return true, len(waiting) == 0
}

// take removes and returns the buffered packets of a flow.
func (packetBuffer *packetBuffer) take(key flow.Key) []bufferedPacket {
	packetBuffer.mutex.Lock()
	defer packetBuffer.mutex.Unlock()
	waiting := packetBuffer.packets[key]
	delete(packetBuffer.packets, key)
	packetBuffer.count -= len(waiting)
	return waiting
}
