package balancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// A balancer that knows nothing dials as long as its core says, which is short at
// first, and not as a client does by itself.
func TestClientUsesTheDialTimeoutOfTheCore(t *testing.T) {
	control := newTestControl()
	peer := replication.Peer{Address: "10.0.0.2:8166", Purpose: replication.PurposeProbe}
	first := control.clientFor(peer)
	require.Equal(t, control.core.DialTimeout(peer.Address), first.DialTimeout)
	require.Less(t, first.DialTimeout, replication.NewClient(control.balancer.logger).DialTimeout)
}
