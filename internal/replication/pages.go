package replication

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// All that is known does not fit into one answer where back ends are many: with ten thousand
// it is some 0.8 MB, which a strong balancer sends to 21 followers in 0.7 s, and none of them
// waits longer than replyTimeout. Then each began anew, and nobody was ever told: after a
// kill of all 985 balancers none served for the 6 s that were played. So it is sent in pages, each within the
// time of an answer whatever there is to tell: the time of a page rests on the link and the
// number of followers, and their number alone on the size. They are packed once for all
// followers.

const (
	// pageBytes is up to how many bytes of changes make a page, before it is packed. The 32
	// followers of one at 20 Mbit/s, a weak one, get pages of half as much within 0.42 s.
	pageBytes = 64 << 10
	// pagesTTL is for how long pages are kept: their followers are weak, and many.
	pagesTTL = 5 * time.Second
	// pagesReuseTTL is for how long pages are given to further followers, though there is
	// news since, which they are told next.
	pagesReuseTTL = time.Second
)

// Pages is all that was known at one time, cut into pages. It is immutable.
type Pages struct {
	// Revision and ConfirmedAt are those of the knowledge.
	Revision    uint64
	ConfirmedAt time.Time
	// ID tells these pages from others of the same revision, whose changes may come in
	// another order, and from those of an earlier process at the same address.
	ID        uint64
	createdAt time.Time
	packed    [][]byte
}

// NewPages cuts a complete batch into pages.
func NewPages(batch *apiv1.DirectoryBatch, confirmedAt, now time.Time) (*Pages, error) {
	made := &Pages{Revision: batch.GetRevision(), ConfirmedAt: confirmedAt, ID: uint64(now.UnixNano()), createdAt: now}
	page, size := &apiv1.DirectoryBatch{}, 0
	for _, change := range batch.GetChanges() {
		page.Changes = append(page.Changes, change)
		size += proto.Size(change)
		if size < pageBytes {
			continue
		}
		if err := made.add(page); err != nil {
			return nil, err
		}
		page, size = &apiv1.DirectoryBatch{}, 0
	}
	return made, made.add(page)
}

func (p *Pages) add(page *apiv1.DirectoryBatch) error {
	encoded, err := proto.Marshal(page)
	if err != nil {
		return errors.Wrap(err, "peers: pack a page")
	}
	p.packed = append(p.packed, s2.Encode(nil, encoded))
	return nil
}

// Page returns one page, or nil when there is none of the number.
func (p *Pages) Page(number uint32) *apiv1.Page {
	if int(number) >= len(p.packed) {
		return nil
	}
	return &apiv1.Page{Of: p.ID, Number: number, Count: uint32(len(p.packed)), Packed: p.packed[number]}
}

// Reusable tells whether further followers may be given these pages.
func (p *Pages) Reusable(now time.Time) bool { return now.Sub(p.createdAt) < pagesReuseTTL }

// Expired tells whether nobody needs these pages any more.
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

// pageAttempts is how often one page is asked for.
const pageAttempts = 2

// fetchPages completes an answer of which the first page has come.
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

// fetchPage asks for one page. It costs the called balancer little, so a lost one is asked
// for once more before everything is.
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
