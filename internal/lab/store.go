package lab

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// store is the model of the platform's key-value service: one document and one
// configuration, each under compare-and-swap.
type store struct {
	sim           *Simulation
	document      *apiv1.EpochDocument
	configuration *apiv1.Configuration
	// Down is set during an outage.
	down bool
	// writes and conflicts count compare-and-swaps.
	writes, conflicts int
	// groupLiveness counts the changes of the group's sign of life.
	groupLiveness uint64
	// extraDelay is added to every answer.
	extraDelay time.Duration
}

// write tries a compare-and-swap of the document. The answer may be lost after
// the write took effect; done is then called with false.
func (store *store) write(writer *node, document *apiv1.EpochDocument, done func(bool)) {
	sim := store.sim
	sim.Clock.After(sim.settings.Store.Delay+store.extraDelay, func() {
		if !writer.canReachStore() {
			sim.Clock.After(time.Second, func() { done(false) })
			return
		}
		applied := document.GetVersion() == store.document.GetVersion()+1
		if applied {
			store.writes++
			store.document = proto.CloneOf(document)
			sim.notifyWatchers()
		} else {
			store.conflicts++
		}
		if sim.Clock.Random.Float64() < sim.settings.Store.ResponseLoss {
			applied = false
		}
		sim.Clock.After(sim.settings.Store.Delay, func() { done(applied) })
	})
}

// notifyWatchers tells the watchers, the nodes of the lowest ranks; the others learn
// from them.
func (sim *Simulation) notifyWatchers() {
	sim.Clock.After(sim.settings.Store.WatchDelay, func() {
		for _, node := range sim.nodes {
			if !node.running() || !node.canReachStore() || node.core.WatchRank() >= maxStoreWatchers {
				continue
			}
			node.readStore()
		}
	})
}

const maxStoreWatchers = 3
