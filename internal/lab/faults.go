package lab

import (
	"fmt"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
)

// Nodes returns the IDs of the nodes that have not been killed or stopped, in the
// order of their start. Paused nodes are included.
func (sim *Simulation) Nodes() []string {
	var ids []string
	for _, node := range sim.nodes {
		if !node.dead {
			ids = append(ids, node.id)
		}
	}
	return ids
}

// KillNode ends a node without notice. The fabric stops sending packets to it
// after its convergence time.
func (sim *Simulation) KillNode(id string) {
	node := sim.nodesByID[id]
	node.dead = true
	sim.Clock.After(sim.settings.FabricConvergenceTime, func() { sim.removeFromFabric(node) })
}

func (sim *Simulation) removeFromFabric(removed *node) {
	remaining := sim.fabric[:0:0]
	for _, node := range sim.fabric {
		if node != removed {
			remaining = append(remaining, node)
		}
	}
	sim.fabric = remaining
}

// StartNode adds a node in a zone and returns its ID. The fabric sends packets to
// it after its convergence time.
func (sim *Simulation) StartNode(zone string) string {
	added := sim.addNode(zone)
	sim.Clock.After(sim.settings.FabricConvergenceTime, func() {
		if !added.dead {
			sim.fabric = append(sim.fabric, added)
		}
	})
	return added.id
}

// StopNodeGracefully stops a node as planned: the node announces that it leaves,
// hands over its state, and ends when no epoch lists it any more, or when the
// limit has passed.
func (sim *Simulation) StopNodeGracefully(id string, limit time.Duration) {
	node := sim.nodesByID[id]
	node.core.Leave(node.now())
	node.applyCoreOutput()
	sim.removeFromFabric(node)
	deadline := sim.Clock.Now() + limit
	var waitForStop func()
	waitForStop = func() {
		if node.dead || node.core.CanStop() || sim.Clock.Now() >= deadline {
			node.dead = true
			return
		}
		sim.Clock.After(100*time.Millisecond, waitForStop)
	}
	sim.Clock.After(time.Second, waitForStop)
}

// PauseNode suspends a node, as SIGSTOP suspends a process.
func (sim *Simulation) PauseNode(id string) { sim.nodesByID[id].paused = true }

// ResumeNode resumes a paused node.
func (sim *Simulation) ResumeNode(id string) { sim.nodesByID[id].resume() }

// SetStoreOutage starts or ends an outage of the store.
func (sim *Simulation) SetStoreOutage(down bool) {
	sim.store.down = down
	if !down {
		sim.notifyWatchers()
	}
}

// RefuseStoreWatchers makes the store refuse the nodes that watch it now, and serve the
// others.
func (sim *Simulation) RefuseStoreWatchers() {
	sim.store.refused = make(map[string]bool)
	for _, node := range sim.nodes {
		if node.running() && node.core.WatchRank() < maxStoreWatchers {
			sim.store.refused[node.id] = true
		}
	}
}

// SetZonePartitioned partitions the network between a zone and all others, or
// ends the partition.
func (sim *Simulation) SetZonePartitioned(zone string, partitioned bool) {
	sim.partitionedZones[zone] = partitioned
}

// Drain marks a back end as leaving in the configuration, which the nodes read
// from the store.
func (sim *Simulation) Drain(serviceIndex, backendIndex int) {
	target := sim.services[serviceIndex].backends[backendIndex]
	target.leavingAt = sim.Clock.Now()
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[backendIndex].Leaving = true
	})
}

// DrainByMark drains a back end with a leaving mark that one node creates and
// passes on to the others, without the store.
func (sim *Simulation) DrainByMark(serviceIndex, backendIndex int, id string) {
	target := sim.services[serviceIndex].backends[backendIndex]
	target.leavingAt = sim.Clock.Now()
	node := sim.nodesByID[id]
	node.core.MarkLeaving(node.now(), target.id, "drained by an operator")
	node.applyCoreOutput()
}

// Undrain ends the drain of a back end. It also clears leaving marks up to the
// highest incarnation that any node has.
func (sim *Simulation) Undrain(serviceIndex, backendIndex int) {
	target := sim.services[serviceIndex].backends[backendIndex]
	target.leavingAt = 0
	incarnation := uint64(0)
	for _, node := range sim.nodes {
		for _, mark := range node.core.LeavingMarks() {
			if mark.GetBackend() == target.id {
				incarnation = max(incarnation, mark.GetIncarnation())
			}
		}
	}
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		changed := configuration.Services[serviceIndex].Backends[backendIndex]
		changed.Leaving = false
		changed.ClearedMark = max(changed.GetClearedMark()+1, incarnation)
	})
}

