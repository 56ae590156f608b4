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

// Token identifies a back end in the packets of a flow. NoToken identifies none.
type Token uint32

// NoToken is the token in the first packet of a flow.
const NoToken Token = 0

// TokenOf returns the token of the back end with the given number. It is never NoToken.
func TokenOf(number uint64) Token {
	if token := Token(number); token != NoToken {
		return token
	}
	return ^NoToken
}

// Backend describes a back end as a forwarding target. It is immutable.
type Backend struct {
	ID     string
	Number uint64
	// Start distinguishes successive starts of a back end under the same number.
	Start  incarnation.Start
	Token  Token
	Pool   string
	Zone   string
	Target netip.AddrPort
	// Gone is set if the back end's entry was removed from the directory.
	Gone bool
	// Warmup says until when the back end is cold and how many new flows it may get until then.
	Warmup Warmup
}

// Incarnation returns the number and the start that identify this instance of the back end.
func (b *Backend) Incarnation() incarnation.ID {
	return incarnation.ID{Number: b.Number, Start: b.Start}
}

// clone returns a heap-allocated copy.
func (b Backend) clone() *Backend { return &b }

// WeightFunc returns the relative share of new flows that a back end takes within its pool, from 0
// to rule.MaximumWeight.
type WeightFunc func(backend directory.BackendEntry) uint32

// Table indexes a directory at one revision. It is immutable.
type Table struct {
	Version  uint64
	Revision uint64
	// Evacuated maps each zone whose back ends get no new flows to the revision of the operator's
	// evacuation order.
	Evacuated map[string]uint64
	// IdleTimeout is how long a flow may be idle before it is forgotten. It is 0 if unknown.
	IdleTimeout time.Duration
	routes      map[flow.Address]*Route
	tokens      *tokenIndex
	// poolZones holds the back ends of each pool in each zone. The next table reuses those that
	// have not changed.
	poolZones map[directory.PoolZone]*poolZone
	// sharedTokenPools is the set of pools in which two back ends share a token, or did in an
	// earlier table.
	sharedTokenPools map[string]bool
	// restarted lists the back ends of which an earlier start was known.
	restarted []*Backend
	// acceptedUntil is when the back ends without an entry that may still take new flows stop
	// taking them. Flows checks it for each new flow, since the next table may be late.
	acceptedUntil map[incarnation.ID]time.Time
}

// Route describes how the flows to one address are routed.
type Route struct {
	Name string
	// poolRule chooses the pool of a new flow. Its candidates are indexes into pools plus one.
	poolRule *rule.Rule
	pools    []*pool
	// admittedPools is the set of pools whose open flows the route carries. If admitAllPools is
	// set, it carries the open flows of any pool.
	admittedPools map[string]bool
	admitAllPools bool
	// priority is the priority of the route's requests.
	priority admission.Priority
}

// pool holds the back ends of one pool that may take new flows.
type pool struct {
	name string
	// poolZones holds the back ends by zone, and rules the rule of each zone in the same order.
	poolZones []*poolZone
	rules     []*rule.Rule
	// withheld is set if at least one back end takes no new flows only because its zone
	// is evacuated.
	withheld bool
	// zoneByWeight is set if the zone of a new flow is chosen by weight alone.
	zoneByWeight bool
}

