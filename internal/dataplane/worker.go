package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/indigobarrow/indigobarrow/internal/frame"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// worker is the state of one traffic goroutine.
type worker struct {
	plane   *Plane
	decoder *frame.Decoder
	input   []ipv4.Message
	output  []ipv4.Message
	// queued is the number of datagrams in output.
	queued int
	// version is the oldest view version that the worker may be using.
	version atomic.Uint64
}

func newWorker(plane *Plane) *worker {
	created := &worker{plane: plane, decoder: frame.NewDecoder()}
	for range batchSize {
		// One byte more than MaximumSize makes oversize datagrams detectable.
		created.input = append(created.input, ipv4.Message{Buffers: [][]byte{make([]byte, frame.MaximumSize+1)}})
		created.output = append(created.output, ipv4.Message{Buffers: [][]byte{nil}})
	}
	created.version.Store(idleVersion)
	return created
}

const readRetryDelay = 10 * time.Millisecond

func (worker *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		count, err := worker.plane.batch.ReadBatch(worker.input, 0)
		if err != nil {
			if ctx.Err() == nil {
				worker.plane.logger.Warn("Traffic: reading datagrams failed.", "error", err)
				time.Sleep(readRetryDelay)
			}
			continue
		}
		worker.process(count)
	}
}

// process handles one batch. It sets the version to 0 before it reads the current
// one, so that the control goroutine never sees a version that is too high.
func (worker *worker) process(count int) {
	worker.version.Store(0)
	worker.version.Store(worker.plane.version.Load())
	now := worker.plane.clock()
	for index := range count {
		message := &worker.input[index]
		worker.handle(now, message, message.Buffers[0][:message.N])
	}
	worker.flush()
	worker.version.Store(idleVersion)
}

// handle decodes one datagram and acts on the router's decision.
func (worker *worker) handle(now uint32, message *ipv4.Message, datagram []byte) {
	plane := worker.plane
	packet, cause := worker.decoder.Decode(datagram)
	if cause != frame.CauseNone {
		plane.dropCounts[cause].Add(1)
		return
	}
	decision := plane.router.Decide(now, packet.Key, packet.Hash, packet.Flags)
	if decision.Action != router.ActionLookup {
		plane.recordDecision(now, packet.Key, decision.Path, decision.Backend)
	}
	switch decision.Action {
	case router.ActionForward:
		worker.forward(decision.Backend, datagram)
	case router.ActionRefuse:
		plane.refuse(packet, decision.Path, message.Addr)
	case router.ActionLookup:
		worker.bufferPacket(packet, datagram, message, decision)
	}
}

// forward queues a datagram for a back end.
func (worker *worker) forward(backend uint32, datagram []byte) {
	target := (*worker.plane.targets.Load())[backend]
	if target == nil {
		worker.plane.failedSends.Add(1)
		return
	}
	output := &worker.output[worker.queued]
	output.Buffers[0] = datagram
	output.Addr = target
	worker.queued++
	if worker.queued == batchSize {
		worker.flush()
	}
}

// flush writes the queued datagrams. It skips a datagram that cannot be written,
// so that one unreachable back end does not delay the others.
func (worker *worker) flush() {
	waiting := worker.output[:worker.queued]
	worker.queued = 0
	for len(waiting) > 0 {
		written, err := worker.plane.batch.WriteBatch(waiting, 0)
		if err != nil || written <= 0 {
			worker.plane.failedSends.Add(1)
			written = max(written, 0) + 1
		}
		waiting = waiting[min(written, len(waiting)):]
	}
}

// bufferPacket buffers a datagram, and starts a lookup if it is the first of its
// flow.
func (worker *worker) bufferPacket(packet frame.Packet, datagram []byte, message *ipv4.Message, decision router.Decision) {
	plane := worker.plane
	stored, first := plane.packetBuffer.add(packet, datagram, message.Addr)
	if !stored {
		plane.overflow.Add(1)
		return
	}
	if !first {
		return
	}
	lookup := Lookup{Key: packet.Key, Proposal: decision.Proposal, Bind: decision.Bind, IsSYN: decision.IsSYN}
	select {
	case plane.lookups <- lookup:
	default:
		plane.overflow.Add(uint64(len(plane.packetBuffer.take(packet.Key))))
	}
}
