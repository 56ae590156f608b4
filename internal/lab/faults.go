package lab

import (
	"fmt"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
)

// Nodes returns the IDs of the nodes that run, in the order of their start.
func (world *Simulation) Nodes() []string {
	var ids []string
	for _, node := range world.nodes {
		if !node.dead {
			ids = append(ids, node.id)
		}
	}
	return ids
}

// KillNode ends a node without notice. The fabric notices after its delay.
func (world *Simulation) KillNode(id string) {
	node := world.nodesByID[id]
	node.dead = true
	world.Clock.After(world.settings.FabricConvergenceTime, func() { world.removeFromFabric(node) })
}

func (world *Simulation) removeFromFabric(gone *node) {
	kept := world.fabric[:0:0]
	for _, node := range world.fabric {
		if node != gone {
			kept = append(kept, node)
		}
	}
	world.fabric = kept
}

// StartNode adds a node in a zone; the fabric uses it after its delay.
func (world *Simulation) StartNode(zone string) string {
	added := world.addNode(zone)
	world.Clock.After(world.settings.FabricConvergenceTime, func() {
		if !added.dead {
			world.fabric = append(world.fabric, added)
		}
	})
	return added.id
}

// StopNodeGracefully stops a node as planned: it announces, hands over, and ends when
// no epoch names it any more, or after the limit.
func (world *Simulation) StopNodeGracefully(id string, limit time.Duration) {
	node := world.nodesByID[id]
	node.core.Leave(node.now())
	node.applyCoreOutput()
	world.removeFromFabric(node)
	deadline := world.Clock.Now() + limit
	var wait func()
	wait = func() {
		if node.dead || node.core.CanStop() || world.Clock.Now() >= deadline {
			node.dead = true
			return
		}
		world.Clock.After(100*time.Millisecond, wait)
	}
	world.Clock.After(time.Second, wait)
}

// PauseNode stops a node's processor, as SIGSTOP does.
func (world *Simulation) PauseNode(id string) { world.nodesByID[id].paused = true }

// ResumeNode lets a paused node go on.
func (world *Simulation) ResumeNode(id string) { world.nodesByID[id].resume() }

// SetStoreOutage starts or ends an outage of the store.
func (world *Simulation) SetStoreOutage(down bool) {
	world.store.down = down
	if !down {
		world.notifyWatchers()
	}
}

// SetZonePartitioned cuts a zone off from the others, or heals the cut.
func (world *Simulation) SetZonePartitioned(zone string, off bool) {
	world.partitionedZones[zone] = off
}

// Drain makes a back end leave, through the store.
func (world *Simulation) Drain(serviceIndex, place int) {
	target := world.services[serviceIndex].backends[place]
	target.leavingAt = world.Clock.Now()
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[place].Leaving = true
	})
}

// DrainByMark makes a back end leave through one node, without the store.
func (world *Simulation) DrainByMark(serviceIndex, place int, id string) {
	target := world.services[serviceIndex].backends[place]
	target.leavingAt = world.Clock.Now()
	node := world.nodesByID[id]
	node.core.MarkLeaving(node.now(), target.id, "drained by an operator")
	node.applyCoreOutput()
}

// Undrain ends a drain.
func (world *Simulation) Undrain(serviceIndex, place int) {
	target := world.services[serviceIndex].backends[place]
	target.leavingAt = 0
	incarnation := uint64(0)
	for _, node := range world.nodes {
		for _, mark := range node.core.LeavingMarks() {
			if mark.GetBackend() == target.id {
				incarnation = max(incarnation, mark.GetIncarnation())
			}
		}
	}
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		changed := configuration.Services[serviceIndex].Backends[place]
		changed.Leaving = false
		changed.ClearedMark = max(changed.GetClearedMark()+1, incarnation)
	})
}

// SetWeight sets a back end's weight, 1 to 1000.
func (world *Simulation) SetWeight(serviceIndex, place int, weight uint32) {
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[place].Slots = weight
	})
}

