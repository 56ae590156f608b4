package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever changes, between any two looks, the list is what the entries say.
func TestBackendIndexMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := New(5 * time.Second)
		now := start
		many := uint64(rapid.IntRange(0, 300).Draw(t, "back ends at first"))
		for number := range many {
			known.Apply(batch(number+1, false, backendChange(number+1, fmt.Sprintf("j-%d", number), false, false)), now)
		}
		for revision := many + 1; revision < many+40; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause ms")) * time.Millisecond)
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 9).Draw(t, "id"))
			change := backendChange(revision, id, rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "gone"))
			change.GetBackend().Zone = rapid.SampledFrom([]string{"maadi", "giza"}).Draw(t, "zone")
			change.GetBackend().StartedMilliseconds = uint64(rapid.IntRange(0, 2).Draw(t, "start"))
			change.Unreadable = !change.GetGone() && rapid.IntRange(0, 5).Draw(t, "unreadable") == 0
			known.Apply(batch(revision, false, change), now)
			known.Expire(now)
			if rapid.Bool().Draw(t, "look") {
				listed := known.Backends()
				all := make(map[PoolZone]bool)
				for _, group := range known.BackendGroups() {
					all[group.PoolZone] = true
					require.Equal(t, group.TombstoneCount > 0, slices.ContainsFunc(group.Entries, func(each BackendEntry) bool { return each.Gone }))
				}
				for key := range known.entries {
					known.addAffected(key.Name, all)
				}
				known.rebuildGroups(all)
				require.Equal(t, known.Backends(), listed)
			}
		}
	})
}
