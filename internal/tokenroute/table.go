package tokenroute

import (
	"net/netip"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Token names a back end in the packets of a flow; NoToken names none.
type Token uint32

// NoToken is what the first packet of a flow carries.
const NoToken Token = 0

// TokenOf returns the token of a back end's number. It is never NoToken.
func TokenOf(number uint64) Token {
	if token := Token(number); token != NoToken {
		return token
	}
	return ^NoToken
}

// Backend is a back end as packets are forwarded to it. It is immutable.
type Backend struct {
	ID     string
	Number uint64
	// Start tells its starts under one number apart.
	Start  incarnation.Start
	Token  Token
	Pool   string
	Zone   string
	Target netip.AddrPort
	// Gone is set when the directory's entry of the back end was removed.
	Gone bool
	// Warmup tells until when the back end is cold, and what it may get.
	Warmup Warmup
}

// Incarnation is the start of the back end that this one is.
func (b *Backend) Incarnation() incarnation.ID {
	return incarnation.ID{Number: b.Number, Start: b.Start}
}

// clone is a copy that lasts.
func (b Backend) clone() *Backend { return &b }

// WeightFunc gives the relative share of new flows that a back end of a pool
// takes, from 0 to rule.MaximumWeight.
type WeightFunc func(backend directory.BackendEntry) uint32

// Table is an index over a directory at one revision. It is immutable.
type Table struct {
	Version  uint64
	Revision uint64
	// Evacuated are the zones whose back ends get no new flows, with the revision
	// of the operator's order.
	Evacuated map[string]uint64
	// IdleTimeout is how long a flow may rest before it is forgotten; 0 is unknown.
	IdleTimeout time.Duration
	routes      map[flow.Address]*Route
	tokens      *tokenIndex
	// poolZones are the back ends of each pool in each zone, from which the next table takes
	// over what has not changed.
	poolZones map[directory.PoolZone]*poolZone
	// sharedTokenPools are the pools of which two back ends share a token, or did in an earlier table.
	sharedTokenPools map[string]bool
	// restarted are the back ends of which an earlier start was known.
	restarted []*Backend
}

// Route is the way of one address.
type Route struct {
	Name string
	// poolRule chooses the pool of a new flow; its candidates are indexes into
	// pools plus one.
	poolRule *rule.Rule
	pools    []*pool
	// admittedPools are the pools whose open flows the route carries; admitAllPools takes
	// those of any pool.
	admittedPools map[string]bool
	admitAllPools bool
	// priority is that of the route's requests.
	priority admission.Priority
}

// pool is the back ends of one pool that may take new flows.
type pool struct {
	name string
	// poolZones are those of its zones, and rules theirs, in the same order.
	poolZones []*poolZone
	rules     []*rule.Rule
	// withheld is set when some back end takes no new flows only because its zone
	// is evacuated.
	withheld bool
	// zoneByWeight is set when the weights alone choose the zone.
	zoneByWeight bool
}

// Options are what a table depends on besides the directory.
type Options struct {
	WeightOf WeightFunc
	// WeightOfPoolZone gives the share that each back end of a place takes, where all take the
	// same, and tells whether they do. Nil asks Weigh for each.
	WeightOfPoolZone func(place directory.PoolZone) (weight uint32, uniform bool)
	// FormerPools are the pools that a route had before, by the route's address;
	// their open flows stay where they are.
	FormerPools map[flow.Address]map[string]bool
	// AdmitAllPools admits the open flows of any pool on any route. A balancer does
	// so while it is younger than a flow may be, since it can't know what
	// routes had before it started.
	AdmitAllPools bool
	// Evacuated are the zones whose back ends get no new flows, with the revision
	// of the operator's order.
	Evacuated map[string]uint64
	// WarmupOf tells how cold a back end is; nil takes all for warm.
	WarmupOf func(backend directory.BackendEntry) Warmup
	// StoreRecovery is the time after an outage of the store in which entries that lapsed
	// meanwhile may come back.
	StoreRecovery StoreRecovery
	// EmptyPoolGrace is for how long back ends whose entries vanished without a
	// notice may take new flows when their pool has no other.
	EmptyPoolGrace time.Duration
	// ZoneByWeight names the pools where the weights alone choose the zone of a new flow, and only
	// then the back end that is least in use. The least used among those of several zones
	// would be taken from zones of small weights hardly ever, and their part would not be
	// what was planned. Nil is no pool.
	ZoneByWeight func(pool string) bool
	// Previous is the table before, from the same directory, of which is taken over what has
	// not changed; nil is none.
	Previous *Table
	Now      time.Time
}

// StoreRecovery is a time in which the store has answered again after an outage, but
// not every back end has had time to write its entry anew. The zero value is
// no such time.
type StoreRecovery struct {
	Since, Until time.Time
}

// covers tells whether an entry that vanished at a time may have lapsed only.
func (l StoreRecovery) covers(vanishedAt, now time.Time) bool {
	return now.Before(l.Until) && !vanishedAt.Before(l.Since)
}

// NewTable indexes a directory. It returns nil while no routes are known.
func NewTable(known *directory.Directory, options Options) *Table {
	routes := known.Routes()
	if routes == nil {
		return nil
	}
	builder := newBuilder(known, options)
	table := &Table{
		Version:          routes.GetVersion(),
		Revision:         known.Revision(),
		Evacuated:        options.Evacuated,
		IdleTimeout:      time.Duration(routes.GetIdleMilliseconds()) * time.Millisecond,
		routes:           make(map[flow.Address]*Route, len(routes.GetRoutes())),
		tokens:           builder.tokens.index,
		poolZones:        builder.poolZones,
		sharedTokenPools: builder.sharedTokenPools,
		restarted:        builder.restarted,
	}
	for _, route := range routes.GetRoutes() {
		address := AddressOf(route)
		table.routes[address] = builder.route(route, options.FormerPools[address])
	}
	return table
}

// AddressOf returns the address that a route serves.
func AddressOf(route *apiv1.ServiceRoute) flow.Address {
	return flow.Address{
		IP:       ipOf(route.GetAddress()),
		Port:     uint16(route.GetPort()),
		Protocol: flow.ProtocolTCP,
	}
}

func ipOf(address uint32) [4]byte {
	return [4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)}
}