// AddBackend adds a back end with a weight to a service.
func (world *Simulation) AddBackend(serviceIndex int, weight uint32) {
	service := world.services[serviceIndex]
	number := world.store.configuration.GetNextBackendId()
	zone := world.settings.Zones[len(service.backends)%len(world.settings.Zones)]
	added := &backend{
		id:        number,
		name:      fmt.Sprintf("%s-%d", service.settings.Name, len(service.backends)),
		zone:      zone,
		service:   service,
		startedAt: world.Clock.Now(),
	}
	service.backends = append(service.backends, added)
	world.backends[number] = added
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.NextBackendId++
		described := configuration.Services[serviceIndex]
		described.Backends = append(described.Backends,
			&apiv1.Backend{Id: number, Name: added.name, Zone: zone, Slots: weight})
	})
}

// MoveAddress deletes the last service and gives its address to a new one with
// the back ends of the first service, when the release has settled. Flows of
// the deleted service end with it.
func (world *Simulation) MoveAddress() {
	last := len(world.services) - 1
	leaver := world.services[last]
	for held := range world.openFlows {
		if held.service == leaver {
			world.closeFlow(held)
		}
	}
	leaver.deleted = true
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services = configuration.Services[:last]
	})
	released := world.store.configuration.GetRevision()
	var wait func()
	wait = func() {
		if world.SettledRevision() < released {
			world.Clock.After(100*time.Millisecond, wait)
			return
		}
		world.reuseAddress(leaver)
	}
	wait()
}

func (world *Simulation) reuseAddress(leaver *service) {
	taker := &service{settings: leaver.settings, address: leaver.address, index: len(world.services)}
	taker.settings.Name = "successor"
	described := &apiv1.Service{Name: "successor", Port: 80, Address: fmt.Sprintf("10.200.%d.%d", leaver.index>>8, byte(leaver.index+1))}
	number := world.store.configuration.GetNextBackendId()
	for place := range 2 {
		added := &backend{id: number + uint32(place), name: fmt.Sprintf("successor-%d", place),
			zone: world.settings.Zones[place], service: taker, startedAt: world.Clock.Now()}
		taker.backends = append(taker.backends, added)
		world.backends[added.id] = added
		described.Backends = append(described.Backends, &apiv1.Backend{Id: added.id, Name: added.name, Zone: added.zone})
	}
	world.services = append(world.services, taker)
	world.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.NextBackendId += 2
		configuration.Services = append(configuration.Services, described)
	})
	world.startTraffic(taker)
}

// OpenFlows returns the number of open flows.
func (world *Simulation) OpenFlows() int { return len(world.openFlows) }

// FillFlowTables puts so many flows of the first service into every node's table, as if
// all nodes had seen packets of all of them.
func (world *Simulation) FillFlowTables(count int) {
	address := world.services[0].address
	for number := range count {
		key := flow.Key{Source: [4]byte{11, byte(number >> 16), byte(number >> 8), byte(number)}, SourcePort: 2000,
			Destination: address.IP, DestinationPort: address.Port, Protocol: address.Protocol}
		hash := key.Hash()
		for _, node := range world.nodes {
			entry := flowtable.Entry{Backend: node.router.View().Settled.Rule(address).Pick(hash), LastSeen: node.now()}
			entry.Flags = flowtable.FlagEstablished
			node.router.Table().Put(key, hash, entry)
		}
	}
}

// ControlBytesSent is the control traffic of all nodes since the start of the run.
func (world *Simulation) ControlBytesSent() uint64 {
	total := uint64(0)
	for _, node := range world.nodes {
		for _, bytes := range node.bytesByKind {
			total += bytes
		}
	}
	return total
}

// SettledRevision is the configuration of the settled epoch in the store.
func (world *Simulation) SettledRevision() uint64 {
	return world.store.document.GetSettled().GetConfigurationRevision()
}

// StoreWrites is the number of writes of the document.
func (world *Simulation) StoreWrites() int { return world.store.writes }

// ZoneOf is the zone of a node.
func (world *Simulation) ZoneOf(id string) string { return world.nodesByID[id].zone }
