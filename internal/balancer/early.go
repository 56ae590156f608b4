package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

const (
	// maxEarlyAge is how long a packet of an open flow is kept that came before the first
	// table. Clients repeat a request after 200, 600 and 1400 ms: whoever sent it
	// earlier has sent a copy since, or will soon.
	maxEarlyAge = 400 * time.Millisecond
	// maxEarlyOpenerAge is the same for a packet that opens a flow. Its copy after 200 ms
	// may have opened the flow by another balancer, and a back end would take this one
	// for one more flow.
	maxEarlyOpenerAge = 200 * time.Millisecond
	// maxEarlyPackets bounds the packets kept, with their data 300 KB. The busiest of 35
	// balancers got 60 within 400 ms after all had lost power.
	maxEarlyPackets = 256
)

// earlyBuffer keeps the packets that come before the first table: after a loss of power
// routers send to balancers that know nothing yet, and the client of a packet that is
// dropped repeats it up to 1.6 s later. Its zero value is empty. It belongs to the
// traffic goroutine.
type earlyBuffer struct {
	packets []earlyPacket
	// sent counts the packets that were decided by the first table, and lost those that
	// were too old by then or for which there was no room.
	sent, lost atomic.Uint64
}

// earlyPacket is a packet that waits for the first table.
type earlyPacket struct {
	packet     tokenroute.Packet
	datagram   []byte
	receivedAt time.Time
}

// add takes a copy of a packet, in the place of an earlier copy by its sender.
func (e *earlyBuffer) add(packet tokenroute.Packet, datagram []byte, now time.Time) {
	e.expire(now)
	for place := range e.packets {
		if e.packets[place].sameAs(packet) {
			e.packets = slices.Delete(e.packets, place, place+1)
			break
		}
	}
	if len(e.packets) >= maxEarlyPackets {
		// The client of the oldest repeats it first.
		e.packets = slices.Delete(e.packets, 0, 1)
		e.lost.Add(1)
	}
	e.packets = append(e.packets, earlyPacket{packet: packet, datagram: append([]byte(nil), datagram...), receivedAt: now})
}

// sameAs tells whether a packet is a copy of the one kept.
func (e earlyPacket) sameAs(packet tokenroute.Packet) bool {
	known := e.packet
	return known.Key == packet.Key && known.First == packet.First && known.Sequence == packet.Sequence &&
		known.Length == packet.Length && known.Closing == packet.Closing
}

// take returns what is kept, the oldest first, and keeps nothing. Acknowledgements
// come before the others: they are decided as of when they came.
func (e *earlyBuffer) take(now time.Time) []earlyPacket {
	e.expire(now)
	taken := e.packets
	e.packets = nil
	slices.SortStableFunc(taken, func(a, b earlyPacket) int { return a.rank() - b.rank() })
	e.sent.Add(uint64(len(taken)))
	return taken
}

func (e earlyPacket) rank() int {
	if e.acknowledges() {
		return 0
	}
	return 1
}

// acknowledges tells whether the packet only says that its client has received
// something.
func (e earlyPacket) acknowledges() bool {
	return !e.packet.First && !e.packet.Closing && e.packet.Length == 0
}

// pending tells whether anything is kept.
func (e *earlyBuffer) pending() bool { return len(e.packets) > 0 }

func (e *earlyBuffer) expire(now time.Time) {
	before := len(e.packets)
	e.packets = slices.DeleteFunc(e.packets, func(p earlyPacket) bool { return now.Sub(p.receivedAt) >= p.maxAge() })
	e.lost.Add(uint64(before - len(e.packets)))
}

// maxAge is how long the packet may wait.
func (e earlyPacket) maxAge() time.Duration {
	if e.packet.First {
		return maxEarlyOpenerAge
	}
	return maxEarlyAge
}
