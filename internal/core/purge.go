package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// purgeState lists addresses that a service has stopped using. Their flows are
// removed, because the address may be reused for another service.
type purgeState struct {
	addresses   map[flow.Address]bool
	viewVersion uint64
}

// schedulePurge collects the addresses that a new document no longer names, or
// names for another service.
func (core *Core) schedulePurge(document *apiv1.EpochDocument, settled, pending *rule.Set) {
	if core.document == nil {
		return
	}
	removed := make(map[flow.Address]bool)
	for address, old := range core.settled.Rules() {
		if !sameService(old, settled.Rule(address)) && !sameService(old, pending.Rule(address)) {
			removed[address] = true
		}
	}
	if len(removed) == 0 {
		return
	}
	for address := range core.purge.addresses {
		removed[address] = true
	}
	core.purge = purgeState{addresses: removed, viewVersion: core.viewVersion + 1}
}

func sameService(old, next *rule.Rule) bool {
	return next != nil && next.Service == old.Service
}

// tickPurge removes the flows and records of the addresses once no traffic
// goroutine uses the old view.
func (core *Core) tickPurge() {
	if len(core.purge.addresses) == 0 || core.viewInForce < core.purge.viewVersion {
		return
	}
	for shard := range flowtable.ShardCount {
		core.flows.Visit(shard, func(key flow.Key, _ flowtable.Entry) bool {
			return !core.purge.addresses[key.Address()]
		})
	}
	for key := range core.records {
		if core.purge.addresses[key.Address()] {
			core.dropRecord(key)
		}
	}
	core.purge = purgeState{}
}
