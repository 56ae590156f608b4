package balancer

import (
	"hash/fnv"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// budgetFraction is the part of what a cold back end bears that is dealt out. The
// rest is for balancers that know other members than this one, and so let others
// send besides.
const budgetFraction = 0.5

// warmupState tells how cold back ends are, and what this balancer may send them.
// What a cold back end bears counts over all balancers. So a few balancers, whom
// rendezvous hashing names for each back end, may use it, and share that.
type warmupState struct {
	replica *directory.Directory
	self    string
	// peerHashes are the hashes of the others' names. They are listed with the first back
	// end that is cold, since there mostly is none; listed is set then.
	peerHashes  []uint64
	peersHashed bool
	selfHash    uint64
	overshoot   float64
	slack       float64
	pools       map[string]*apiv1.PoolWarmup
	revokedAt   map[string]time.Time
	now         time.Time
}

// newWarmupState collects what the coldness of back ends depends on.
func (c *control) newWarmupState(now time.Time) *warmupState {
	settings := c.balancer.settings.Load()
	made := &warmupState{
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
		made.pools[pool.GetPool()] = pool
	}
	for _, order := range c.replica.Evacuations() {
		if !order.Active() {
			made.revokedAt[order.Zone] = order.RevokedAt
		}
	}
	return made
}

// peers are the hashes of the names of the other balancers.
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

// limited tells whether cold back ends are bounded at all.
func (w *warmupState) limited() bool { return w.overshoot != 0 || w.slack != 0 }

// warmupFunc tells how cold a back end is, or is nil where all are taken for warm.
func (w *warmupState) warmupFunc() func(directory.BackendEntry) tokenroute.Warmup {
	if !w.limited() {
		return nil
	}
	return w.warmup
}

// warmup tells how cold a back end is.
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

// warmTime is from when on a back end is warm; zero is always. Without a bound in the
// settings all are.
func (w *warmupState) warmTime(backend directory.BackendEntry) time.Time {
	if !w.limited() {
		return time.Time{}
	}
	return w.coldUntil(backend)
}

// coldUntil is when a back end is warm. What its entry says is counted from when
// it was learned, which is later than when it was written. Back ends of a zone
// that was taken back may have turned cold just before, and have told it or not.
func (w *warmupState) coldUntil(backend directory.BackendEntry) time.Time {
	var until time.Time
	if left := backend.GetWarmupMilliseconds(); left > 0 {
		until = backend.LearnedAt.Add(time.Duration(left) * time.Millisecond)
	}
	if back, found := w.revokedAt[backend.GetZone()]; found {
		length := time.Duration(w.pools[backend.GetPool()].GetMilliseconds()) * time.Millisecond
		if end := back.Add(length); end.After(until) {
			until = end
		}
	}
	return until
}

// allowance is how many new flows this balancer may send to a cold back end within
// a second, of what all may.
func (w *warmupState) allowance(number uint64, bears float64) int {
	if bears < 1 {
		return 0
	}
	budget := max(1, int(bears*budgetFraction))
	users := min(budget, len(w.peers())+1)
	if w.rankFor(number) >= users {
		return 0
	}
	return budget / users
}

// rankFor is how many balancers come before this one in the order of a back end.
func (w *warmupState) rankFor(number uint64) int {
	own, rank := rendezvousScore(w.selfHash, number), 0
	for _, other := range w.peers() {
		if rendezvousScore(other, number) > own {
			rank++
		}
	}
	return rank
}

// rendezvousScore is the place of a balancer in the order of a back end; the highest
// comes first.
func rendezvousScore(balancer, number uint64) uint64 {
	mixed := balancer ^ number*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// evacuatedZones returns the zones whose back ends get no new flows, with the revision of
// the order.
func (c *control) evacuatedZones() map[string]uint64 {
	zones := make(map[string]uint64)
	for _, order := range c.replica.Evacuations() {
		if order.Active() {
			zones[order.Zone] = order.Revision
		}
	}
	return zones
}

// logEvacuations logs the orders that have come into force or ended with a table.
func (c *control) logEvacuations(before, after map[string]uint64) {
	for zone, ordered := range after {
		if before[zone] != ordered {
			c.balancer.logger.Info("Control: zone is evacuated.", "zone", zone, "revision", revision.Format(ordered))
		}
	}
	for zone, ordered := range before {
		if _, holds := after[zone]; !holds {
			c.balancer.logger.Info("Control: zone is taken back.", "zone", zone, "ordered_at_revision", revision.Format(ordered))
		}
	}
}
