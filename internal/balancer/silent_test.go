package balancer_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/balancer"
	"github.com/indigobarrow/indigobarrow/internal/settings"
	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
	"github.com/indigobarrow/indigobarrow/platform"
)

// silentSite is a store and balancers, with all connections to both going through proxies.
type silentSite struct {
	t       *testing.T
	store   *metadata.Server
	storeAt string
}

// member is a balancer of the site with two proxies: store, through which it reaches the
// store, and peer, through which other balancers reach it.
type member struct {
	*balancer.Balancer
	address     string
	store, peer *faultproxy.Proxy
}

func newSilentSite(t *testing.T) *silentSite {
	store := metadata.New(2)
	listening := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		listening.CloseClientConnections()
		listening.Close()
	})
	site := &silentSite{t: t, store: store, storeAt: strings.TrimPrefix(listening.URL, "http://")}
	site.configure(1)
	for number := range 5 {
		store.Put(fmt.Sprintf("servers/i-%d", number+1),
			[]byte(`{"backend_pool":"one","addr":"10.128.0.9:8080","zone":"maadi","state":"ready","capacity":2}`))
	}
	return site
}

func (s *silentSite) configure(version int) {
	s.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/",
		"backend_pool":"one"}],"pools":[{"name":"one"}],"limits":{}}`, version))
}

// start starts a balancer that uses the given number of cores.
func (s *silentSite) start(name string, cores float64, seeds ...string) *member {
	storePath, err := faultproxy.Start(s.storeAt)
	require.NoError(s.t, err)
	loaded := settings.BalancerDefaults()
	loaded.Name, loaded.Zone, loaded.ProcessorCores, loaded.LinkMegabits = name, "maadi", cores, 1000*cores
	loaded.PollMilliseconds, loaded.StaleMilliseconds = 1000, 1400
	loaded.DataAddress, loaded.ReadinessAddress, loaded.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	loaded.StoreAddress = storePath.Address()
	loaded.Seeds = seeds
	started, err := balancer.New(loaded, balancer.Dependencies{
		Codec:               platform.Codec{},
		Store:               platform.NewStore(loaded.StoreAddress, func(error) {}),
		NewReadinessHandler: platform.ReadinessHandler,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(s.t, err)
	peerPath, err := faultproxy.Start(started.PeerListenerAddress().String())
	require.NoError(s.t, err)
	started.SetAdvertisedPeerAddress(peerPath.Address())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- started.Run(ctx) }()
	s.t.Cleanup(func() {
		storePath.Close()
		peerPath.Close()
		cancel()
		require.NoError(s.t, <-done)
	})
	return &member{Balancer: started, address: peerPath.Address(), store: storePath, peer: peerPath}
}

func (s *silentSite) eventually(m *member, version uint64, limit time.Duration) {
	require.Eventually(s.t, func() bool { return m.Version() == version }, limit, 10*time.Millisecond)
}

// Connections go silent at one moment, either those of both balancers or only those of the
// follower, and an operator changes the configuration at the same moment. News must arrive
// within its time limit of 2 s.
func TestNewsWithinTwoSecondsAfterAllConnectionsGoSilent(t *testing.T) {
	for name, silence := range map[string]func(reader, follower *member){
		"all": func(reader, follower *member) {
			reader.store.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
			reader.peer.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
			follower.store.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
			follower.peer.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
		},
		"follower": func(reader, follower *member) {
			follower.store.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
			reader.peer.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
		},
	} {
		for _, delay := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %v", name, delay), func(t *testing.T) {
				t.Parallel()
				site := newSilentSite(t)
				reader := site.start("edge-1", 1)
				follower := site.start("edge-2", 0.1, reader.address)
				site.eventually(reader, 1, 5*time.Second)
				site.eventually(follower, 1, 5*time.Second)
				time.Sleep(2*time.Second + delay)
				silence(reader, follower)
				site.configure(2)
				began := time.Now()
				site.eventually(reader, 2, 4*time.Second)
				atReader := time.Since(began)
				site.eventually(follower, 2, 4*time.Second)
				t.Logf("reader after %v, follower after %v", atReader, time.Since(began))
				require.Less(t, time.Since(began), 2*time.Second)
			})
		}
	}
}
