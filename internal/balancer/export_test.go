package balancer

import (
	"math/rand/v2"
	"net"
)

// PeerListenerAddress is where calls of other balancers are taken.
func (b *Balancer) PeerListenerAddress() net.Addr { return b.peerListener.Addr() }

// SetAdvertisedPeerAddress changes where others are told to call, before Run.
func (b *Balancer) SetAdvertisedPeerAddress(address string) {
	settings := b.settings.Load()
	settings.PeerAddress = address
	settings.Seeds = append(settings.Seeds, address)
	b.control = newControl(b, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// Version is the version of the configuration in force; 0 is none.
func (b *Balancer) Version() uint64 {
	if table := b.table.Load(); table != nil {
		return table.Version
	}
	return 0
}
