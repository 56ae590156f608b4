package echonet

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// forwardPackets hands the packets of clients to a back end, as a balancer does.
func forwardPackets(t *testing.T, from, backend string) {
	socket, err := listenWithRetry(netip.MustParseAddrPort(from))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	target := netip.MustParseAddrPort(backend)
	go func() {
		buffer := make([]byte, datagramSize)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = socket.WriteToUDPAddrPort(append(make([]byte, numericIDSize), buffer[:size]...), target)
		}
	}()
}

// Of twelve requests at once a back end with two slots and a queue of four runs six,
// one after the other in each slot, and tells the others at once that it has not
// run them. No request is run twice, however long it waits.
func TestBackendShedsExcessRequests(t *testing.T) {
	made, err := StartBackend("i-a1", "lending", netip.MustParseAddrPort("127.105.9.2:8080"), 8173, 1)
	require.NoError(t, err)
	t.Cleanup(made.Stop)
	made.SetLoadModel(LoadModel{Slots: 2, QueueLength: 4, ServiceTime: 250 * time.Millisecond})
	forwardPackets(t, "127.105.9.3:8173", "127.105.9.2:8080")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ready := &http.Server{Addr: "127.105.9.3:8174", ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) { response.WriteHeader(http.StatusOK) })}
	go func() { _ = ready.ListenAndServe() }()
	t.Cleanup(func() { _ = ready.Close() })
	router := &Router{}
	router.Add(netip.MustParseAddrPort("127.105.9.3:8173"), "127.105.9.3:8174")
	go router.Run(ctx)
	require.Eventually(t, func() bool { return router.InService() == 1 }, 5*time.Second, 10*time.Millisecond)
	client, err := StartClient(netip.MustParseAddrPort("127.105.9.4:8173"), router, 1)
	require.NoError(t, err)
	t.Cleanup(client.Stop)

	bodies := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	outcomes := make([]error, len(bodies))
	var asking sync.WaitGroup
	began := time.Now()
	for index, body := range bodies {
		flow, err := client.Open(netip.MustParseAddrPort("198.18.0.1:443"))
		require.NoError(t, err)
		asking.Go(func() {
			server, err := flow.Request(body)
			outcomes[index] = err
			require.Equal(t, "lending/i-a1", server)
		})
	}
	asking.Wait()
	require.Greater(t, time.Since(began), 700*time.Millisecond)
	runs, _ := made.Executions()
	require.Len(t, runs, 6)
	for index, body := range bodies {
		if outcomes[index] == nil {
			require.Equal(t, 1, runs[body])
			continue
		}
		require.ErrorIs(t, outcomes[index], ErrShed)
		require.Zero(t, runs[body])
	}
}

// A copy of an older request that arrives after a newer one doesn't run again.
func TestBackendIgnoresRetransmittedOlderRequests(t *testing.T) {
	t.Parallel()
	made, err := StartBackend("i-a1", "lending", netip.MustParseAddrPort("127.105.10.2:8080"), 8173, 1)
	require.NoError(t, err)
	t.Cleanup(made.Stop)
	take := func(flags byte, seq uint32, body string) {
		packet := Packet{Flags: flags, Seq: seq, Source: [4]byte{127, 105, 10, 4}, SourcePort: 40001, Data: []byte(body)}
		made.handlePacket(append(make([]byte, numericIDSize), packet.Encode(1)...))
	}
	first := uint32(math.MaxUint32 - 1)
	take(FlagSYN, first-1, "")
	take(FlagACK, first, "page")
	take(FlagACK, first, "page")
	take(FlagACK, first+4, "next")
	take(FlagACK, first, "page")
	take(FlagACK, first+8, "last")
	take(FlagACK, first+4, "next")
	runs, _ := made.Executions()
	require.Equal(t, map[string]int{"page": 1, "next": 1, "last": 1}, runs)
}

// An answer with bytes before its request's body isn't taken.
func TestClientAcceptsOnlyExactResponses(t *testing.T) {
	t.Parallel()
	from, to := netip.MustParseAddrPort("127.105.10.4:8173"), netip.MustParseAddrPort("198.18.0.1:443")
	flow := &Flow{client: &Client{address: from, router: &Router{}}, target: to, inbox: make(chan Packet, 4)}
	flow.inbox <- Packet{Flags: FlagACK, Data: []byte("lending/i-a1 other page")}
	flow.inbox <- Packet{Flags: FlagACK, Data: []byte("lending/i-a2 page and more")}
	flow.inbox <- Packet{Flags: FlagACK, Data: []byte("lending/i-a3 page")}
	server, err := flow.Request("page")
	require.NoError(t, err)
	require.Equal(t, "lending/i-a3", server)
}
