package lab

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// store is the model of the platform's key-value service: one document and one
// configuration, each under compare-and-swap.
type store struct {
	world         *Simulation
	document      *apiv1.EpochDocument
	configuration *apiv1.Configuration
	// Down is set during an outage.
	down bool
	// writes and conflicts count compare-and-swaps.
	writes, conflicts int
	// groupLivenessCount counts the changes of the group's sign of life.
	groupLivenessCount uint64
	// extraDelay is added to every answer.
	extraDelay time.Duration
}

// write tries a compare-and-swap of the document. The answer may be lost after
// the write took effect; done is then called with false.
func (store *store) write(writer *node, document *apiv1.EpochDocument, done func(bool)) {
	world := store.world
	world.Clock.After(world.settings.Store.Delay+store.extraDelay, func() {
		if !writer.canReachStore() {
			world.Clock.After(time.Second, func() { done(false) })
			return
		}
		held := document.GetVersion() == store.document.GetVersion()+1
		if held {
			store.writes++
			store.document = proto.CloneOf(document)
			world.notifyWatchers()
		} else {
			store.conflicts++
		}
		if world.Clock.Random.Float64() < world.settings.Store.ResponseLoss {
			held = false
		}
		world.Clock.After(world.settings.Store.Delay, func() { done(held) })
	})
}

// notifyWatchers tells the watchers, the nodes of the lowest ranks; the others learn
// from them.
func (world *Simulation) notifyWatchers() {
	world.Clock.After(world.settings.Store.WatchDelay, func() {
		for _, node := range world.nodes {
			if !node.running() || !node.canReachStore() || node.core.WatchRank() >= maxStoreWatchers {
				continue
			}
			node.readStore()
		}
	})
}

const maxStoreWatchers = 3
