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
	HeaderRequest  = "X-Request"
	HeaderOnce     = "Idempotency-Key"
	HeaderDeadline = "X-Deadline-Milliseconds"
	HeaderService  = "X-Service"
	HeaderBackend  = "X-Backend"
	HeaderNotRun   = "X-Not-Run"
)

// Settings describe one back end.
type Settings struct {
	Name, Service string
	// Address is the service's inner address; Tunnel takes its packets.
	Address netip.AddrPort
	Tunnel  string
	// Control serves reports, counts and faults.
	Control string
	// Slots is how many requests run at a time; Queue how many may wait.
	Slots, Queue int
	// Connections is the bound on open connections.
	Connections int
	// WorkTime is how long a request runs; ColdTime for how long after the
	// start it takes ColdFactor times as long.
	WorkTime, ColdTime time.Duration
}

const coldFactor = 4

// Faults are what can be switched on.
type Faults struct {
	// LagMilliseconds makes the reports show the past.
	LagMilliseconds int `json:"lag_milliseconds"`
	// Lie replaces the reported load when it is 0 or more.
	Lie *float64 `json:"lie"`
	// Leaving is reported as the machine's state.
	Leaving bool `json:"leaving"`
}

// Counts are what the back end has seen.
type Counts struct {
	// Runs counts the executions by idempotency key.
	Runs map[string]int `json:"runs"`
	// Served and Shed count requests; Opened counts connections.
	Served uint64 `json:"served"`
	Shed   uint64 `json:"shed"`
	Opened uint64 `json:"opened"`
	Open   int64  `json:"open"`
	// LastOpened is when the newest connection came, in Unix milliseconds.
	LastOpened int64 `json:"last_opened"`
	// Foreign counts packets for other services.
	Foreign uint64 `json:"foreign"`
}

// Backend is one back end.
type Backend struct {
	settings   Settings
	stack      *tunnel.Stack
	started    time.Time
	slots      chan struct{}
	waiting    atomic.Int64
	busy       atomic.Int64
	open       atomic.Int64
	opened     atomic.Uint64
	lastOpened atomic.Int64
	served     atomic.Uint64
	shed       atomic.Uint64
	mutex      sync.Mutex
	runs       map[string]int
	faults     Faults
	history    []sample
}

type sample struct {
	at   time.Time
	load float64
}

// New opens the back end's tunnel.
func New(settings Settings) (*Backend, error) {
	stack, err := tunnel.New(settings.Tunnel, []string{settings.Address.Addr().String()}, tunnel.CallerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "back end %s", settings.Name)
	}
	return &Backend{
		settings: settings,
		stack:    stack,
		started:  time.Now(),
		slots:    make(chan struct{}, max(1, settings.Slots)),
		runs:     make(map[string]int),
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
	server := &http.Server{Handler: http.HandlerFunc(backend.serve), ConnState: backend.noteConnection}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return errors.Wrapf(err, "back end %s: serve", backend.settings.Name)
	}
	return nil
}

func (backend *Backend) noteConnection(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		backend.opened.Add(1)
		backend.lastOpened.Store(time.Now().UnixMilli())
		if backend.open.Add(1) > int64(backend.settings.Connections) {
			_ = connection.Close()
		}
	case http.StateClosed, http.StateHijacked:
		backend.open.Add(-1)
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
	if !backend.enter(ctx) {
		backend.shed.Add(1)
		writer.Header().Set(HeaderNotRun, "true")
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "not run: busy", http.StatusServiceUnavailable)
		return
	}
	defer backend.leave()
	backend.note(request.Header.Get(HeaderOnce))
	backend.work()
	backend.served.Add(1)
	writer.Header().Set(HeaderRequest, request.Header.Get(HeaderRequest))
	writer.Header().Set(HeaderService, backend.settings.Service)
	writer.Header().Set(HeaderBackend, backend.settings.Name)
	_, _ = fmt.Fprintf(writer, "%s %s", request.Header.Get(HeaderRequest), body)
}

func (backend *Backend) enter(ctx context.Context) bool {
	if backend.waiting.Add(1) > int64(backend.settings.Queue+backend.settings.Slots) {
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

func (backend *Backend) leave() {
	backend.busy.Add(-1)
	<-backend.slots
}

func (backend *Backend) work() {
	duration := backend.settings.WorkTime
	if time.Since(backend.started) < backend.settings.ColdTime {
		duration *= coldFactor
	}
	time.Sleep(duration)
}

func (backend *Backend) note(once string) {
	if once == "" {
		return
	}
	backend.mutex.Lock()
	backend.runs[once]++
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
	runs := make(map[string]int, len(backend.runs))
	for key, count := range backend.runs {
		runs[key] = count
	}
	return Counts{
		Runs:       runs,
		Served:     backend.served.Load(),
		Shed:       backend.shed.Load(),
		Opened:     backend.opened.Load(),
		Open:       backend.open.Load(),
		LastOpened: backend.lastOpened.Load(),
		Foreign:    backend.stack.Foreign(),
	}
}

const (
	sampleInterval = 100 * time.Millisecond
	samplesKept    = 200
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
			backend.history = append(backend.history, sample{at: now, load: smoothed})
			if len(backend.history) > samplesKept {
				backend.history = backend.history[1:]
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
	until := time.Now().Add(-time.Duration(backend.faults.LagMilliseconds) * time.Millisecond)
	for _, past := range backend.history {
		if past.at.Before(until) {
			load = past.load
		}
	}
	if backend.faults.Lie != nil {
		load = *backend.faults.Lie
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
