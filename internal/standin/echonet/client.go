package echonet

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrRefused is returned when a flow is reset before it is open.
	ErrRefused = errors.New("the flow was refused")
	// ErrBroken is returned when an open flow is reset.
	ErrBroken = errors.New("the flow was broken")
	// ErrShed is returned when the back end reports that it has not run the request.
	ErrShed = errors.New("the request was shed")
	// ErrDeadline is returned when no response arrives in time.
	ErrDeadline = errors.New("no answer came in time")
)

// Client opens flows from one address. It is safe for concurrent use.
type Client struct {
	address     netip.AddrPort
	checksumKey uint64
	router      *Router
	socket      *net.UDPConn
	mutex       sync.Mutex
	flows       map[uint16]*Flow
	ports       portBlock
	startedAt   time.Time
}

// StartClient starts a client at an address. Packets carry a checksum under checksumKey.
func StartClient(address netip.AddrPort, router *Router, checksumKey uint64) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "client: listen on %s", address)
	}
	client := &Client{address: address, checksumKey: checksumKey, router: router, socket: socket,
		flows: make(map[uint16]*Flow), ports: portBlock{next: firstPort}, startedAt: time.Now()}
	go client.receiveLoop()
	return client, nil
}

// Stop closes the client.
func (client *Client) Stop() { _ = client.socket.Close() }

func (client *Client) receiveLoop() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := client.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet, err := Decode(buffer[:size], client.checksumKey)
		// A reset made by the system under test itself has no checksum.
		systemReset := err == nil && packet.Flags == FlagRST && packet.Checksum == 0
		if err != nil || !packet.ChecksumValid && !systemReset {
			continue
		}
		client.mutex.Lock()
		flow := client.flows[packet.DestinationPort]
		client.mutex.Unlock()
		if flow != nil {
			flow.receive(packet)
		}
	}
}

// Flow is a client's end of one flow. It is not safe for concurrent use.
type Flow struct {
	client *Client
	inbox  chan Packet
	// opened is set once the flow is open, and ended once one of its ends has closed it.
	opened, ended atomic.Bool
	// sequence and acknowledged are the numbers of the latest packet.
	sequence, acknowledged atomic.Uint32
	// reset is set once the flow was reset.
	reset bool
	// lastReceived is the last response, with the token of the newest packet.
	lastReceived Packet
	seq          uint32
	target       netip.AddrPort
	id           FlowID
	// balancers holds the balancers used since the last call of TakeBalancers.
	balancers []netip.AddrPort
}

// These are the waits before a packet is retransmitted; after the last one the attempt
// fails.
var (
	openRetryIntervals    = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	requestRetryIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}
)

// responseTimeout is how long to wait for the response once the back end has acknowledged
// the request.
const responseTimeout = 3 * time.Second

// Open opens a flow to a route's address. With an error it also returns the flow that it
// tried to open.
func (client *Client) Open(target netip.AddrPort) (*Flow, error) {
	flow := client.newFlow(target)
	for retransmissions, pause := range openRetryIntervals {
		flow.send(FlagSYN, uint32(retransmissions), nil)
		response, err := flow.await(pause, func(packet Packet) bool { return packet.Flags&FlagSYN != 0 && packet.Ack == flow.seq+1 })
		if errors.Is(err, ErrBroken) {
			return flow, ErrRefused
		}
		if err == nil {
			flow.lastReceived = response
			flow.seq++
			flow.opened.Store(true)
			flow.send(FlagACK, response.nextSeq(), nil)
			return flow, nil
		}
	}
	return flow, ErrDeadline
}

// newFlow returns a flow from a port that no other one uses.
func (client *Client) newFlow(target netip.AddrPort) *Flow {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	flow := &Flow{client: client, inbox: make(chan Packet, 16), target: target}
	flow.id.Port = client.ports.take(target, time.Now())
	flow.id.Sequence = client.initialSequence(flow.id.Port)
	flow.seq = flow.id.Sequence
	client.flows[flow.id.Port] = flow
	return flow
}

// Port returns the client's port.
func (flow *Flow) Port() uint16 { return flow.id.Port }

// ID returns what identifies the flow among those of its client.
func (flow *Flow) ID() FlowID { return flow.id }

// TakeBalancers returns the balancers to which packets were sent since its last call.
func (flow *Flow) TakeBalancers() []netip.AddrPort {
	balancers := flow.balancers
	flow.balancers = nil
	return balancers
}

