// Package backend is the stand-in of a back end: a machine that serves one
// service over real TCP with 2 slots and about 2,000 connections, sheds load,
// drains, starts cold, heeds deadlines, and reports its own health and load,
// late or falsely on command.
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

// The headers of requests and answers.
const (
	HeaderRequest        = "X-Request"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline-Milliseconds"
	HeaderService        = "X-Service"
	HeaderBackend        = "X-Backend"
	HeaderNotRun         = "X-Not-Run"
)

// Settings describe one back end.
type Settings struct {
	Name, Service string
	// Address is the service's inner address; Tunnel takes its packets.
	Address       netip.AddrPort
	TunnelAddress string
	// ControlAddress serves reports, counts and faults.
	ControlAddress string
	// Slots is how many requests run at a time; Queue how many may wait.
	Slots, QueueLength int
	// MaximumConnections is the bound on open connections.
	MaximumConnections int
	// ServiceTime is how long a request runs; ColdStartTime for how long after the
	// start it takes ColdFactor times as long.
	ServiceTime, ColdStartTime time.Duration
}

const coldStartFactor = 4

// Faults are what can be switched on.
type Faults struct {
	// ReportLagMilliseconds makes the reports show the past.
	ReportLagMilliseconds int `json:"lag_milliseconds"`
	// FalseLoad replaces the reported load when it is 0 or more.
	FalseLoad *float64 `json:"lie"`
	// Leaving is reported as the machine's state.
	Leaving bool `json:"leaving"`
}

// Counts are what the back end has seen.
type Counts struct {
	// Executions counts the executions by idempotency key.
	Executions map[string]int `json:"runs"`
	// Served and Shed count requests; Opened counts connections.
	Served            uint64 `json:"served"`
	Shed              uint64 `json:"shed"`
	OpenedConnections uint64 `json:"opened"`
	OpenConnections   int64  `json:"open"`
	// LastOpened is when the newest connection came, in Unix milliseconds.
	LastOpened int64 `json:"last_opened"`
	// MisroutedPackets counts packets for other services.
	MisroutedPackets uint64 `json:"foreign"`
}

// Backend is one back end.
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

type loadSample struct {
	at   time.Time
	load float64
}

// New opens the back end's tunnel.
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

// Run serves until the context ends.
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

// serve runs one request: it waits for a slot, within the request's deadline,
// and sheds what would wait too long. What is shed has not run, and says so.
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

func (backend *Backend) simulateWork() {
	duration := backend.settings.ServiceTime
	if time.Since(backend.started) < backend.settings.ColdStartTime {
		duration *= coldStartFactor
	}
	time.Sleep(duration)
}

func (backend *Backend) countExecution(once string) {
	if once == "" {
		return
	}
	backend.mutex.Lock()
	backend.executions[once]++
	backend.mutex.Unlock()
}

// SetFaults switches faults on or off.
func (backend *Backend) SetFaults(faults Faults) {
	backend.mutex.Lock()
	backend.faults = faults
	backend.mutex.Unlock()
}

// Counts returns what the back end has seen.
func (backend *Backend) Counts() Counts {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	runs := make(map[string]int, len(backend.executions))
	for key, count := range backend.executions {
		runs[key] = count
	}
	return Counts{
		Executions:        runs,
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

func (backend *Backend) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	smoothed := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			present := float64(backend.busy.Load()) / float64(max(1, backend.settings.Slots))
			smoothed += (present - smoothed) / 10
			backend.mutex.Lock()
			backend.loadSamples = append(backend.loadSamples, loadSample{at: now, load: smoothed})
			if len(backend.loadSamples) > maximumSamples {
				backend.loadSamples = backend.loadSamples[1:]
			}
			backend.mutex.Unlock()
		}
	}
}

// report is the load as the report shows it: late or false if so commanded.
func (backend *Backend) report() map[string]any {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	load := 0.0
	until := time.Now().Add(-time.Duration(backend.faults.ReportLagMilliseconds) * time.Millisecond)
	for _, past := range backend.loadSamples {
		if past.at.Before(until) {
			load = past.load
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

// Handler returns the control endpoint: GET /v1/report, GET /counts and PUT
// /faults.
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
