package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func evacuationChange(revision uint64, zone string, gone bool) *apiv1.DirectoryChange {
	return &apiv1.DirectoryChange{Revision: revision, Gone: gone, Entry: &apiv1.DirectoryChange_Evacuation{
		Evacuation: &apiv1.Evacuation{Zone: zone}}}
}

func evacuationBatch(revision uint64, changes ...*apiv1.DirectoryChange) *apiv1.DirectoryBatch {
	return &apiv1.DirectoryBatch{OrdersRevision: revision, Changes: changes}
}

// activeZones returns the zones that are evacuated according to a directory.
func activeZones(dir *Directory) []string {
	var zones []string
	for _, order := range dir.Evacuations() {
		if order.Active() {
			zones = append(zones, order.Zone)
		}
	}
	return zones
}

func TestEvacuationAndRevocationKeepTheirOrder(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(5, true, evacuationChange(4, "maadi", false)), start)
	require.Equal(t, []string{"maadi"}, activeZones(dir))
	dir.Apply(batch(7, false, evacuationChange(7, "maadi", true)), start.Add(time.Second))
	require.Empty(t, activeZones(dir))
	require.Equal(t, start.Add(time.Second), dir.Evacuations()[0].RevokedAt)
	dir.Apply(batch(6, false, evacuationChange(4, "maadi", false)), start)
	require.Empty(t, activeZones(dir), "the order arrives again after its revocation")
	dir.Apply(batch(9, false, evacuationChange(9, "maadi", false)), start)
	dir.Apply(batch(8, false, evacuationChange(7, "maadi", true)), start)
	require.Equal(t, []string{"maadi"}, activeZones(dir), "the revocation of the first order arrives after the second order")
}

func TestEvacuationMissingFromSnapshotIsRevoked(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(5, true, evacuationChange(4, "maadi", false), evacuationChange(3, "giza", false)), start)
	dir.Apply(batch(10, false, evacuationChange(10, "giza", false)), start)
	dir.Apply(batch(9, true), start)
	require.Equal(t, []string{"giza"}, activeZones(dir), "the order for giza is newer than the snapshot")
}

// A read of only the operators' entries that shows other orders than are known means that a change
// was missed, unless the read is older than what is known.
func TestContradictingEvacuations(t *testing.T) {
	dir := New(time.Minute)
	dir.Apply(batch(5, true, evacuationChange(4, "maadi", false), evacuationChange(2, "giza", false)), start)
	dir.Apply(batch(6, false, evacuationChange(6, "giza", true)), start)
	maadi := evacuationChange(4, "maadi", false)
	require.False(t, dir.Contradicts(evacuationBatch(9, routesChange(8), maadi)))
	require.True(t, dir.Contradicts(evacuationBatch(9)), "the order was revoked")
	require.True(t, dir.Contradicts(evacuationBatch(9, maadi, evacuationChange(9, "nasr", false))), "a new order")
	require.True(t, dir.Contradicts(evacuationBatch(9, maadi, evacuationChange(9, "giza", false))), "the order was given again")
	require.True(t, dir.Contradicts(evacuationBatch(9, evacuationChange(8, "maadi", false))), "the order was revoked and given again")
	require.False(t, dir.Contradicts(evacuationBatch(5, maadi, evacuationChange(2, "giza", false))), "older than what is known")
	require.False(t, dir.Contradicts(nil))
}

// Peers that learn in any order, some from the store and some from each other, end with the
// operator's last order.
func TestPeersConvergeOnEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []*Directory{New(time.Minute), New(time.Minute), New(time.Minute)}
		revision := uint64(1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			revision++
			gone := rapid.Bool().Draw(t, "order revoked")
			reader := peers[rapid.IntRange(0, 2).Draw(t, "reader")]
			switch rapid.IntRange(0, 1).Draw(t, "way") {
			case 0:
				read := batch(revision, true)
				if !gone {
					read.Changes = append(read.Changes, evacuationChange(revision, "maadi", false))
				}
				reader.Apply(read, start)
			case 1:
				from, to := peers[rapid.IntRange(0, 2).Draw(t, "from")], peers[rapid.IntRange(0, 2).Draw(t, "to")]
				if from.Revision() > 0 {
					to.Apply(from.Since(to.Revision()), start)
				}
				continue
			}
			for _, peer := range peers {
				if peer != reader {
					peer.Apply(reader.Since(peer.Revision()), start)
				}
				require.Equal(t, gone, len(activeZones(peer)) == 0)
			}
		}
	})
}
