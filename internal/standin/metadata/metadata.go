// Package metadata simulates the platform's metadata store for tests and
// demonstrations. It is written from the store's published documentation: keys
// share one increasing revision, and the HTTP API has paged ranges, long-poll
// watches, transactions and leases. Faults can be injected, and the store can be
// restored from a backup.
//
// New creates a store, and Handler returns its HTTP API. Put and Remove write keys
// as operators and back ends do.
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

// Faults lists the faults that can be injected into the store.
type Faults struct {
	// Unavailable makes the store answer every call with status 503.
	Unavailable bool
	// Unresponsive makes the store leave every call without a response.
	Unresponsive bool
	// Throttled makes the store answer every call with status 429.
	Throttled bool
	// Delay is added to every call before it is processed.
	Delay time.Duration
	// WriteDelay is added to every call that writes. The write takes effect
	// whether or not its caller still waits for the response.
	WriteDelay time.Duration
}

// Item is one key with its value, or one event of a watch. Deleted marks the
// removal of a key.
type Item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"rev"`
	CreateRevision uint64 `json:"created,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"gone,omitempty"`
}

// Server is a simulated metadata store. Its zero value is not usable; call New.
// It is safe for concurrent use.
type Server struct {
	mutex    sync.Mutex
	pageSize int
	revision uint64
	// compactRevision is the revision up to which the history has been dropped.
	compactRevision uint64
	items           map[string]Item
	history         []Item
	leaseDeadlines  map[uint64]time.Time
	leaseTTLs       map[uint64]time.Duration
	// changed is closed and replaced when watchers have to look again.
	changed chan struct{}
	faults  Faults
	// era counts how often the store was restored from a backup.
	era atomic.Uint64
	// callerFaults holds the faults by the caller's IP address.
	callerFaults map[string]Faults
	// callCounts holds the number of calls by the first path segment after /api/.
	callCounts map[string]int
}

// New returns an empty store whose ranges are read in pages of at most pageSize
// items.
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

// SetFaults replaces the faults injected into all calls.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.notifyWatchers()
}

// SetCallerFaults replaces the faults injected into calls from an IP address. They
// take precedence over those for all callers; the zero value removes them.
func (server *Server) SetCallerFaults(ip string, faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.callerFaults[ip] = faults
}

// requestFaults returns the faults for a request: those set for its caller, or else
// those set for all callers. The mutex must be held.
func (server *Server) requestFaults(request *http.Request) Faults {
	ip, _, _ := net.SplitHostPort(request.RemoteAddr)
	return cmp.Or(server.callerFaults[ip], server.faults)
}

// Calls returns the number of calls by the first path segment after /api/.
func (server *Server) Calls() map[string]int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	counts := make(map[string]int, len(server.callCounts))
	for path, count := range server.callCounts {
		counts[path] = count
	}
	return counts
}

// Put writes a key without a lease, as an operator or a back end does, and returns
// the new revision.
func (server *Server) Put(key string, value []byte) uint64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.put(Item{Key: key, Value: value})
	return server.revision
}

// HasValue reports whether a key exists with this value.
func (server *Server) HasValue(key string, value []byte) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	item, found := server.items[key]
	return found && bytes.Equal(item.Value, value)
}

// Remove removes a key, if it exists.
func (server *Server) Remove(key string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.remove(key)
}

// Compact drops the history, so that watches after an earlier revision get status
// 410.
func (server *Server) Compact() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.compactRevision, server.history = server.revision, nil
	server.notifyWatchers()
}

func (server *Server) put(item Item) {
	server.revision++
	item.Revision, item.CreateRevision = server.revision, server.revision
	if existing, found := server.items[item.Key]; found {
		item.CreateRevision = existing.CreateRevision
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

// notifyWatchers wakes all pending watches. The mutex must be held.
func (server *Server) notifyWatchers() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// Handler returns the handler of the store's HTTP API.
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

// withFaults counts a call, expires leases and applies the injected faults.
func (server *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(underlying http.ResponseWriter, request *http.Request) {
		response := eraWriter{underlying, server}
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
	for lease, deadline := range server.leaseDeadlines {
		if now.After(deadline) {
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
	ttl := time.Duration(body.TTL) * time.Millisecond
	server.leaseDeadlines[server.revision] = time.Now().Add(ttl)
	server.leaseTTLs[server.revision] = ttl
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
