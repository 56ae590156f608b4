package balancer

import (
	"context"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// startWrite writes what is due about balancers to the store.
func (c *control) startWrite(ctx context.Context, now time.Time) {
	c.core.SetLostPolicies(c.replica.LostPolicies())
	write, found := c.core.NextWrite(now)
	if !found {
		return
	}
	c.pendingWrite, c.pendingWriteEra = write, c.balancer.era.Load()
	if write.Policy != nil {
		c.balancer.logger.Info("Control: policy that the store has lost is written again.", "name", write.Policy.Policy.GetName(), "removed", write.Policy.Removed)
	}
	c.balancer.logger.Debug("Control: entries of balancers are written.", "put", len(write.Put), "remove", write.Remove,
		"first_of_zones", len(write.ZoneLeads))
	go c.writeToStore(ctx, write, c.revisionsOf(write.Remove))
}

// writeToStore makes the call to the store for one write.
func (c *control) writeToStore(ctx context.Context, write replication.Write, remove []BalancerRevision) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := c.balancer.dependencies.Store
	var err error
	switch {
	case len(write.Put) > 0:
		err = store.WriteBalancers(bounded, write.Put)
	case write.Policy != nil:
		err = store.RestorePolicy(bounded, *write.Policy)
	case len(write.ZoneLeads) > 0:
		err = store.WriteLeads(bounded, write.ZoneLeads)
	default:
		err = store.RemoveBalancers(bounded, remove)
	}
	c.balancer.storeCalls[storeMembers].count(err)
	c.publish(ctx, &apiv1.DirectoryNews{Write: true}, err)
}

// revisionsOf are the entries of balancers as the directory has them. One that it
// no longer has needs no removal.
func (c *control) revisionsOf(names []string) []BalancerRevision {
	entries := make(map[string]*apiv1.Balancer)
	for _, b := range c.replica.Balancers() {
		entries[b.GetName()] = b
	}
	var found []BalancerRevision
	for _, name := range names {
		revision := c.replica.RevisionOf(directory.Key{Kind: directory.KindBalancer, Name: name})
		if revision != 0 {
			found = append(found, BalancerRevision{Balancer: entries[name], Revision: revision})
		}
	}
	return found
}

// writeEnded takes the end of a write. One that was under way when the store came back from a
// copy may be lost, and counts as failed: it is made again if it is still due.
func (c *control) writeEnded(failure string, now time.Time) {
	failed := failure != "" || c.pendingWriteEra != c.balancer.era.Load()
	c.core.WriteEnded(c.pendingWrite, failed, now)
	c.pendingWrite = replication.Write{}
}

// ownEntry is how this balancer shows itself to the others.
func (b *Balancer) ownEntry() *apiv1.Balancer {
	settings := b.settings.Load()
	return &apiv1.Balancer{
		Name:           settings.GetName(),
		Zone:           settings.GetZone(),
		PeerAddress:    settings.GetPeerAddress(),
		ProcessorCores: settings.GetProcessorCores(),
		LinkMegabits:   settings.GetLinkMegabits(),
	}
}
