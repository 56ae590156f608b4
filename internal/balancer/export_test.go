package balancer

import "net"

// AnswerPeersAt takes the calls of other balancers at another address than the one
// that they are told, which is free afterwards.
func (b *Balancer) AnswerPeersAt(listener net.Listener) {
	_ = b.peers.Close()
	b.peers = listener
}

// Version is the version of the configuration in force; 0 is none.
func (b *Balancer) Version() uint64 {
	if table := b.table.Load(); table != nil {
		return table.Version
	}
	return 0
}
