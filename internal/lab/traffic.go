package lab

import (
	"encoding/binary"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// connection is one simulated TCP connection, that is, one flow, as its client
// sees it.
type connection struct {
	key     flow.Key
	hash    uint64
	service *service
	// acceptedBy is the back end that accepted the flow.
	acceptedBy *backend
	// established is set when the client has received the SYN-ACK.
	established bool
	ended       bool
	endsAt      time.Duration
	zone        string
	// countsDouble is set for flows that carry a Return Notice or a purchase; they
	// count double in Result.BrokenWeighted.
	countsDouble bool
	// history is recorded when the settings ask for traces.
	history []string
}

// packet is one packet in transit from a client to a back end.
type packet struct {
	flow     *connection
	flags    router.PacketFlags
	attempts int
	// delivered is shared by all transmissions of the packet.
	delivered *bool
}

type service struct {
	settings ServiceSettings
	address  flow.Address
	backends []*backend
	index    int
	// deleted is set when the service has been deleted. It gets no further flows.
	deleted bool
}

type backend struct {
	id      uint32
	name    string
	zone    string
	service *service
	// openFlows is the number of open flows of the back end.
	openFlows int
	// leavingAt is when the back end began to leave; it is 0 if it is not leaving.
	leavingAt time.Duration
	// lastAcceptedAt is when the back end last accepted a new flow.
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
	countsDoubleOneIn  = 10 // one flow in ten counts double when it breaks
	clientsPerZone     = 250
)

// openFlow starts a new flow of a service.
func (sim *Simulation) openFlow(service *service) {
	if service.deleted {
		return
	}
	sim.flowCount++
	zone := sim.settings.Zones[sim.Clock.Random.IntN(len(sim.settings.Zones))]
	conn := &connection{
		service:      service,
		zone:         zone,
		endsAt:       sim.Clock.Now() + sim.Clock.Exponential(service.settings.MeanFlowDuration),
		countsDouble: sim.Clock.Random.IntN(countsDoubleOneIn) == 0,
	}
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 0x0a400000+uint32(sim.flowCount>>14))
	conn.key = flow.Key{
		Source:          source,
		Destination:     service.address.IP,
		SourcePort:      uint16(sim.flowCount&0x3fff) + 30000,
		DestinationPort: service.address.Port,
		Protocol:        flow.ProtocolTCP,
	}
	conn.hash = conn.key.Hash()
	sim.Result.Flows++
	sim.sendSYN(conn, 0)
}

func (sim *Simulation) sendSYN(conn *connection, attempts int) {
	if conn.established || conn.ended || conn.service.deleted {
		return
	}
	if attempts >= maxSYNAttempts {
		conn.ended = true
		sim.Result.Unopened++
		return
	}
	sim.spray(packet{flow: conn, flags: router.PacketOpens, delivered: new(bool)})
	sim.Clock.After(initialSYNTimeout<<attempts, func() { sim.sendSYN(conn, attempts+1) })
}

// sendData sends a packet of an open flow and retransmits it with exponential
// backoff until it arrives. After maxDataAttempts the flow counts as broken.
func (sim *Simulation) sendData(pkt packet) {
	if pkt.flow.ended || *pkt.delivered {
		return
	}
	if pkt.attempts >= maxDataAttempts {
		sim.breakFlow(pkt.flow, "stalled")
		return
	}
	sim.spray(pkt)
	pkt.attempts++
	sim.Clock.After(initialDataTimeout<<(pkt.attempts-1), func() { sim.sendData(pkt) })
}

// spray sends a packet to a random node of the fabric that can be reached from the
// client's zone.
func (sim *Simulation) spray(pkt packet) {
	candidates := sim.fabric[:0:0]
	for _, node := range sim.fabric {
		if !sim.partitioned(pkt.flow.zone, node.zone) {
			candidates = append(candidates, node)
		}
	}
	if len(candidates) == 0 {
		return
	}
	chosen := candidates[sim.Clock.Random.IntN(len(candidates))]
	sim.Clock.After(sim.settings.Network.ClientDelay, func() { chosen.route(pkt) })
}

