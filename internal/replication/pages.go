package replication

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// With many back ends the full state does not fit into one reply: with 10,000 it is
// about 0.8 MB, which a strong balancer sends to 21 followers in 0.7 s, while none of
// them waits longer than replyTimeout. Every follower then started over, and none ever
// received the full state: after all 985 balancers were killed, none served in the 6 s
// that were simulated. The state is therefore sent in pages, each of which arrives
// within the time for a reply however large the state is: the time for a page depends
// on the link and on the number of followers, and only the number of pages on the size.
// The pages are compressed once for all followers.

const (
	// pageBytes is the size in bytes of the changes in a page before compression. The
	// 32 followers of a weak balancer with 20 Mbit/s receive pages of half that size
	// within 0.42 s.
	pageBytes = 64 << 10
	// pagesTTL is how long pages are kept, since there are many followers and they are
	// weak.
	pagesTTL = 5 * time.Second
	// pagesReuseTTL is how long pages are given to further followers although there are
	// newer changes, which these followers receive next.
	pagesReuseTTL = time.Second
)

// Pages holds the full state as of one time, divided into pages. It is immutable.
type Pages struct {
	// Revision and ConfirmedAt are those of the state.
	Revision    uint64
	ConfirmedAt time.Time
	// ID distinguishes these pages from others of the same revision, whose changes may
	// be in a different order, and from those of an earlier process at the same
	// address.
	ID        uint64
	createdAt time.Time
	packed    [][]byte
}

// NewPages divides a complete batch into pages.
func NewPages(batch *apiv1.DirectoryBatch, confirmedAt, now time.Time) (*Pages, error) {
	pages := &Pages{Revision: batch.GetRevision(), ConfirmedAt: confirmedAt, ID: uint64(now.UnixNano()), createdAt: now}
	page, size := &apiv1.DirectoryBatch{}, 0
	for _, change := range batch.GetChanges() {
		page.Changes = append(page.Changes, change)
		size += proto.Size(change)
		if size < pageBytes {
			continue
		}
		if err := pages.add(page); err != nil {
			return nil, err
		}
		page, size = &apiv1.DirectoryBatch{}, 0
	}
	return pages, pages.add(page)
}

func (p *Pages) add(page *apiv1.DirectoryBatch) error {
	encoded, err := proto.Marshal(page)
	if err != nil {
		return errors.Wrap(err, "peers: pack a page")
	}
	p.packed = append(p.packed, s2.Encode(nil, encoded))
	return nil
}

// Page returns the page with the given number, or nil if there is none.
func (p *Pages) Page(number uint32) *apiv1.Page {
	if int(number) >= len(p.packed) {
		return nil
	}
	return &apiv1.Page{Of: p.ID, Number: number, Count: uint32(len(p.packed)), Packed: p.packed[number]}
}

// Reusable reports whether these pages may be given to further followers.
func (p *Pages) Reusable(now time.Time) bool { return now.Sub(p.createdAt) < pagesReuseTTL }

// Expired reports whether these pages are no longer needed.
func (p *Pages) Expired(now time.Time) bool { return now.Sub(p.createdAt) >= pagesTTL }

// unpackPage returns the changes of a page.
func unpackPage(page *apiv1.Page) ([]*apiv1.DirectoryChange, error) {
	size, err := s2.DecodedLen(page.GetPacked())
	if err != nil {
		return nil, errors.Wrapf(err, "peers: unpack page %d", page.GetNumber())
	}
	if size > unpackedLimit {
		return nil, errors.Newf("peers: unpack page %d: %d bytes are more than the %d allowed", page.GetNumber(), size, unpackedLimit)
	}
	encoded, err := s2.Decode(nil, page.GetPacked())
	if err != nil {
		return nil, errors.Wrapf(err, "peers: unpack page %d", page.GetNumber())
	}
	batch := &apiv1.DirectoryBatch{}
	if err := proto.Unmarshal(encoded, batch); err != nil {
		return nil, errors.Wrapf(err, "peers: unpack page %d", page.GetNumber())
	}
	return batch.GetChanges(), nil
}

// pageAttempts is how often one page is requested.
const pageAttempts = 2

// fetchPages completes a reply that contains the first page.
func (c *Client) fetchPages(ctx context.Context, address string, reply *apiv1.FollowReply) error {
	page := reply.GetPage()
	if page == nil {
		return nil
	}
	count, of := page.GetCount(), page.GetOf()
	for {
		changes, err := unpackPage(page)
		if err != nil {
			return err
		}
		reply.Batch.Changes = append(reply.Batch.Changes, changes...)
		if page.GetNumber()+1 >= count {
			return nil
		}
		if page, err = c.fetchPage(ctx, address, of, page.GetNumber()+1); err != nil {
			return err
		}
	}
}

// fetchPage requests one page. A page costs the peer little, so a lost one is requested
// once more before the full state is requested again.
func (c *Client) fetchPage(ctx context.Context, address string, of uint64, number uint32) (*apiv1.Page, error) {
	var page *apiv1.Page
	call := func(ctx context.Context, directory apiv1.DRPCDirectoryClient) error {
		reply, err := directory.Follow(ctx, &apiv1.FollowRequest{Page: number, PageOf: of})
		page = reply.GetPage()
		return err
	}
	var err error
	for range pageAttempts {
		if _, err = c.attempt(ctx, address, replyTimeout, call); err == nil {
			break
		}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "page %d", number)
	}
	if page.GetOf() != of || page.GetNumber() != number {
		return nil, errors.Newf("page %d is gone", number)
	}
	return page, nil
}
