package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// A balancer that has no data uses the dial timeout that its core gives, which is short
// at first, and not the client's default.
func TestClientUsesTheDialTimeoutOfTheCore(t *testing.T) {
	control := newTestControl()
	peer := replication.Peer{Address: "10.0.0.2:8166", Purpose: replication.PurposeProbe}
	first := control.clientFor(peer)
	require.Equal(t, control.core.DialTimeout(peer.Address), first.DialTimeout)
	require.Less(t, first.DialTimeout, replication.NewClient(control.balancer.logger).DialTimeout)
}