// receiveAtBackend handles a packet that arrives at a back end and detects packets
// at the wrong back end or service.
func (sim *Simulation) receiveAtBackend(target *backend, pkt packet) {
	conn := pkt.flow
	if target.service != conn.service {
		sim.Result.WrongService++
	}
	if pkt.flags&router.PacketOpens != 0 {
		sim.receiveSYN(target, conn)
		return
	}
	if conn.ended {
		return
	}
	if conn.acceptedBy != target {
		sim.breakFlow(conn, "misrouted")
		return
	}
	*pkt.delivered = true
	if pkt.flags&router.PacketCloses != 0 {
		sim.closeFlow(conn)
	}
}

func (sim *Simulation) receiveSYN(target *backend, conn *connection) {
	switch {
	case conn.ended:
	case conn.acceptedBy == target:
		sim.sendSYNACK(conn)
	case conn.acceptedBy != nil:
		sim.Result.SecondBackend++
		sim.traceFlow(conn, "SYN at second back end %d, accepted by %d", target.id, conn.acceptedBy.id)
		sim.Result.Traces = append(sim.Result.Traces, conn.history)
	default:
		conn.acceptedBy = target
		target.openFlows++
		target.acceptedFlows++
		target.lastAcceptedAt = sim.Clock.Now()
		if target.leavingAt != 0 {
			sim.Result.LeavingDelays = append(sim.Result.LeavingDelays, sim.Clock.Now()-target.leavingAt)
		}
		sim.openFlows[conn] = struct{}{}
		sim.sendSYNACK(conn)
	}
}

// sendSYNACK sends the SYN-ACK to the client, unless it is lost. The client then
// starts to send data.
func (sim *Simulation) sendSYNACK(conn *connection) {
	if sim.Clock.Random.Float64() < sim.settings.Network.SYNACKLoss {
		return
	}
	sim.Clock.After(sim.settings.Network.ClientDelay, func() {
		if conn.established {
			return
		}
		conn.established = true
		sim.Result.Established++
		sim.schedulePacket(conn)
	})
}

// schedulePacket schedules the next packet of a flow, which carries data or closes
// the flow.
func (sim *Simulation) schedulePacket(conn *connection) {
	interval := sim.Clock.Exponential(conn.service.settings.MeanPacketInterval)
	sim.Clock.After(interval, func() {
		if conn.ended {
			return
		}
		next := packet{flow: conn, delivered: new(bool)}
		if sim.Clock.Now() >= conn.endsAt {
			next.flags = router.PacketCloses
			sim.sendData(next)
			return
		}
		sim.sendData(next)
		sim.schedulePacket(conn)
	})
}

func (sim *Simulation) closeFlow(conn *connection) {
	if conn.ended {
		return
	}
	conn.ended = true
	conn.acceptedBy.openFlows--
	delete(sim.openFlows, conn)
	sim.Result.Completed++
}

func (sim *Simulation) breakFlow(conn *connection, cause string) {
	if conn.ended {
		return
	}
	conn.ended = true
	if conn.acceptedBy != nil {
		conn.acceptedBy.openFlows--
	}
	delete(sim.openFlows, conn)
	sim.Result.Broken[cause]++
	sim.Result.Traces = append(sim.Result.Traces, conn.history)
	sim.Result.BrokenWeighted++
	if conn.countsDouble {
		sim.Result.BrokenWeighted++
	}
}

// refuseFlow handles the RST that a client receives when no back end was selected
// for its SYN.
func (sim *Simulation) refuseFlow(pkt packet) {
	conn := pkt.flow
	if conn.acceptedBy != nil {
		sim.Result.RefusedAfterAccept++
	}
	if !conn.ended && !conn.established {
		conn.ended = true
		sim.Result.Refused++
	}
}
