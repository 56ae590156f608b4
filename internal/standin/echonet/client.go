package echonet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrRefused: the flow was reset before it opened.
	ErrRefused = errors.New("the flow was refused")
	// ErrBroken: an open flow was reset.
	ErrBroken = errors.New("the flow was broken")
	// ErrShed: the back end said that it has not run the request.
	ErrShed = errors.New("the request was shed")
	// ErrDeadline: no answer came in time.
	ErrDeadline = errors.New("no answer came in time")
)

// Client opens flows from one address.
type Client struct {
	address     netip.AddrPort
	checksumKey uint64
	router      *Router
	socket      *net.UDPConn
	mutex       sync.Mutex
	flows       map[uint16]chan Packet
	nextPort    uint16
}

// StartClient opens a client at an address.
func StartClient(address netip.AddrPort, router *Router, key uint64) (*Client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "client: listen on %s", address)
	}
	made := &Client{address: address, checksumKey: key, router: router, socket: socket, flows: make(map[uint16]chan Packet), nextPort: 40000}
	go made.receiveLoop()
	return made, nil
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
		ownReset := err == nil && packet.Flags == FlagRST && packet.Checksum == 0
		if err != nil || !packet.ChecksumValid && !ownReset {
			continue
		}
		client.mutex.Lock()
		inbox := client.flows[packet.DestinationPort]
		client.mutex.Unlock()
		select {
		case inbox <- packet:
		default:
		}
	}
}

// Flow is one open flow.
type Flow struct {
	client       *Client
	inbox        chan Packet
	lastReceived Packet
	seq          uint32
	target       netip.AddrPort
	port         uint16
	balancers    []netip.AddrPort
}

// The pauses before a packet is sent again.
var (
	openRetryIntervals    = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	requestRetryIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}
)

// responseTimeout is how long a request is waited for once its back end has it.
const responseTimeout = 3 * time.Second

// Open opens a flow to a route's address. With an error comes the flow that was
// tried.
func (client *Client) Open(target netip.AddrPort) (*Flow, error) {
	client.mutex.Lock()
	client.nextPort++
	flow := &Flow{client: client, inbox: make(chan Packet, 16), target: target, port: client.nextPort, seq: rand.Uint32()}
	client.flows[flow.port] = flow.inbox
	client.mutex.Unlock()
	for copies, pause := range openRetryIntervals {
		flow.send(FlagSYN, uint32(copies), nil)
		answer, err := flow.await(pause, func(packet Packet) bool { return packet.Flags&FlagSYN != 0 })
		if errors.Is(err, ErrBroken) {
			return flow, ErrRefused
		}
		if err == nil {
			flow.lastReceived = answer
			flow.seq++
			flow.send(FlagACK, answer.nextSeq(), nil)
			return flow, nil
		}
	}
	return flow, ErrDeadline
}

// Port is the client's port.
func (flow *Flow) Port() uint16 { return flow.port }

// TakeBalancers returns the balancers that packets were sent to since it was last asked.
func (flow *Flow) TakeBalancers() []netip.AddrPort {
	via := flow.balancers
	flow.balancers = nil
	return via
}

// Request sends one request and returns who answered it, as "pool/id".
func (flow *Flow) Request(body string) (string, error) {
	taken := func(packet Packet) bool { return packet.Ack == flow.seq+uint32(len(body)) }
	answered := func(packet Packet) bool {
		_, echoed, _ := strings.Cut(string(packet.Data), " ")
		return strings.TrimRight(echoed, padding) == body
	}
	for _, pause := range requestRetryIntervals {
		flow.send(FlagACK, flow.lastReceived.nextSeq(), []byte(body))
		answer, err := flow.await(pause, func(packet Packet) bool { return taken(packet) || answered(packet) })
		if err == nil && !answered(answer) {
			answer, err = flow.await(responseTimeout, answered)
		}
		switch {
		case errors.Is(err, ErrBroken):
			return "", err
		case err == nil:
			return flow.completeRequest(answer, body)
		}
	}
	return "", ErrDeadline
}

// completeRequest takes the answer of a request, and acknowledges it as clients do at once: a flow whose
// answer is not acknowledged still waits, for all that a balancer can see.
func (flow *Flow) completeRequest(answer Packet, body string) (string, error) {
	flow.lastReceived = answer
	flow.seq += uint32(len(body))
	flow.send(FlagACK, answer.nextSeq(), nil)
	server, _, _ := strings.Cut(string(answer.Data), " ")
	if server, shed := strings.CutPrefix(server, shedPrefix); shed {
		return server, ErrShed
	}
	return server, nil
}

// AwaitReset waits for a reset while the client sends nothing, and tells whether one came. A
// back end only answers, so it is the system's own.
func (flow *Flow) AwaitReset(within time.Duration) bool {
	_, err := flow.await(within, func(Packet) bool { return false })
	return errors.Is(err, ErrBroken)
}

// Close ends the flow.
func (flow *Flow) Close() { flow.send(FlagFIN|FlagACK, flow.lastReceived.nextSeq(), nil) }

func (flow *Flow) await(pause time.Duration, wanted func(Packet) bool) (Packet, error) {
	timeout := time.After(pause)
	for {
		select {
		case packet := <-flow.inbox:
			if packet.Flags&FlagRST != 0 {
				return packet, ErrBroken
			}
			flow.lastReceived.Token = packet.Token
			if wanted(packet) {
				return packet, nil
			}
		case <-timeout:
			return Packet{}, ErrDeadline
		}
	}
}

func (flow *Flow) send(flags byte, ack uint32, data []byte) {
	packet := Packet{
		Token: flow.lastReceived.Token, Flags: flags, Seq: flow.seq, Ack: ack, Data: data,
		Source: flow.client.address.Addr().As4(), SourcePort: flow.port,
		Destination: flow.target.Addr().As4(), DestinationPort: flow.target.Port(),
	}
	if node, found := flow.client.router.Pick(packet); found {
		if !slices.Contains(flow.balancers, node) {
			flow.balancers = append(flow.balancers, node)
		}
		_, _ = flow.client.socket.WriteToUDPAddrPort(packet.Encode(flow.client.checksumKey), node)
	}
}
