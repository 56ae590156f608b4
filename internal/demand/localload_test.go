package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A balancer that receives no packets, such as a withdrawn one, has no load and does not count
// as carrying traffic of its zone. When all balancers counted, a pressure of 1.6 was taken for 3
// while 16 of 30 carried traffic.
func TestBalancerWithoutPacketsHasNoLoad(t *testing.T) {
	var local LocalLoad
	poolZone := PoolZone{Pool: "lending", Zone: "maadi"}
	local.Observe(map[PoolZone]Load{poolZone: {RequestRate: 10}}, epoch)
	active := local.Aggregate("maadi", epoch.Add(time.Second))
	require.Equal(t, map[Zone]int{"maadi": 1}, active.ZoneBalancers)
	require.NotEmpty(t, active.Loads)
	idle := local.Aggregate("maadi", epoch.Add(maximumObservationAge+time.Second))
	require.Empty(t, idle.ZoneBalancers)
	require.Empty(t, idle.Loads)
	require.Equal(t, 1, idle.Balancers)
}
