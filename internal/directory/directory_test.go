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
	dir := New(time.Minute)
	require.True(t, dir.Apply(batch(9, true, routesChange(7)), start))
	require.False(t, dir.Apply(batch(5, true, routesChange(4)), start))
	require.Equal(t, uint64(7), dir.Routes().GetVersion())
	require.Equal(t, uint64(9), dir.Revision())
}

func TestRemovedEntriesKeepContent(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	require.True(t, dir.Apply(batch(5, true), start))
	found := dir.Backends()
	require.Len(t, found, 1)
	require.True(t, found[0].Gone)
	require.Equal(t, "lending", found[0].GetPool())
	require.True(t, dir.Apply(batch(6, false, backendChange(6, "i-1", false, false)), start), "the entry is written again")
	require.False(t, dir.Backends()[0].Gone)
}

// A stale batch that arrives late must not restore an entry whose removal left no tombstone here.
func TestStaleBatchesRestoreNothing(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true), start)
	dir.Apply(batch(2, true, backendChange(1, "i-1", false, false)), start)
	found := dir.Backends()
	require.Len(t, found, 1, "the content is kept for open flows (soak seeds 1001 and 1002)")
	require.True(t, found[0].Gone)
	require.True(t, found[0].RemovalSeenAt.IsZero())
	require.Equal(t, uint32(1), found[0].GetAddress())
}

// A directory that never saw an entry still passes its removal on to one that did.
func TestUnseenRemovalIsPropagated(t *testing.T) {
	unaware, saw := New(time.Minute), New(time.Minute)
	unaware.Apply(batch(1, true), start)
	unaware.Apply(batch(5, true), start)
	saw.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	saw.Apply(unaware.Since(saw.Revision()), start)
	require.True(t, saw.Backends()[0].Gone)
}

func TestRemovalByNameKeepsContent(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	named := &apiv1.DirectoryChange{Revision: 4, Gone: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-1"}}}
	dir.Apply(batch(4, false, named), start)
	require.Equal(t, uint32(1), dir.Backends()[0].GetAddress())
}

func TestUnreadableEntriesKeepContent(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, routesChange(1), backendChange(2, "i-1", false, false)), start)
	unreadable := []*apiv1.DirectoryChange{
		{Revision: 8, Unreadable: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-1"}}},
		{Revision: 8, Unreadable: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-2"}}},
		{Revision: 9, Unreadable: true, Entry: &apiv1.DirectoryChange_Routes{Routes: &apiv1.RouteTable{}}},
	}
	require.True(t, dir.Apply(batch(9, true, unreadable...), start))
	require.Len(t, dir.Backends(), 1, "an entry that was never readable is not listed")
	require.False(t, dir.Backends()[0].Gone)
	require.True(t, dir.Backends()[0].GetDraining(), "an unreadable back end gets no new flows")
	require.Equal(t, uint32(1), dir.Backends()[0].GetAddress(), "open flows still reach it")
	require.Equal(t, uint64(1), dir.Routes().GetVersion())
	follower := New(time.Minute)
	follower.Apply(dir.Since(0), start)
	require.True(t, follower.Backends()[0].GetDraining())
	require.True(t, dir.Apply(batch(11, false, backendChange(11, "i-1", false, false)), start))
	require.False(t, dir.Backends()[0].GetDraining(), "the entry is readable again")
}

func TestRewrittenContentIsNoChange(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, backendChange(2, "i-1", false, false)), start)
	require.False(t, dir.Apply(batch(8, true, backendChange(7, "i-1", false, false)), start))
}

// Back ends rewrite their entries about every second. Followers are sent changes of content only:
// sending every rewrite would take 8 MB per read with 140,000 back ends.
func TestHeartbeatsAreNotReported(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	dir.Apply(batch(8, true, backendChange(7, "i-1", false, false), backendChange(8, "i-2", true, false)), start)
	reported := dir.Since(3)
	require.False(t, reported.GetComplete())
	require.Len(t, reported.GetChanges(), 1)
	require.Equal(t, "i-2", reported.GetChanges()[0].GetBackend().GetId())
	require.Equal(t, uint64(8), reported.GetRevision())
	require.Len(t, dir.Since(2).GetChanges(), 2, "a follower that knows less gets the content")
	require.True(t, dir.Since(5).GetComplete(), "a follower that saw something in between gets a complete batch")
}

// A balancer that missed a change and its reversal must still pass the reversal on to one that saw
// the change.
func TestMissedReversalIsPropagated(t *testing.T) {
	missed, saw := New(time.Minute), New(time.Minute)
	missed.Apply(batch(1, true, backendChange(1, "i-1", false, false)), start)
	missed.Apply(batch(3, true, backendChange(3, "i-1", false, false)), start)
	saw.Apply(batch(2, true, backendChange(2, "i-1", true, false)), start)
	saw.Apply(missed.Since(saw.Revision()), start)
	require.False(t, saw.Backends()[0].GetDraining())
}