// Options holds what a table depends on besides the directory.
type Options struct {
	WeightOf WeightFunc
	// WeightOfPoolZone returns the weight of each back end of a pool in one zone if they all have the
	// same, and reports whether they do. If it is nil, WeightOf is called for each back end.
	WeightOfPoolZone func(poolZone directory.PoolZone) (weight uint32, uniform bool)
	// FormerPools maps a route's address to the pools that the route had before. The open flows of
	// these pools stay where they are.
	FormerPools map[flow.Address]map[string]bool
	// AdmitAllPools admits the open flows of any pool on any route. A balancer sets it until it has
	// run for longer than a flow may last, since it can't know which pools the routes had before it
	// started.
	AdmitAllPools bool
	// Evacuated maps each zone whose back ends get no new flows to the revision of the operator's
	// evacuation order.
	Evacuated map[string]uint64
	// WarmupOf returns how cold a back end is. If it is nil, all back ends are warm.
	WarmupOf func(backend directory.BackendEntry) Warmup
	// StoreRecovery is the period after an outage of the store in which entries that expired during
	// the outage may come back.
	StoreRecovery StoreRecovery
	// EmptyPoolGrace is how long back ends whose entries disappeared without being marked as
	// draining may take new flows when their pool has no other back end.
	EmptyPoolGrace time.Duration
	// ZoneByWeight reports whether the zone of a new flow to the pool is chosen by weight alone,
	// and only then the least loaded back end within that zone. Picking the least loaded back end
	// across several zones would hardly ever pick one in a zone of small weights, so the zone would
	// not get its planned share of new flows. If it is nil, this applies to no pool.
	ZoneByWeight func(pool string) bool
	// Previous is the preceding table of the same directory, from which unchanged parts are reused.
	// It may be nil.
	Previous *Table
	Now      time.Time
}

// StoreRecovery is the period in which the store is available again after an outage, but not every
// back end has had time to rewrite its entry. The zero value is an empty period.
type StoreRecovery struct {
	Since, Until time.Time
}

// covers reports whether an entry that disappeared at removedAt may merely have expired during the
// outage.
func (s StoreRecovery) covers(removedAt, now time.Time) bool {
	return now.Before(s.Until) && !removedAt.Before(s.Since)
}

