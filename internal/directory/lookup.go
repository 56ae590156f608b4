package directory

import (
	"sort"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Routes returns the table of routes, or nil while none is known.
func (d *Directory) Routes() *apiv1.RouteTable {
	e := d.entries[Key{Kind: KindRoutes}]
	if e == nil {
		return nil
	}
	return e.change.GetRoutes()
}

// BackendEntry is a back end and whether its entry was removed.
type BackendEntry struct {
	*apiv1.PoolBackend
	Gone bool
	// RemovalSeenAt is when this directory learned of the removal, if it knew the
	// back end before. It is zero for a tombstone that was learned as such,
	// which may be of any age.
	RemovalSeenAt time.Time
	// LearnedAt is when this directory learned of what the entry holds, which is
	// no earlier than when it was written.
	LearnedAt time.Time
	// Restarted is set when another start of the back end was known before.
	Restarted bool
}

// Incarnation is the start of the back end that the entry is of.
func (b BackendEntry) Incarnation() incarnation.ID {
	return incarnation.ID{Number: b.GetNumber(), Start: incarnation.Start(b.GetStartedMilliseconds())}
}

// Evacuation is an operator's order that a zone gets no new flows, or that such
// an order was taken back.
type Evacuation struct {
	Zone string
	// Revision is the store's revision of the order, or of its end.
	Revision uint64
	// LearnedAt is when this directory learned of the order, and RevokedAt when it
	// learned that it was taken back; RevokedAt is zero while it holds.
	LearnedAt, RevokedAt time.Time
}

// Active tells whether the order is in force.
func (e Evacuation) Active() bool { return e.RevokedAt.IsZero() }

// Evacuations returns the orders to evacuate zones, by zone, those that were
// taken back lately too.
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

// Contradicts tells whether a read of the operators' orders alone, as of a revision,
// shows other orders than are known here, so that some change was missed. Nothing is
// taken from such a read: it says nothing of the rest of the store, and who knows
// entries beyond its revision would not learn from others that they are gone.
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

// BalancerChanges rises whenever the balancers that have an entry may have changed.
func (d *Directory) BalancerChanges() uint64 { return d.balancerChanges }

// RevisionOf returns the revision of an entry that exists, or 0.
func (d *Directory) RevisionOf(key Key) uint64 {
	e := d.entries[key]
	if e == nil || e.change.GetGone() {
		return 0
	}
	return e.change.GetRevision()
}

// Balancers returns the balancers that have an entry, by name.
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

// Policy returns the policy of a name, or nil.
func (d *Directory) Policy(name string) *apiv1.Policy {
	e := d.entries[Key{Kind: KindPolicy, Name: name}]
	if e == nil || e.change.GetGone() {
		return nil
	}
	return e.change.GetPolicy()
}
