// Package tunnel is a TCP stack in user space (gVisor's) whose packets travel
// as UDP datagrams, one IPv4 packet each. The stand-ins of callers and back
// ends use it, so that what the balancers forward is real TCP.
package tunnel

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	interfaceID  = 1
	queueLength  = 4096
	linkMTU      = 1400
	socketBuffer = 4 << 20
	readSize     = 2048
)

// RouteFunc gives the UDP address for a packet to an inner address, or nil.
type RouteFunc func(destination netip.Addr) *net.UDPAddr

// Stack is one host with inner addresses and a UDP socket.
type Stack struct {
	stack          *stack.Stack
	link           *channel.Endpoint
	socket         *net.UDPConn
	route          RouteFunc
	localAddresses map[netip.Addr]bool
	// misrouted counts packets to an inner address that is not the host's.
	misrouted atomic.Uint64
}

// New makes a host with inner addresses behind a UDP listen address.
func New(listen string, addresses []string, route RouteFunc) (*Stack, error) {
	local, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "tunnel %s", listen)
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Wrapf(err, "tunnel %s", listen)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	made := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link:           channel.New(queueLength, linkMTU, ""),
		socket:         socket,
		route:          route,
		localAddresses: make(map[netip.Addr]bool),
	}
	if err := made.configure(addresses); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return made, nil
}

func (tunnel *Stack) configure(addresses []string) error {
	if err := tunnel.stack.CreateNIC(interfaceID, tunnel.link); err != nil {
		return errors.Newf("tunnel: interface: %s", err)
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddr(address)
		if err != nil {
			return errors.Wrapf(err, "tunnel: address %q", address)
		}
		tunnel.localAddresses[parsed] = true
		protocolAddress := tcpip.ProtocolAddress{
			Protocol:          ipv4.ProtocolNumber,
			AddressWithPrefix: tcpip.AddrFrom4(parsed.As4()).WithPrefix(),
		}
		if err := tunnel.stack.AddProtocolAddress(interfaceID, protocolAddress, stack.AddressProperties{}); err != nil {
			return errors.Newf("tunnel: address %s: %s", address, err)
		}
	}
	tunnel.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	return nil
}

// Run moves packets until the context ends.
func (tunnel *Stack) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = tunnel.socket.Close() })
	defer stop()
	go tunnel.sendLoop(ctx)
	datagram := make([]byte, readSize)
	for ctx.Err() == nil {
		count, err := tunnel.socket.Read(datagram)
		if err != nil {
			continue
		}
		tunnel.receive(datagram[:count])
	}
	tunnel.stack.Close()
}

func (tunnel *Stack) receive(datagram []byte) {
	if len(datagram) < header.IPv4MinimumSize {
		return
	}
	destination := netip.AddrFrom4([4]byte(datagram[16:20]))
	if !tunnel.localAddresses[destination] {
		tunnel.misrouted.Add(1)
		return
	}
	packet := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(datagram)})
	tunnel.link.InjectInbound(ipv4.ProtocolNumber, packet)
	packet.DecRef()
}

func (tunnel *Stack) sendLoop(ctx context.Context) {
	for {
		packet := tunnel.link.ReadContext(ctx)
		if packet == nil {
			return
		}
		view := packet.ToView()
		bytes := view.AsSlice()
		destination := netip.AddrFrom4([4]byte(bytes[16:20]))
		if target := tunnel.route(destination); target != nil {
			_, _ = tunnel.socket.WriteToUDP(bytes, target)
		}
		view.Release()
		packet.DecRef()
	}
}

// MisroutedPackets returns the number of packets for inner addresses of others.
func (tunnel *Stack) MisroutedPackets() uint64 { return tunnel.misrouted.Load() }

func fullAddress(address netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(address.Addr().As4()), Port: address.Port()}
}

// Listen listens for TCP on an inner address.
func (tunnel *Stack) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := gonet.ListenTCP(tunnel.stack, fullAddress(address), ipv4.ProtocolNumber)
	return listener, errors.Wrapf(err, "tunnel: listen on %s", address)
}

// Dial opens a TCP connection to an inner address.
func (tunnel *Stack) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	connection, err := gonet.DialContextTCP(ctx, tunnel.stack, fullAddress(address), ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.Wrapf(err, "tunnel: dial %s", address)
	}
	return connection, nil
}

// CallerPort is the UDP port of every caller's tunnel.
const CallerPort = 6080

// CallerAddress is where a caller's tunnel listens: the inner address
// 10.a.b.c belongs to the loopback address 127.a.b.c. It returns nil for other
// addresses.
func CallerAddress(inner netip.Addr) *net.UDPAddr {
	bytes := inner.As4()
	if bytes[0] != 10 {
		return nil
	}
	return &net.UDPAddr{IP: net.IPv4(127, bytes[1], bytes[2], bytes[3]), Port: CallerPort}
}
