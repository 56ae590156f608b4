// Package caller is the stand-in of readers and passengers: it holds
// connections open, sends requests on them and checks every answer.
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

// Settings describe one caller machine.
type Settings struct {
	Name string
	// InnerAddress is the caller's inner address, within fabric.CallerPrefix.
	InnerAddress netip.Addr
	// FabricAddress is the fabric's UDP address.
	FabricAddress string
	// Service is the name that every answer must carry, Target its address.
	Service string
	Target  netip.AddrPort
	// Connections is how many are held open; each carries Requests requests,
	// Interval apart, and is then closed and opened anew.
	Connections int
	Requests    int
	Interval    time.Duration
	// NonRetryableEvery is one in how many requests may not be repeated.
	NonRetryableEvery int
}

// Counts are what the caller has seen.
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
	// NotRunKeys and CompletedKeys list requests that may not be repeated.
	NotRunKeys         []string `json:"not_run_keys"`
	CompletedKeys      []string `json:"answered_keys"`
	UnknownOutcomeKeys []string `json:"unknown_keys"`
	LastError          string   `json:"last_error"`
}

// Add adds the counts of another caller.
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

// Caller is one caller machine.
type Caller struct {
	settings     Settings
	stack        *tunnel.Stack
	mutex        sync.Mutex
	counts       Counts
	requestCount atomic.Uint64
	// finishing makes connections end after their present request.
	finishing atomic.Bool
}

const (
	dialTimeout    = 20 * time.Second
	requestTimeout = 30 * time.Second
	reopenDelay    = 200 * time.Millisecond
	maximumKeys    = 100_000
)

// New opens the caller's tunnel.
func New(settings Settings) (*Caller, error) {
	fabric, err := net.ResolveUDPAddr("udp4", settings.FabricAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "caller %s: fabric", settings.Name)
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

// Run holds the connections until the context ends.
func (caller *Caller) Run(ctx context.Context) {
	go caller.stack.Run(ctx)
	var group sync.WaitGroup
	for number := range caller.settings.Connections {
		group.Add(1)
		go func() {
			defer group.Done()
			spread := caller.settings.Interval * time.Duration(number) / time.Duration(caller.settings.Connections)
			sleep(ctx, spread)
			for ctx.Err() == nil && !caller.finishing.Load() {
				caller.runConnection(ctx)
				sleep(ctx, reopenDelay)
			}
		}()
	}
	group.Wait()
}

// Finish lets the connections end after their present request.
func (caller *Caller) Finish() { caller.finishing.Store(true) }

// runConnection opens one connection, sends its requests and closes it.
func (caller *Caller) runConnection(ctx context.Context) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	connection, err := caller.stack.Dial(dialing, caller.settings.Target)
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

// request sends one request and checks the answer. It reports whether the
// connection can go on. A request without a whole answer is of unknown fate:
// it is never sent again.
func (caller *Caller) request(ctx context.Context, connection net.Conn, reader *bufio.Reader) bool {
	number := caller.requestCount.Add(1)
	id := fmt.Sprintf("%s-%d", caller.settings.Name, number)
	once := ""
	if caller.settings.NonRetryableEvery > 0 && number%uint64(caller.settings.NonRetryableEvery) == 0 {
		once = id
	}
	_ = connection.SetDeadline(time.Now().Add(requestTimeout))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+caller.settings.Target.String()+"/", strings.NewReader("body of "+id))
	if err != nil {
		return false
	}
	request.Header.Set(backend.HeaderRequest, id)
	if once != "" {
		request.Header.Set(backend.HeaderIdempotencyKey, once)
	}
	if err := request.Write(connection); err != nil {
		return caller.countLostConnection(ctx, once, err)
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return caller.countLostConnection(ctx, once, err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return caller.countLostConnection(ctx, once, err)
	}
	caller.countResponse(id, once, response, string(body))
	return true
}

func (caller *Caller) countResponse(id, once string, response *http.Response, body string) {
	caller.updateCounts(func(counts *Counts) {
		switch {
		case response.Header.Get(backend.HeaderNotRun) != "":
			counts.NotRun++
			counts.NotRunKeys = appendKey(counts.NotRunKeys, once)
		case response.StatusCode == http.StatusOK && body == id+" body of "+id &&
			response.Header.Get(backend.HeaderService) == caller.settings.Service:
			counts.Responses++
			counts.CompletedKeys = appendKey(counts.CompletedKeys, once)
		default:
			counts.WrongResponses++
			counts.LastError = fmt.Sprintf("request %s: status %d, service %s, body %q", id,
				response.StatusCode, response.Header.Get(backend.HeaderService), body)
		}
	})
}

func (caller *Caller) countLostConnection(ctx context.Context, once string, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	caller.updateCounts(func(counts *Counts) {
		counts.Broken++
		counts.LastError = err.Error()
		if once != "" {
			counts.UnknownOutcomes++
			counts.UnknownOutcomeKeys = appendKey(counts.UnknownOutcomeKeys, once)
		}
	})
	return false
}

func appendKey(keys []string, key string) []string {
	if key == "" || len(keys) >= maximumKeys {
		return keys
	}
	return append(keys, key)
}

func (caller *Caller) updateCounts(change func(*Counts)) {
	caller.mutex.Lock()
	change(&caller.counts)
	caller.mutex.Unlock()
}

// Counts returns what the caller has seen.
func (caller *Caller) Counts() Counts {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	copied := caller.counts
	copied.NotRunKeys = append([]string(nil), copied.NotRunKeys...)
	copied.CompletedKeys = append([]string(nil), copied.CompletedKeys...)
	copied.UnknownOutcomeKeys = append([]string(nil), copied.UnknownOutcomeKeys...)
	return copied
}

// Handler returns the control endpoint: GET /counts and PUT /finish.
func (caller *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(caller.Counts())
	})
	mux.HandleFunc("PUT /finish", func(http.ResponseWriter, *http.Request) { caller.Finish() })
	return mux
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
