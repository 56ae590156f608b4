package lab

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// store models the platform's key-value service: it holds one document and one
// configuration, each under compare-and-swap.
type store struct {
	sim           *Simulation
	document      *apiv1.EpochDocument
	configuration *apiv1.Configuration
	// down is set during an outage.
	down bool
	// refused holds the nodes that the store refuses while it serves the others.
	refused map[string]bool
	// writes and conflicts count the compare-and-swaps of the document that
	// succeeded and those that failed.
	writes, conflicts int
	// groupLiveness counts the refreshes of the group liveness key.
	groupLiveness uint64
	// extraDelay is added to the delay of every write.
	extraDelay time.Duration
}

// write attempts a compare-and-swap of the document. The response may be lost
// after the write took effect; done is then called with false. If the writer
// cannot reach the store, done is called with false one second later.
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

// notifyWatchers notifies the watchers of the store, which are the nodes with the
// lowest ranks, of a change; the other nodes receive it from them.
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
