// Package metadata is the stand-in of the platform's metadata store, written
// from its published pages: keys under one rising revision, ranges in pages,
// watches by long poll, transactions, leases, faults on command, and a drill in
// which it comes back from a copy.
package metadata

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are what can be switched on.
type Faults struct {
	// Unavailable answers every call with 503.
	Unavailable bool
	// Unresponsive never answers.
	Unresponsive bool
	// Throttled answers every call with 429.
	Throttled bool
	// Delay holds back every answer.
	Delay time.Duration
	// WriteDelay holds back calls that write. They are done all the same, whether
	// their caller waits or not.
	WriteDelay time.Duration
}

// Item is one key, or one event on it.
type Item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"rev"`
	CreateRevision uint64 `json:"created,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"gone,omitempty"`
}

// Server is the store. Its zero value is not usable; see New.
type Server struct {
	mutex    sync.Mutex
	pageSize int
	revision uint64
	// compactRevision is the revision up to which history was dropped.
	compactRevision uint64
	items           map[string]Item
	history         []Item
	leaseDeadlines  map[uint64]time.Time
	leaseTTLs       map[uint64]time.Duration
	changed         chan struct{}
	faults          Faults
	// era is how often the store came back from a copy.
	era atomic.Uint64
	// callerFaults are the faults for callers from one IP.
	callerFaults map[string]Faults
	callCounts   map[string]int
}

// New makes an empty store whose ranges come in pages of a size.
func New(pageSize int) *Server {
	return &Server{
		pageSize:       pageSize,
		items:          make(map[string]Item),
		leaseDeadlines: make(map[uint64]time.Time),
		leaseTTLs:      make(map[uint64]time.Duration),
		changed:        make(chan struct{}),
		callerFaults:   make(map[string]Faults),
		callCounts:     make(map[string]int),
	}
}

// SetFaults switches faults on and off.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.notifyWatchers()
}

// SetCallerFaults switches faults on and off for the callers from an IP.
func (server *Server) SetCallerFaults(caller string, faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.callerFaults[caller] = faults
}

// requestFaults returns the faults of a call: those for its caller before those for all.
func (server *Server) requestFaults(request *http.Request) Faults {
	caller, _, _ := net.SplitHostPort(request.RemoteAddr)
	return cmp.Or(server.callerFaults[caller], server.faults)
}

// Calls returns the number of calls by path.
func (server *Server) Calls() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	copied := make(map[string]int, len(server.callCounts))
	for path, count := range server.callCounts {
		copied[path] = count
	}
	return copied
}

// Put writes a key as an operator or a back end does.
func (server *Server) Put(key string, value []byte) uint64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.put(Item{Key: key, Value: value})
	return server.revision
}

// HasValue tells whether a key has a value.
func (server *Server) HasValue(key string, value []byte) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	held, found := server.items[key]
	return found && bytes.Equal(held.Value, value)
}

// Remove removes a key.
func (server *Server) Remove(key string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.remove(key)
}

// Compact drops the history.
func (server *Server) Compact() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.compactRevision, server.history = server.revision, nil
	server.notifyWatchers()
}

func (server *Server) put(item Item) {
	server.revision++
	item.Revision, item.CreateRevision = server.revision, server.revision
	if known, found := server.items[item.Key]; found {
		item.CreateRevision = known.CreateRevision
	}
	server.items[item.Key] = item
	server.history = append(server.history, item)
	server.notifyWatchers()
}

func (server *Server) remove(key string) {
	if _, found := server.items[key]; !found {
		return
	}
	server.revision++
	delete(server.items, key)
	server.history = append(server.history, Item{Key: key, Revision: server.revision, Deleted: true})
	server.notifyWatchers()
}

func (server *Server) notifyWatchers() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// Handler returns the HTTP handler.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", server.withFaults(server.getKey))
	mux.HandleFunc("GET /api/kv-range", server.withFaults(server.listRange))
	mux.HandleFunc("GET /api/kv-watch", server.withFaults(server.watch))
	mux.HandleFunc("POST /api/kv-txn", server.withFaults(server.transact))
	mux.HandleFunc("POST /api/kv-lease", server.withFaults(server.grantLease))
	mux.HandleFunc("POST /api/kv-keep/{lease}", server.withFaults(server.renewLease))
	mux.HandleFunc("DELETE /api/kv-lease-end/{lease}", server.withFaults(server.endLease))
	return mux
}

