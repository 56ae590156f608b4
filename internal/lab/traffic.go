package lab

import (
	"encoding/binary"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// connection is one TCP connection of the model, as its caller sees it.
type connection struct {
	key     flow.Key
	hash    uint64
	service *service
	// acceptedBy is the back end that accepted the flow.
	acceptedBy *backend
	// established is set when the caller has seen the answer to its SYN.
	established bool
	ended       bool
	endsAt      time.Duration
	zone        string
	// countsDouble is set for flows that carry a Return Notice or a purchase.
	countsDouble bool
	// history is kept when the settings ask for traces.
	history []string
}

// packet is one packet on its way.
type packet struct {
	conn     *connection
	flags    router.PacketFlags
	attempts int
	// delivered is shared by the copies of a packet.
	delivered *bool
}

type service struct {
	settings ServiceSettings
	address  flow.Address
	backends []*backend
	index    int
	// deleted services get no further flows.
	deleted bool
}

type backend struct {
	id      uint32
	name    string
	zone    string
	service *service
	// openFlows counts the flows held.
	openFlows int
	// leavingAt is when the back end began to leave; 0 is not.
	leavingAt time.Duration
	// lastAcceptedAt is when it last accepted a new flow.
	lastAcceptedAt time.Duration
	acceptedFlows  int
	// startedAt is when the back end was added.
	startedAt time.Duration
}

const (
	maxSYNAttempts     = 6
	maxDataAttempts    = 8
	initialSYNTimeout  = time.Second
	initialDataTimeout = 300 * time.Millisecond
	countsDoubleOneIn  = 10
	clientsPerZone     = 250
)

// openFlow starts a new flow of a service.
func (world *Simulation) openFlow(service *service) {
	if service.deleted {
		return
	}
	world.flowCount++
	zone := world.settings.Zones[world.Clock.Random.IntN(len(world.settings.Zones))]
	opened := &connection{
		service:      service,
		zone:         zone,
		endsAt:       world.Clock.Now() + world.Clock.Exponential(service.settings.MeanFlowDuration),
		countsDouble: world.Clock.Random.IntN(countsDoubleOneIn) == 0,
	}
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 0x0a400000+uint32(world.flowCount>>14))
	opened.key = flow.Key{
		Source:          source,
		Destination:     service.address.IP,
		SourcePort:      uint16(world.flowCount&0x3fff) + 30000,
		DestinationPort: service.address.Port,
		Protocol:        flow.ProtocolTCP,
	}
	opened.hash = opened.key.Hash()
	world.Result.Flows++
	world.sendSYN(opened, 0)
}

func (world *Simulation) sendSYN(opened *connection, tries int) {
	if opened.established || opened.ended || opened.service.deleted {
		return
	}
	if tries >= maxSYNAttempts {
		opened.ended = true
		world.Result.NeverEstablished++
		return
	}
	world.spray(packet{conn: opened, flags: router.PacketOpens, delivered: new(bool)})
	world.Clock.After(initialSYNTimeout<<tries, func() { world.sendSYN(opened, tries+1) })
}

// sendData sends a packet of an open flow until it arrives.
func (world *Simulation) sendData(sent packet) {
	if sent.conn.ended || *sent.delivered {
		return
	}
	if sent.attempts >= maxDataAttempts {
		world.breakFlow(sent.conn, "stalled")
		return
	}
	world.spray(sent)
	sent.attempts++
	world.Clock.After(initialDataTimeout<<(sent.attempts-1), func() { world.sendData(sent) })
}

// spray hands a packet to any node on the fabric's list that the caller's zone
// reaches.
func (world *Simulation) spray(sent packet) {
	candidates := world.fabric[:0:0]
	for _, node := range world.fabric {
		if !world.partitioned(sent.conn.zone, node.zone) {
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return
	}
	chosen := candidates[world.Clock.Random.IntN(len(candidates))]
	world.Clock.After(world.settings.Network.ClientDelay, func() { chosen.route(sent) })
}

// receiveAtBackend is a packet at a back end: the place where the promises are checked.
func (world *Simulation) receiveAtBackend(target *backend, arrived packet) {
	held := arrived.conn
	if target.service != held.service {
		world.Result.WrongService++
	}
	if arrived.flags&router.PacketOpens != 0 {
		world.receiveSYN(target, held)
		return
	}
	if held.ended {
		return
	}
	if held.acceptedBy != target {
		world.breakFlow(held, "misrouted")
		return
	}
	*arrived.delivered = true
	if arrived.flags&router.PacketCloses != 0 {
		world.closeFlow(held)
	}
}

func (world *Simulation) receiveSYN(target *backend, held *connection) {
	switch {
	case held.ended:
	case held.acceptedBy == target:
		world.sendSYNACK(held)
	case held.acceptedBy != nil:
		world.Result.SecondBackend++
		world.traceFlow(held, "SYN at second back end %d, held by %d", target.id, held.acceptedBy.id)
		world.Result.Traces = append(world.Result.Traces, held.history)
	default:
		held.acceptedBy = target
		target.openFlows++
		target.acceptedFlows++
		target.lastAcceptedAt = world.Clock.Now()
		if target.leavingAt != 0 {
			world.Result.LeavingDelays = append(world.Result.LeavingDelays, world.Clock.Now()-target.leavingAt)
		}
		world.openFlows[held] = struct{}{}
		world.sendSYNACK(held)
	}
}

// sendSYNACK lets the caller know that its flow is open, unless the answer is
// lost.
func (world *Simulation) sendSYNACK(held *connection) {
	if world.Clock.Random.Float64() < world.settings.Network.SYNACKLoss {
		return
	}
	world.Clock.After(world.settings.Network.ClientDelay, func() {
		if held.established {
			return
		}
		held.established = true
		world.Result.Established++
		world.schedulePacket(held)
	})
}

// schedulePacket plans the next packet of a flow: data, or its end.
func (world *Simulation) schedulePacket(held *connection) {
	wait := world.Clock.Exponential(held.service.settings.MeanPacketInterval)
	world.Clock.After(wait, func() {
		if held.ended {
			return
		}
		next := packet{conn: held, delivered: new(bool)}
		if world.Clock.Now() >= held.endsAt {
			next.flags = router.PacketCloses
			world.sendData(next)
			return
		}
		world.sendData(next)
		world.schedulePacket(held)
	})
}

func (world *Simulation) closeFlow(held *connection) {
	if held.ended {
		return
	}
	held.ended = true
	held.acceptedBy.openFlows--
	delete(world.openFlows, held)
	world.Result.Completed++
}

func (world *Simulation) breakFlow(held *connection, cause string) {
	if held.ended {
		return
	}
	held.ended = true
	if held.acceptedBy != nil {
		held.acceptedBy.openFlows--
	}
	delete(world.openFlows, held)
	world.Result.Broken[cause]++
	world.Result.Traces = append(world.Result.Traces, held.history)
	world.Result.BrokenWeighted++
	if held.countsDouble {
		world.Result.BrokenWeighted++
	}
}

// refuseFlow is a RST to a SYN that was forwarded to nobody.
func (world *Simulation) refuseFlow(arrived packet) {
	held := arrived.conn
	if held.acceptedBy != nil {
		world.Result.RefusedAfterAccept++
	}
	if !held.ended && !held.established {
		held.ended = true
		world.Result.Refused++
	}
}
