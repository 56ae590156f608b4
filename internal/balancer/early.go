package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

const (
	// maxEarlyAge is how long a packet of an open flow that arrived before the first table
	// is kept. Clients retransmit a request after 200, 600 and 1400 ms: a client whose
	// packet is older has already sent a retransmission, or will soon.
	maxEarlyAge = 400 * time.Millisecond
	// maxEarlyOpenerAge is the same limit for a packet that opens a flow. Its
	// retransmission after 200 ms may have opened the flow through another balancer, and a
	// back end would count this one as another flow.
	maxEarlyOpenerAge = 200 * time.Millisecond
	// maxEarlyPackets bounds the number of packets kept, which take 300 KB with their
	// data. The busiest of 35 balancers received 60 within 400 ms after all of them had
	// lost power.
	maxEarlyPackets = 256
)

// earlyBuffer keeps the packets that arrive before the first table. After a power loss
// routers send to balancers that have no table yet, and the client of a dropped packet
// retransmits it up to 1.6 s later. The zero value is empty. It belongs to the traffic
// goroutine.
type earlyBuffer struct {
	packets []earlyPacket
	// sent counts the packets that were routed by the first table, and lost those that
	// were too old by then or did not fit.
	sent, lost atomic.Uint64
}

// earlyPacket is a packet that waits for the first table.
type earlyPacket struct {
	packet     tokenroute.Packet
	datagram   []byte
	receivedAt time.Time
}

// add stores a copy of a packet, replacing an earlier transmission of the same packet.
func (e *earlyBuffer) add(packet tokenroute.Packet, datagram []byte, now time.Time) {
	e.expire(now)
	for index := range e.packets {
		if e.packets[index].sameAs(packet) {
			e.packets = slices.Delete(e.packets, index, index+1)
			break
		}
	}
	if len(e.packets) >= maxEarlyPackets {
		// The client of the oldest packet is the first to retransmit.
		e.packets = slices.Delete(e.packets, 0, 1)
		e.lost.Add(1)
	}
	e.packets = append(e.packets, earlyPacket{packet: packet, datagram: append([]byte(nil), datagram...), receivedAt: now})
}

// sameAs reports whether a packet is a retransmission of the stored one.
func (e earlyPacket) sameAs(packet tokenroute.Packet) bool {
	stored := e.packet
	return stored.Key == packet.Key && stored.First == packet.First && stored.Sequence == packet.Sequence &&
		stored.Length == packet.Length && stored.Closing == packet.Closing
}

// take empties the buffer and returns its packets, oldest first, except that
// acknowledgements come before the others: they are evaluated as of the time when they
// arrived.
func (e *earlyBuffer) take(now time.Time) []earlyPacket {
	e.expire(now)
	removed := e.packets
	e.packets = nil
	slices.SortStableFunc(removed, func(a, b earlyPacket) int { return a.rank() - b.rank() })
	e.sent.Add(uint64(len(removed)))
	return removed
}

func (e earlyPacket) rank() int {
	if e.acknowledges() {
		return 0
	}
	return 1
}

// acknowledges reports whether the packet does nothing but confirm that its client has
// received data.
func (e earlyPacket) acknowledges() bool {
	return !e.packet.First && !e.packet.Closing && e.packet.Length == 0
}

// pending reports whether any packet is stored.
func (e *earlyBuffer) pending() bool { return len(e.packets) > 0 }

func (e *earlyBuffer) expire(now time.Time) {
	before := len(e.packets)
	e.packets = slices.DeleteFunc(e.packets, func(p earlyPacket) bool { return now.Sub(p.receivedAt) >= p.maxAge() })
	e.lost.Add(uint64(before - len(e.packets)))
}

// maxAge returns how long the packet may wait.
func (e earlyPacket) maxAge() time.Duration {
	if e.packet.First {
		return maxEarlyOpenerAge
	}
	return maxEarlyAge
}
