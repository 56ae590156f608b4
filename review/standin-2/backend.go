package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// checksumKey is the key of the packets' sums, which the system is not told.
	checksumKey = 8093
	// heartbeat is how often a back end writes its entry.
	heartbeat = 1200 * time.Millisecond
	// firstResend and longestResend are the waits before a missing packet is sent again, and
	// resendLimit how often a back end sends it again.
	firstResend   = 200 * time.Millisecond
	longestResend = 1600 * time.Millisecond
	resendLimit   = 8
	// clientDelay is the time that a packet takes to a client.
	clientDelay = time.Millisecond
	// workTime is the time of a request.
	workTime = 5 * time.Millisecond
)

// flowID identifies a flow by its client's address and port.
type flowID struct {
	source netip.Addr
	port   uint16
}

func (f flowID) String() string { return fmt.Sprintf("%s:%d", f.source, f.port) }

// backend is one run of a back end.
type backend struct {
	site    *site
	id      string
	number  uint64
	pool    string
	zone    string
	address netip.AddrPort
	socket  *net.UDPConn
	// dark is set once the back end has crashed: it is silent for good.
	dark    atomic.Bool
	mutex   sync.Mutex
	flows   map[flowID]*backendFlow
	state   string
	written chan struct{}
}

// backendFlow is a flow at a back end. It is open once the client has acknowledged the back
// end's own sequence number.
type backendFlow struct {
	open      bool
	firstSeq  uint32
	clientSeq uint32
	// sent is the last packet that the client has yet to acknowledge, or nil.
	sent    *echonet.Packet
	sentSeq uint32
	token   uint32
	// answered holds the end of the last request that was answered.
	answered uint32
}

func startBackend(site *site, id, pool, zone string, address netip.AddrPort) (*backend, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	b := &backend{site: site, id: id, pool: pool, zone: zone, address: address, socket: socket,
		flows: make(map[flowID]*backendFlow), state: metadata.StateReady, written: make(chan struct{})}
	if _, err := fmt.Sscanf(id, "i-%x", &b.number); err != nil {
		return nil, err
	}
	b.writeEntry(0)
	go b.receiveLoop()
	go b.heartbeats()
	return b, nil
}

func (b *backend) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-b.site.ctx.Done():
			return
		case <-ticker.C:
		}
		if b.dark.Load() {
			b.site.expireEntry(b)
			return
		}
		b.writeEntry(seq)
	}
}

func (b *backend) writeEntry(seq int) {
	b.mutex.Lock()
	state := b.state
	b.mutex.Unlock()
	value, _ := json.Marshal(metadata.BackendEntry{Pool: b.pool, Address: b.address.String(), Zone: b.zone, Version: "v1", Slots: 2,
		State: state, Sequence: seq})
	b.site.store.Put(metadata.BackendKey(b.id), value)
}

// drain announces a planned end. It returns once the store has taken that.
func (b *backend) drain() {
	b.mutex.Lock()
	b.state = metadata.StateDraining
	b.mutex.Unlock()
	b.writeEntry(0)
	b.site.record.line("back end %s: the store has acknowledged that it is draining", b.id)
}

// crash makes the back end silent for good.
func (b *backend) crash() {
	b.dark.Store(true)
	b.site.record.line("back end %s: crashes and is silent", b.id)
}

func (b *backend) receiveLoop() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := b.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size <= 8 || b.dark.Load() {
			continue
		}
		meant := binary.BigEndian.Uint64(buffer)
		packet, err := echonet.Decode(buffer[8:size], checksumKey)
		if err != nil || !packet.ChecksumValid || meant != 0 && meant != b.number {
			continue
		}
		b.handle(packet)
	}
}

