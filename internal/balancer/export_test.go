package balancer

import (
	"math/rand/v2"
	"net"
)

// PeerListenerAddress returns the address on which the balancer accepts calls of other
// balancers.
func (b *Balancer) PeerListenerAddress() net.Addr { return b.peerListener.Addr() }

// SetAdvertisedPeerAddress changes the address that other balancers are given for calls.
// It must be called before Run.
func (b *Balancer) SetAdvertisedPeerAddress(address string) {
	settings := b.settings.Load()
	settings.PeerAddress = address
	settings.Seeds = append(settings.Seeds, address)
	b.control = newControl(b, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Version returns the version of the configuration in force; 0 means none.
func (b *Balancer) Version() uint64 {
	if table := b.table.Load(); table != nil {
		return table.Version
	}
	return 0
}
