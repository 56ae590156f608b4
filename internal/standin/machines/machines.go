// Package machines is the stand-in of the platform's list of machines, which
// lags behind the truth.
package machines

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/node"
)

// List is the list. It is safe for use by many goroutines.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	history []snapshot
}

type snapshot struct {
	at       time.Time
	machines map[string]node.Machine
}

// New makes an empty list whose readers see it as it was a lag ago.
func New(lag time.Duration) *List {
	return &List{lag: lag, history: []snapshot{{machines: map[string]node.Machine{}}}}
}

// Put adds or changes a machine; a state of "gone" removes it.
func (list *List) Put(machine node.Machine) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	next := make(map[string]node.Machine)
	for id, known := range list.history[len(list.history)-1].machines {
		next[id] = known
	}
	if machine.State == "gone" {
		delete(next, machine.ID)
	} else {
		next[machine.ID] = machine
	}
	list.history = append(list.history, snapshot{at: time.Now(), machines: next})
}

func (list *List) lagged() []node.Machine {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	since := time.Now().Add(-list.lag)
	for len(list.history) > 1 && list.history[1].at.Before(since) {
		list.history = list.history[1:]
	}
	seen := make([]node.Machine, 0)
	for _, machine := range list.history[0].machines {
		seen = append(seen, machine)
	}
	return seen
}

// Handler returns the HTTP handler: GET and PUT /v1/machines.
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