func (b *backend) handle(packet echonet.Packet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	id := flowID{netip.AddrFrom4(packet.Source), packet.SourcePort}
	flow := b.flows[id]
	switch {
	case packet.Flags&echonet.FlagSYN != 0:
		b.handleSYN(id, flow, packet)
		return
	case flow == nil, !flow.open && packet.Ack != flow.firstSeq+1:
		// The flow is not held here: it never opened at this back end, or has ended.
		b.site.record.line("back end %s: packet of flow %s that it does not hold, answered with RST (%d bytes)", b.id, id, len(packet.Data))
		b.send(packet, echonet.Packet{Token: packet.Token, Flags: echonet.FlagRST, Seq: packet.Ack})
		return
	case !flow.open:
		flow.open = true
		flow.sent = nil
		b.site.flowOpened(id, b)
	}
	flow.token = packet.Token
	if flow.sent != nil && packet.Ack == flow.sentSeq {
		flow.sent = nil
	}
	switch {
	case packet.Flags&echonet.FlagRST != 0:
		delete(b.flows, id)
	case packet.Flags&echonet.FlagFIN != 0:
		b.send(packet, echonet.Packet{Token: flow.token, Flags: echonet.FlagACK, Seq: flow.sentSeq, Ack: packet.Seq + 1})
		delete(b.flows, id)
	case len(packet.Data) > 0:
		b.handleRequest(id, flow, packet)
	}
}

// handleSYN answers a SYN with a SYN+ACK, which is sent again while the client does not
// acknowledge it.
func (b *backend) handleSYN(id flowID, flow *backendFlow, packet echonet.Packet) {
	if flow != nil && flow.clientSeq == packet.Seq {
		flow.token = packet.Token
		if flow.sent != nil {
			b.send(packet, *flow.sent)
		}
		return
	}
	flow = &backendFlow{firstSeq: rand.Uint32(), clientSeq: packet.Seq, token: packet.Token}
	b.flows[id] = flow
	b.sendReliably(id, flow, packet, echonet.Packet{Token: packet.Token, Flags: echonet.FlagSYN | echonet.FlagACK,
		Seq: flow.firstSeq, Ack: packet.Seq + 1}, flow.firstSeq+1)
}

// handleRequest answers a request of one packet. "close" in it asks the back end to close the
// flow after the answer, as a draining one does with each flow.
func (b *backend) handleRequest(id flowID, flow *backendFlow, packet echonet.Packet) {
	end := packet.Seq + uint32(len(packet.Data))
	if flow.answered == end {
		if flow.sent != nil {
			b.send(packet, *flow.sent)
		}
		return
	}
	flow.answered = end
	body := string(packet.Data)
	b.site.record.line("back end %s: runs %q of flow %s", b.id, body, id)
	flags := byte(echonet.FlagACK)
	if b.state == metadata.StateDraining || strings.Contains(body, "close") {
		flags |= echonet.FlagFIN
	}
	time.AfterFunc(workTime, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		answer := echonet.Packet{Token: flow.token, Flags: flags, Seq: packet.Ack, Ack: end, Data: []byte(b.id + " " + body)}
		next := packet.Ack + uint32(len(answer.Data))
		if flags&echonet.FlagFIN != 0 {
			next++
		}
		b.sendReliably(id, flow, packet, answer, next)
	})
}

// sendReliably sends a packet and sends it again until the client acknowledges it.
func (b *backend) sendReliably(id flowID, flow *backendFlow, request, packet echonet.Packet, acknowledgedBy uint32) {
	flow.sent, flow.sentSeq = &packet, acknowledgedBy
	b.send(request, packet)
	b.resendLater(id, flow, request, &packet, firstResend, resendLimit)
}

func (b *backend) resendLater(id flowID, flow *backendFlow, request echonet.Packet, packet *echonet.Packet, wait time.Duration, left int) {
	time.AfterFunc(wait, func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if b.flows[id] != flow || flow.sent != packet || b.dark.Load() {
			return
		}
		if left == 0 {
			delete(b.flows, id)
			return
		}
		b.send(request, *packet)
		b.resendLater(id, flow, request, packet, min(2*wait, longestResend), left-1)
	})
}

// send sends a packet to the client of a packet.
func (b *backend) send(request, packet echonet.Packet) {
	packet.Source, packet.SourcePort = request.Destination, request.DestinationPort
	packet.Destination, packet.DestinationPort = request.Source, request.SourcePort
	client := netip.AddrFrom4(request.Source)
	if b.dark.Load() {
		return
	}
	encoded := packet.Encode(checksumKey)
	time.AfterFunc(clientDelay, func() {
		_, _ = b.socket.WriteToUDPAddrPort(encoded, netip.AddrPortFrom(client, b.site.dataPort))
	})
}
