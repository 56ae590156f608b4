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

// startChange is an entry of one start of a back end, whose address tells the start.
func startChange(revision uint64, id string, start uint64) *apiv1.DirectoryChange {
	made := backendChange(revision, id, false, false)
	made.GetBackend().Address = uint32(start)
	made.GetBackend().StartedMilliseconds = start
	return made
}

func addressesOf(known *Directory) map[string]uint32 {
	found := make(map[string]uint32)
	for _, backend := range known.Backends() {
		if !backend.Gone {
			found[backend.GetId()] = backend.GetAddress()
		}
	}
	return found
}

func TestRestartUnderSameIDIsReportedAndMarked(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(1, true, startChange(1, "i-1", 5)), start)
	require.False(t, known.Backends()[0].Restarted)
	require.True(t, known.Apply(batch(2, false, startChange(2, "i-1", 9)), start))
	require.True(t, known.Backends()[0].Restarted)
	require.Len(t, known.Since(1).GetChanges(), 1)
	fresh := New(time.Minute)
	fresh.Apply(known.Since(0), start)
	require.False(t, fresh.Backends()[0].Restarted, "who knows one start only knows no flows of another")
}

// A call to the store that got no answer may be done seconds later: the entry of a start
// that has ended then stands over that of its successor, with a higher revision.
func TestLateWriteOfEarlierStartIsIgnored(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(1, true, startChange(1, "i-1", 5)), start)
	known.Apply(batch(2, false, startChange(2, "i-1", 9)), start)
	require.False(t, known.Apply(batch(3, false, startChange(3, "i-1", 5)), start.Add(2*time.Second)))
	require.Equal(t, uint32(9), known.Backends()[0].GetAddress())
	require.True(t, known.Apply(batch(4, false, startChange(4, "i-1", 9)), start.Add(3*time.Second)),
		"who has read the late write hears of the living start again")
	require.Len(t, known.Since(3).GetChanges(), 1)
}

// A clock that was set back gives the next start an earlier time.
func TestStartThatKeepsWritingIsAccepted(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(1, true, startChange(1, "i-1", 9)), start)
	for second := 1; second <= 9; second++ {
		require.False(t, known.Apply(batch(uint64(second+1), false, startChange(uint64(second+1), "i-1", 5)),
			start.Add(time.Duration(second)*time.Second)))
	}
	require.True(t, known.Apply(batch(12, false, startChange(12, "i-1", 5)), start.Add(lateWriteWindow)))
	require.Equal(t, uint32(5), known.Backends()[0].GetAddress())
	gone := New(time.Minute)
	gone.Apply(batch(1, true, startChange(1, "i-1", 9)), start)
	gone.Apply(batch(2, false, backendChange(2, "i-1", false, true)), start)
	require.True(t, gone.Apply(batch(3, false, startChange(3, "i-1", 5)), start), "nothing lives that it could be earlier than")
}

// Back ends start again under their ids, and writes of starts that have ended come late.
// Directories learn from the store and from each other, in any order. Once each living start
// has written once more and all have read, all hold the living starts.
func TestDirectoriesConvergeOnLiveStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{entries: make(map[string]*apiv1.DirectoryChange)}
		known := []*Directory{New(time.Hour), New(time.Hour), New(time.Hour)}
		living := make(map[string]uint64)
		now := start
		write := func(id string, started uint64) {
			store.revision++
			made := startChange(store.revision, id, started)
			store.history = append(store.history, made)
			store.entries[id] = made
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause ms")) * time.Millisecond)
			place := rapid.IntRange(0, 2).Draw(t, "place")
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
				known[place].Apply(store.snapshot(), now)
			case 3:
				known[place].Apply(store.since(known[place].Revision()), now)
			default:
				other := rapid.IntRange(0, 2).Draw(t, "other")
				known[place].Apply(known[other].Since(known[place].Revision()), now)
			}
		}
		want := make(map[string]uint32)
		for id, started := range living {
			write(id, started)
			want[id] = uint32(started)
		}
		known[0].Apply(store.since(known[0].Revision()), now)
		for _, each := range known[1:] {
			each.Apply(proto.CloneOf(known[0].Since(each.Revision())), now)
		}
		for _, each := range known {
			require.Equal(t, want, addressesOf(each))
		}
	})
}