func TestExpiredTombstonesRequireSnapshot(t *testing.T) {
	dir := New(time.Second)
	dir.Apply(batch(3, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	dir.Apply(batch(5, false, backendChange(5, "i-1", false, true)), start)
	require.False(t, dir.Since(3).GetComplete())
	require.True(t, dir.Expire(start.Add(time.Second)))
	require.True(t, dir.Since(3).GetComplete(), "the requester may not know of the removal")
	requester := New(time.Minute)
	requester.Apply(batch(4, true, backendChange(2, "i-1", false, false), backendChange(3, "i-2", false, false)), start)
	requester.Apply(dir.Since(4), start)
	require.True(t, requester.Backends()[0].Gone)
	require.False(t, requester.Backends()[1].Gone)
}

// fakeStore is a store with a history of changes, for property tests.
type fakeStore struct {
	revision uint64
	entries  map[string]*apiv1.DirectoryChange
	history  []*apiv1.DirectoryChange
}

func (s *fakeStore) change(id string, draining, gone bool) {
	s.revision++
	event := backendChange(s.revision, id, draining, gone)
	s.history = append(s.history, event)
	if gone {
		delete(s.entries, id)
		return
	}
	s.entries[id] = event
}

func (s *fakeStore) snapshot() *apiv1.DirectoryBatch {
	result := batch(s.revision, true)
	for _, entry := range s.entries {
		result.Changes = append(result.Changes, proto.CloneOf(entry))
	}
	return result
}

func (s *fakeStore) since(after uint64) *apiv1.DirectoryBatch {
	result := batch(s.revision, false)
	for _, event := range s.history {
		if event.GetRevision() > after {
			result.Changes = append(result.Changes, proto.CloneOf(event))
		}
	}
	return result
}

// Several directories learn from the store and from each other in any order, with stale batches
// arriving late. None ever goes back, and all that reach the store's revision have the store's
// content.
func TestDirectoriesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{entries: make(map[string]*apiv1.DirectoryChange)}
		dirs := []*Directory{New(time.Hour), New(time.Hour), New(time.Hour)}
		var stale []*apiv1.DirectoryBatch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, 2).Draw(t, "place")
			before := dirs[index].Revision()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "id"))
				store.change(id, rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "gone"))
			case 2:
				stale = append(stale, store.snapshot())
				dirs[index].Apply(store.snapshot(), start)
			case 3:
				dirs[index].Apply(store.since(before), start)
			case 4:
				other := rapid.IntRange(0, 2).Draw(t, "other")
				dirs[index].Apply(dirs[other].Since(before), start)
			case 5:
				if len(stale) > 0 {
					dirs[index].Apply(stale[rapid.IntRange(0, len(stale)-1).Draw(t, "late")], start)
				}
			}
			require.GreaterOrEqual(t, dirs[index].Revision(), before)
		}
		for _, each := range dirs {
			each.Apply(store.since(each.Revision()), start)
			requireMatchesStore(t, store, each)
		}
	})
}

func requireMatchesStore(t require.TestingT, store *fakeStore, dir *Directory) {
	held := make(map[string]bool)
	for _, backend := range dir.Backends() {
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

// A balancer that has read the store asks a peer only for what the store does not hold, and must
// not be sent everything again.
func TestSinceWithTombstones(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(3, true, backendChange(1, "i-1", false, false), backendChange(2, "i-2", false, false),
		backendChange(3, "i-3", false, false)), start)
	dir.Apply(batch(4, false, backendChange(4, "i-1", false, true)), start)
	dir.Apply(batch(5, false, backendChange(5, "i-4", false, false)), start)
	require.Len(t, dir.Since(4).GetChanges(), 1)
	require.Len(t, dir.SinceWithTombstones(4).GetChanges(), 2, "the change and the tombstone")
	require.Len(t, dir.SinceWithTombstones(3).GetChanges(), 2, "the tombstone is listed once")
	require.Len(t, dir.SinceWithTombstones(0).GetChanges(), 4)
}

// A balancer starts and reads the store just after a back end was removed. A peer that read the
// store earlier still considers the back end live, and is the only one that can tell the address
// for its open flows (soak seed 2002).
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
	dir := New(time.Minute)
	key := Key{Kind: KindBalancer, Name: "edge-1"}
	require.Zero(t, dir.RevisionOf(key))
	entry := func(revision uint64, gone bool) *apiv1.DirectoryBatch {
		return batch(revision, false, &apiv1.DirectoryChange{Revision: revision, Gone: gone,
			Entry: &apiv1.DirectoryChange_Balancer{Balancer: &apiv1.Balancer{Name: "edge-1"}}})
	}
	dir.Apply(entry(1, false), start)
	first := dir.BalancerChanges()
	require.NotZero(t, first)
	require.Equal(t, uint64(1), dir.RevisionOf(key))
	dir.Apply(batch(2, false, backendChange(2, "i-1", false, false)), start)
	require.Equal(t, first, dir.BalancerChanges(), "changes of back ends are not counted")
	dir.Apply(entry(3, true), start)
	require.Greater(t, dir.BalancerChanges(), first)
	require.Zero(t, dir.RevisionOf(key))
}

// Each tombstone expires on time, whatever is created, removed and created again between two calls
// of Expire.
func TestTombstonesExpireOnTime(t *testing.T) {
	const retention = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		dir := New(retention)
		removedAt := make(map[string]time.Time)
		now := start
		for revision := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause ms")) * time.Millisecond)
			id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
			gone := rapid.Bool().Draw(t, "gone")
			dir.Apply(batch(revision+1, false, backendChange(revision+1, id, false, gone)), now)
			_, wasGone := removedAt[id]
			switch {
			case !gone:
				delete(removedAt, id)
			case !wasGone:
				removedAt[id] = now
			}
			dir.Expire(now)
			for id, at := range removedAt {
				if now.Sub(at) >= retention {
					delete(removedAt, id)
				}
			}
			listed := make(map[string]bool)
			for _, backend := range dir.Backends() {
				listed[backend.GetId()] = backend.Gone
			}
			for id := range removedAt {
				require.True(t, listed[id], id)
			}
			for id, isGone := range listed {
				_, wanted := removedAt[id]
				require.Equal(t, wanted, isGone, id)
			}
		}
	})
}
