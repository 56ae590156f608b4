// Package fabric simulates the network in front of the balancers. It sends each
// packet to a random balancer of its list, regardless of the flow to which the packet
// belongs.
//
// New opens the fabric's UDP socket, SetNodes sets the list of balancers, and Run
// forwards packets.
package fabric

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/tunnel"
)

// Fabric is a simulated network. It is safe for concurrent use.
type Fabric struct {
	socket *net.UDPConn
	// nodes is the list of the balancers' data addresses.
	nodes atomic.Pointer[[]*net.UDPAddr]
	// callerPrefix is the prefix of the callers' inner addresses.
	callerPrefix netip.Prefix
	// forwardedPackets counts the packets sent to balancers.
	forwardedPackets atomic.Uint64
}

const (
	socketBuffer      = 8 << 20
	readSize          = 2048
	minimumPacketSize = 20
)

// CallerPrefix is the prefix that contains the inner addresses of all callers.
const CallerPrefix = "10.64.0.0/10"

// New opens the fabric's socket at a UDP address. The list of balancers is empty at
// first.
func New(listen string) (*Fabric, error) {
	local, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "fabric %s", listen)
	}
	socket, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Wrapf(err, "fabric %s", listen)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	fabric := &Fabric{socket: socket, callerPrefix: netip.MustParsePrefix(CallerPrefix)}
	fabric.nodes.Store(&[]*net.UDPAddr{})
	return fabric, nil
}

// SetNodes replaces the list of balancers' data addresses.
func (fabric *Fabric) SetNodes(addresses []string) error {
	nodes := make([]*net.UDPAddr, 0, len(addresses))
	for _, address := range addresses {
		parsed, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			return errors.Wrapf(err, "fabric: node %q", address)
		}
		nodes = append(nodes, parsed)
	}
	fabric.nodes.Store(&nodes)
	return nil
}

// Run forwards packets until the context ends, and then closes the socket.
func (fabric *Fabric) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = fabric.socket.Close() })
	defer stop()
	datagram := make([]byte, readSize)
	for ctx.Err() == nil {
		count, err := fabric.socket.Read(datagram)
		if err != nil || count < minimumPacketSize {
			continue
		}
		if target := fabric.target(datagram[:count]); target != nil {
			_, _ = fabric.socket.WriteToUDP(datagram[:count], target)
		}
	}
}

// target returns where to send a packet: to the caller if the destination is a
// caller's inner address, as for packets from a balancer, or else to a random balancer.
// It returns nil if there is no address to send to.
func (fabric *Fabric) target(datagram []byte) *net.UDPAddr {
	destination := netip.AddrFrom4([4]byte(datagram[16:20]))
	if fabric.callerPrefix.Contains(destination) {
		return tunnel.CallerAddress(destination)
	}
	nodes := *fabric.nodes.Load()
	if len(nodes) == 0 {
		return nil
	}
	fabric.forwardedPackets.Add(1)
	return nodes[rand.IntN(len(nodes))]
}

// Handler returns the handler of the control endpoint, with PUT /nodes. The request
// body is a JSON list of balancers' data addresses.
func (fabric *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /nodes", func(writer http.ResponseWriter, request *http.Request) {
		var addresses []string
		err := json.NewDecoder(request.Body).Decode(&addresses)
		if err == nil {
			err = fabric.SetNodes(addresses)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}
