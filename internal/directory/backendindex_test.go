package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The index must match the entries whatever changes between two uses of it.
func TestBackendIndexMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir := New(5 * time.Second)
		now := start
		initial := uint64(rapid.IntRange(0, 300).Draw(t, "initial back ends"))
		for number := range initial {
			dir.Apply(batch(number+1, false, backendChange(number+1, fmt.Sprintf("j-%d", number), false, false)), now)
		}
		for revision := initial + 1; revision < initial+40; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause ms")) * time.Millisecond)
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 9).Draw(t, "id"))
			change := backendChange(revision, id, rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "gone"))
			change.GetBackend().Zone = rapid.SampledFrom([]string{"maadi", "giza"}).Draw(t, "zone")
			change.GetBackend().StartedMilliseconds = uint64(rapid.IntRange(0, 2).Draw(t, "start"))
			change.Unreadable = !change.GetGone() && rapid.IntRange(0, 5).Draw(t, "unreadable") == 0
			dir.Apply(batch(revision, false, change), now)
			dir.Expire(now)
			if rapid.Bool().Draw(t, "look") {
				listed := dir.Backends()
				all := make(map[PoolZone]bool)
				for _, group := range dir.BackendGroups() {
					all[group.PoolZone] = true
					require.Equal(t, group.TombstoneCount > 0, slices.ContainsFunc(group.Entries, func(each BackendEntry) bool { return each.Gone }))
				}
				for key := range dir.entries {
					dir.addAffected(key.Name, all)
				}
				dir.rebuildGroups(all)
				require.Equal(t, dir.Backends(), listed)
			}
		}
	})
}
