package directory

import (
	"sort"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Routes returns the table of routes, or nil while none is known.
func (d *Directory) Routes() *apiv1.RouteTable {
	known := d.entries[Key{Kind: KindRoutes}]
	if known == nil {
		return nil
	}
	return known.change.GetRoutes()
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
	var found []Evacuation
	for zone, known := range d.evacuations {
		order := Evacuation{Zone: zone, Revision: known.effective().GetRevision(), LearnedAt: known.learnedAt}
		if known.effective().GetGone() {
			order.RevokedAt = known.removedAt
		}
		found = append(found, order)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Zone < found[j].Zone })
	return found
}

// Contradicts tells whether a read of the operators' orders alone, as of a revision,
// shows other orders than are known here, so that some change was missed. Nothing is
// taken from such a read: it says nothing of the rest of the store, and who knows
// entries beyond its revision would not learn from others that they are gone.
func (d *Directory) Contradicts(orders *apiv1.DirectoryBatch) bool {
	if orders.GetOrdersRevision() <= d.revision {
		return false
	}
	named := make(map[string]uint64)
	for _, change := range orders.GetChanges() {
		if order := change.GetEvacuation(); order != nil {
			named[order.GetZone()] = change.GetRevision()
		}
	}
	holding := 0
	for zone, known := range d.evacuations {
		if known.change.GetGone() {
			continue
		}
		holding++
		if named[zone] != known.change.GetRevision() {
			return true
		}
	}
	return holding != len(named)
}

// BalancerChanges rises whenever the balancers that have an entry may have changed.
func (d *Directory) BalancerChanges() uint64 { return d.balancerChanges }

// RevisionOf returns the revision of an entry that exists, or 0.
func (d *Directory) RevisionOf(key Key) uint64 {
	known := d.entries[key]
	if known == nil || known.change.GetGone() {
		return 0
	}
	return known.change.GetRevision()
}

// Balancers returns the balancers that have an entry, by name.
func (d *Directory) Balancers() []*apiv1.Balancer {
	var found []*apiv1.Balancer
	for key, known := range d.entries {
		if key.Kind == KindBalancer && !known.change.GetGone() {
			found = append(found, known.change.GetBalancer())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].GetName() < found[j].GetName() })
	return found
}

// Policy returns the policy of a name, or nil.
func (d *Directory) Policy(name string) *apiv1.Policy {
	known := d.entries[Key{Kind: KindPolicy, Name: name}]
	if known == nil || known.change.GetGone() {
		return nil
	}
	return known.change.GetPolicy()
}
