package balancer

import (
	"context"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// startWrite starts the write to the store about balancers that is due, if any.
func (c *control) startWrite(ctx context.Context, now time.Time) {
	c.core.SetLostPolicies(c.replica.LostPolicies())
	pendingWrite, found := c.core.NextWrite(now)
	if !found {
		return
	}
	c.pendingWrite, c.pendingWriteEra = pendingWrite, c.balancer.era.Load()
	if pendingWrite.Policy != nil {
		c.balancer.logger.Info("Control: policy that the store has lost is written again.", "name", pendingWrite.Policy.Policy.GetName(), "removed", pendingWrite.Policy.Removed)
	}
	c.balancer.logger.Debug("Control: entries of balancers are written.", "put", len(pendingWrite.Put), "remove", pendingWrite.Remove,
		"first_of_zones", len(pendingWrite.ZoneLeads))
	go c.writeToStore(ctx, pendingWrite, c.revisionsOf(pendingWrite.Remove))
}

// writeToStore makes the call to the store for one write.
func (c *control) writeToStore(ctx context.Context, write replication.Write, remove []BalancerRevision) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := c.balancer.dependencies.Store
	var err error
	switch {
	case len(write.Put) > 0:
		err = store.WriteBalancers(callCtx, write.Put)
	case write.Policy != nil:
		err = store.RestorePolicy(callCtx, *write.Policy)
	case len(write.ZoneLeads) > 0:
		err = store.WriteLeads(callCtx, write.ZoneLeads)
	default:
		err = store.RemoveBalancers(callCtx, remove)
	}
	c.balancer.storeCalls[storeMembers].count(err)
	c.publish(ctx, &apiv1.DirectoryNews{Write: true}, err)
}

// revisionsOf returns the named balancers' entries with their revisions in the directory.
// An entry that the directory no longer holds needs no removal and is left out.
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

// writeEnded handles the end of a write. A write that was under way when the store was
// restored from a backup may be lost, so it counts as failed and is repeated if it is
// still due.
func (c *control) writeEnded(failure string, now time.Time) {
	failed := failure != "" || c.pendingWriteEra != c.balancer.era.Load()
	c.core.WriteEnded(c.pendingWrite, failed, now)
	c.pendingWrite = replication.Write{}
}

// ownEntry returns this balancer's entry as other balancers see it.
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
