package shares

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestNewFlowsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	require.Equal(t, minimumRemoteShare, RemoteShare(0, 12, 30))
	require.Equal(t, minimumRemoteShare, RemoteShare(7, 12, 30))
	require.InDelta(t, 0.4, RemoteShare(12, 12, 30), 0.001)
	require.InDelta(t, 30.0/42, RemoteShare(100, 12, 30), 0.001, "at most as all zones alike")
	require.Zero(t, RemoteShare(100, 12, 0), "there is no other zone")
	require.Equal(t, 1.0, RemoteShare(1, 0, 30), "this zone has no back end")
}

// Whatever is observed, the share stays between nothing and all zones alike, and
// grows with demand.
func TestSharesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := rapid.Float64Range(0, 1e6).Draw(t, "local slots")
		remote := rapid.Float64Range(0, 1e6).Draw(t, "remote slots")
		demand := rapid.Float64Range(0, 1e7).Draw(t, "demand")
		share := RemoteShare(demand, local, remote)
		require.GreaterOrEqual(t, share, 0.0)
		if remote > 0 {
			require.LessOrEqual(t, share, remote/(local+remote))
		}
		require.LessOrEqual(t, share, RemoteShare(demand*2, local, remote))
	})
}

func TestRemoteWeightGivesTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.001, 0.999).Draw(t, "share")
		local := rapid.IntRange(1, 1000).Draw(t, "local")
		remote := rapid.IntRange(1, 1000).Draw(t, "remote")
		weight := RemoteWeight(share, local, remote) * float64(remote)
		require.InDelta(t, share, weight/(weight+float64(local)), 1e-9)
	})
}

// Zones that decide on what they saw a moment ago, each for itself, settle: from
// any start, within a few rounds no share moves any more, and no zone that had
// room elsewhere stays over its own.
func TestZonesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 30), 3, 3).Draw(t, "demand")
		slots := rapid.SliceOfN(rapid.Float64Range(2, 30), 3, 3).Draw(t, "slots")
		all := slots[0] + slots[1] + slots[2]
		seen := []float64{0, 0, 0}
		last := []float64{0, 0, 0}
		for round := range 40 {
			for zone := range demand {
				seen[zone] += (demand[zone] - seen[zone]) / 2
				share := RemoteShare(seen[zone], slots[zone], all-slots[zone])
				if round > 30 {
					require.InDelta(t, last[zone], share, 0.01)
				}
				last[zone] = share
			}
		}
	})
}
