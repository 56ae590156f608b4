package balancer

import (
	"hash/fnv"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// budgetFraction is the fraction of what a cold back end can take that is allotted. The rest is
// reserved for balancers with a different view of the membership, which therefore let additional
// balancers send.
const budgetFraction = 0.5

// warmupState tells how cold back ends are, and how many flows this balancer may send to them. The
// limit of a cold back end applies to all balancers together. Therefore only a few balancers,
// chosen for each back end by rendezvous hashing, may use it and share its limit.
type warmupState struct {
	replica *directory.Directory
	self    string
	// peerHashes are the hashes of the other balancers' names. They are computed for the first cold
	// back end, since usually there is none; peersHashed is set from then on.
	peerHashes  []uint64
	peersHashed bool
	selfHash    uint64
	overshoot   float64
	slack       float64
	pools       map[string]*apiv1.PoolWarmup
	revokedAt   map[string]time.Time
	now         time.Time
}

// newWarmupState collects the inputs for the warm-up of back ends.
func (c *control) newWarmupState(now time.Time) *warmupState {
	settings := c.balancer.settings.Load()
	state := &warmupState{
		replica:   c.replica,
		self:      settings.GetName(),
		selfHash:  nameHash(settings.GetName()),
		overshoot: settings.GetWarmupOvershoot(),
		slack:     settings.GetWarmupSlack(),
		pools:     make(map[string]*apiv1.PoolWarmup),
		revokedAt: make(map[string]time.Time),
		now:       now,
	}
	for _, pool := range c.replica.Routes().GetWarmups() {
		state.pools[pool.GetPool()] = pool
	}
	for _, order := range c.replica.Evacuations() {
		if !order.Active() {
			state.revokedAt[order.Zone] = order.RevokedAt
		}
	}
	return state
}

// peers returns the hashes of the names of the other balancers.
func (w *warmupState) peers() []uint64 {
	if w.peersHashed {
		return w.peerHashes
	}
	w.peersHashed = true
	for _, b := range w.replica.Balancers() {
		if b.GetName() != w.self {
			w.peerHashes = append(w.peerHashes, nameHash(b.GetName()))
		}
	}
	return w.peerHashes
}

func nameHash(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// limited reports whether new flows to cold back ends are limited at all.
func (w *warmupState) limited() bool { return w.overshoot != 0 || w.slack != 0 }

// warmupFunc returns the function that tells how cold a back end is, or nil if all count as warm.
func (w *warmupState) warmupFunc() func(directory.BackendEntry) tokenroute.Warmup {
	if !w.limited() {
		return nil
	}
	return w.warmup
}

// warmup returns how cold a back end is.
func (w *warmupState) warmup(backend directory.BackendEntry) tokenroute.Warmup {
	until := w.warmTime(backend)
	if !w.now.Before(until) {
		return tokenroute.Warmup{}
	}
	rate := w.pools[backend.GetPool()].GetFlowsPerSecond()
	return tokenroute.Warmup{
		Until:          until,
		FlowsPerSecond: w.allowance(backend.GetNumber(), rate*w.overshoot+w.slack),
		LimitKnown:     rate > 0,
	}
}

// warmTime returns the time from which a back end is warm; zero means that it always is. Without a
// limit in the settings, all back ends are warm.
func (w *warmupState) warmTime(backend directory.BackendEntry) time.Time {
	if !w.limited() {
		return time.Time{}
	}
	return w.coldUntil(backend)
}

// coldUntil returns when a back end becomes warm. The time in its entry is counted from when the
// entry was learned, which is later than when it was written. Back ends of a zone whose evacuation
// was revoked may have become cold just before, and may not have reported it yet.
func (w *warmupState) coldUntil(backend directory.BackendEntry) time.Time {
	var until time.Time
	if remaining := backend.GetWarmupMilliseconds(); remaining > 0 {
		until = backend.LearnedAt.Add(time.Duration(remaining) * time.Millisecond)
	}
	if revoked, found := w.revokedAt[backend.GetZone()]; found {
		period := time.Duration(w.pools[backend.GetPool()].GetMilliseconds()) * time.Millisecond
		if end := revoked.Add(period); end.After(until) {
			until = end
		}
	}
	return until
}

// allowance returns how many new flows this balancer may send to a cold back end per second, out of
// the limit for all balancers.
func (w *warmupState) allowance(number uint64, limit float64) int {
	if limit < 1 {
		return 0
	}
	budget := max(1, int(limit*budgetFraction))
	users := min(budget, len(w.peers())+1)
	if w.rankFor(number) >= users {
		return 0
	}
	return budget / users
}

// rankFor returns the number of balancers before this one in the rendezvous order of a back end.
func (w *warmupState) rankFor(number uint64) int {
	own, rank := rendezvousScore(w.selfHash, number), 0
	for _, other := range w.peers() {
		if rendezvousScore(other, number) > own {
			rank++
		}
	}
	return rank
}

// rendezvousScore returns the score of a balancer for a back end; the highest comes first.
func rendezvousScore(balancer, number uint64) uint64 {
	mixed := balancer ^ number*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// evacuatedZones returns the zones whose back ends get no new flows, with the revision of the
// evacuation order.
func (c *control) evacuatedZones() map[string]uint64 {
	zones := make(map[string]uint64)
	for _, order := range c.replica.Evacuations() {
		if order.Active() {
			zones[order.Zone] = order.Revision
		}
	}
	return zones
}

// logEvacuations logs the evacuation orders that came into force or ended with a new table.
func (c *control) logEvacuations(before, after map[string]uint64) {
	for zone, orderRevision := range after {
		if before[zone] != orderRevision {
			c.balancer.logger.Info("Control: zone is evacuated.", "zone", zone, "revision", revision.Format(orderRevision))
		}
	}
	for zone, orderRevision := range before {
		if _, active := after[zone]; !active {
			c.balancer.logger.Info("Control: zone is taken back.", "zone", zone, "ordered_at_revision", revision.Format(orderRevision))
		}
	}
}
