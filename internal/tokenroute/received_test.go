package tokenroute

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// FuzzReceivedEntries applies what another balancer may send, whatever it read or made up, and routes
// by it. Entries that were known before stay in use unless the batch has newer ones.
func FuzzReceivedEntries(f *testing.F) {
	for _, change := range []*apiv1.DirectoryChange{
		nil, {}, routes(101), routes(1<<63, route(1)), backend(101, 0, ""), backend(1<<63, 1, "lending"), gone(backend(101, 1, "lending")),
		{Revision: 101, Unreadable: true, Entry: &apiv1.DirectoryChange_Backend{Backend: &apiv1.PoolBackend{Id: "i-0000000000000001"}}},
		{Revision: 101, Entry: &apiv1.DirectoryChange_Backend{}}, {Revision: 101, Entry: &apiv1.DirectoryChange_Balancer{}},
		{Revision: 101, Entry: &apiv1.DirectoryChange_Evacuation{Evacuation: &apiv1.Evacuation{}}},
		{Revision: 101, Entry: &apiv1.DirectoryChange_Policy{Policy: &apiv1.Policy{}}},
	} {
		encoded, err := proto.Marshal(&apiv1.DirectoryBatch{Revision: 101, Changes: []*apiv1.DirectoryChange{change}})
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var batch apiv1.DirectoryBatch
		if proto.Unmarshal(encoded, &batch) != nil {
			return
		}
		entries := newDirectory(routes(1, route(1, share("lending", 1))), backend(2, 1, "lending"), backend(3, 2, "lending"))
		before := NewTable(entries, defaultOptions())
		entries.Apply(&batch, at(1))
		options := defaultOptions()
		options.Previous, options.Now = before, at(1)
		incremental := NewTable(entries, options)
		options.Previous = nil
		full := NewTable(entries, options)
		require.NotNil(t, full)
		flows := NewFlows(mechanism.Set{})
		for _, table := range []*Table{incremental, full} {
			for port := range 3 {
				decision := flows.Decide(table, firstPacket(port), at(2))
				flows.Decide(table, laterPacket(port, 1), at(3))
				if decision.Verdict == Forward {
					require.True(t, decision.Backend.Target.IsValid())
					require.NotZero(t, decision.Backend.Number, "the number stands for any back end")
				}
			}
		}
		again := directory.New(time.Minute)
		again.Apply(&batch, at(2))
	})
}
