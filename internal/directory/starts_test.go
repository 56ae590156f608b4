package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// startChange returns an entry of one start of a back end, with the start as its address.
func startChange(revision uint64, id string, start uint64) *apiv1.DirectoryChange {
	change := backendChange(revision, id, false, false)
	change.GetBackend().Address = uint32(start)
	change.GetBackend().StartedMilliseconds = start
	return change
}

func addressesOf(dir *Directory) map[string]uint32 {
	addresses := make(map[string]uint32)
	for _, backend := range dir.Backends() {
		if !backend.Gone {
			addresses[backend.GetId()] = backend.GetAddress()
		}
	}
	return addresses
}

func TestRestartUnderSameIDIsReportedAndMarked(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(1, true, startChange(1, "i-1", 5)), start)
	require.False(t, dir.Backends()[0].Restarted)
	require.True(t, dir.Apply(batch(2, false, startChange(2, "i-1", 9)), start))
	require.True(t, dir.Backends()[0].Restarted)
	require.Len(t, dir.Since(1).GetChanges(), 1)
	fresh := New(time.Minute)
	fresh.Apply(dir.Since(0), start)
	require.False(t, fresh.Backends()[0].Restarted, "a directory that knows only one start has no flows of another")
}

// A store call that timed out may take effect seconds later. The entry of a start that has ended
// then replaces that of the later start, with a higher revision.
func TestLateWriteOfEarlierStartIsIgnored(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(1, true, startChange(1, "i-1", 5)), start)
	dir.Apply(batch(2, false, startChange(2, "i-1", 9)), start)
	require.False(t, dir.Apply(batch(3, false, startChange(3, "i-1", 5)), start.Add(2*time.Second)))
	require.Equal(t, uint32(9), dir.Backends()[0].GetAddress())
	require.True(t, dir.Apply(batch(4, false, startChange(4, "i-1", 9)), start.Add(3*time.Second)),
		"a follower that read the late write is sent the live start again")
	require.Len(t, dir.Since(3).GetChanges(), 1)
}

// A clock that was set back gives the next start an earlier time.
func TestStartThatKeepsWritingIsAccepted(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(1, true, startChange(1, "i-1", 9)), start)
	for second := 1; second <= 9; second++ {
		require.False(t, dir.Apply(batch(uint64(second+1), false, startChange(uint64(second+1), "i-1", 5)),
			start.Add(time.Duration(second)*time.Second)))
	}
	require.True(t, dir.Apply(batch(12, false, startChange(12, "i-1", 5)), start.Add(lateWriteWindow)))
	require.Equal(t, uint32(5), dir.Backends()[0].GetAddress())
	gone := New(time.Minute)
	gone.Apply(batch(1, true, startChange(1, "i-1", 9)), start)
	gone.Apply(batch(2, false, backendChange(2, "i-1", false, true)), start)
	require.True(t, gone.Apply(batch(3, false, startChange(3, "i-1", 5)), start), "no later start is live")
}

// Back ends restart under the same ids, and writes of starts that have ended arrive late.
// Directories learn from the store and from each other in any order. Once each live start has
// written once more and all directories have read that, all of them hold the live starts.
func TestDirectoriesConvergeOnLiveStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{entries: make(map[string]*apiv1.DirectoryChange)}
		dirs := []*Directory{New(time.Hour), New(time.Hour), New(time.Hour)}
		living := make(map[string]uint64)
		now := start
		write := func(id string, started uint64) {
			store.revision++
			change := startChange(store.revision, id, started)
			store.history = append(store.history, change)
			store.entries[id] = change
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause ms")) * time.Millisecond)
			index := rapid.IntRange(0, 2).Draw(t, "place")
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				living[id] = uint64(step + 1)
				write(id, living[id])
			case 1:
				if earlier := living[id]; earlier > 1 {
					write(id, rapid.Uint64Range(1, earlier).Draw(t, "start"))
				}
			case 2:
				dirs[index].Apply(store.snapshot(), now)
			case 3:
				dirs[index].Apply(store.since(dirs[index].Revision()), now)
			default:
				other := rapid.IntRange(0, 2).Draw(t, "other")
				dirs[index].Apply(dirs[other].Since(dirs[index].Revision()), now)
			}
		}
		want := make(map[string]uint32)
		for id, started := range living {
			write(id, started)
			want[id] = uint32(started)
		}
		dirs[0].Apply(store.since(dirs[0].Revision()), now)
		for _, each := range dirs[1:] {
			each.Apply(proto.CloneOf(dirs[0].Since(each.Revision())), now)
		}
		for _, each := range dirs {
			require.Equal(t, want, addressesOf(each))
		}
	})
}
