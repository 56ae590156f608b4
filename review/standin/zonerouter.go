package main

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// checkInterval is how often a router checks whether a balancer is ready, and missesToLeave how
// many checks in a row must fail before the balancer is out.
const (
	checkInterval = 500 * time.Millisecond
	missesToLeave = 2
)

// zoneRouter picks the balancer of each packet as the platform's pages say for the hash "mod": by
// a hash of the flow over the balancers of a zone that are in, or over all of them if fewer than
// half are in.
type zoneRouter struct {
	mutex   sync.Mutex
	members []*routed
}

// routed is a balancer as a router sees it.
type routed struct {
	data   netip.AddrPort
	url    string
	misses int
	in     bool
}

// newZoneRouter returns a router of balancers, given by their data addresses and the URLs of
// their checks. All of them are in at first.
func newZoneRouter(ctx context.Context, checks map[netip.AddrPort]string) *zoneRouter {
	router := &zoneRouter{}
	for data, url := range checks {
		member := &routed{data: data, url: url, in: true}
		router.members = append(router.members, member)
		go router.check(ctx, member)
	}
	return router
}

// check checks a balancer until the context ends.
func (r *zoneRouter) check(ctx context.Context, member *routed) {
	client := &http.Client{Timeout: checkInterval}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ready := false
		if response, err := client.Get(member.url); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		r.mutex.Lock()
		member.misses++
		if ready {
			member.misses = 0
		}
		member.in = ready || member.in && member.misses < missesToLeave
		r.mutex.Unlock()
		<-ticker.C
	}
}

// pick returns the balancer for a packet.
func (r *zoneRouter) pick(packet echonet.Packet) netip.AddrPort {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var used []netip.AddrPort
	for _, member := range r.members {
		if member.in {
			used = append(used, member.data)
		}
	}
	if 2*len(used) < len(r.members) {
		used = nil
		for _, member := range r.members {
			used = append(used, member.data)
		}
	}
	slices.SortFunc(used, netip.AddrPort.Compare)
	flow := append(packet.Source[:], byte(packet.SourcePort>>8), byte(packet.SourcePort))
	return used[xxhash.Sum64(flow)%uint64(len(used))]
}
