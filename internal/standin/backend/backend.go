// Package backend simulates a back end: a machine that serves one service over real
// TCP, with 2 request slots and about 2,000 connections. It sheds load, drains, is
// slow after a cold start, honors request deadlines, and reports its own health and
// load. Its reports can be delayed or falsified on command.
//
// New opens the back end's tunnel, Run serves requests, and Handler serves reports,
// counts and fault injection.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/tunnel"
)

// These are the headers of requests and responses.
const (
	HeaderRequest        = "X-Request"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline-Milliseconds"
	HeaderService        = "X-Service"
	HeaderBackend        = "X-Backend"
	HeaderNotRun         = "X-Not-Run"
)

// Settings configures one back end.
type Settings struct {
	Name, Service string
	// Address is the address of the service inside the tunnel. TunnelAddress is the
	// UDP address that receives its packets.
	Address       netip.AddrPort
	TunnelAddress string
	// ControlAddress is the HTTP address for reports, counts and faults.
	ControlAddress string
	// Slots is the number of requests that run concurrently, QueueLength the number
	// that may wait for a slot.
	Slots, QueueLength int
	// MaximumConnections is the limit on open connections. Further ones are closed at
	// once.
	MaximumConnections int
	// ServiceTime is how long a request runs. For ColdStartTime after the start a
	// request takes coldStartFactor times as long.
	ServiceTime, ColdStartTime time.Duration
}

// coldStartFactor multiplies the service time during a cold start.
const coldStartFactor = 4

// Faults lists the faults that can be injected into a back end's reports. Its JSON
// form is the body of PUT /faults.
type Faults struct {
	// ReportLagMilliseconds makes reports show the load of so many milliseconds ago. The
	// load is 0 if that is before the oldest sample kept.
	ReportLagMilliseconds int `json:"lag_milliseconds"`
	// FalseLoad replaces the reported load unless it is nil.
	FalseLoad *float64 `json:"lie"`
	// Leaving makes the reports give the state "leaving" instead of "live".
	Leaving bool `json:"leaving"`
}

// Counts holds the statistics of a back end. Its JSON form is the body of
// GET /counts.
type Counts struct {
	// Executions holds the number of executions by idempotency key.
	Executions map[string]int `json:"runs"`
	// Served and Shed count requests. OpenedConnections counts all connections that
	// were opened, OpenConnections those that are open now.
	Served            uint64 `json:"served"`
	Shed              uint64 `json:"shed"`
	OpenedConnections uint64 `json:"opened"`
	OpenConnections   int64  `json:"open"`
	// LastOpened is the time when the latest connection was opened, as Unix time in
	// milliseconds.
	LastOpened int64 `json:"last_opened"`
	// MisroutedPackets counts packets whose inner address is that of another
	// service.
	MisroutedPackets uint64 `json:"foreign"`
}

// Backend is one simulated back end. It is safe for concurrent use.
type Backend struct {
	settings          Settings
	stack             *tunnel.Stack
	started           time.Time
	slots             chan struct{}
	waiting           atomic.Int64
	busy              atomic.Int64
	openConnections   atomic.Int64
	openedConnections atomic.Uint64
	lastOpened        atomic.Int64
	served            atomic.Uint64
	shed              atomic.Uint64
	mutex             sync.Mutex
	executions        map[string]int
	faults            Faults
	loadSamples       []loadSample
}

// loadSample is the smoothed load at one time.
type loadSample struct {
	at   time.Time
	load float64
}

// New returns a back end with an open tunnel. Call Run to serve requests.
func New(settings Settings) (*Backend, error) {
	stack, err := tunnel.New(settings.TunnelAddress, []string{settings.Address.Addr().String()}, tunnel.CallerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s", settings.Name)
	}
	return &Backend{
		settings:   settings,
		stack:      stack,
		started:    time.Now(),
		slots:      make(chan struct{}, max(1, settings.Slots)),
		executions: make(map[string]int),
	}, nil
}

// Run serves requests until the context ends.
func (backend *Backend) Run(ctx context.Context) error {
	listener, err := backend.stack.Listen(backend.settings.Address)
	if err != nil {
		return err
	}
	go backend.stack.Run(ctx)
	go backend.sampleLoad(ctx)
	server := &http.Server{Handler: http.HandlerFunc(backend.serve), ConnState: backend.trackConnection}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return errors.Wrapf(err, "back end %s: serve", backend.settings.Name)
	}
	return nil
}

// trackConnection counts connections, and closes those above the limit.
func (backend *Backend) trackConnection(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		backend.openedConnections.Add(1)
		backend.lastOpened.Store(time.Now().UnixMilli())
		if backend.openConnections.Add(1) > int64(backend.settings.MaximumConnections) {
			_ = connection.Close()
		}
	case http.StateClosed, http.StateHijacked:
		backend.openConnections.Add(-1)
	}
}