// NewTable builds a table from a directory. It returns nil as long as the directory has no route
// table.
func NewTable(source *directory.Directory, options Options) *Table {
	routes := source.Routes()
	if routes == nil {
		return nil
	}
	builder := newBuilder(source, options)
	table := &Table{
		Version:          routes.GetVersion(),
		Revision:         source.Revision(),
		Evacuated:        options.Evacuated,
		IdleTimeout:      time.Duration(routes.GetIdleMilliseconds()) * time.Millisecond,
		routes:           make(map[flow.Address]*Route, len(routes.GetRoutes())),
		tokens:           builder.tokens.index,
		poolZones:        builder.poolZones,
		sharedTokenPools: builder.sharedTokenPools,
		restarted:        builder.restarted,
		acceptedUntil:    builder.acceptedUntil,
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

// Route returns the route of an address, or nil if there is none.
func (t *Table) Route(address flow.Address) *Route { return t.routes[address] }

// RestartedBackends returns the number of back ends of which an earlier start was known.
func (t *Table) RestartedBackends() int { return len(t.restarted) }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Resolve returns the back end that a token identifies on a route, or nil if there is none.
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

// Backend returns the back end with the given incarnation. It returns nil if the table has no such
// back end or another start of it.
func (t *Table) Backend(id incarnation.ID) *Backend {
	for _, backend := range t.tokens.backends(TokenOf(id.Number)) {
		if backend.Incarnation() == id {
			return backend
		}
	}
	return nil
}

// KnowsToken reports whether a token identifies a back end of any pool.
func (t *Table) KnowsToken(token Token) bool { return len(t.tokens.backends(token)) > 0 }

// maxCandidates is the number of back ends whose loads are compared for a new flow.
const maxCandidates = 4

// Preference ranks a back end as the target of a new flow.
type Preference uint8

// Preferences, from best to worst.
const (
	// Preferred back ends are used as long as there are any.
	Preferred Preference = iota
	// Suspected back ends are used if no preferred one is left. The only evidence against them is
	// that their zone does not answer.
	Suspected
	// Avoided back ends are used only if no other is left.
	Avoided
	// Forbidden back ends are never used.
	Forbidden
)

// Choose returns the back end for a new flow, or nil if the route has none. Of the highest-ranked
// back ends for the flow's hash, it chooses the one with the lowest load relative to its weight.
func (r *Route) Choose(hash uint64, prefer func(*Backend) Preference, usage func(*Backend) int) *Backend {
	chosen := r.poolFor(hash)
	if chosen == nil {
		return nil
	}
	for _, worst := range []Preference{Preferred, Suspected, Avoided} {
		var topCandidates [maxCandidates]rule.RankedCandidate
		count := chosen.topCandidates(hash, topCandidates[:], func(backend *Backend) bool { return prefer(backend) > worst })
		if count > 0 {
			return chosen.leastLoaded(topCandidates[:count], usage)
		}
	}
	return nil
}

// topCandidates fills ranked with the highest-ranked back ends for a hash that are not excluded,
// and returns their number. If the zone is chosen by weight alone, all of them are in the zone of
// the first one.
func (p *pool) topCandidates(hash uint64, ranked []rule.RankedCandidate, excluded func(*Backend) bool) int {
	count := rule.TopCandidates(p.rules, hash, ranked, func(i int, candidate uint32) bool {
		return excluded(p.poolZones[i].eligible[candidate-1])
	})
	if !p.zoneByWeight || count < 2 {
		return count
	}
	zone := ranked[0].RuleIndex
	inOtherZone := func(each rule.RankedCandidate) bool { return each.RuleIndex != zone }
	if !slices.ContainsFunc(ranked[:count], inOtherZone) {
		return count
	}
	count = rule.TopCandidates(p.rules[zone:zone+1], hash, ranked, func(_ int, candidate uint32) bool {
		return excluded(p.poolZones[zone].eligible[candidate-1])
	})
	for i := range ranked[:count] {
		ranked[i].RuleIndex = zone
	}
	return count
}

// backend returns the back end that a candidate refers to.
func (p *pool) backend(candidate rule.RankedCandidate) *Backend {
	return p.poolZones[candidate.RuleIndex].eligible[candidate.Backend-1]
}

// poolFor returns the pool of a new flow, or nil if there is none.
func (r *Route) poolFor(hash uint64) *pool {
	index := r.poolRule.Pick(hash)
	if index == rule.NoBackend {
		return nil
	}
	return r.pools[index-1]
}

// Accepts reports whether a back end still takes new flows of the route.
func (r *Route) Accepts(backend *Backend) bool {
	for _, each := range r.pools {
		for _, zone := range each.poolZones {
			if zone.accepts(backend) {
				return true
			}
		}
	}
	return false
}

// ended reports whether a back end without an entry has stopped taking new flows since the table
// was built.
func (t *Table) ended(backend *Backend, now time.Time) bool {
	return backend.Gone && !now.Before(t.acceptedUntil[backend.Incarnation()])
}

// refusalReason returns why no back end was found for a new flow.
func (r *Route) refusalReason(hash uint64, ended func(*Backend) bool) Reason {
	chosen := r.poolFor(hash)
	switch {
	case chosen == nil:
		return ReasonNoBackend
	case chosen.acceptsAny(hash, ended):
		return ReasonCold
	case chosen.withheld:
		return ReasonEvacuated
	}
	return ReasonNoBackend
}

// acceptsAny reports whether some back end could take a new flow if warmup limits are ignored.
func (p *pool) acceptsAny(hash uint64, ended func(*Backend) bool) bool {
	var first [1]rule.RankedCandidate
	return p.topCandidates(hash, first[:], ended) > 0
}

// leastLoaded returns the back end with the lowest load relative to its weight.
func (p *pool) leastLoaded(candidates []rule.RankedCandidate, usage func(*Backend) int) *Backend {
	var best *Backend
	bestUse, bestWeight := 0, 1
	for _, candidate := range candidates {
		backend := p.backend(candidate)
		use, weight := usage(backend)+1, int(candidate.Weight)
		if best == nil || use*bestWeight < bestUse*weight {
			best, bestUse, bestWeight = backend, use, weight
		}
	}
	return best
}
