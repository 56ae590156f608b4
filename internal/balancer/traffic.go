package balancer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// traffic reads and forwards packets in one goroutine.
type traffic struct {
	balancer *Balancer
	socket   *net.UDPConn
	flows    *tokenroute.Flows
	log      decisionLog
	input    []byte
	output   []byte
	// lastPacket is when a packet last came, in nanoseconds since the start.
	lastPacket atomic.Int64
	counts     [tokenroute.ReasonCount]atomic.Uint64
	malformed  atomic.Uint64
	failed     atomic.Uint64
}

func newTraffic(balancer *Balancer, socket *net.UDPConn) *traffic {
	// One byte more than allowed shows oversize datagrams.
	size := balancer.outside.Codec.MaximumSize() + 1
	return &traffic{
		balancer: balancer,
		socket:   socket,
		flows:    tokenroute.NewFlows(),
		log:      decisionLog{logger: balancer.logger},
		input:    make([]byte, size),
		output:   make([]byte, 0, 2*size),
	}
}

// readPause spaces reads from a socket that fails.
const readPause = 10 * time.Millisecond

func (traffic *traffic) run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		_ = traffic.socket.Close()
	}()
	for {
		size, _, err := traffic.socket.ReadFromUDPAddrPort(traffic.input)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			traffic.balancer.logger.Warn("Traffic: read failed.", "error", err)
			time.Sleep(readPause)
			continue
		}
		traffic.handle(traffic.input[:size], time.Now())
	}
}

func (traffic *traffic) handle(datagram []byte, now time.Time) {
	traffic.lastPacket.Store(int64(now.Sub(traffic.balancer.started)))
	codec := traffic.balancer.outside.Codec
	packet, err := codec.Decode(datagram)
	if err != nil {
		traffic.malformed.Add(1)
		return
	}
	table := traffic.balancer.table.Load()
	decision := traffic.flows.Decide(table, packet, now)
	traffic.log.note(packet, codec.RequestID(datagram), decision, table, now)
	traffic.carryOut(decision, packet, datagram)
	for _, abandoned := range traffic.flows.TakeAbandoned() {
		traffic.reset(abandoned, table, now)
	}
}

// carryOut does what was decided on a packet.
func (traffic *traffic) carryOut(decision tokenroute.Decision, packet tokenroute.Packet, datagram []byte) {
	traffic.counts[decision.Reason].Add(1)
	codec := traffic.balancer.outside.Codec
	var err error
	switch decision.Verdict {
	case tokenroute.Forward:
		traffic.output = codec.Forward(traffic.output[:0], datagram, decision.Backend)
		_, err = traffic.socket.WriteToUDPAddrPort(traffic.output, decision.Backend.Target)
	case tokenroute.Refuse:
		traffic.output = codec.Refuse(traffic.output[:0], packet)
		_, err = traffic.socket.WriteToUDPAddrPort(traffic.output, codec.Client(packet))
	case tokenroute.Drop:
	}
	if err != nil {
		traffic.failed.Add(1)
	}
}

// reset tells the client of a flow that its back end is dead.
func (traffic *traffic) reset(abandoned tokenroute.Abandoned, table *tokenroute.Table, now time.Time) {
	packet := tokenroute.Packet{Key: abandoned.Key, Acknowledged: abandoned.Acknowledged}
	decision := tokenroute.Decision{
		Verdict: tokenroute.Refuse,
		Reason:  tokenroute.ReasonDeadBackend,
		Backend: abandoned.Backend,
	}
	traffic.log.note(packet, nil, decision, table, now)
	traffic.carryOut(decision, packet, nil)
}

// idle is the time since the last packet.
func (traffic *traffic) idle() time.Duration {
	return time.Since(traffic.balancer.started) - time.Duration(traffic.lastPacket.Load())
}
