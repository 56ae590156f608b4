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
	// control holds the control messages that come with a datagram.
	control []byte
	// lastPacket is when the last packet arrived, in nanoseconds since the balancer
	// started.
	lastPacket     atomic.Int64
	decisionCounts [tokenroute.ReasonCount]atomic.Uint64
	// latestSummary is the latest summary of what was observed.
	latestSummary atomic.Pointer[observe.Summary]
	// inbox holds observations of back ends from other balancers, and outbox those to be
	// sent to them.
	inbox, outbox mailbox
	// nextEvaluation is when the unanswered requests of several balancers, taken together, have
	// waited long enough to be evaluated; the zero time means never.
	nextEvaluation time.Time
	// earlyBuffer holds the packets that arrived before the first table.
	earlyBuffer earlyBuffer
	// refusals counts the flows that were refused for lack of capacity.
	refusals   refusalCounters
	malformed  atomic.Uint64
	sendErrors atomic.Uint64
}

func newTraffic(balancer *Balancer, socket *net.UDPConn) *traffic {
	// With one byte more than the allowed size, oversize datagrams can be recognised.
	size := balancer.dependencies.Codec.MaximumSize() + 1
	if err := enableReceiveTimes(socket); err != nil {
		balancer.logger.Info("Traffic: datagrams carry no receive time.", "error", err)
	}
	return &traffic{
		balancer: balancer,
		socket:   socket,
		flows:    tokenroute.NewFlows(balancer.disabled).WithZone(balancer.settings.Load().GetZone()),
		log:      decisionLog{logger: balancer.logger},
		input:    make([]byte, size),
		output:   make([]byte, 0, 2*size),
		control:  make([]byte, receiveTimeSize),
	}
}

// readRetryDelay is the pause between reads from a failing socket.
const readRetryDelay = 10 * time.Millisecond

func (t *traffic) run(ctx context.Context) error {
	go func() {
		<-ctx.Done()
		_ = t.socket.Close()
	}()
	for {
		size, controlSize, _, _, err := t.socket.ReadMsgUDPAddrPort(t.input, t.control)
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
		now := time.Now()
		t.handle(t.input[:size], waited(receiveTime(t.control[:controlSize]), now), now)
	}
}

// maxWait is the longest time that a datagram is taken to have waited. A longer one shows
// that the time of day has changed meanwhile.
const maxWait = time.Minute

// waited returns how long a datagram has waited to be read, or 0 if that is not known.
func waited(receivedAt, now time.Time) time.Duration {
	wait := now.Sub(receivedAt)
	if receivedAt.IsZero() || wait < 0 || wait > maxWait {
		return 0
	}
	return wait
}

// deliver passes on what other balancers have observed, so that the traffic goroutine
// evaluates it even while no packet arrives.
func (t *traffic) deliver(observations []evidence.Observation) {
	t.inbox.put(observations)
	t.setWakeup(pastDeadline)
}

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// setWakeup makes the read of a packet end at the given time; the zero time lets it wait.
func (t *traffic) setWakeup(at time.Time) {
	if err := t.socket.SetReadDeadline(at); err != nil {
		t.balancer.logger.Debug("Traffic: read deadline could not be set, waiting for the next packet.", "error", err)
	}
}

// handleWakeup evaluates what other balancers have observed. The deadline is set before
// the mailbox is read, so that nothing put into it meanwhile is left there.
func (t *traffic) handleWakeup() {
	t.setWakeup(t.nextEvaluation)
	t.evaluateBackends(time.Now())
	t.setWakeup(t.nextEvaluation)
	if t.inbox.nonEmpty.Load() || t.earlyBuffer.pending() && t.balancer.table.Load() != nil {
		t.setWakeup(pastDeadline)
	}
}

// evaluateBackends applies what other balancers have observed, evaluates it together with the
// requests that have waited for an answer here, and notifies the clients of failed back
// ends.
func (t *traffic) evaluateBackends(now time.Time) {
	table := t.balancer.table.Load()
	if table != nil {
		t.routeEarlyPackets(table, now)
		t.flows.SetTable(table, now)
	}
	for _, observation := range t.inbox.take() {
		t.flows.Receive(observation, table, now)
	}
	t.nextEvaluation = t.flows.EvaluatePending(now)
	t.reportFailures(table, now)
}

