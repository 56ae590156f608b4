package replication

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func routesBatch(count int) *apiv1.DirectoryBatch {
	table := &apiv1.RouteTable{Version: 9, IdleMilliseconds: 12000}
	for place := range count {
		table.Routes = append(table.Routes, &apiv1.ServiceRoute{
			Name: fmt.Sprintf("route-%x", place*2654435761), Address: 0xc6120001 + uint32(place), Port: 443,
			Pools: []*apiv1.PoolShare{{Pool: "loan-session", Weight: 1000}},
		})
	}
	return &apiv1.DirectoryBatch{Revision: 70, Complete: true, Changes: []*apiv1.DirectoryChange{
		{Revision: 60, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-1"}}},
		{Revision: 61, Entry: &apiv1.DirectoryChange_Routes{Routes: table}},
	}}
}

// A configuration of 3,000 routes filled the link of a balancer that sent it to
// its followers, 150 KB to each.
func TestLargeTablesArePacked(t *testing.T) {
	batch := routesBatch(3000)
	whole := proto.Size(batch)
	kept := proto.CloneOf(batch)
	packer := &Packer{}
	packed, err := packer.Pack(batch)
	require.NoError(t, err)
	require.Less(t, proto.Size(packed), whole/3)
	require.True(t, proto.Equal(kept, batch), "the directory's own entries stay as they are")
	again, err := packer.Pack(batch)
	require.NoError(t, err)
	require.Same(t, packed.GetChanges()[1], again.GetChanges()[1], "packed once for all followers")
	received := proto.CloneOf(packed)
	require.NoError(t, Unpack(received))
	require.True(t, proto.Equal(kept, received))
}

func TestSmallTablesAreNotPacked(t *testing.T) {
	batch := routesBatch(8)
	packed, err := (&Packer{}).Pack(batch)
	require.NoError(t, err)
	require.Same(t, batch, packed)
	require.NoError(t, Unpack(batch))
}

func TestCorruptTablesAreRejected(t *testing.T) {
	for _, damaged := range [][]byte{nil, {0xff}, {0xff, 0xff, 0xff, 0xff, 0x0f, 1}, []byte("no table")} {
		batch := &apiv1.DirectoryBatch{Changes: []*apiv1.DirectoryChange{
			{Revision: 1, Entry: &apiv1.DirectoryChange_PackedRoutes{PackedRoutes: damaged}}}}
		require.ErrorContains(t, Unpack(batch), "unpack routes")
	}
}
