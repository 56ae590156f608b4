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

var start = time.Now()

func backendChange(revision uint64, id string, draining, gone bool) *apiv1.DirectoryChange {
	return &apiv1.DirectoryChange{Revision: revision, Gone: gone, Entry: &apiv1.DirectoryChange_Backend{
		Backend: &apiv1.PoolBackend{Id: id, Pool: "lending", Address: 1, Port: 80, Draining: draining}}}
}

func routesChange(revision uint64) *apiv1.DirectoryChange {
	return &apiv1.DirectoryChange{Revision: revision, Entry: &apiv1.DirectoryChange_Routes{
		Routes: &apiv1.RouteTable{Version: revision}}}
}

func batch(revision uint64, complete bool, changes ...*apiv1.DirectoryChange) *apiv1.DirectoryBatch {
	return &apiv1.DirectoryBatch{Revision: revision, Complete: complete, Changes: changes}
}

func TestOlderEntriesNeverReplaceNewer(t *testing.T) {
	known := New(time.Minute)
	require.True(t, known.Apply(batch(9, true, routesChange(7)), start))
	require.False(t, known.Apply(batch(5, true, routesChange(4)), start))
	require.Equal(t, uint64(7), known.Routes().GetVersion())
	require.Equal(t, uint64(9), known.Revision())
}

func TestRemovedEntriesKeepContent(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	require.True(t, known.Apply(batch(5, true), start))
	found := known.Backends()
	require.Len(t, found, 1)
	require.True(t, found[0].Gone)
	require.Equal(t, "lending", found[0].GetPool())
	require.True(t, known.Apply(batch(6, false, backendChange(6, "i-1", false, false)), start), "it came back")
	require.False(t, known.Backends()[0].Gone)
}

// An old answer that arrives late does not bring back an entry of whose removal
// this directory has no tombstone.
func TestStaleBatchesRestoreNothing(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true), start)
	known.Apply(batch(2, true, backendChange(1, "i-1", false, false)), start)
	found := known.Backends()
	require.Len(t, found, 1, "what it held is kept for its open flows (soak seeds 1001 and 1002)")
	require.True(t, found[0].Gone)
	require.True(t, found[0].RemovalSeenAt.IsZero())
	require.Equal(t, uint32(1), found[0].GetAddress())
}

// A directory that never saw an entry still tells one that did of its removal.
func TestUnseenRemovalIsPropagated(t *testing.T) {
	unaware, saw := New(time.Minute), New(time.Minute)
	unaware.Apply(batch(1, true), start)
	unaware.Apply(batch(5, true), start)
	saw.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	saw.Apply(unaware.Since(saw.Revision()), start)
	require.True(t, saw.Backends()[0].Gone)
}

