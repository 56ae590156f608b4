package balancer

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/observe"
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
	lastPacket     atomic.Int64
	decisionCounts [tokenroute.ReasonCount]atomic.Uint64
	// latestSummary is the latest summary of what was observed.
	latestSummary atomic.Pointer[observe.Summary]
	// inbox are statements on back ends from other balancers, and statements those
	// that they should be told.
	inbox, outbox mailbox
	// nextEvaluation is when joined witnesses have waited long enough; zero is never.
	nextEvaluation time.Time
	// earlyBuffer are the packets that came before the first table.
	earlyBuffer earlyBuffer
	// refusals are the flows refused for want of room.
	refusals   refusalCounters
	malformed  atomic.Uint64
	sendErrors atomic.Uint64
}

func newTraffic(balancer *Balancer, socket *net.UDPConn) *traffic {
	// One byte more than allowed shows oversize datagrams.
	size := balancer.dependencies.Codec.MaximumSize() + 1
	return &traffic{
		balancer: balancer,
		socket:   socket,
		flows:    tokenroute.NewFlows(balancer.disabled).WithZone(balancer.settings.Load().GetZone()),
		log:      decisionLog{logger: balancer.logger},
		input:    make([]byte, size),
		output:   make([]byte, 0, 2*size),
	}
}

// readRetryDelay spaces reads from a socket that fails.
const readRetryDelay = 10 * time.Millisecond

func (t *traffic) run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		_ = t.socket.Close()
	}()
	for {
		size, _, err := t.socket.ReadFromUDPAddrPort(t.input)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.handleWakeup()
			continue
		}
		if err != nil {
			t.balancer.logger.Warn("Traffic: read failed.", "error", err)
			time.Sleep(readRetryDelay)
			continue
		}
		t.handle(t.input[:size], time.Now())
	}
}

// deliver lets the traffic goroutine judge by what another balancer saw, also while no
// packet comes.
func (t *traffic) deliver(statements []evidence.Observation) {
	t.inbox.put(statements)
	t.setWakeup(pastDeadline)
}

// pastDeadline is a deadline that wakes a read at once.
var pastDeadline = time.Unix(1, 0)

// setWakeup ends the read of a packet at a time; the zero time lets it wait.
func (t *traffic) setWakeup(at time.Time) {
	if err := t.socket.SetReadDeadline(at); err != nil {
		t.balancer.logger.Debug("Traffic: no deadline, the next packet wakes.", "error", err)
	}
}

// handleWakeup hears what other balancers saw and judges by it. The deadline is set before the
// mailbox is looked at, so that nothing put into it meanwhile is left.
func (t *traffic) handleWakeup() {
	t.setWakeup(t.nextEvaluation)
	t.evaluateBackends(time.Now())
	t.setWakeup(t.nextEvaluation)
	if t.inbox.nonEmpty.Load() || t.earlyBuffer.pending() && t.balancer.table.Load() != nil {
		t.setWakeup(pastDeadline)
	}
}

// evaluateBackends takes what other balancers saw, judges by it and by what has waited for an
// answer, and tells the clients of back ends that are dead.
func (t *traffic) evaluateBackends(now time.Time) {
	table := t.balancer.table.Load()
	if table != nil {
		t.routeEarlyPackets(table, now)
		t.flows.SetTable(table, now)
	}
	for _, statement := range t.inbox.take() {
		t.flows.Receive(statement, table, now)
	}
	t.nextEvaluation = t.flows.EvaluatePending(now)
	t.reportFailures(table, now)
}

// reportFailures resets the flows whose back ends were judged dead, and passes on what
// was seen.
func (t *traffic) reportFailures(table *tokenroute.Table, now time.Time) {
	for _, verdict := range t.flows.TakeBackendFailures() {
		t.balancer.logger.Warn("Traffic: back end is judged dead.", "backend", verdict.Backend.ID,
			"pool", verdict.Backend.Pool, "unanswered_here", verdict.Local, "unanswered_elsewhere", verdict.Remote,
			"silent_for", now.Sub(verdict.SilentSince).Round(time.Millisecond))
	}
	for _, silent := range t.flows.TakeSilentZones() {
		t.balancer.logger.Warn("Traffic: a zone answers nothing, new flows avoid it.", "silent_zone", silent.Zone, "times", silent.Times,
			"silent_for", now.Sub(silent.Since).Round(time.Millisecond))
	}
	for _, abandoned := range t.flows.TakeAbandonedFlows() {
		t.reset(abandoned, table, now)
	}
	if statements := t.flows.TakeObservations(); len(statements) > 0 {
		t.outbox.put(statements)
		t.balancer.control.wake()
	}
}

