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

// requireEquivalent requires that two tables decide alike.
func requireEquivalent(t require.TestingT, want, got *Table) {
	require.Equal(t, want.RouteCount(), got.RouteCount())
	require.Equal(t, want.RestartedBackends(), got.RestartedBackends())
	for token := Token(1); token <= 12; token++ {
		require.Equal(t, want.tokens.backends(token), got.tokens.backends(token))
		for address, route := range want.routes {
			require.Equal(t, want.Resolve(route, token), got.Resolve(got.routes[address], token))
			for _, backend := range want.tokens.backends(token) {
				require.Equal(t, route.Accepts(backend), got.routes[address].Accepts(backend))
			}
		}
	}
	inUse := func(backend *Backend) int { return int(backend.Number % 3) }
	for address, route := range want.routes {
		other := got.routes[address]
		for port := range 20 {
			hash := key(port).Hash()
			prefer := func(backend *Backend) Preference { return Preference((backend.Number + uint64(port)) % 4) }
			require.Equal(t, route.Choose(hash, prefer, inUse), other.Choose(hash, prefer, inUse))
			require.Equal(t, route.refusalReason(hash), other.refusalReason(hash))
		}
	}
}

// A table takes over from the one before what has not changed. Whatever changes, in entries,
// weights, evacuations, time, outages of the store, it decides as one made anew.
func TestIncrementalTableMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newDirectory(routes(1, route(1, share("lending", 2), share("covers", 1)), route(2, share("covers", 1))))
		now, revision := start, uint64(100)
		var previous *Table
		weights := make(map[directory.PoolZone]uint32)
		made := defaultOptions()
		for range rapid.IntRange(1, 25).Draw(t, "tables") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause ms")) * time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				revision++
				// Numbers from 12 on share the tokens of those that are 12 less.
				number := uint64(rapid.IntRange(1, 15).Draw(t, "number"))
				if number > 12 {
					number += 1<<32 - 12
				}
				change := backend(revision, number, rapid.SampledFrom([]string{"lending", "covers"}).Draw(t, "pool"))
				change.GetBackend().Zone = rapid.SampledFrom([]string{"maadi", "giza", "nasr"}).Draw(t, "zone")
				change.GetBackend().Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
				change.GetBackend().StartedMilliseconds = uint64(rapid.IntRange(1, 2).Draw(t, "start"))
				change.Gone = rapid.IntRange(0, 2).Draw(t, "gone") == 0
				all.Apply(&apiv1.DirectoryBatch{Revision: revision, Changes: []*apiv1.DirectoryChange{change}}, now)
			}
			all.Expire(now)
			place := directory.PoolZone{Pool: "lending", Zone: rapid.SampledFrom([]string{"maadi", "giza"}).Draw(t, "weighed")}
			weights[place] = uint32(rapid.IntRange(0, 3).Draw(t, "weight")) * 1000
			of := func(place directory.PoolZone) uint32 {
				if weight, found := weights[place]; found {
					return weight
				}
				return rule.MaximumWeight
			}
			uneven := rapid.IntRange(0, 3).Draw(t, "uneven") == 0
			made.WeightOfPoolZone = func(place directory.PoolZone) (uint32, bool) { return of(place), !uneven }
			made.WeightOf = func(entry directory.BackendEntry) uint32 {
				if uneven && entry.GetNumber()%2 == 0 {
					return 500
				}
				return of(directory.PoolZone{Pool: entry.GetPool(), Zone: entry.GetZone()})
			}
			made.Evacuated = map[string]uint64{}
			if rapid.IntRange(0, 3).Draw(t, "evacuated") == 0 {
				made.Evacuated["giza"] = 7
			}
			if rapid.IntRange(0, 5).Draw(t, "outage ends") == 0 {
				made.StoreRecovery = StoreRecovery{Since: now, Until: now.Add(2 * time.Second)}
			}
			made.Now = now
			made.Previous = nil
			anew := NewTable(all, made)
			made.Previous = previous
			previous = NewTable(all, made)
			requireEquivalent(t, anew, previous)
		}
	})
}

// A table after one change shares the parts of the places that have not changed.
func TestUnchangedPoolZonesAreShared(t *testing.T) {
	var changes []*apiv1.DirectoryChange
	for number := range uint64(60) {
		changes = append(changes, inZone(backend(2, number+1, "lending"), fmt.Sprintf("zone-%d", number%3)))
	}
	all := newDirectory(append(changes, routes(1, route(1, share("lending", 1))))...)
	made := defaultOptions()
	made.WeightOfPoolZone = func(directory.PoolZone) (uint32, bool) { return rule.MaximumWeight, true }
	before := NewTable(all, made)
	all.Apply(&apiv1.DirectoryBatch{Revision: 101, Changes: []*apiv1.DirectoryChange{
		draining(inZone(backend(101, 1, "lending"), "zone-0"))}}, start)
	made.Previous = before
	after := NewTable(all, made)
	for zone, shared := range map[string]bool{"zone-0": false, "zone-1": true, "zone-2": true} {
		place := directory.PoolZone{Pool: "lending", Zone: zone}
		require.Equal(t, shared, before.poolZones[place] == after.poolZones[place], zone)
	}
	require.Len(t, after.poolZones[directory.PoolZone{Pool: "lending", Zone: "zone-0"}].eligible, 19)
	require.Len(t, before.poolZones[directory.PoolZone{Pool: "lending", Zone: "zone-0"}].eligible, 20)
}
