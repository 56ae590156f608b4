package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A balancer without packets, as one that is aside, asks nothing and carries no part of its
// zone: with 16 of 30 that carry, a pressure of 1.6 read as 3.
func TestBalancerWithoutPacketsCarriesNothing(t *testing.T) {
	var own Own
	place := Place{Pool: "lending", Zone: "maadi"}
	own.Take(map[Place]Load{place: {Asks: 10}}, begin)
	carries := own.Picture("maadi", begin.Add(time.Second))
	require.Equal(t, map[Zone]int{"maadi": 1}, carries.Zones)
	require.NotEmpty(t, carries.Places)
	idle := own.Picture("maadi", begin.Add(observedFor+time.Second))
	require.Empty(t, idle.Zones)
	require.Empty(t, idle.Places)
	require.Equal(t, 1, idle.Balancers)
}
