package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// The ends in this file follow the platform's pages where the project's own stand-ins leave
// something out: a flow is open at a back end only once the client has acknowledged the back
// end's own number, and both ends write the last token that they received into what they send.

const (
	// firstResend is the wait before a packet is resent; it doubles up to longestResend.
	firstResend   = 200 * time.Millisecond
	longestResend = 1600 * time.Millisecond
	// datagramSize is more than the largest datagram.
	datagramSize = 2048
	// numberSize is the size of the back end's number before each packet.
	numberSize = 8
)

// endKey identifies a flow at a back end.
type endKey struct {
	source [4]byte
	port   uint16
}

// backendEnd is a back end.
type backendEnd struct {
	world  *world
	id     string
	number uint64
	socket *net.UDPConn

	mutex sync.Mutex
	flows map[endKey]*backendFlow
	// arrivals holds when the first SYN of each flow arrived.
	arrivals map[endKey]time.Time
	// resets is the set of flows to whose clients it sent a reset.
	resets map[endKey]bool
	// quiet is set while packets are not recorded.
	quiet bool
}

// backendFlow is a flow at a back end; it is open once the client has acknowledged seq.
type backendFlow struct {
	seq, token uint32
	open       bool
}

func (w *world) addBackendEnd(id, pool, zone string, host int) (*backendEnd, error) {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(1, host), w.backendPort))
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	end := &backendEnd{world: w, id: id, socket: socket, flows: make(map[endKey]*backendFlow), arrivals: make(map[endKey]time.Time),
		resets: make(map[endKey]bool)}
	if _, err := fmt.Sscanf(id, "i-%x", &end.number); err != nil {
		return nil, err
	}
	go end.receive()
	w.addEntry(id, pool, zone, address)
	w.ends = append(w.ends, end)
	w.note("back end %s: started in %s, pool %s", id, zone, pool)
	return end, nil
}

func (b *backendEnd) receive() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := b.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < numberSize {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != b.number {
			continue // it is not the back end that is meant, so it stays silent
		}
		packet, err := echonet.Decode(buffer[numberSize:size], checksumKey)
		if err == nil && packet.ChecksumValid {
			b.handle(packet)
		}
	}
}

func (b *backendEnd) handle(packet echonet.Packet) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := endKey{source: packet.Source, port: packet.SourcePort}
	flow := b.flows[key]
	if packet.Flags&echonet.FlagSYN != 0 {
		if flow == nil {
			flow = &backendFlow{seq: rand.Uint32()}
			b.flows[key], b.arrivals[key] = flow, time.Now()
		}
		flow.token = packet.Token
		b.note(packet, "gets SYN, answers SYN+ACK")
		b.reply(packet, flow.token, echonet.FlagSYN|echonet.FlagACK, flow.seq, packet.Seq+1, nil)
		return
	}
	if flow != nil && packet.Ack == flow.seq+1 && !flow.open {
		flow.open = true
		b.note(packet, "has the end of the handshake: the flow is open here")
	}
	if flow == nil || !flow.open {
		b.note(packet, "gets a packet of a flow that it does not hold, answers RST")
		b.resets[key] = true
		b.reply(packet, packet.Token, echonet.FlagRST, packet.Ack, 0, nil)
		return
	}
	flow.token = packet.Token
	switch {
	case packet.Flags&echonet.FlagFIN != 0:
		delete(b.flows, key)
		b.reply(packet, flow.token, echonet.FlagACK, packet.Ack, packet.Seq+1, nil)
	case len(packet.Data) > 0:
		body := string(packet.Data)
		b.note(packet, "runs "+requestName(body))
		b.reply(packet, flow.token, echonet.FlagACK, packet.Ack, packet.Seq+uint32(len(body)), []byte(b.id+" "+body))
	}
}

// reply sends a packet to the sender of another one.
func (b *backendEnd) reply(to echonet.Packet, token uint32, flags byte, seq, ack uint32, data []byte) {
	packet := echonet.Packet{Token: token, Flags: flags, Seq: seq, Ack: ack, Data: data,
		Source: to.Destination, SourcePort: to.DestinationPort, Destination: to.Source, DestinationPort: to.SourcePort}
	client := netip.AddrPortFrom(netip.AddrFrom4(to.Source), b.world.port)
	_, _ = b.socket.WriteToUDPAddrPort(packet.Encode(checksumKey), client)
}

// arrival returns when the first SYN of a flow arrived.
func (b *backendEnd) arrival(client netip.Addr, port uint16) time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.arrivals[endKey{source: client.As4(), port: port}]
}

// hasReset reports whether the back end sent a reset to the client of a flow.
func (b *backendEnd) hasReset(client netip.Addr, port uint16) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.resets[endKey{source: client.As4(), port: port}]
}

// setQuiet sets whether packets are left out of the record.
func (b *backendEnd) setQuiet(quiet bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.quiet = quiet
}

func (b *backendEnd) note(packet echonet.Packet, what string) {
	if b.quiet {
		return
	}
	b.world.note("back end %s: port %d of %s: %s", b.id, packet.SourcePort, netip.AddrFrom4(packet.Source), what)
}

// requestName returns the id of a request in a body.
func requestName(body string) string {
	_, after, _ := strings.Cut(body, "X-Attempt-Id: ")
	name, _, _ := strings.Cut(after, "\r\n")
	return name
}

