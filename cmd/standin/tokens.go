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

// The commands in this file simulate parts of a network whose packets carry tokens.

const (
	// checksumKey is the key of the packets' checksums, which is the same for all
	// simulated parts of a network.
	checksumKey = 4711
	// refreshInterval is how often a back end writes its entry.
	refreshInterval = 500 * time.Millisecond
	// drainTime is how long a back end continues to serve after its entry has changed
	// to draining.
	drainTime = 4 * time.Second
	// pageSize is the maximum number of entries in a response of the store.
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

// handleBackups adds handlers that make a backup of the store and restore the store from
// it. After a restore, back ends write their entries again by themselves, but operators
// have to write theirs again.
func handleBackups(mux *http.ServeMux, store *metadata.Server) {
	var mutex sync.Mutex
	backup := store.Backup()
	mux.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		backup = store.Backup()
	})
	mux.HandleFunc("POST /restore", func(response http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		store.Restore(backup)
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

// clientPort is the default port of clients and of the balancers' data addresses.
const clientPort = 8172

// runTokenBackend runs a back end. When the context ends, it marks its entry as
// draining, serves on for drainTime and removes the entry.
func runTokenBackend(ctx context.Context, command *cli.Command) error {
	address, err := netip.ParseAddrPort(command.String("address"))
	if err != nil {
		return errors.Wrap(err, "address")
	}
	server, err := echonet.StartBackend(command.String("id"), command.String("pool"), address, uint16(command.Int("client-port")), checksumKey)
	if err != nil {
		return err
	}
	defer server.Stop()
	server.SetLoadModel(echonet.LoadModel{Slots: command.Int("slots"), QueueLength: command.Int("queue"), ServiceTime: command.Duration("work")})
	key := "http://" + command.String("store") + "/operator/" + metadata.BackendKey(server.ID)
	entry := metadata.BackendEntry{Pool: server.Pool, Address: address.String(), Zone: command.String("zone"),
		Version: "v1", Slots: command.Int("slots"), State: metadata.StateReady, StartedMilliseconds: time.Now().UnixMilli()}
	refreshEntry(ctx, key, entry)
	entry.State = metadata.StateDraining
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	refreshEntry(leaving, key, entry)
	return sendEntry(http.MethodDelete, key, nil)
}

// refreshEntry writes a back end's entry in each refreshInterval until the context ends.
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

// sendEntry sends a request with a JSON body to the store. It doesn't check the status
// of the response.
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

// runTokenClient waits until the router has a balancer, opens flows and sends requests
// on them for a while, and prints the counts as JSON.
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
	generator := &loadGenerator{client: client, target: target, requests: command.Int("requests"), interval: command.Duration("interval"),
		counts: make(map[string]int)}
	var flows sync.WaitGroup
	for number := range command.Int("flows") {
		flows.Go(func() { generator.runFlows(ctx, number) })
	}
	flows.Wait()
	return json.NewEncoder(command.Root().Writer).Encode(generator.counts)
}

// loadGenerator opens flows, sends requests on them and counts the outcomes.
type loadGenerator struct {
	client   *echonet.Client
	target   netip.AddrPort
	requests int
	interval time.Duration
	mutex    sync.Mutex
	counts   map[string]int
}

// runFlows opens one flow after the other and sends requests on them until the context
// ends. Each request has an id, which balancers log.
func (g *loadGenerator) runFlows(ctx context.Context, number int) {
	for sequence := 0; ctx.Err() == nil; sequence++ {
		flow, err := g.client.Open(g.target)
		g.count("flows opened", "flows not opened", err)
		for request := 0; err == nil && request < g.requests && ctx.Err() == nil; request++ {
			var server string
			server, err = flow.Request(fmt.Sprintf("GET / HTTP/1.1\r\nX-Attempt-Id: %d-%d-%d\r\n\r\n", number, sequence, request))
			g.count("answered by "+server, "requests failed", err)
			time.Sleep(g.interval)
		}
		flow.Close()
	}
}

// count adds one to the count named success if err is nil, and otherwise to the one
// named failure and the error.
func (g *loadGenerator) count(success, failure string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil {
		g.counts[failure+": "+err.Error()]++
		return
	}
	g.counts[success]++
}
