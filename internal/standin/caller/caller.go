// Package caller simulates a machine with the users' clients (readers and
// passengers). It keeps TCP connections to a service open, sends requests on them
// and checks every response.
//
// New opens the machine's tunnel, Run keeps the connections until its context ends,
// and Counts returns the results. Handler serves the results over HTTP.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/backend"
	"github.com/indigobarrow/indigobarrow/internal/standin/tunnel"
)

// Settings configures one caller machine.
type Settings struct {
	Name string
	// InnerAddress is the caller's address inside the tunnel, within
	// fabric.CallerPrefix.
	InnerAddress netip.Addr
	// FabricAddress is the UDP address of the simulated fabric.
	FabricAddress string
	// Service is the service name that every response must carry. Target is the
	// address of the service.
	Service string
	Target  netip.AddrPort
	// Connections is the number of connections kept open. Each carries Requests
	// requests, Interval apart, and is then closed and replaced by a new one.
	Connections int
	Requests    int
	Interval    time.Duration
	// NonRetryableEvery makes one in so many requests carry an idempotency key: it
	// may not be repeated. With 0 no request carries one.
	NonRetryableEvery int
}

// Counts holds the results of a caller. Its JSON form is the body of GET /counts.
type Counts struct {
	Flows           uint64 `json:"flows"`
	Responses       uint64 `json:"answers"`
	Broken          uint64 `json:"broken"`
	Refused         uint64 `json:"refused"`
	NotRun          uint64 `json:"not_run"`
	UnknownOutcomes uint64 `json:"unknown"`
	WrongResponses  uint64 `json:"wrong"`
	FailedOpens     uint64 `json:"unopened"`
	Open            int64  `json:"open"`
	// NotRunKeys, CompletedKeys and UnknownOutcomeKeys list the idempotency keys of
	// the requests that may not be repeated, by outcome.
	NotRunKeys         []string `json:"not_run_keys"`
	CompletedKeys      []string `json:"answered_keys"`
	UnknownOutcomeKeys []string `json:"unknown_keys"`
	LastError          string   `json:"last_error"`
}

// Add adds the counts of another caller to counts. Its last error, if any, replaces
// the present one.
func (counts *Counts) Add(other Counts) {
	counts.Flows += other.Flows
	counts.Responses += other.Responses
	counts.Broken += other.Broken
	counts.Refused += other.Refused
	counts.NotRun += other.NotRun
	counts.UnknownOutcomes += other.UnknownOutcomes
	counts.WrongResponses += other.WrongResponses
	counts.FailedOpens += other.FailedOpens
	counts.Open += other.Open
	counts.NotRunKeys = append(counts.NotRunKeys, other.NotRunKeys...)
	counts.CompletedKeys = append(counts.CompletedKeys, other.CompletedKeys...)
	counts.UnknownOutcomeKeys = append(counts.UnknownOutcomeKeys, other.UnknownOutcomeKeys...)
	if other.LastError != "" {
		counts.LastError = other.LastError
	}
}

// Caller is one simulated caller machine. It is safe for concurrent use.
type Caller struct {
	settings     Settings
	stack        *tunnel.Stack
	mutex        sync.Mutex
	counts       Counts
	requestCount atomic.Uint64
	// finishing makes connections end after their current request.
	finishing atomic.Bool
}

const (
	dialTimeout    = 20 * time.Second
	requestTimeout = 30 * time.Second
	reopenDelay    = 200 * time.Millisecond
	maximumKeys    = 100_000
)

// New returns a caller with an open tunnel. Call Run to start it.
func New(settings Settings) (*Caller, error) {
	fabric, err := net.ResolveUDPAddr("udp4", settings.FabricAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "caller %s: resolve fabric address", settings.Name)
	}
	listen := tunnel.CallerAddress(settings.InnerAddress)
	if listen == nil {
		return nil, errors.Newf("caller %s: inner address %s does not start with 10", settings.Name, settings.InnerAddress)
	}
	stack, err := tunnel.New(listen.String(), []string{settings.InnerAddress.String()},
		func(netip.Addr) *net.UDPAddr { return fabric })
	if err != nil {
		return nil, errors.Wrapf(err, "caller %s", settings.Name)
	}
	return &Caller{settings: settings, stack: stack}, nil
}

// Run keeps the connections open until the context ends or, after Finish, until the
// last connection has ended.
func (caller *Caller) Run(ctx context.Context) {
	go caller.stack.Run(ctx)
	var group sync.WaitGroup
	for number := range caller.settings.Connections {
		group.Add(1)
		go func() {
			defer group.Done()
			startDelay := caller.settings.Interval * time.Duration(number) / time.Duration(caller.settings.Connections)
			sleep(ctx, startDelay)
			for ctx.Err() == nil && !caller.finishing.Load() {
				caller.runConnection(ctx)
				sleep(ctx, reopenDelay)
			}
		}()
	}
	group.Wait()
}

