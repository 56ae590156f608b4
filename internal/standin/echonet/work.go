package echonet

import (
	"maps"
	"strings"
	"time"
)

// Load is what a back end does at a time. Beyond that it sheds: it answers at once
// that it has not run the request.
type Load struct {
	// Slots are the requests at a time, Queue those that may wait; no slots is no
	// bound.
	Slots, Queue int
	// Work is the time of a request.
	Work time.Duration
	// Length is the least length of an answer in bytes; one that sheds is shorter.
	Length int
}

// filling fills up an answer.
const filling = "\x00"

// work is the requests of a back end.
type work struct {
	load Load
	// inside are the requests that run or wait, free the time from which on each
	// slot is free.
	inside int
	free   []time.Time
	// last is the latest request of each flow, runs the times that each ran.
	last map[flowName]*exchange
	runs map[string]int
	// took are the ports of the clients whose first packets were taken.
	took map[uint16]bool
}

// exchange is a request and its answer, which is nil until it is known.
type exchange struct {
	seq    uint32
	answer []byte
}

// shedMark stands before the name of a back end that has not run a request.
const shedMark = "shed:"

func newWork() work {
	return work{last: make(map[flowName]*exchange), runs: make(map[string]int), took: make(map[uint16]bool)}
}

// SetLoad bounds what the back end does at a time.
func (backend *Backend) SetLoad(load Load) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.work.load, backend.work.free = load, make([]time.Time, load.Slots)
}

// Record returns how often each request has run, and the ports of the clients whose
// first packets were taken.
func (backend *Backend) Record() (runs map[string]int, took map[uint16]bool) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return maps.Clone(backend.work.runs), maps.Clone(backend.work.took)
}

// request takes a request or a copy of one. A copy of an older request comes after its
// answer and is passed over.
func (backend *Backend) request(name flowName, packet Packet) {
	known, found := backend.work.last[name]
	if found && int32(packet.Seq-known.seq) < 0 {
		return
	}
	if !found || known.seq != packet.Seq {
		known = &exchange{seq: packet.Seq}
		backend.work.last[name] = known
		backend.begin(name, packet, known)
	}
	// While there is no answer this is an acknowledgement.
	backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), known.answer))
}

// begin runs a request, lets it wait, or sheds it.
func (backend *Backend) begin(name flowName, packet Packet, begun *exchange) {
	load := backend.work.load
	answer := append([]byte(backend.Pool+"/"+backend.ID+" "), packet.Data...)
	if load.Slots > 0 && backend.work.inside >= load.Slots+load.Queue {
		begun.answer = append([]byte(shedMark), answer...)
		return
	}
	backend.work.runs[string(packet.Data)]++
	if load.Slots == 0 {
		begun.answer = answer
		return
	}
	if missing := load.Length - len(answer); missing > 0 {
		answer = append(answer, strings.Repeat(filling, missing)...)
	}
	backend.work.inside++
	time.AfterFunc(backend.reserve(time.Now()), func() {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.work.inside--
		begun.answer = answer
		if _, held := backend.flows[name]; held {
			backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), answer))
		}
	})
}

// reserve takes the slot that is free first and returns when its request will end.
func (backend *Backend) reserve(now time.Time) time.Duration {
	first := 0
	for slot, free := range backend.work.free {
		if free.Before(backend.work.free[first]) {
			first = slot
		}
	}
	begin := backend.work.free[first]
	if begin.Before(now) {
		begin = now
	}
	backend.work.free[first] = begin.Add(backend.work.load.Work)
	return backend.work.free[first].Sub(now)
}
