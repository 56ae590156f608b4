package balancer

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// pagingThreshold is the number of changes from which a complete answer is sent in pages.
const pagingThreshold = 512

// pageCache holds the pages that followers fetch one by one. The control goroutine builds
// them and the goroutines of the followers' calls read them, so that the page requests of
// many starting balancers do not all pass through the control goroutine.
type pageCache struct {
	entries atomic.Pointer[[]*replication.Pages]
}

// errPageExpired is returned to a follower that asks for a page too late. The follower
// then asks for everything again.
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
	if entries := p.entries.Load(); entries != nil {
		return *entries
	}
	return nil
}

// reusable returns cached pages that fit another follower that needs at least the state of
// the given revision, or nil.
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

// add stores pages and drops those that are too old.
func (p *pageCache) add(added *replication.Pages, now time.Time) {
	var entries []*replication.Pages
	for _, each := range p.all() {
		if !each.Expired(now) {
			entries = append(entries, each)
		}
	}
	entries = append(entries, added)
	p.entries.Store(&entries)
}

// pagesFor returns the whole directory as pages, for a caller that has everything up to a
// revision, or nil if the directory fits in one answer.
func (c *control) pagesFor(after uint64, now time.Time) *replication.Pages {
	if cached := c.pageCache.reusable(min(after, c.replica.Revision()), now); cached != nil {
		return cached
	}
	batch := c.replica.Since(0)
	if len(batch.GetChanges()) < pagingThreshold {
		return nil
	}
	age, _ := c.core.Age(now)
	pages, err := replication.NewPages(batch, now.Add(-age), now)
	if err != nil {
		c.balancer.logger.Error("Control: pages could not be built, sending one answer.", "error", err)
		return nil
	}
	c.pageCache.add(pages, now)
	return pages
}
