package tokenroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// requireEquivalent checks that two tables make the same decisions.
func requireEquivalent(t require.TestingT, want, got *Table) {
	require.Equal(t, want.RouteCount(), got.RouteCount())
	require.Equal(t, want.RestartedBackends(), got.RestartedBackends())
	require.Equal(t, want.acceptedUntil, got.acceptedUntil)
	for token := Token(1); token <= 12; token++ {
		require.Equal(t, want.tokens.backends(token), got.tokens.backends(token))
		for address, route := range want.routes {
			require.Equal(t, want.Resolve(route, token), got.Resolve(got.routes[address], token))
			for _, backend := range want.tokens.backends(token) {
				require.Equal(t, route.Accepts(backend), got.routes[address].Accepts(backend))
			}
		}
	}
	usage := func(backend *Backend) int { return int(backend.Number % 3) }
	for address, route := range want.routes {
		other := got.routes[address]
		for port := range 20 {
			hash := key(port).Hash()
			prefer := func(backend *Backend) Preference { return Preference((backend.Number + uint64(port)) % 4) }
			require.Equal(t, route.Choose(hash, prefer, usage), other.Choose(hash, prefer, usage))
			for _, ended := range []bool{false, true} {
				hasEnded := func(backend *Backend) bool { return ended && backend.Gone }
				require.Equal(t, route.refusalReason(hash, hasEnded), other.refusalReason(hash, hasEnded))
			}
		}
	}
}

// A table reuses the unchanged parts of the previous one. Whatever changes, be it entries, weights,
// evacuations, time or outages of the store, it makes the same decisions as a table built from
// scratch.
func TestIncrementalTableMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := newDirectory(routes(1, route(1, share("lending", 2), share("covers", 1)), route(2, share("covers", 1))))
		now, revision := start, uint64(100)
		var previous *Table
		weights := make(map[directory.PoolZone]uint32)
		settings := defaultOptions()
		for range rapid.IntRange(1, 25).Draw(t, "tables") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause ms")) * time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				revision++
				// Numbers above 12 share the token of the number that is 12 less.
				number := uint64(rapid.IntRange(1, 15).Draw(t, "number"))
				if number > 12 {
					number += 1<<32 - 12
				}
				change := backend(revision, number, rapid.SampledFrom([]string{"lending", "covers"}).Draw(t, "pool"))
				change.GetBackend().Zone = rapid.SampledFrom([]string{"maadi", "giza", "nasr"}).Draw(t, "zone")
				change.GetBackend().Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				change.GetBackend().StartedMilliseconds = uint64(rapid.IntRange(1, 2).Draw(t, "start"))
				change.Gone = rapid.IntRange(0, 2).Draw(t, "gone") == 0
				entries.Apply(&apiv1.DirectoryBatch{Revision: revision, Changes: []*apiv1.DirectoryChange{change}}, now)
			}
			entries.Expire(now)
			poolZone := directory.PoolZone{Pool: "lending", Zone: rapid.SampledFrom([]string{"maadi", "giza"}).Draw(t, "weighed")}
			weights[poolZone] = uint32(rapid.IntRange(0, 3).Draw(t, "weight")) * 1000
			weightOf := func(poolZone directory.PoolZone) uint32 {
				if weight, found := weights[poolZone]; found {
					return weight
				}
				return rule.MaximumWeight
			}
			nonUniform := rapid.IntRange(0, 3).Draw(t, "uneven") == 0
			settings.WeightOfPoolZone = func(poolZone directory.PoolZone) (uint32, bool) { return weightOf(poolZone), !nonUniform }
			settings.WeightOf = func(entry directory.BackendEntry) uint32 {
				if nonUniform && entry.GetNumber()%2 == 0 {
					return 500
				}
				return weightOf(directory.PoolZone{Pool: entry.GetPool(), Zone: entry.GetZone()})
			}
			settings.Evacuated = map[string]uint64{}
			if rapid.IntRange(0, 3).Draw(t, "evacuated") == 0 {
				settings.Evacuated["giza"] = 7
			}
			if rapid.IntRange(0, 5).Draw(t, "outage ends") == 0 {
				settings.StoreRecovery = StoreRecovery{Since: now, Until: now.Add(2 * time.Second)}
			}
			settings.Now = now
			settings.Previous = nil
			rebuilt := NewTable(entries, settings)
			settings.Previous = previous
			previous = NewTable(entries, settings)
			requireEquivalent(t, rebuilt, previous)
		}
	})
}

// After one change, the new table shares the pool zones that have not changed.
func TestUnchangedPoolZonesAreShared(t *testing.T) {
	var changes []*apiv1.DirectoryChange
	for number := range uint64(60) {
		changes = append(changes, inZone(backend(2, number+1, "lending"), fmt.Sprintf("zone-%d", number%3)))
	}
	entries := newDirectory(append(changes, routes(1, route(1, share("lending", 1))))...)
	settings := defaultOptions()
	settings.WeightOfPoolZone = func(directory.PoolZone) (uint32, bool) { return rule.MaximumWeight, true }
	before := NewTable(entries, settings)
	entries.Apply(&apiv1.DirectoryBatch{Revision: 101, Changes: []*apiv1.DirectoryChange{
		draining(inZone(backend(101, 1, "lending"), "zone-0"))}}, start)
	settings.Previous = before
	after := NewTable(entries, settings)
	for zone, shared := range map[string]bool{"zone-0": false, "zone-1": true, "zone-2": true} {
		poolZone := directory.PoolZone{Pool: "lending", Zone: zone}
		require.Equal(t, shared, before.poolZones[poolZone] == after.poolZones[poolZone], zone)
	}
	require.Len(t, after.poolZones[directory.PoolZone{Pool: "lending", Zone: "zone-0"}].eligible, 19)
	require.Len(t, before.poolZones[directory.PoolZone{Pool: "lending", Zone: "zone-0"}].eligible, 20)
}