// serve handles one request. It waits for a slot until the request's deadline, and
// sheds a request that finds the queue full or would wait too long. The response to
// a shed request says that the request has not run.
func (backend *Backend) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 1<<16))
	if err != nil {
		return
	}
	ctx := request.Context()
	if text := request.Header.Get(HeaderDeadline); text != "" {
		if deadline, err := strconv.Atoi(text); err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
			defer cancel()
		}
	}
	if !backend.acquireSlot(ctx) {
		backend.shed.Add(1)
		writer.Header().Set(HeaderNotRun, "true")
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "not run: busy", http.StatusServiceUnavailable)
		return
	}
	defer backend.releaseSlot()
	backend.countExecution(request.Header.Get(HeaderIdempotencyKey))
	backend.simulateWork()
	backend.served.Add(1)
	writer.Header().Set(HeaderRequest, request.Header.Get(HeaderRequest))
	writer.Header().Set(HeaderService, backend.settings.Service)
	writer.Header().Set(HeaderBackend, backend.settings.Name)
	_, _ = fmt.Fprintf(writer, "%s %s", request.Header.Get(HeaderRequest), body)
}

// acquireSlot waits for a free slot and reports whether it got one. It fails if the
// queue is full or the context ends.
func (backend *Backend) acquireSlot(ctx context.Context) bool {
	if backend.waiting.Add(1) > int64(backend.settings.QueueLength+backend.settings.Slots) {
		backend.waiting.Add(-1)
		return false
	}
	defer backend.waiting.Add(-1)
	select {
	case backend.slots <- struct{}{}:
		backend.busy.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (backend *Backend) releaseSlot() {
	backend.busy.Add(-1)
	<-backend.slots
}

// simulateWork sleeps for the service time, which is longer during a cold start.
func (backend *Backend) simulateWork() {
	duration := backend.settings.ServiceTime
	if time.Since(backend.started) < backend.settings.ColdStartTime {
		duration *= coldStartFactor
	}
	time.Sleep(duration)
}

// countExecution counts the execution of a request that carries an idempotency key.
func (backend *Backend) countExecution(idempotencyKey string) {
	if idempotencyKey == "" {
		return
	}
	backend.mutex.Lock()
	backend.executions[idempotencyKey]++
	backend.mutex.Unlock()
}

// SetFaults replaces the faults injected into the reports.
func (backend *Backend) SetFaults(faults Faults) {
	backend.mutex.Lock()
	backend.faults = faults
	backend.mutex.Unlock()
}

// Counts returns the back end's statistics so far.
func (backend *Backend) Counts() Counts {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	executions := make(map[string]int, len(backend.executions))
	for key, count := range backend.executions {
		executions[key] = count
	}
	return Counts{
		Executions:        executions,
		Served:            backend.served.Load(),
		Shed:              backend.shed.Load(),
		OpenedConnections: backend.openedConnections.Load(),
		OpenConnections:   backend.openConnections.Load(),
		LastOpened:        backend.lastOpened.Load(),
		MisroutedPackets:  backend.stack.MisroutedPackets(),
	}
}

const (
	sampleInterval = 100 * time.Millisecond
	maximumSamples = 200
)

// sampleLoad records the exponentially smoothed load at each sample interval until
// the context ends.
func (backend *Backend) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	smoothed := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			utilization := float64(backend.busy.Load()) / float64(max(1, backend.settings.Slots))
			smoothed += (utilization - smoothed) / 10
			backend.mutex.Lock()
			backend.loadSamples = append(backend.loadSamples, loadSample{at: now, load: smoothed})
			if len(backend.loadSamples) > maximumSamples {
				backend.loadSamples = backend.loadSamples[1:]
			}
			backend.mutex.Unlock()
		}
	}
}

// report returns the back end's report, delayed or falsified according to the
// injected faults.
func (backend *Backend) report() map[string]any {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	load := 0.0
	cutoff := time.Now().Add(-time.Duration(backend.faults.ReportLagMilliseconds) * time.Millisecond)
	for _, sample := range backend.loadSamples {
		if sample.at.Before(cutoff) {
			load = sample.load
		}
	}
	if backend.faults.FalseLoad != nil {
		load = *backend.faults.FalseLoad
	}
	state := "live"
	if backend.faults.Leaving {
		state = "leaving"
	}
	return map[string]any{"healthy": true, "load": load, "state": state}
}

// Handler returns the handler of the control endpoint, with GET /v1/report,
// GET /counts and PUT /faults.
func (backend *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(backend.report())
	})
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(backend.Counts())
	})
	mux.HandleFunc("PUT /faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		backend.SetFaults(faults)
	})
	return mux
}
