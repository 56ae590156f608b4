package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

var (
	errRefused  = errors.New("reset before the flow was open")
	errReset    = errors.New("reset")
	errDeadline = errors.New("no answer in time")
)

// client opens flows from one address in a zone.
type client struct {
	site   *site
	zone   string
	addr   netip.Addr
	socket *net.UDPConn
	mutex  sync.Mutex
	flows  map[uint16]*clientFlow
}

// clientFlow is a client's end of a flow. Its last echo is that of the last packet received on
// the flow, as the users' page says.
type clientFlow struct {
	client *client
	port   uint16
	inbox  chan received
	mutex  sync.Mutex
	echo   uint32
	// firstSeq is the client's sequence number of the SYN. firstAck is the back end's next one,
	// set once the flow is open.
	firstSeq, firstAck uint32
	open               bool
	// seq is the client's next sequence number, and ack the next one that it expects.
	seq, ack uint32
	// finished is set once the back end has closed the flow.
	finished bool
}

type received struct {
	packet echonet.Packet
	from   netip.AddrPort
}

func startClient(site *site, zone string, addr netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, site.dataPort)))
	if err != nil {
		return nil, err
	}
	c := &client{site: site, zone: zone, addr: addr, socket: socket, flows: make(map[uint16]*clientFlow)}
	go c.receiveLoop()
	return c, nil
}

func (c *client) receiveLoop() {
	buffer := make([]byte, 2048)
	for {
		size, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := echonet.Decode(buffer[:size], checksumKey)
		systemReset := err == nil && packet.Flags == echonet.FlagRST && packet.Checksum == 0
		if err != nil || !packet.ChecksumValid && !systemReset {
			continue
		}
		c.mutex.Lock()
		flow := c.flows[packet.DestinationPort]
		c.mutex.Unlock()
		if flow == nil {
			continue
		}
		flow.receive(packet)
		select {
		case flow.inbox <- received{packet, from}:
		default:
		}
	}
}

// synCopies are the waits after the SYN and each copy of it; 1.4 s in all.
var synCopies = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// openFlow opens a flow to the route from a port.
func (c *client) openFlow(ctx context.Context, port uint16) (*clientFlow, error) {
	flow := &clientFlow{client: c, port: port, inbox: make(chan received, 64), firstSeq: rand.Uint32()}
	flow.seq = flow.firstSeq
	c.mutex.Lock()
	c.flows[port] = flow
	c.mutex.Unlock()
	c.site.newFlow(flow.id())
	for copies, wait := range synCopies {
		flow.send(echonet.FlagSYN, uint32(copies), nil)
		got, err := flow.await(ctx, wait, func(p echonet.Packet) bool { return p.Flags&echonet.FlagSYN != 0 })
		if errors.Is(err, errReset) {
			return nil, errRefused
		}
		if err == nil && got.packet.Seq+1 == flow.firstAck {
			flow.seq, flow.ack = flow.firstSeq+1, flow.firstAck
			return flow, nil
		}
	}
	return nil, errDeadline
}

// receive handles a packet as it arrives. The first SYN+ACK opens the flow: it is acknowledged
// at once, and a later one, of another back end, changes nothing but the last echo. Data that
// came before is acknowledged again.
func (f *clientFlow) receive(packet echonet.Packet) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.echo = packet.Token
	switch {
	case packet.Flags&echonet.FlagSYN != 0 && !f.open:
		f.open, f.firstAck = true, packet.Seq+1
		f.transmit(f.echo, echonet.FlagACK, f.firstSeq+1, f.firstAck, nil)
	case len(packet.Data) > 0 && f.open:
		end := packet.Seq + uint32(len(packet.Data))
		if packet.Flags&echonet.FlagFIN != 0 {
			end++
		}
		f.transmit(f.echo, echonet.FlagACK, packet.Ack, end, nil)
	}
}

func (f *clientFlow) id() flowID { return flowID{f.client.addr, f.port} }

// requestCopies are the waits after a request and each copy of it.
var requestCopies = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// request sends a request of one packet and waits for its answer.
func (f *clientFlow) request(ctx context.Context, body string) (string, error) {
	f.client.site.record.line("client: sends %q on flow %s", body, f.id())
	for _, wait := range requestCopies {
		f.send(echonet.FlagACK, f.ack, []byte(body))
		got, err := f.await(ctx, wait, func(p echonet.Packet) bool {
			return p.Flags&echonet.FlagSYN == 0 && p.Seq == f.ack && strings.HasSuffix(string(p.Data), " "+body)
		})
		if errors.Is(err, errReset) {
			return "", err
		}
		if err != nil {
			continue
		}
		f.seq += uint32(len(body))
		f.ack += uint32(len(got.packet.Data))
		f.finished = got.packet.Flags&echonet.FlagFIN != 0
		if f.finished {
			f.ack++
		}
		server := strings.TrimSuffix(string(got.packet.Data), " "+body)
		f.client.site.record.line("client: %q on flow %s is answered by %s", body, f.id(), server)
		f.client.site.answered.Add(1)
		return server, nil
	}
	return "", errDeadline
}

// close ends the flow from the client's side.
func (f *clientFlow) close(ctx context.Context) {
	f.send(echonet.FlagFIN|echonet.FlagACK, f.ack, nil)
	_, _ = f.await(ctx, firstResend, func(p echonet.Packet) bool { return p.Ack == f.seq+1 })
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if f.client.flows[f.port] == f {
		delete(f.client.flows, f.port)
	}
}

// await waits for a packet that matches. A reset ends the wait.
func (f *clientFlow) await(ctx context.Context, wait time.Duration, matches func(echonet.Packet) bool) (received, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case got := <-f.inbox:
			if got.packet.Flags&echonet.FlagRST != 0 {
				f.client.site.resetReceived(f, got)
				return got, errReset
			}
			if matches(got.packet) {
				return got, nil
			}
		case <-timer.C:
			return received{}, errDeadline
		case <-ctx.Done():
			return received{}, ctx.Err()
		}
	}
}

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	echo := f.echo
	if flags&echonet.FlagSYN != 0 {
		echo = 0
	}
	f.transmit(echo, flags, f.seq, ack, data)
}

func (f *clientFlow) transmit(echo uint32, flags byte, seq, ack uint32, data []byte) {
	route := f.client.site.route
	packet := echonet.Packet{Token: echo, Flags: flags, Seq: seq, Ack: ack, Data: data, Source: f.client.addr.As4(), SourcePort: f.port,
		Destination: route.Addr().As4(), DestinationPort: route.Port()}
	target, found := f.client.site.router.pick(f.client.zone, fmt.Sprintf("%s:%d-%s", f.client.addr, f.port, route))
	if found {
		_, _ = f.client.socket.WriteToUDPAddrPort(packet.Encode(checksumKey), target)
	}
}