// reportFailures resets the flows whose back ends were detected as failed, and passes on
// what was observed.
func (t *traffic) reportFailures(table *tokenroute.Table, now time.Time) {
	for _, failure := range t.flows.TakeBackendFailures() {
		t.balancer.logger.Warn("Traffic: back end is judged dead.", "backend", failure.Backend.ID,
			"pool", failure.Backend.Pool, "unanswered_here", failure.Local, "unanswered_elsewhere", failure.Remote,
			"silent_for", now.Sub(failure.SilentSince).Round(time.Millisecond))
	}
	for _, silent := range t.flows.TakeSilentZones() {
		t.balancer.logger.Warn("Traffic: zone does not answer, new flows avoid it.", "silent_zone", silent.Zone, "times", silent.Times,
			"silent_for", now.Sub(silent.Since).Round(time.Millisecond))
	}
	for _, abandoned := range t.flows.TakeAbandonedFlows() {
		t.reset(abandoned, table, now)
	}
	if observations := t.flows.TakeObservations(); len(observations) > 0 {
		t.outbox.put(observations)
		t.balancer.control.wake()
	}
}

func (t *traffic) handle(datagram []byte, wait time.Duration, now time.Time) {
	t.lastPacket.Store(int64(now.Sub(t.balancer.started)))
	codec := t.balancer.dependencies.Codec
	packet, err := codec.Decode(datagram)
	if err != nil {
		t.malformed.Add(1)
		return
	}
	packet.Waited = wait
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

// route makes and carries out the routing decision for a packet.
func (t *traffic) route(packet tokenroute.Packet, datagram []byte, table *tokenroute.Table, now time.Time) {
	decision := t.flows.Decide(table, packet, now)
	t.log.record(packet, t.balancer.dependencies.Codec.RequestID(datagram), decision, table, now)
	t.execute(decision, packet, datagram)
}

// tableChanged makes the traffic goroutine use a new table even while no packet arrives.
func (t *traffic) tableChanged() { t.setWakeup(pastDeadline) }

// routeEarlyPackets routes the packets that arrived before the first table.
func (t *traffic) routeEarlyPackets(table *tokenroute.Table, now time.Time) {
	if !t.earlyBuffer.pending() {
		return
	}
	packets := t.earlyBuffer.take(now)
	t.balancer.logger.Info("Traffic: routing packets that arrived before the first table.", "packets", len(packets),
		"lost", t.earlyBuffer.lost.Load())
	for _, each := range packets {
		t.routeEarlyPacket(each, table, now)
	}
}

// routeEarlyPacket routes a packet that has waited for the first table. It refuses
// nothing, because the client may have opened the flow through another balancer meanwhile.
// An acknowledgement proves that its back end was alive when the acknowledgement arrived,
// not now.
func (t *traffic) routeEarlyPacket(early earlyPacket, table *tokenroute.Table, now time.Time) {
	if early.acknowledges() {
		now = early.receivedAt
	}
	decision := t.flows.Decide(table, early.packet, now)
	if decision.Verdict == tokenroute.Refuse {
		decision.Verdict = tokenroute.Drop
	}
	t.log.record(early.packet, t.balancer.dependencies.Codec.RequestID(early.datagram), decision, table, now)
	t.execute(decision, early.packet, early.datagram)
}

// execute carries out a routing decision for a packet.
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

// reset notifies the client of a flow that its back end no longer holds the flow.
func (t *traffic) reset(abandoned tokenroute.AbandonedFlow, table *tokenroute.Table, now time.Time) {
	packet := tokenroute.Packet{Key: abandoned.Key, Sequence: abandoned.Sequence, Acknowledged: abandoned.Acknowledged}
	decision := tokenroute.Decision{
		Verdict: tokenroute.Refuse,
		Reason:  abandoned.Reason,
		Backend: abandoned.Backend,
	}
	t.log.record(packet, nil, decision, table, now)
	t.execute(decision, packet, nil)
}

// idle returns the time since the last packet.
func (t *traffic) idle() time.Duration {
	return time.Since(t.balancer.started) - time.Duration(t.lastPacket.Load())
}