func (t *traffic) handle(datagram []byte, now time.Time) {
	t.lastPacket.Store(int64(now.Sub(t.balancer.started)))
	codec := t.balancer.dependencies.Codec
	packet, err := codec.Decode(datagram)
	if err != nil {
		t.malformed.Add(1)
		return
	}
	table := t.balancer.table.Load()
	switch {
	case table != nil:
		t.routeEarlyPackets(table, now)
	case !t.balancer.disabled.Has(mechanism.EarlyPackets):
		t.earlyBuffer.add(packet, datagram, now)
	}
	t.route(packet, datagram, table, now)
	t.reportFailures(table, now)
	if t.inbox.nonEmpty.Load() || t.flows.HasPending() && !now.Before(t.nextEvaluation) {
		t.handleWakeup()
	}
	if summary := t.flows.Summarize(now); summary != nil {
		t.latestSummary.Store(summary)
	}
}

// route decides a packet by a table.
func (t *traffic) route(packet tokenroute.Packet, datagram []byte, table *tokenroute.Table, now time.Time) {
	decision := t.flows.Decide(table, packet, now)
	t.log.record(packet, t.balancer.dependencies.Codec.RequestID(datagram), decision, table, now)
	t.execute(decision, packet, datagram)
}

// tableChanged lets the traffic goroutine take a table, also while no packet comes.
func (t *traffic) tableChanged() { t.setWakeup(pastDeadline) }

// routeEarlyPackets sends on what came before the first table.
func (t *traffic) routeEarlyPackets(table *tokenroute.Table, now time.Time) {
	if !t.earlyBuffer.pending() {
		return
	}
	kept := t.earlyBuffer.take(now)
	t.balancer.logger.Info("Traffic: packets from before the first table are sent on.", "packets", len(kept),
		"lost", t.earlyBuffer.lost.Load())
	for _, each := range kept {
		t.routeEarlyPacket(each, table, now)
	}
}

// routeEarlyPacket decides a packet that has waited for the first table. It refuses nothing:
// the client may have opened the flow by another balancer meanwhile. An acknowledgement
// proves that its back end lived when it came, not now.
func (t *traffic) routeEarlyPacket(kept earlyPacket, table *tokenroute.Table, now time.Time) {
	if kept.acknowledges() {
		now = kept.receivedAt
	}
	decision := t.flows.Decide(table, kept.packet, now)
	if decision.Verdict == tokenroute.Refuse {
		decision.Verdict = tokenroute.Drop
	}
	t.log.record(kept.packet, t.balancer.dependencies.Codec.RequestID(kept.datagram), decision, table, now)
	t.execute(decision, kept.packet, kept.datagram)
}

// execute does what was decided on a packet.
func (t *traffic) execute(decision tokenroute.Decision, packet tokenroute.Packet, datagram []byte) {
	t.decisionCounts[decision.Reason].Add(1)
	if decision.Refusal != nil {
		t.refusals.increment(decision.Refusal)
	}
	codec := t.balancer.dependencies.Codec
	var err error
	switch decision.Verdict {
	case tokenroute.Forward:
		t.output = codec.Forward(t.output[:0], datagram, decision.Backend)
		_, err = t.socket.WriteToUDPAddrPort(t.output, decision.Backend.Target)
	case tokenroute.Refuse:
		t.output = codec.Refuse(t.output[:0], packet)
		_, err = t.socket.WriteToUDPAddrPort(t.output, codec.ClientAddress(packet))
	case tokenroute.Drop:
	}
	if err != nil {
		t.sendErrors.Add(1)
	}
}

// reset tells the client of a flow that its back end no longer holds it.
func (t *traffic) reset(abandoned tokenroute.AbandonedFlow, table *tokenroute.Table, now time.Time) {
	packet := tokenroute.Packet{Key: abandoned.Key, Acknowledged: abandoned.Acknowledged}
	decision := tokenroute.Decision{
		Verdict: tokenroute.Refuse,
		Reason:  abandoned.Reason,
		Backend: abandoned.Backend,
	}
	t.log.record(packet, nil, decision, table, now)
	t.execute(decision, packet, nil)
}

// idle is the time since the last packet.
func (t *traffic) idle() time.Duration {
	return time.Since(t.balancer.started) - time.Duration(t.lastPacket.Load())
}