// Route returns the route of an address, or nil.
func (t *Table) Route(address flow.Address) *Route { return t.routes[address] }

// RestartedBackends is the number of back ends of which an earlier start was known.
func (t *Table) RestartedBackends() int { return len(t.restarted) }

// RouteCount is the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Resolve returns the back end that a token names on a route, or nil.
func (t *Table) Resolve(route *Route, token Token) *Backend {
	sharing := t.tokens.backends(token)
	for _, backend := range sharing {
		if route.admittedPools[backend.Pool] {
			return backend
		}
	}
	if route.admitAllPools && len(sharing) == 1 {
		return sharing[0]
	}
	return nil
}

// Backend returns the back end of an incarnation, or nil where the table has another
// start of it or none.
func (t *Table) Backend(id incarnation.ID) *Backend {
	for _, backend := range t.tokens.backends(TokenOf(id.Number)) {
		if backend.Incarnation() == id {
			return backend
		}
	}
	return nil
}

// KnowsToken tells whether a token names a back end of any pool.
func (t *Table) KnowsToken(token Token) bool { return len(t.tokens.backends(token)) > 0 }

// maxCandidates is how many back ends are compared by their load for a new flow.
const maxCandidates = 4

// Preference is how willingly a back end is taken for a new flow.
type Preference uint8

// The preferences.
const (
	// Preferred back ends are taken as long as there are any.
	Preferred Preference = iota
	// Suspected ones are taken when no preferred one is left: nothing speaks against
	// them but their silent zone.
	Suspected
	// Avoided ones are taken only when no other is left.
	Avoided
	// Forbidden ones are never taken.
	Forbidden
)

// Choose returns the back end for a new flow, or nil when the route has none.
// Of the first back ends in the flow's order it takes the one that is least in
// use for its weight.
func (r *Route) Choose(hash uint64, prefer func(*Backend) Preference, inUse func(*Backend) int) *Backend {
	chosen := r.poolFor(hash)
	if chosen == nil {
		return nil
	}
	for _, least := range []Preference{Preferred, Suspected, Avoided} {
		var leaders [maxCandidates]rule.RankedCandidate
		count := chosen.topCandidates(hash, leaders[:], func(backend *Backend) bool { return prefer(backend) > least })
		if count > 0 {
			return chosen.leastLoaded(leaders[:count], inUse)
		}
	}
	return nil
}

// topCandidates puts the first back ends in a flow's order into found, as far as they are not left
// out, and returns how many there are. Where the weights alone choose the zone, all are of
// the zone of the first one.
func (p *pool) topCandidates(hash uint64, found []rule.RankedCandidate, except func(*Backend) bool) int {
	count := rule.TopCandidates(p.rules, hash, found, func(place int, candidate uint32) bool {
		return except(p.poolZones[place].eligible[candidate-1])
	})
	if !p.zoneByWeight || count < 2 {
		return count
	}
	zone := found[0].RuleIndex
	elsewhere := func(each rule.RankedCandidate) bool { return each.RuleIndex != zone }
	if !slices.ContainsFunc(found[:count], elsewhere) {
		return count
	}
	count = rule.TopCandidates(p.rules[zone:zone+1], hash, found, func(_ int, candidate uint32) bool {
		return except(p.poolZones[zone].eligible[candidate-1])
	})
	for place := range found[:count] {
		found[place].RuleIndex = zone
	}
	return count
}

// backend is the back end of a leader.
func (p *pool) backend(leader rule.RankedCandidate) *Backend {
	return p.poolZones[leader.RuleIndex].eligible[leader.Backend-1]
}

// poolFor returns the pool of a new flow, or nil.
func (r *Route) poolFor(hash uint64) *pool {
	index := r.poolRule.Pick(hash)
	if index == rule.NoBackend {
		return nil
	}
	return r.pools[index-1]
}

// Accepts tells whether a back end still takes new flows of the route.
func (r *Route) Accepts(backend *Backend) bool {
	for _, each := range r.pools {
		for _, part := range each.poolZones {
			if part.accepts(backend) {
				return true
			}
		}
	}
	return false
}

// refusalReason is why a new flow finds no back end.
func (r *Route) refusalReason(hash uint64) Reason {
	chosen := r.poolFor(hash)
	switch {
	case chosen == nil:
		return ReasonNoBackend
	case chosen.acceptsAny(hash):
		return ReasonCold
	case chosen.withheld:
		return ReasonEvacuated
	}
	return ReasonNoBackend
}

// acceptsAny tells whether some back end may take a new flow, but for its warmth.
func (p *pool) acceptsAny(hash uint64) bool {
	return slices.ContainsFunc(p.rules, func(each *rule.Rule) bool { return each.Pick(hash) != rule.NoBackend })
}

// leastLoaded returns the back end that is least in use for its weight.
func (p *pool) leastLoaded(leaders []rule.RankedCandidate, inUse func(*Backend) int) *Backend {
	var best *Backend
	bestUse, bestWeight := 0, 1
	for _, leader := range leaders {
		backend := p.backend(leader)
		use, weight := inUse(backend)+1, int(leader.Weight)
		if best == nil || use*bestWeight < bestUse*weight {
			best, bestUse, bestWeight = backend, use, weight
		}
	}
	return best
}