// Request sends one request and returns the back end that answered, as "pool/id".
func (flow *Flow) Request(body string) (string, error) {
	acknowledged := func(packet Packet) bool { return packet.Ack == flow.seq+uint32(len(body)) }
	answered := func(packet Packet) bool {
		_, echoed, _ := strings.Cut(string(packet.Data), " ")
		return strings.TrimRight(echoed, padding) == body
	}
	for _, pause := range requestRetryIntervals {
		flow.send(FlagACK, flow.lastReceived.nextSeq(), []byte(body))
		response, err := flow.await(pause, func(packet Packet) bool { return acknowledged(packet) || answered(packet) })
		if err == nil && !answered(response) {
			response, err = flow.await(responseTimeout, answered)
		}
		switch {
		case errors.Is(err, ErrBroken):
			return "", err
		case err == nil:
			return flow.completeRequest(response, body)
		}
	}
	return "", ErrDeadline
}

// completeRequest processes the response to a request. It acknowledges the response at
// once, as clients do: to a balancer, a flow whose response is not acknowledged still
// seems to wait for one.
func (flow *Flow) completeRequest(response Packet, body string) (string, error) {
	flow.lastReceived = response
	flow.seq += uint32(len(body))
	flow.ended.Store(response.Flags&FlagFIN != 0)
	flow.send(FlagACK, response.nextSeq(), nil)
	server, _, _ := strings.Cut(string(response.Data), " ")
	if server, shed := strings.CutPrefix(server, shedPrefix); shed {
		return server, ErrShed
	}
	return server, nil
}

// AwaitReset waits for a reset while the client sends nothing, and reports whether one
// arrived. Back ends send packets only in response to others, so such a reset comes from
// the system under test.
func (flow *Flow) AwaitReset(within time.Duration) bool {
	_, err := flow.await(within, func(Packet) bool { return false })
	return errors.Is(err, ErrBroken)
}

// Close sends a packet that ends the flow, unless it was reset or not opened. The port may be used
// again from then on.
func (flow *Flow) Close() {
	if flow.opened.Load() && !flow.reset {
		flow.send(FlagFIN|FlagACK, flow.lastReceived.nextSeq(), nil)
		flow.sequence.Store(flow.seq + 1)
	}
	flow.ended.Store(true)
	flow.client.mutex.Lock()
	defer flow.client.mutex.Unlock()
	flow.client.ports.release(flow.id.Port, flow.target, time.Now())
}

// await waits for a packet that matches, and fails with ErrBroken on a reset and with
// ErrDeadline after the wait.
func (flow *Flow) await(wait time.Duration, matches func(Packet) bool) (Packet, error) {
	timeout := time.After(wait)
	for {
		select {
		case packet := <-flow.inbox:
			if packet.Flags&FlagRST != 0 {
				flow.reset = true
				return packet, ErrBroken
			}
			flow.lastReceived.Token = packet.Token
			if matches(packet) {
				return packet, nil
			}
		case <-timeout:
			return Packet{}, ErrDeadline
		}
	}
}

// send sends a packet with the newest token to the balancer that the router picks. It
// sends nothing if no balancer is in service.
func (flow *Flow) send(flags byte, ack uint32, data []byte) {
	flow.sequence.Store(flow.seq)
	flow.acknowledged.Store(ack)
	if balancer, found := flow.transmit(flow.lastReceived.Token, flags, flow.seq, ack, data); found && !slices.Contains(flow.balancers, balancer) {
		flow.balancers = append(flow.balancers, balancer)
	}
}

// transmit sends a packet and returns the balancer that the router picked, if there was one.
func (flow *Flow) transmit(token uint32, flags byte, seq, ack uint32, data []byte) (netip.AddrPort, bool) {
	packet := Packet{
		Token: token, Flags: flags, Seq: seq, Ack: ack, Data: data,
		Source: flow.client.address.Addr().As4(), SourcePort: flow.id.Port,
		Destination: flow.target.Addr().As4(), DestinationPort: flow.target.Port(),
	}
	balancer, found := flow.client.router.Pick(packet)
	if found {
		_, _ = flow.client.socket.WriteToUDPAddrPort(packet.Encode(flow.client.checksumKey), balancer)
	}
	return balancer, found
}
