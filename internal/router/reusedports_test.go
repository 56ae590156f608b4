package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// TestReusedPortFollowsRuleWithoutTokens guards against new flows to a leaving back end in the network
// without tokens: a client ends a flow and uses its port again after two seconds, when the back end of
// the flow before takes no new flows any more.
func TestReusedPortFollowsRuleWithoutTokens(t *testing.T) {
	key := testKey(1)
	bound := testSet(t, 1, 0).Rule(address).Pick(key.Hash())
	router := New(flowtable.New(1 << 10))
	router.SetContact(100_000, false)
	router.SetView(viewOf(t, testSet(t, 1, 0)))
	require.Equal(t, bound, router.Decide(1000, key, key.Hash(), PacketOpens).Backend)
	router.Decide(1100, key, key.Hash(), 0)
	router.Decide(1200, key, key.Hash(), PacketCloses)
	view := viewOf(t, testSet(t, 2, bound))
	view.Leaving = map[uint32]bool{bound: true}
	router.SetView(view)
	require.NotEqual(t, bound, router.Decide(3200, key, key.Hash(), PacketOpens).Backend)
}

// viewOf returns a view in which a rule set is settled and no flow has a record.
func viewOf(t *testing.T, settled *rule.Set) *View {
	view := testView(t, nil, PhaseNone)
	view.Settled = settled
	return view.Compile()
}
