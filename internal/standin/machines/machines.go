// Package machines simulates the platform's list of machines, which readers see
// with a fixed lag behind its actual state.
//
// New creates a list, Put changes it, and Handler serves it over HTTP.
package machines

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/node"
)

// List is a list of machines. It is safe for concurrent use.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	history []snapshot
}

// snapshot is the list of machines by ID as it was from one change to the next.
type snapshot struct {
	at       time.Time
	machines map[string]node.Machine
}

// New returns an empty list. Readers see it as it was lag ago.
func New(lag time.Duration) *List {
	return &List{lag: lag, history: []snapshot{{machines: map[string]node.Machine{}}}}
}

// Put adds or replaces a machine, or removes it if its state is "gone".
func (list *List) Put(machine node.Machine) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	next := make(map[string]node.Machine)
	for id, existing := range list.history[len(list.history)-1].machines {
		next[id] = existing
	}
	if machine.State == "gone" {
		delete(next, machine.ID)
	} else {
		next[machine.ID] = machine
	}
	list.history = append(list.history, snapshot{at: time.Now(), machines: next})
}

// lagged returns the machines as they were lag ago, and drops older snapshots.
func (list *List) lagged() []node.Machine {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	cutoff := time.Now().Add(-list.lag)
	for len(list.history) > 1 && list.history[1].at.Before(cutoff) {
		list.history = list.history[1:]
	}
	lagged := make([]node.Machine, 0)
	for _, machine := range list.history[0].machines {
		lagged = append(lagged, machine)
	}
	return lagged
}

// Handler returns the HTTP handler, with GET and PUT /v1/machines.
func (list *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(list.lagged())
	})
	mux.HandleFunc("PUT /v1/machines", func(writer http.ResponseWriter, request *http.Request) {
		var machine node.Machine
		if err := json.NewDecoder(request.Body).Decode(&machine); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		list.Put(machine)
	})
	return mux
}
