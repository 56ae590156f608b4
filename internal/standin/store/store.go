// Package store is the stand-in of the platform's key-value service: keys with
// versions, compare-and-swap, watches by long poll, leases, a rate limit, and
// faults on command (outage, slow answers, answers lost after the write).
package store

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	client "github.com/indigobarrow/indigobarrow/internal/store"
)

// Faults are what can be switched on.
type Faults struct {
	// Outage answers everything with 503.
	Outage bool `json:"outage"`
	// DelayMilliseconds delays every answer.
	DelayMilliseconds int `json:"slow_milliseconds"`
	// LostResponses is the share of writes that take effect but answer 504.
	LostResponses float64 `json:"lost_answers"`
}

type value struct {
	data    []byte
	version uint64
	lease   string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Server is the service.
type Server struct {
	mutex   sync.Mutex
	values  map[string]value
	leases  map[string]*lease
	changed chan struct{}
	faults  Faults
	limiter *rate.Limiter
	// Requests counts all requests.
	requests uint64
}

// New makes a service that takes so many requests a second.
func New(requestsPerSecond float64) *Server {
	return &Server{
		values:  make(map[string]value),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond)+1),
	}
}

// SetFaults switches faults on or off.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	server.faults = faults
	server.mutex.Unlock()
}

// Handler returns the HTTP handler. Faults are set with PUT /faults.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key}", server.withFaults(server.get))
	mux.HandleFunc("PUT /v1/keys/{key}", server.withFaults(server.put))
	mux.HandleFunc("POST /v1/leases/{lease}", server.withFaults(server.renewLease))
	mux.HandleFunc("PUT /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		server.SetFaults(faults)
	})
	mux.HandleFunc("GET /requests", func(writer http.ResponseWriter, _ *http.Request) {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		_, _ = fmt.Fprintln(writer, server.requests)
	})
	return mux
}

func (server *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		server.mutex.Lock()
		faults := server.faults
		server.requests++
		server.mutex.Unlock()
		time.Sleep(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
		if faults.Outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if !server.limiter.Allow() {
			writer.Header().Set("Retry-After", "1")
			http.Error(writer, "too many requests", http.StatusTooManyRequests)
			return
		}
		next(writer, request)
	}
}

// get answers a key, at once or when its version is above "after".
func (server *Server) get(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		server.mutex.Lock()
		server.removeExpired()
		found := server.values[request.PathValue("key")]
		changed, outage := server.changed, server.faults.Outage
		server.mutex.Unlock()
		if outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		if found.version > after {
			writer.Header().Set(client.VersionHeader, strconv.FormatUint(found.version, 10))
			_, _ = writer.Write(found.data)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			http.Error(writer, "nothing newer", http.StatusNotFound)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) put(writer http.ResponseWriter, request *http.Request) {
	expected, err := strconv.ParseUint(request.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		http.Error(writer, "expect is missing", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.removeExpired()
	key := request.PathValue("key")
	if server.values[key].version != expected {
		http.Error(writer, "version conflict", http.StatusConflict)
		return
	}
	server.values[key] = value{data: data, version: expected + 1, lease: request.URL.Query().Get("lease")}
	server.notifyWatchers()
	if rand.Float64() < server.faults.LostResponses {
		http.Error(writer, "answer lost", http.StatusGatewayTimeout)
	}
}

// renewLease grants or renews a lease for ttl_ms.
func (server *Server) renewLease(writer http.ResponseWriter, request *http.Request) {
	ttl, err := strconv.Atoi(request.URL.Query().Get("ttl_ms"))
	if err != nil {
		http.Error(writer, "ttl_ms is missing", http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	duration := time.Duration(ttl) * time.Millisecond
	server.leases[request.PathValue("lease")] = &lease{ttl: duration, expires: time.Now().Add(duration)}
}

// removeExpired removes values whose lease has lapsed. The mutex is held.
func (server *Server) removeExpired() {
	now := time.Now()
	for key, found := range server.values {
		if found.lease == "" {
			continue
		}
		if held := server.leases[found.lease]; held == nil || now.After(held.expires) {
			delete(server.values, key)
			server.notifyWatchers()
		}
	}
}

func (server *Server) notifyWatchers() {
	close(server.changed)
	server.changed = make(chan struct{})
}
