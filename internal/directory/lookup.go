package directory

import (
	"sort"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Routes returns the route table, or nil while none is known.
func (d *Directory) Routes() *apiv1.RouteTable {
	e := d.entries[Key{Kind: KindRoutes}]
	if e == nil {
		return nil
	}
	return e.change.GetRoutes()
}

// BackendEntry is a back end and the state of its entry.
type BackendEntry struct {
	*apiv1.PoolBackend
	Gone bool
	// RemovalSeenAt is when this directory learned of the removal, if it knew the back end before.
	// It is zero for an entry that was first learned as a tombstone, which may be of any age.
	RemovalSeenAt time.Time
	// LearnedAt is when this directory learned of the content of the entry, which is no earlier
	// than when it was written.
	LearnedAt time.Time
	// Restarted is set if another start of the back end was known before.
	Restarted bool
}

// Incarnation returns the start of the back end that the entry belongs to.
func (b BackendEntry) Incarnation() incarnation.ID {
	return incarnation.ID{Number: b.GetNumber(), Start: incarnation.Start(b.GetStartedMilliseconds())}
}

// Evacuation is an operator's order that a zone gets no new flows, or the revocation of such an
// order.
type Evacuation struct {
	Zone string
	// Revision is the store's revision of the order, or of its revocation.
	Revision uint64
	// LearnedAt is when this directory learned of the order, and RevokedAt when it learned of its
	// revocation; RevokedAt is zero while the order is in force.
	LearnedAt, RevokedAt time.Time
}

// Active reports whether the order is in force.
func (e Evacuation) Active() bool { return e.RevokedAt.IsZero() }

// Evacuations returns the orders to evacuate zones, including recently revoked ones, sorted by
// zone.
func (d *Directory) Evacuations() []Evacuation {
	var result []Evacuation
	for zone, e := range d.evacuations {
		order := Evacuation{Zone: zone, Revision: e.effective().GetRevision(), LearnedAt: e.learnedAt}
		if e.effective().GetGone() {
			order.RevokedAt = e.removedAt
		}
		result = append(result, order)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Zone < result[j].Zone })
	return result
}

// Contradicts reports whether a read of only the operators' entries, as of a later revision, shows
// other evacuation orders than are known here, which means that a change was missed. Nothing is
// taken over from such a read. It says nothing about the rest of the store, and a directory that
// knew entries beyond its revision would not learn from others that they were removed.
func (d *Directory) Contradicts(evacuations *apiv1.DirectoryBatch) bool {
	if evacuations.GetOrdersRevision() <= d.revision {
		return false
	}
	listed := make(map[string]uint64)
	for _, change := range evacuations.GetChanges() {
		if order := change.GetEvacuation(); order != nil {
			listed[order.GetZone()] = change.GetRevision()
		}
	}
	active := 0
	for zone, e := range d.evacuations {
		if e.change.GetGone() {
			continue
		}
		active++
		if listed[zone] != e.change.GetRevision() {
			return true
		}
	}
	return active != len(listed)
}

// BalancerChanges returns a counter that increases whenever the set of balancers with an entry may
// have changed.
func (d *Directory) BalancerChanges() uint64 { return d.balancerChanges }

// RevisionOf returns the revision of an entry that exists, or 0.
func (d *Directory) RevisionOf(key Key) uint64 {
	e := d.entries[key]
	if e == nil || e.change.GetGone() {
		return 0
	}
	return e.change.GetRevision()
}

// Balancers returns the balancers that have an entry, sorted by name.
func (d *Directory) Balancers() []*apiv1.Balancer {
	var balancers []*apiv1.Balancer
	for key, e := range d.entries {
		if key.Kind == KindBalancer && !e.change.GetGone() {
			balancers = append(balancers, e.change.GetBalancer())
		}
	}
	sort.Slice(balancers, func(i, j int) bool { return balancers[i].GetName() < balancers[j].GetName() })
	return balancers
}

// Policy returns the policy with the given name, or nil.
func (d *Directory) Policy(name string) *apiv1.Policy {
	e := d.entries[Key{Kind: KindPolicy, Name: name}]
	if e == nil || e.change.GetGone() {
		return nil
	}
	return e.change.GetPolicy()
}