func TestRemovalByNameKeepsContent(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	named := &apiv1.DirectoryChange{Revision: 4, Gone: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-1"}}}
	known.Apply(batch(4, false, named), start)
	require.Equal(t, uint32(1), known.Backends()[0].GetAddress())
}

func TestUnreadableEntriesKeepContent(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, routesChange(1), backendChange(2, "i-1", false, false)), start)
	unreadable := []*apiv1.DirectoryChange{
		{Revision: 8, Unreadable: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-1"}}},
		{Revision: 8, Unreadable: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-2"}}},
		{Revision: 9, Unreadable: true, Entry: &apiv1.DirectoryChange_Routes{Routes: &apiv1.RouteTable{}}},
	}
	require.True(t, known.Apply(batch(9, true, unreadable...), start))
	require.Len(t, known.Backends(), 1, "one that was never readable is none")
	require.False(t, known.Backends()[0].Gone)
	require.True(t, known.Backends()[0].GetDraining(), "it gets no new flows")
	require.Equal(t, uint32(1), known.Backends()[0].GetAddress(), "open flows still find it")
	require.Equal(t, uint64(1), known.Routes().GetVersion())
	follower := New(time.Minute)
	follower.Apply(known.Since(0), start)
	require.True(t, follower.Backends()[0].GetDraining())
	require.True(t, known.Apply(batch(11, false, backendChange(11, "i-1", false, false)), start))
	require.False(t, known.Backends()[0].GetDraining(), "it has written anew")
}

func TestRewrittenContentIsNoChange(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	require.False(t, known.Apply(batch(8, true, backendChange(7, "i-1", false, false)), start))
}

// Back ends write their entries about every second. Followers are told of what
// changed, not of that: at 140,000 back ends it would be 8 MB at each read.
func TestHeartbeatsAreNotReported(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	known.Apply(batch(8, true, backendChange(7, "i-1", false, false), backendChange(8, "i-2", true, false)), start)
	told := known.Since(3)
	require.False(t, told.GetComplete())
	require.Len(t, told.GetChanges(), 1)
	require.Equal(t, "i-2", told.GetChanges()[0].GetBackend().GetId())
	require.Equal(t, uint64(8), told.GetRevision())
	require.Len(t, known.Since(2).GetChanges(), 2, "who knows less gets the content")
	require.True(t, known.Since(5).GetComplete(), "who saw something in between gets everything")
}

// A balancer that missed a change and its reversal still tells one that saw
// the change of the reversal. The seed that found this is in the commit.
func TestMissedReversalIsPropagated(t *testing.T) {
	missed, saw := New(time.Minute), New(time.Minute)
	missed.Apply(batch(1, true, backendChange(1, "i-1", false, false)), start)
	missed.Apply(batch(3, true, backendChange(3, "i-1", false, false)), start)
	saw.Apply(batch(2, true, backendChange(2, "i-1", true, false)), start)
	saw.Apply(missed.Since(saw.Revision()), start)
	require.False(t, saw.Backends()[0].GetDraining())
}

func TestExpiredTombstonesRequireSnapshot(t *testing.T) {
	known := New(time.Second)
	known.Apply(batch(3, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	known.Apply(batch(5, false, backendChange(5, "i-1", false, true)), start)
	require.False(t, known.Since(3).GetComplete())
	require.True(t, known.Expire(start.Add(time.Second)))
	require.True(t, known.Since(3).GetComplete(), "the asker may not know of the removal")
	asker := New(time.Minute)
	asker.Apply(batch(4, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	asker.Apply(known.Since(4), start)
	require.True(t, asker.Backends()[0].Gone)
	require.False(t, asker.Backends()[1].Gone)
}

// fakeStore is a store in which changes happen, for the property test.
type fakeStore struct {
	revision uint64
	entries  map[string]*apiv1.DirectoryChange
	history  []*apiv1.DirectoryChange
}

func (world *fakeStore) change(id string, draining, gone bool) {
	world.revision++
	made := backendChange(world.revision, id, draining, gone)
	world.history = append(world.history, made)
	if gone {
		delete(world.entries, id)
		return
	}
	world.entries[id] = made
}

func (world *fakeStore) snapshot() *apiv1.DirectoryBatch {
	made := batch(world.revision, true)
	for _, entry := range world.entries {
		made.Changes = append(made.Changes, proto.CloneOf(entry))
	}
	return made
}

func (world *fakeStore) since(after uint64) *apiv1.DirectoryBatch {
	made := batch(world.revision, false)
	for _, event := range world.history {
		if event.GetRevision() > after {
			made.Changes = append(made.Changes, proto.CloneOf(event))
		}
	}
	return made
}

// Several directories learn from the store and from each other, in any order
// and with old answers arriving late. None ever goes back, and all that reach
// the store's revision hold what the store holds.
func TestDirectoriesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{entries: make(map[string]*apiv1.DirectoryChange)}
		known := []*Directory{New(time.Hour), New(time.Hour), New(time.Hour)}
		var late []*apiv1.DirectoryBatch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			place := rapid.IntRange(0, 2).Draw(t, "place")
			before := known[place].Revision()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "id"))
				store.change(id, rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "gone"))
			case 2:
				late = append(late, store.snapshot())
				known[place].Apply(store.snapshot(), start)
			case 3:
				known[place].Apply(store.since(before), start)
			case 4:
				other := rapid.IntRange(0, 2).Draw(t, "other")
				known[place].Apply(known[other].Since(before), start)
			case 5:
				if len(late) > 0 {
					known[place].Apply(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")], start)
				}
			}
			require.GreaterOrEqual(t, known[place].Revision(), before)
		}
		for _, each := range known {
			each.Apply(store.since(each.Revision()), start)
			requireMatchesStore(t, store, each)
		}
	})
}

