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
	backend.requests.load, backend.requests.slotFreeAt = load, make([]time.Time, load.Slots)
}

// Executions returns how often each request has run, and the ports of the clients whose
// first packets were taken.
func (backend *Backend) Executions() (executions map[string]int, openedPorts map[uint16]bool) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return maps.Clone(backend.requests.executions), maps.Clone(backend.requests.openedPorts)
}

// handleRequest takes a request or a copy of one. A copy of an older request comes after its
// answer and is passed over.
func (backend *Backend) handleRequest(key flowKey, packet Packet) {
	latest, found := backend.requests.latest[key]
	if found && int32(packet.Seq-latest.seq) < 0 {
		return
	}
	if !found || latest.seq != packet.Seq {
		latest = &exchange{seq: packet.Seq}
		backend.requests.latest[key] = latest
		backend.startRequest(key, packet, latest)
	}
	// While there is no answer this is an acknowledgement.
	backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), latest.response))
}

// startRequest runs a request, lets it wait, or sheds it.
func (backend *Backend) startRequest(key flowKey, packet Packet, started *exchange) {
	load := backend.requests.load
	response := append([]byte(backend.Pool+"/"+backend.ID+" "), packet.Data...)
	if load.Slots > 0 && backend.requests.pending >= load.Slots+load.QueueLength {
		started.response = append([]byte(shedPrefix), response...)
		return
	}
	backend.requests.executions[string(packet.Data)]++
	if load.Slots == 0 {
		started.response = response
		return
	}
	if missing := load.MinimumResponseSize - len(response); missing > 0 {
		response = append(response, strings.Repeat(padding, missing)...)
	}
	backend.requests.pending++
	time.AfterFunc(backend.reserveSlot(time.Now()), func() {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.requests.pending--
		started.response = response
		if _, known := backend.flows[key]; known {
			backend.send(packet.reply(FlagACK, packet.Ack, packet.Seq+uint32(len(packet.Data)), response))
		}
	})
}

// reserveSlot takes the slot that is free first and returns when its request will end.
func (backend *Backend) reserveSlot(now time.Time) time.Duration {
	earliest := 0
	for slot, freeAt := range backend.requests.slotFreeAt {
		if freeAt.Before(backend.requests.slotFreeAt[earliest]) {
			earliest = slot
		}
	}
	start := backend.requests.slotFreeAt[earliest]
	if start.Before(now) {
		start = now
	}
	backend.requests.slotFreeAt[earliest] = start.Add(backend.requests.load.ServiceTime)
	return backend.requests.slotFreeAt[earliest].Sub(now)
}
