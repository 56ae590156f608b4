package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

// The stand-ins of a network whose packets carry tokens.

const (
	// checksumKey is the key of the packets' sums; all stand-ins of a network share it.
	checksumKey = 4711
	// refreshInterval is how often a back end writes its entry.
	refreshInterval = 500 * time.Millisecond
	// drainTime is how long a back end serves on after it has said that it leaves.
	drainTime = 4 * time.Second
	// pageSize is how many entries the store gives at once.
	pageSize = 500
)

func metadataCommand() *cli.Command {
	return &cli.Command{
		Name:  "metadata",
		Usage: "metadata store; PUT and DELETE /operator/KEY write as operators and back ends do, POST /copy and /restore play a drill",
		Flags: []cli.Flag{stringFlag("listen", "127.0.0.1:8169", "HTTP address")},
		Action: func(ctx context.Context, command *cli.Command) error {
			store := metadata.New(pageSize)
			mux := http.NewServeMux()
			mux.Handle("/api/", store.Handler())
			mux.HandleFunc("PUT /operator/{key...}", func(response http.ResponseWriter, request *http.Request) {
				value, err := io.ReadAll(request.Body)
				if err != nil {
					http.Error(response, err.Error(), http.StatusBadRequest)
					return
				}
				store.Put(request.PathValue("key"), value)
			})
			mux.HandleFunc("DELETE /operator/{key...}", func(_ http.ResponseWriter, request *http.Request) {
				store.Remove(request.PathValue("key"))
			})
			handleBackups(mux, store)
			return serve(ctx, command.String("listen"), mux)
		},
	}
}

// handleBackups lets callers take a copy of the store and put the store back to it. Back ends
// write again by themselves, and operators have to.
func handleBackups(mux *http.ServeMux, store *metadata.Server) {
	var mutex sync.Mutex
	copied := store.Backup()
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		copied = store.Backup()
	})
	mux.HandleFunc("POST /restore", func(response http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		store.Restore(copied)
		fmt.Fprintln(response, "era", store.Era())
	})
}

func tokenBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "token-backend",
		Usage: "a back end that returns tokens; it leaves as planned on SIGTERM",
		Flags: []cli.Flag{
			stringFlag("id", "i-a1", "id, ending in hexadecimal digits"),
			stringFlag("pool", "lending", "pool"),
			stringFlag("zone", "zone-1", "zone"),
			stringFlag("address", "127.1.0.1:8080", "UDP address"),
			stringFlag("store", "127.0.0.1:8169", "HTTP address of the metadata store"),
			intFlag("client-port", clientPort, "port at which clients take packets"),
			intFlag("slots", 2, "requests at a time"),
			intFlag("queue", 64, "requests that may wait"),
			durationFlag("work", 2*time.Millisecond, "time of a request"),
		},
		Action: runTokenBackend,
	}
}

// clientPort is the port of clients and of the balancers' data addresses.
const clientPort = 8172

func runTokenBackend(ctx context.Context, command *cli.Command) error {
	address, err := netip.ParseAddrPort(command.String("address"))
	if err != nil {
		return errors.Wrap(err, "address")
	}
	made, err := echonet.StartBackend(command.String("id"), command.String("pool"), address, uint16(command.Int("client-port")), checksumKey)
	if err != nil {
		return err
	}
	defer made.Stop()
	made.SetLoadModel(echonet.LoadModel{Slots: command.Int("slots"), QueueLength: command.Int("queue"), ServiceTime: command.Duration("work")})
	key := "http://" + command.String("store") + "/operator/" + metadata.BackendKey(made.ID)
	entry := metadata.BackendEntry{Pool: made.Pool, Address: address.String(), Zone: command.String("zone"),
		Version: "v1", Slots: command.Int("slots"), State: metadata.StateReady, StartedMilliseconds: time.Now().UnixMilli()}
	refreshEntry(ctx, key, entry)
	entry.State = metadata.StateDraining
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	refreshEntry(leaving, key, entry)
	return sendEntry(http.MethodDelete, key, nil)
}

// refreshEntry writes a back end's entry until the context ends.
func refreshEntry(ctx context.Context, key string, entry metadata.BackendEntry) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for seq := 0; ; seq++ {
		entry.Sequence = seq
		if err := sendEntry(http.MethodPut, key, entry); err != nil {
			fmt.Println("store:", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func sendEntry(method, url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "store")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "store")
	}
	return response.Body.Close()
}

func tokenClientCommand() *cli.Command {
	return &cli.Command{
		Name:  "token-client",
		Usage: "clients and their router: opens flows, asks on them, and tells what came of it",
		Flags: []cli.Flag{
			stringFlag("address", fmt.Sprintf("127.3.0.1:%d", clientPort), "UDP address"),
			stringFlag("balancers", "", "balancers as DATA@READINESS addresses, separated by commas"),
			stringFlag("target", "198.18.0.1:443", "the route's address"),
			intFlag("flows", 20, "flows at a time"),
			intFlag("requests", 20, "requests on a flow"),
			durationFlag("interval", 100*time.Millisecond, "time between requests of a flow"),
			durationFlag("length", 10*time.Second, "how long to go on"),
		},
		Action: runTokenClient,
	}
}

func runTokenClient(ctx context.Context, command *cli.Command) error {
	address, err := netip.ParseAddrPort(command.String("address"))
	if err != nil {
		return errors.Wrap(err, "address")
	}
	target, err := netip.ParseAddrPort(command.String("target"))
	if err != nil {
		return errors.Wrap(err, "target")
	}
	router := &echonet.Router{}
	for _, balancer := range strings.Split(command.String("balancers"), ",") {
		data, readiness, _ := strings.Cut(balancer, "@")
		parsed, err := netip.ParseAddrPort(data)
		if err != nil {
			return errors.Wrap(err, "balancers")
		}
		router.Add(parsed, readiness)
	}
	ctx, cancel := context.WithTimeout(ctx, command.Duration("length"))
	defer cancel()
	go router.Run(ctx)
	client, err := echonet.StartClient(address, router, checksumKey)
	if err != nil {
		return err
	}
	defer client.Stop()
	for router.InService() == 0 && ctx.Err() == nil {
		time.Sleep(refreshInterval / 10)
	}
	asked := &loadGenerator{client: client, target: target, requests: command.Int("requests"), interval: command.Duration("interval"),
		counts: make(map[string]int)}
	var flows sync.WaitGroup
	for number := range command.Int("flows") {
		flows.Go(func() { asked.runFlows(ctx, number) })
	}
	flows.Wait()
	return json.NewEncoder(command.Root().Writer).Encode(asked.counts)
}

// loadGenerator is what the clients do, and what came of it.
type loadGenerator struct {
	client   *echonet.Client
	target   netip.AddrPort
	requests int
	interval time.Duration
	mutex    sync.Mutex
	counts   map[string]int
}

// runFlows opens one flow after the other, with an id in each request, which balancers
// log.
func (a *loadGenerator) runFlows(ctx context.Context, number int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		flow, err := a.client.Open(a.target)
		a.count("flows opened", "flows not opened", err)
		for request := 0; err == nil && request < a.requests && ctx.Err() == nil; request++ {
			var server string
			server, err = flow.Request(fmt.Sprintf("GET / HTTP/1.1\r\nX-Attempt-Id: %d-%d-%d\r\n\r\n", number, turn, request))
			a.count("answered by "+server, "requests failed", err)
			time.Sleep(a.interval)
		}
		flow.Close()
	}
}

func (a *loadGenerator) count(good, bad string, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil {
		a.counts[bad+": "+err.Error()]++
		return
	}
	a.counts[good]++
}
