// Package store simulates the platform's key-value service: versioned keys,
// compare-and-swap, long-poll watches, leases and a rate limit. Faults can be injected:
// outages, slow responses, and responses that are lost after the write.
//
// New creates a service, and Handler returns its HTTP API.
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

// Faults lists the faults that can be injected. Its JSON form is the body of
// PUT /faults.
type Faults struct {
	// Outage makes the service answer every request with status 503.
	Outage bool `json:"outage"`
	// DelayMilliseconds is added to every request before it is processed.
	DelayMilliseconds int `json:"slow_milliseconds"`
	// LostResponses is the fraction of writes that take effect but get status 504.
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

// Server is a simulated key-value service. Its zero value is not usable; call New. It is
// safe for concurrent use.
type Server struct {
	mutex  sync.Mutex
	values map[string]value
	leases map[string]*lease
	// changed is closed and replaced when watchers have to look again.
	changed chan struct{}
	faults  Faults
	limiter *rate.Limiter
	// requests counts all requests for keys and leases, including rejected ones.
	requests uint64
}

// New returns an empty service that accepts up to requestsPerSecond requests a second.
func New(requestsPerSecond float64) *Server {
	return &Server{
		values:  make(map[string]value),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond)+1),
	}
}

// SetFaults replaces the injected faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	server.faults = faults
	server.mutex.Unlock()
}

// Handler returns the handler of the service's HTTP API. Besides the API it has
// PUT /faults, which sets the faults, and GET /requests, which returns the number of
// requests.
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

// withFaults counts a request, and applies the injected faults and the rate limit.
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

// get returns the value of a key as soon as its version is above "after". It waits at
// most "wait_ms" milliseconds for that.
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

// put writes a value if the key still has the expected version.
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

// renewLease grants or renews a lease for "ttl_ms" milliseconds.
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

// removeExpired removes the values whose lease has expired. The mutex must be held.
func (server *Server) removeExpired() {
	now := time.Now()
	for key, stored := range server.values {
		if stored.lease == "" {
			continue
		}
		if granted := server.leases[stored.lease]; granted == nil || now.After(granted.expires) {
			delete(server.values, key)
			server.notifyWatchers()
		}
	}
}

// notifyWatchers wakes all pending reads. The mutex must be held.
func (server *Server) notifyWatchers() {
	close(server.changed)
	server.changed = make(chan struct{})
}
