package balancer

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// pagingThreshold is from how many changes on a complete answer is told in pages.
const pagingThreshold = 512

// pageCache are what followers fetch page by page: made by the control goroutine, and read by
// the goroutines of the followers' calls, so that a start of many does not go through the
// control goroutine page by page.
type pageCache struct {
	entries atomic.Pointer[[]*replication.Pages]
}

// errPageExpired is what a follower is answered that asks for a page too late. It asks for
// everything again.
var errPageExpired = errors.New("the page is kept no more; ask for everything")

// serve answers a follower that asks for one page.
func (p *pageCache) serve(request *apiv1.FollowRequest) (*apiv1.FollowReply, error) {
	for _, each := range p.all() {
		if page := each.Page(request.GetPage()); each.ID == request.GetPageOf() && page != nil {
			return &apiv1.FollowReply{Page: page}, nil
		}
	}
	return nil, errPageExpired
}

func (p *pageCache) all() []*replication.Pages {
	if kept := p.entries.Load(); kept != nil {
		return *kept
	}
	return nil
}

// reusable returns the pages that a further follower may be given who needs what is known up
// to a revision, or nil.
func (p *pageCache) reusable(revision uint64, now time.Time) *replication.Pages {
	all := p.all()
	if len(all) == 0 {
		return nil
	}
	latest := all[len(all)-1]
	if latest.Revision < revision || !latest.Reusable(now) {
		return nil
	}
	return latest
}

// add keeps pages, and drops those that are old.
func (p *pageCache) add(made *replication.Pages, now time.Time) {
	var kept []*replication.Pages
	for _, each := range p.all() {
		if !each.Expired(now) {
			kept = append(kept, each)
		}
	}
	kept = append(kept, made)
	p.entries.Store(&kept)
}

// pagesFor returns all that is known as pages, for one who knows everything up to a revision,
// or nil where it is not too much for one answer.
func (c *control) pagesFor(after uint64, now time.Time) *replication.Pages {
	if known := c.pageCache.reusable(min(after, c.replica.Revision()), now); known != nil {
		return known
	}
	batch := c.replica.Since(0)
	if len(batch.GetChanges()) < pagingThreshold {
		return nil
	}
	age, _ := c.core.Age(now)
	made, err := replication.NewPages(batch, now.Add(-age), now)
	if err != nil {
		c.balancer.logger.Error("Control: pages could not be made, all is told at once.", "error", err)
		return nil
	}
	c.pageCache.add(made, now)
	return made
}
