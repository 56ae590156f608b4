package replication

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

const (
	// minPackedRoutes is from how many routes on a table is packed.
	minPackedRoutes = 32
	// unpackedLimit bounds the size in bytes of a table that is unpacked.
	unpackedLimit = 64 << 20
)

// Packer packs large tables of routes in batches for followers. A table goes
// to many followers, so the last one is kept packed.
type Packer struct {
	packedFrom, packed *apiv1.DirectoryChange
}

// Pack returns a batch in which a large table of routes is packed. The given
// batch is not changed.
func (p *Packer) Pack(batch *apiv1.DirectoryBatch) (*apiv1.DirectoryBatch, error) {
	for place, change := range batch.GetChanges() {
		if len(change.GetRoutes().GetRoutes()) < minPackedRoutes {
			continue
		}
		packed, err := p.packChange(change)
		if err != nil {
			return nil, err
		}
		changes := append([]*apiv1.DirectoryChange(nil), batch.GetChanges()...)
		changes[place] = packed
		return &apiv1.DirectoryBatch{Changes: changes, Revision: batch.GetRevision(), Complete: batch.GetComplete()}, nil
	}
	return batch, nil
}

func (p *Packer) packChange(change *apiv1.DirectoryChange) (*apiv1.DirectoryChange, error) {
	if p.packedFrom == change {
		return p.packed, nil
	}
	encoded, err := proto.Marshal(change.GetRoutes())
	if err != nil {
		return nil, errors.Wrap(err, "peers: pack routes")
	}
	p.packedFrom = change
	p.packed = &apiv1.DirectoryChange{
		Revision: change.GetRevision(),
		Gone:     change.GetGone(),
		Entry:    &apiv1.DirectoryChange_PackedRoutes{PackedRoutes: s2.Encode(nil, encoded)},
	}
	return p.packed, nil
}

// Unpack replaces packed tables of routes in a batch by what they hold.
func Unpack(batch *apiv1.DirectoryBatch) error {
	for _, change := range batch.GetChanges() {
		packed, isPacked := change.GetEntry().(*apiv1.DirectoryChange_PackedRoutes)
		if !isPacked {
			continue
		}
		routes, err := unpackRoutes(packed.PackedRoutes)
		if err != nil {
			return err
		}
		change.Entry = &apiv1.DirectoryChange_Routes{Routes: routes}
	}
	return nil
}

func unpackRoutes(packed []byte) (*apiv1.RouteTable, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, errors.Wrap(err, "peers: unpack routes")
	}
	if size > unpackedLimit {
		return nil, errors.Newf("peers: unpack routes: %d bytes are more than the %d allowed", size, unpackedLimit)
	}
	encoded, err := s2.Decode(nil, packed)
	if err != nil {
		return nil, errors.Wrap(err, "peers: unpack routes")
	}
	routes := &apiv1.RouteTable{}
	return routes, errors.Wrap(proto.Unmarshal(encoded, routes), "peers: unpack routes")
}