// clientEnd is one flow of a client, with an address of its own.
type clientEnd struct {
	world  *world
	name   string
	router *zoneRouter
	socket *net.UDPConn
	target netip.AddrPort
	inbox  chan echonet.Packet

	mutex    sync.Mutex
	address  netip.AddrPort
	port     uint16
	seq, ack uint32
	// token is the last one received.
	token uint32
	// reset is set once a reset has arrived on the open flow, and resetByBackend if a back end
	// sent it.
	open, reset, resetByBackend bool
}

// addClientEnd returns a client whose flow goes through a balancer.
func (w *world) addClientEnd(name string, router *zoneRouter, host int, through netip.AddrPort) (*clientEnd, error) {
	address := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(3, host), w.port))
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	end := &clientEnd{world: w, name: name, router: router, socket: socket, address: address,
		target: netip.MustParseAddrPort(serviceAddress), inbox: make(chan echonet.Packet, 64), seq: rand.Uint32()}
	for port := uint16(40001); port < 41000; port++ {
		end.port = port
		if end.router.pick(end.packet(0, nil)) == through {
			go end.receive()
			w.clients = append(w.clients, end)
			return end, nil
		}
	}
	return nil, errors.Newf("%s: the router sends no flow to %s", name, through)
}

func (c *clientEnd) packet(flags byte, data []byte) echonet.Packet {
	return echonet.Packet{Token: c.token, Flags: flags, Seq: c.seq, Ack: c.ack, Data: data,
		Source: c.address.Addr().As4(), SourcePort: c.port, Destination: c.target.Addr().As4(), DestinationPort: c.target.Port()}
}

// send sends a packet to the balancer that the router picks now.
func (c *clientEnd) send(what string, flags byte, data []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sendLocked(what, flags, data)
}

// sendLocked is send for callers that hold the mutex.
func (c *clientEnd) sendLocked(what string, flags byte, data []byte) {
	packet := c.packet(flags, data)
	balancer := c.router.pick(packet)
	c.world.note("client %s: sends %s to %s with echo %08x", c.name, what, balancer, packet.Token)
	_, _ = c.socket.WriteToUDPAddrPort(packet.Encode(checksumKey), balancer)
}

func (c *clientEnd) receive() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := echonet.Decode(buffer[:size], checksumKey)
		if err != nil || packet.DestinationPort != c.port {
			continue
		}
		if c.accept(packet) {
			c.inbox <- packet
		}
	}
}

// accept notes a packet and reports whether the flow goes on with it.
func (c *clientEnd) accept(packet echonet.Packet) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ownReset := packet.Flags == echonet.FlagRST && packet.Checksum == 0
	switch {
	case ownReset || packet.ChecksumValid && packet.Flags&echonet.FlagRST != 0:
		c.world.note("client %s: gets RST, of a back end: %t, on an open flow: %t", c.name, !ownReset, c.open)
		c.reset, c.resetByBackend = c.reset || c.open, c.resetByBackend || !ownReset
		return true
	case !packet.ChecksumValid:
		return false
	}
	c.token = packet.Token
	if packet.Flags&echonet.FlagSYN != 0 {
		c.world.note("client %s: gets SYN+ACK with echo %08x, flow open before: %t", c.name, packet.Token, c.open)
		if c.open {
			return false
		}
		c.open, c.ack = true, packet.Seq+1
		c.seq++
		c.sendLocked("ACK", echonet.FlagACK, nil)
		return true
	}
	return len(packet.Data) > 0
}

// await waits for a packet.
func (c *clientEnd) await(wait time.Duration) (echonet.Packet, bool) {
	select {
	case packet := <-c.inbox:
		return packet, true
	case <-time.After(wait):
		return echonet.Packet{}, false
	}
}

// openFlow opens the flow.
func (c *clientEnd) openFlow() error {
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.ack = uint32(copies)
		c.send(fmt.Sprintf("SYN %d", copies), echonet.FlagSYN, nil)
		if packet, found := c.await(wait); found {
			if packet.Flags&echonet.FlagRST != 0 {
				return errors.Newf("%s: the flow was refused", c.name)
			}
			return nil
		}
	}
	return errors.Newf("%s: the flow did not open", c.name)
}

// ask sends a request and returns the back end that answered; an empty name means that the
// flow was reset or that no answer came within the deadline.
func (c *clientEnd) ask(step string) (server string) {
	body := requestBody(c.name, step)
	deadline := time.Now().Add(2500 * time.Millisecond)
	for wait := firstResend; time.Now().Before(deadline); wait = min(2*wait, longestResend) {
		c.send("request "+requestName(body), echonet.FlagACK, []byte(body))
		packet, found := c.await(min(wait, time.Until(deadline)))
		if !found {
			continue
		}
		if packet.Flags&echonet.FlagRST != 0 {
			return ""
		}
		server, _, _ = strings.Cut(string(packet.Data), " ")
		c.mutex.Lock()
		c.seq += uint32(len(body))
		c.ack = packet.Seq + uint32(len(packet.Data))
		c.mutex.Unlock()
		c.send("ACK", echonet.FlagACK, nil)
		c.world.note("client %s: request %s answered by %s", c.name, requestName(body), server)
		return server
	}
	c.world.note("client %s: request %s: no answer within the deadline", c.name, requestName(body))
	return ""
}

// wasReset reports whether a reset arrived on the open flow.
func (c *clientEnd) wasReset() (reset, byBackend bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reset, c.resetByBackend
}
