package echonet

import (
	"maps"
	"strings"
	"time"
)

// LoadModel describes how a back end processes requests. Requests beyond its capacity are
// shed: the back end answers at once that it has not run them.
type LoadModel struct {
	// Slots is the number of requests that run concurrently, QueueLength the number
	// that may wait. With 0 slots there is no limit, and requests finish at once.
	Slots, QueueLength int
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// MinimumResponseSize is the minimum size of a response in bytes. It does not apply
	// to responses that shed a request, nor to any response with 0 slots.
	MinimumResponseSize int
}

// padding fills a response up to the minimum size.
const padding = "\x00"

// requestState holds the state of a back end's requests.
type requestState struct {
	load LoadModel
	// pending is the number of requests that run or wait, slotFreeAt the time from
	// which each slot is free.
	pending    int
	slotFreeAt []time.Time
	// latest holds the latest request of each flow, executions how often each request
	// ran, by its body.
	latest     map[flowKey]*exchange
	executions map[string]int
	// opened is the set of flows that were opened.
	opened map[FlowID]bool
}

// exchange is a request and its response, which is nil until the request has finished or
// has been shed.
type exchange struct {
	seq      uint32
	response []byte
}

// shedPrefix precedes the name of the back end in a response that sheds the request.
const shedPrefix = "shed:"

func newRequestState() requestState {
	return requestState{latest: make(map[flowKey]*exchange), executions: make(map[string]int), opened: make(map[FlowID]bool)}
}

// SetLoadModel sets how the back end processes requests. All slots are free afterwards.
func (backend *Backend) SetLoadModel(load LoadModel) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.requestState.load, backend.requestState.slotFreeAt = load, make([]time.Time, load.Slots)
}

// Executions returns how often each request has run, by its body, and the set of flows that were
// opened.
func (backend *Backend) Executions() (executions map[string]int, opened map[FlowID]bool) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return maps.Clone(backend.requestState.executions), maps.Clone(backend.requestState.opened)
}

// handleRequest processes a request or a retransmission of one. A retransmission of a
// request older than the latest arrives after its response, and is ignored.
func (backend *Backend) handleRequest(key flowKey, packet Packet) {
	current, found := backend.requestState.latest[key]
	if found && int32(packet.Seq-current.seq) < 0 {
		return
	}
	if !found || current.seq != packet.Seq {
		current = &exchange{seq: packet.Seq}
		backend.requestState.latest[key] = current
		backend.startRequest(key, packet, current)
	}
	// As long as there is no response, this is only an acknowledgement.
	backend.respond(packet, current.response)
}

// ClosePrefix begins the body of a request after whose response the back end closes the flow.
const ClosePrefix = "close-"

// respond sends the response to a request, or only acknowledges it if there is none yet.
func (backend *Backend) respond(request Packet, response []byte) {
	flags := byte(FlagACK)
	if len(response) > 0 && strings.HasPrefix(string(request.Data), ClosePrefix) {
		flags |= FlagFIN
	}
	backend.send(request.reply(flags, request.Ack, request.Seq+uint32(len(request.Data)), response))
}

// startRequest runs a request, queues it, or sheds it.
func (backend *Backend) startRequest(key flowKey, packet Packet, started *exchange) {
	load := backend.requestState.load
	response := append([]byte(backend.Pool+"/"+backend.ID+" "), packet.Data...)
	if load.Slots > 0 && backend.requestState.pending >= load.Slots+load.QueueLength {
		started.response = append([]byte(shedPrefix), response...)
		return
	}
	backend.requestState.executions[string(packet.Data)]++
	if load.Slots == 0 {
		started.response = response
		return
	}
	if missing := load.MinimumResponseSize - len(response); missing > 0 {
		response = append(response, strings.Repeat(padding, missing)...)
	}
	backend.requestState.pending++
	time.AfterFunc(backend.reserveSlot(time.Now()), func() {
		backend.mutex.Lock()
		defer backend.mutex.Unlock()
		backend.requestState.pending--
		started.response = response
		if backend.requestState.latest[key] == started {
			backend.respond(packet, response)
		}
	})
}

// reserveSlot reserves the slot that becomes free first, and returns the time until a
// request in it will finish.
func (backend *Backend) reserveSlot(now time.Time) time.Duration {
	earliest := 0
	for slot, slotFreeAt := range backend.requestState.slotFreeAt {
		if slotFreeAt.Before(backend.requestState.slotFreeAt[earliest]) {
			earliest = slot
		}
	}
	start := backend.requestState.slotFreeAt[earliest]
	if start.Before(now) {
		start = now
	}
	backend.requestState.slotFreeAt[earliest] = start.Add(backend.requestState.load.ServiceTime)
	return backend.requestState.slotFreeAt[earliest].Sub(now)
}