// Finish makes the connections end after their current request.
func (caller *Caller) Finish() { caller.finishing.Store(true) }

// runConnection opens one connection, sends its requests and closes it. It counts
// the connection as open meanwhile.
func (caller *Caller) runConnection(ctx context.Context) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	connection, err := caller.stack.Dial(dialContext, caller.settings.Target)
	cancel()
	if err != nil {
		caller.countDialFailure(ctx, err)
		return
	}
	defer func() { _ = connection.Close() }()
	caller.updateCounts(func(counts *Counts) { counts.Flows++; counts.Open++ })
	defer caller.updateCounts(func(counts *Counts) { counts.Open-- })
	reader := bufio.NewReader(connection)
	for range caller.settings.Requests {
		if !caller.request(ctx, connection, reader) || ctx.Err() != nil || caller.finishing.Load() {
			return
		}
		sleep(ctx, caller.settings.Interval)
	}
}

// countDialFailure counts a failed dial as refused or as a failed open, unless the
// context has ended.
func (caller *Caller) countDialFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	caller.updateCounts(func(counts *Counts) {
		if strings.Contains(err.Error(), "refused") {
			counts.Refused++
			return
		}
		counts.FailedOpens++
		counts.LastError = err.Error()
	})
}

// request sends one request and checks the response. It reports whether the
// connection can be used further. The outcome of a request without a complete
// response is unknown, so it is never sent again.
func (caller *Caller) request(ctx context.Context, connection net.Conn, reader *bufio.Reader) bool {
	number := caller.requestCount.Add(1)
	id := fmt.Sprintf("%s-%d", caller.settings.Name, number)
	idempotencyKey := ""
	if caller.settings.NonRetryableEvery > 0 && number%uint64(caller.settings.NonRetryableEvery) == 0 {
		idempotencyKey = id
	}
	_ = connection.SetDeadline(time.Now().Add(requestTimeout))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+caller.settings.Target.String()+"/", strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	request.Header.Set(backend.HeaderRequest, id)
	if idempotencyKey != "" {
		request.Header.Set(backend.HeaderIdempotencyKey, idempotencyKey)
	}
	if err := request.Write(connection); err != nil {
		return caller.countLostConnection(ctx, idempotencyKey, err)
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return caller.countLostConnection(ctx, idempotencyKey, err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return caller.countLostConnection(ctx, idempotencyKey, err)
	}
	caller.countResponse(id, idempotencyKey, response, string(body))
	return true
}

// countResponse counts a request by its response: not run by the back end, correct,
// or wrong.
func (caller *Caller) countResponse(id, idempotencyKey string, response *http.Response, body string) {
	caller.updateCounts(func(counts *Counts) {
		switch {
		case response.Header.Get(backend.HeaderNotRun) != "":
			counts.NotRun++
			counts.NotRunKeys = appendKey(counts.NotRunKeys, idempotencyKey)
		case response.StatusCode == http.StatusOK && body == id+" body of "+id &&
			response.Header.Get(backend.HeaderService) == caller.settings.Service:
			counts.Responses++
			counts.CompletedKeys = appendKey(counts.CompletedKeys, idempotencyKey)
		default:
			counts.WrongResponses++
			counts.LastError = fmt.Sprintf("request %s: status %d, service %s, body %q", id,
				response.StatusCode, response.Header.Get(backend.HeaderService), body)
		}
	})
}

// countLostConnection counts a connection that broke during a request, unless the
// context has ended. It always returns false.
func (caller *Caller) countLostConnection(ctx context.Context, idempotencyKey string, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	caller.updateCounts(func(counts *Counts) {
		counts.Broken++
		counts.LastError = err.Error()
		if idempotencyKey != "" {
			counts.UnknownOutcomes++
			counts.UnknownOutcomeKeys = appendKey(counts.UnknownOutcomeKeys, idempotencyKey)
		}
	})
	return false
}

// appendKey appends a key unless it is empty or the list is full.
func appendKey(keys []string, key string) []string {
	if key == "" || len(keys) >= maximumKeys {
		return keys
	}
	return append(keys, key)
}

func (caller *Caller) updateCounts(update func(*Counts)) {
	caller.mutex.Lock()
	update(&caller.counts)
	caller.mutex.Unlock()
}

// Counts returns a copy of the caller's results so far.
func (caller *Caller) Counts() Counts {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	snapshot := caller.counts
	snapshot.NotRunKeys = append([]string(nil), snapshot.NotRunKeys...)
	snapshot.CompletedKeys = append([]string(nil), snapshot.CompletedKeys...)
	snapshot.UnknownOutcomeKeys = append([]string(nil), snapshot.UnknownOutcomeKeys...)
	return snapshot
}

// Handler returns the handler of the control endpoint, with GET /counts and
// PUT /finish.
func (caller *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(caller.Counts())
	})
	mux.HandleFunc("PUT /finish", func(http.ResponseWriter, *http.Request) { caller.Finish() })
	return mux
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
