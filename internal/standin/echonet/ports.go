package echonet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// FlowID identifies a flow among those of one client, which uses its ports again.
type FlowID struct {
	Port uint16
	// Sequence is the client's initial sequence number.
	Sequence uint32
}

const (
	// firstPort is the first port of a client's block.
	firstPort = 40001
	// maxPortPause is the longest time after the end of a flow until its port may be used again.
	maxPortPause = 6 * time.Second
	// clockTick is the tick of the clock from which initial sequence numbers are derived (RFC 9293,
	// section 3.4.1).
	clockTick = 4 * time.Microsecond
)

// portBlock is the block of ports of a client. It is as small as the number of flows at a time, and
// of ports that may not be used again yet, permits. A port is used again for the same address only.
type portBlock struct {
	next uint16
	free map[netip.AddrPort][]freePort
}

// freePort is a port whose flow has ended.
type freePort struct {
	port     uint16
	usableAt time.Time
}

// take returns a port that no flow uses, one that was used before if possible.
func (block *portBlock) take(target netip.AddrPort, now time.Time) uint16 {
	for index, each := range block.free[target] {
		if !now.Before(each.usableAt) {
			block.free[target] = slices.Delete(block.free[target], index, index+1)
			return each.port
		}
	}
	block.next++
	return block.next - 1
}

// release makes a port usable again: at once, or after up to maxPortPause.
func (block *portBlock) release(port uint16, target netip.AddrPort, now time.Time) {
	used := func(each freePort) bool { return each.port == port }
	if slices.ContainsFunc(block.free[target], used) {
		return
	}
	pause := time.Duration(0)
	if rand.IntN(4) > 0 {
		pause = rand.N(maxPortPause)
	}
	if block.free == nil {
		block.free = make(map[netip.AddrPort][]freePort)
	}
	block.free[target] = append(block.free[target], freePort{port: port, usableAt: now.Add(pause)})
}

// initialSequence returns the client's initial sequence number of a flow: random for odd ports, and
// derived from a clock for even ones.
func (client *Client) initialSequence(port uint16) uint32 {
	if port%2 == 1 {
		return rand.Uint32()
	}
	return uint32(time.Since(client.startedAt)/clockTick) + uint32(port)<<16
}

// resetWindow is how far the sequence number of a reset may be from the client's last
// acknowledgement on an open flow.
const resetWindow = 76_800

// receive handles a packet that arrives on the flow's port. It drops packets of earlier flows of the
// port, and acknowledges the end of a back end that closes after this client.
func (flow *Flow) receive(packet Packet) {
	if !flow.accepts(packet) {
		return
	}
	if packet.Flags&FlagFIN != 0 && len(packet.Data) == 0 {
		if flow.ended.Load() {
			flow.transmit(packet.Token, FlagACK, flow.sequence.Load(), packet.Seq+1, nil)
		}
		return
	}
	select {
	case flow.inbox <- packet:
	default:
	}
}

// accepts reports whether a packet belongs to the flow. While the flow is not open, its client
// accepts any reset of the system under test, but none of a back end.
func (flow *Flow) accepts(packet Packet) bool {
	switch {
	case packet.Flags&FlagRST == 0:
		return isNear(packet.Ack, flow.sequence.Load())
	case flow.opened.Load():
		return isNear(packet.Seq, flow.acknowledged.Load())
	}
	return packet.Checksum == 0
}

// isNear reports whether two sequence numbers are within resetWindow of each other.
func isNear(number, other uint32) bool {
	return number-other <= resetWindow || other-number <= resetWindow
}
