package dataplane

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/indigobarrow/indigobarrow/internal/frame"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// worker is one traffic goroutine.
type worker struct {
	plane   *Plane
	decoder *frame.Decoder
	input   []ipv4.Message
	output  []ipv4.Message
	queued  int
	// version is the oldest view version that the worker may be using.
	version atomic.Uint64
}

func newWorker(plane *Plane) *worker {
	made := &worker{plane: plane, decoder: frame.NewDecoder()}
	for range batchSize {
		// One byte more than allowed shows oversize datagrams.
		made.input = append(made.input, ipv4.Message{Buffers: [][]byte{make([]byte, frame.MaximumSize+1)}})
		made.output = append(made.output, ipv4.Message{Buffers: [][]byte{nil}})
	}
	made.version.Store(idleVersion)
	return made
}

const readRetryDelay = 10 * time.Millisecond

func (worker *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		count, err := worker.plane.batch.ReadBatch(worker.input, 0)
		if err != nil {
			if ctx.Err() == nil {
				worker.plane.logger.Warn("Read failed.", "error", err)
				time.Sleep(readRetryDelay)
			}
			continue
		}
		worker.process(count)
	}
}

// process handles one batch. The version is lowered to 0 before the current
// one is read, so that the control goroutine never sees one too high.
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

func (worker *worker) handle(now uint32, message *ipv4.Message, datagram []byte) {
	plane := worker.plane
	packet, cause := worker.decoder.Decode(datagram)
	if cause != frame.CauseNone {
		plane.dropCounts[cause].Add(1)
		return
	}
	verdict := plane.router.Decide(now, packet.Key, packet.Hash, packet.Flags)
	if verdict.Action != router.ActionLookup {
		plane.recordDecision(now, packet.Key, verdict.Path, verdict.Backend)
	}
	switch verdict.Action {
	case router.ActionForward:
		worker.forward(verdict.Backend, datagram)
	case router.ActionRefuse:
		plane.refuse(packet, verdict.Path, message.Addr)
	case router.ActionLookup:
		worker.bufferPacket(packet, datagram, message, verdict)
	}
}

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

// flush writes the waiting datagrams. A datagram that cannot be written is
// passed over, so that one bad back end does not hold up the others.
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

func (worker *worker) bufferPacket(packet frame.Packet, datagram []byte, message *ipv4.Message, verdict router.Decision) {
	plane := worker.plane
	stored, first := plane.buffer.add(packet, datagram, message.Addr)
	if !stored {
		plane.overflow.Add(1)
		return
	}
	if !first {
		return
	}
	question := Lookup{Key: packet.Key, Proposal: verdict.Proposal, Bind: verdict.Bind, Opens: verdict.Opens}
	select {
	case plane.lookups <- question:
	default:
		plane.overflow.Add(uint64(len(plane.buffer.take(packet.Key))))
	}
}