// withFaults counts a call and applies the faults.
func (server *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(plain http.ResponseWriter, request *http.Request) {
		response := eraWriter{plain, server}
		server.mutex.Lock()
		faults := server.requestFaults(request)
		path := strings.TrimPrefix(request.URL.Path, "/api/")
		name, _, _ := strings.Cut(path, "/")
		server.callCounts[name]++
		server.expireLeases(time.Now())
		server.mutex.Unlock()
		switch {
		case faults.Unresponsive:
			<-request.Context().Done()
			return
		case faults.Unavailable:
			response.WriteHeader(http.StatusServiceUnavailable)
			return
		case faults.Throttled:
			response.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(faults.Delay)
		if request.Method != http.MethodGet {
			time.Sleep(faults.WriteDelay)
		}
		next(response, request)
	}
}

func (server *Server) expireLeases(now time.Time) {
	for lease, ends := range server.leaseDeadlines {
		if now.After(ends) {
			server.endLeaseLocked(lease)
		}
	}
}

func (server *Server) endLeaseLocked(lease uint64) {
	delete(server.leaseDeadlines, lease)
	for key, item := range server.items {
		if item.Lease == lease {
			server.remove(key)
		}
	}
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body)
}

func (server *Server) getKey(response http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	item, found := server.items[request.URL.Query().Get("key")]
	if !found {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(response, http.StatusOK, struct {
		Item
		At uint64 `json:"at"`
	}{item, server.revision})
}

func (server *Server) listRange(response http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	query := request.URL.Query()
	found := []Item{}
	for key, item := range server.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > server.pageSize
	found = found[:min(len(found), server.pageSize)]
	writeJSON(response, http.StatusOK, map[string]any{"items": found, "more": more, "at": server.revision})
}

func (server *Server) watch(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		server.mutex.Lock()
		found, changed, at := server.eventsAfter(query.Get("prefix"), after), server.changed, server.revision
		lost := after < server.compactRevision || after > server.revision
		era := server.Era()
		server.mutex.Unlock()
		response.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		if lost {
			response.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 {
			writeJSON(response, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(response, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) eventsAfter(prefix string, after uint64) []Item {
	found := []Item{}
	for _, event := range server.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			found = append(found, event)
		}
	}
	return found
}

func (server *Server) transact(response http.ResponseWriter, request *http.Request) {
	var body struct {
		Expected []Item   `json:"expected_rev"`
		Put      []Item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, expected := range body.Expected {
		if server.items[expected.Key].Revision != expected.Revision {
			writeJSON(response, http.StatusPreconditionFailed, map[string]any{"items": []Item{server.items[expected.Key]}})
			return
		}
	}
	for _, item := range body.Put {
		if strings.HasPrefix(item.Key, "op/") || strings.HasPrefix(item.Key, "servers/") {
			response.WriteHeader(http.StatusForbidden)
			return
		}
		if _, alive := server.leaseDeadlines[item.Lease]; item.Lease != 0 && !alive {
			response.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range body.Put {
		server.put(item)
	}
	for _, key := range body.Remove {
		server.remove(key)
	}
	writeJSON(response, http.StatusOK, map[string]any{"rev": server.revision})
}

func (server *Server) grantLease(response http.ResponseWriter, request *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(response, err.Error(), http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.revision++
	length := time.Duration(body.TTL) * time.Millisecond
	server.leaseDeadlines[server.revision] = time.Now().Add(length)
	server.leaseTTLs[server.revision] = length
	writeJSON(response, http.StatusOK, map[string]any{"lease": server.revision, "ttl_ms": body.TTL})
}

func (server *Server) renewLease(response http.ResponseWriter, request *http.Request) {
	lease, _ := strconv.ParseUint(request.PathValue("lease"), 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, alive := server.leaseDeadlines[lease]; !alive {
		response.WriteHeader(http.StatusNotFound)
		return
	}
	server.leaseDeadlines[lease] = time.Now().Add(server.leaseTTLs[lease])
	writeJSON(response, http.StatusOK, map[string]any{"ttl_ms": server.leaseTTLs[lease].Milliseconds()})
}

func (server *Server) endLease(response http.ResponseWriter, request *http.Request) {
	lease, _ := strconv.ParseUint(request.PathValue("lease"), 10, 64)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.endLeaseLocked(lease)
	response.WriteHeader(http.StatusOK)
}
