package echonet

import (
	"maps"
	"strings"
	"time"
)

// LoadModel is what a back end does at a time. Beyond that it sheds: it answers at once
// that it has not run the request.
type LoadModel struct {
	// Slots are the requests at a time, Queue those that may wait; no slots is no
	// bound.
	Slots, QueueLength int
	// ServiceTime is the time of a request.
	ServiceTime time.Duration
	// MinimumResponseSize is the least length of an answer in bytes; one that sheds is shorter.
	MinimumResponseSize int
}

// padding fills up an answer.
const padding = "\x00"

// requestState is the requests of a back end.
type requestState struct {
	load LoadModel
	// pending are the requests that run or wait, free the time from which on each
	// slot is free.
	pending    int
	slotFreeAt []time.Time
	// latest is the latest request of each flow, runs the times that each ran.
	latest     map[flowKey]*exchange
	executions map[string]int
	// openedPorts are the ports of the clients whose first packets were taken.
	openedPorts map[uint16]bool
}

// exchange is a request and its answer, which is nil until it is known.
type exchange struct {
	seq      uint32
	response []byte
}

// shedPrefix stands before the name of a back end that has not run a request.
const shedPrefix = "shed:"

func newRequestState() requestState {
	return requestState{latest: make(map[flowKey]*exchange), executions: make(map[string]int), openedPorts: make(map[uint16]bool)}
}

// SetLoadModel bounds what the back end does at a time.
func (backend *Backend) SetLoadModel(load LoadModel) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.requestState.load, backend.requestState.slotFreeAt = load, make([]time.Time, load.Slots)
}

// Executions returns how often each request has run, and the ports of the clients whose
// first packets were taken.
func (backend *Backend) Executions() (runs map[string]int, took map[uint16]bool) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return maps.Clone(backend.requestState.executions), maps.Clone(backend.requestState.openedPorts)
}

// handleRequest takes a request or a copy of one. A copy of an older request comes after its
// answer and is passed over.
func (backend *Backend) handleRequest(name flowKey, packet Packet) {
	known, found := backend.requestState.latest[name]
	if found && int32(packet.Seq-known.seq) < 0 {
		return
	}
	if !found || known.seq != packet.Seq {
		known = &exchange{seq: packet.Seq}
		backend.requestState.latest[name] = known
		backend.startRequest(name, packet, known)
	}
	// While there is no answer this is an acknowledgement.
	backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), known.response))
}

// startRequest runs a request, lets it wait, or sheds it.
func (backend *Backend) startRequest(name flowKey, packet Packet, begun *exchange) {
	load := backend.requestState.load
	answer := append([]byte(backend.Pool+"/"+backend.ID+" "), packet.Data...)
	if load.Slots > 0 && backend.requestState.pending >= load.Slots+load.QueueLength {
		begun.response = append([]byte(shedPrefix), answer...)
		return
	}
	backend.requestState.executions[string(packet.Data)]++
	if load.Slots == 0 {
		begun.response = answer
		return
	}
	if missing := load.MinimumResponseSize - len(answer); missing > 0 {
		answer = append(answer, strings.Repeat(padding, missing)...)
	}
	backend.requestState.pending++
	time.AfterFunc(backend.reserveSlot(time.Now()), func() {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.requestState.pending--
		begun.response = answer
		if _, held := backend.flows[name]; held {
			backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), answer))
		}
	})
}

// reserveSlot takes the slot that is free first and returns when its request will end.
func (backend *Backend) reserveSlot(now time.Time) time.Duration {
	first := 0
	for slot, free := range backend.requestState.slotFreeAt {
		if free.Before(backend.requestState.slotFreeAt[first]) {
			first = slot
		}
	}
	begin := backend.requestState.slotFreeAt[first]
	if begin.Before(now) {
		begin = now
	}
	backend.requestState.slotFreeAt[first] = begin.Add(backend.requestState.load.ServiceTime)
	return backend.requestState.slotFreeAt[first].Sub(now)
}
