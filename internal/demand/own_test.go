package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A balancer without packets, as one that is aside, asks nothing and carries no part of its
// zone: with 16 of 30 that carry, a pressure of 1.6 read as 3.
func TestBalancerWithoutPacketsCarriesNothing(t *testing.T) {
	var own LocalLoad
	place := PoolZone{Pool: "lending", Zone: "maadi"}
	own.Observe(map[PoolZone]Load{place: {RequestRate: 10}}, begin)
	carries := own.Aggregate("maadi", begin.Add(time.Second))
	require.Equal(t, map[Zone]int{"maadi": 1}, carries.ZoneBalancers)
	require.NotEmpty(t, carries.Loads)
	idle := own.Aggregate("maadi", begin.Add(maximumObservationAge+time.Second))
	require.Empty(t, idle.ZoneBalancers)
	require.Empty(t, idle.Loads)
	require.Equal(t, 1, idle.Balancers)
}
