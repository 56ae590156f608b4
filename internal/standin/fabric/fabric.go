// Package fabric is the stand-in of the network that sprays packets over the
// balancers of its list, whatever flow they belong to.
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

// Fabric is the fabric.
type Fabric struct {
	socket *net.UDPConn
	nodes  atomic.Pointer[[]*net.UDPAddr]
	// callerPrefix is the prefix of the callers' inner addresses.
	callerPrefix     netip.Prefix
	forwardedPackets atomic.Uint64
}

const (
	socketBuffer      = 8 << 20
	readSize          = 2048
	minimumPacketSize = 20
)

// CallerPrefix holds the inner addresses of all callers.
const CallerPrefix = "10.64.0.0/10"

// New opens the fabric's socket.
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
	made := &Fabric{socket: socket, callerPrefix: netip.MustParsePrefix(CallerPrefix)}
	made.nodes.Store(&[]*net.UDPAddr{})
	return made, nil
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

// Run sprays until the context ends.
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

// target is the caller for packets from a balancer, else any balancer.
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

// Handler returns the control endpoint: PUT /nodes with a list of addresses.
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