func requireMatchesStore(t require.TestingT, store *fakeStore, known *Directory) {
	held := make(map[string]bool)
	for _, backend := range known.Backends() {
		if !backend.Gone {
			held[backend.GetId()] = backend.GetDraining()
		}
	}
	want := make(map[string]bool)
	for id, entry := range store.entries {
		want[id] = entry.GetBackend().GetDraining()
	}
	require.Equal(t, want, held)
}

// Who has read the store asks a peer for what the store does not have, and not
// for everything again.
func TestSinceWithTombstones(t *testing.T) {
	known := New(time.Minute)
	known.Apply(batch(3, true, backendChange(1, "i-1", false, false), backendChange(2, "i-2", false, false),
		backendChange(3, "i-3", false, false)), start)
	known.Apply(batch(4, false, backendChange(4, "i-1", false, true)), start)
	known.Apply(batch(5, false, backendChange(5, "i-4", false, false)), start)
	require.Len(t, known.Since(4).GetChanges(), 1)
	require.Len(t, known.SinceWithTombstones(4).GetChanges(), 2, "the tombstone too")
	require.Len(t, known.SinceWithTombstones(3).GetChanges(), 2, "the tombstone once")
	require.Len(t, known.SinceWithTombstones(0).GetChanges(), 4)
}

// A balancer starts and reads the store just after a back end has gone. A peer that
// has read it before still takes the back end for living, and is the only one that
// can tell its open flows' address (soak seed 2002).
func TestPeerBehindSendsSnapshot(t *testing.T) {
	peer, started := New(time.Minute), New(time.Minute)
	peer.Apply(batch(3, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	started.Apply(batch(4, true, backendChange(3, "i-2", false, false)), start)
	started.Apply(peer.SinceWithTombstones(started.Revision()), start)
	found := started.Backends()
	require.Len(t, found, 2)
	require.True(t, found[0].Gone)
	require.False(t, found[1].Gone)
	require.Equal(t, uint64(4), started.Revision())
}

func TestBalancerChangesAreCounted(t *testing.T) {
	known := New(time.Minute)
	key := Key{Kind: KindBalancer, Name: "edge-1"}
	require.Zero(t, known.RevisionOf(key))
	entry := func(revision uint64, gone bool) *apiv1.DirectoryBatch {
		return batch(revision, false, &apiv1.DirectoryChange{Revision: revision, Gone: gone,
			Entry: &apiv1.DirectoryChange_Balancer{Balancer: &apiv1.Balancer{Name: "edge-1"}}})
	}
	known.Apply(entry(1, false), start)
	first := known.BalancerChanges()
	require.NotZero(t, first)
	require.Equal(t, uint64(1), known.RevisionOf(key))
	known.Apply(batch(2, false, backendChange(2, "i-1", false, false)), start)
	require.Equal(t, first, known.BalancerChanges(), "back ends are not balancers")
	known.Apply(entry(3, true), start)
	require.Greater(t, known.BalancerChanges(), first)
	require.Zero(t, known.RevisionOf(key))
}

// Each tombstone ends in its time, whatever is made, removed and made again
// between the looks.
func TestTombstonesExpireOnTime(t *testing.T) {
	const retention = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		known := New(retention)
		goneAt := make(map[string]time.Time)
		now := start
		for revision := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause ms")) * time.Millisecond)
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
			gone := rapid.Bool().Draw(t, "gone")
			known.Apply(batch(revision+1, false, backendChange(revision+1, id, false, gone)), now)
			_, wasGone := goneAt[id]
			switch {
			case !gone:
				delete(goneAt, id)
			case !wasGone:
				goneAt[id] = now
			}
			known.Expire(now)
			for id, at := range goneAt {
				if now.Sub(at) >= retention {
					delete(goneAt, id)
				}
			}
			listed := make(map[string]bool)
			for _, backend := range known.Backends() {
				listed[backend.GetId()] = backend.Gone
			}
			for id := range goneAt {
				require.True(t, listed[id], id)
			}
			for id, isGone := range listed {
				_, wanted := goneAt[id]
				require.Equal(t, wanted, isGone, id)
			}
		}
	})
}