// SetWeight sets a back end's weight in the configuration, from 1 to 1000.
func (sim *Simulation) SetWeight(serviceIndex, backendIndex int, weight uint32) {
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services[serviceIndex].Backends[backendIndex].Slots = weight
	})
}

// AddBackend adds a back end with the given weight to a service.
func (sim *Simulation) AddBackend(serviceIndex int, weight uint32) {
	service := sim.services[serviceIndex]
	backendID := sim.store.configuration.GetNextBackendId()
	zone := sim.settings.Zones[len(service.backends)%len(sim.settings.Zones)]
	added := &backend{
		id:        backendID,
		name:      fmt.Sprintf("%s-%d", service.settings.Name, len(service.backends)),
		zone:      zone,
		service:   service,
		startedAt: sim.Clock.Now(),
	}
	service.backends = append(service.backends, added)
	sim.backends[backendID] = added
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.NextBackendId++
		definition := configuration.Services[serviceIndex]
		definition.Backends = append(definition.Backends,
			&apiv1.Backend{Id: backendID, Name: added.name, Zone: zone, Slots: weight})
	})
}

// MoveAddress deletes the last service and closes its flows. When the epoch
// without that service has settled, it assigns the service's address to a new
// service with two new back ends.
func (sim *Simulation) MoveAddress() {
	last := len(sim.services) - 1
	oldService := sim.services[last]
	for conn := range sim.openFlows {
		if conn.service == oldService {
			sim.closeFlow(conn)
		}
	}
	oldService.deleted = true
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.Services = configuration.Services[:last]
	})
	releaseRevision := sim.store.configuration.GetRevision()
	var waitForRelease func()
	waitForRelease = func() {
		if sim.SettledRevision() < releaseRevision {
			sim.Clock.After(100*time.Millisecond, waitForRelease)
			return
		}
		sim.reuseAddress(oldService)
	}
	waitForRelease()
}

func (sim *Simulation) reuseAddress(oldService *service) {
	newService := &service{settings: oldService.settings, address: oldService.address, index: len(sim.services)}
	newService.settings.Name = "successor"
	definition := &apiv1.Service{Name: "successor", Port: 80, Address: fmt.Sprintf("10.200.%d.%d", oldService.index>>8, byte(oldService.index+1))}
	firstID := sim.store.configuration.GetNextBackendId()
	for backendIndex := range 2 {
		added := &backend{id: firstID + uint32(backendIndex), name: fmt.Sprintf("successor-%d", backendIndex),
			zone: sim.settings.Zones[backendIndex], service: newService, startedAt: sim.Clock.Now()}
		newService.backends = append(newService.backends, added)
		sim.backends[added.id] = added
		definition.Backends = append(definition.Backends, &apiv1.Backend{Id: added.id, Name: added.name, Zone: added.zone})
	}
	sim.services = append(sim.services, newService)
	sim.changeConfiguration(func(configuration *apiv1.Configuration) {
		configuration.NextBackendId += 2
		configuration.Services = append(configuration.Services, definition)
	})
	sim.startTraffic(newService)
}

// OpenFlows returns the number of open flows.
func (sim *Simulation) OpenFlows() int { return len(sim.openFlows) }

// FillFlowTables adds count flows of the first service to the flow table of every
// node, as if every node had seen packets of all of them.
func (sim *Simulation) FillFlowTables(count int) {
	address := sim.services[0].address
	for index := range count {
		key := flow.Key{Source: [4]byte{11, byte(index >> 16), byte(index >> 8), byte(index)}, SourcePort: 2000,
			Destination: address.IP, DestinationPort: address.Port, Protocol: address.Protocol}
		hash := key.Hash()
		for _, node := range sim.nodes {
			entry := flowtable.Entry{Backend: node.router.View().Settled.Rule(address).Pick(hash), LastSeen: node.now()}
			entry.Flags = flowtable.FlagEstablished
			node.router.Table().Put(key, hash, entry)
		}
	}
}

// ControlBytesSent returns the bytes of control traffic that all nodes have sent
// since the start of the run.
func (sim *Simulation) ControlBytesSent() uint64 {
	total := uint64(0)
	for _, node := range sim.nodes {
		for _, bytes := range node.bytesByKind {
			total += bytes
		}
	}
	return total
}

// SettledRevision returns the configuration revision of the settled epoch in the
// store.
func (sim *Simulation) SettledRevision() uint64 {
	return sim.store.document.GetSettled().GetConfigurationRevision()
}

// StoreWrites returns the number of successful writes of the document.
func (sim *Simulation) StoreWrites() int { return sim.store.writes }

// ZoneOf returns the zone of a node.
func (sim *Simulation) ZoneOf(id string) string { return sim.nodesByID[id].zone }
