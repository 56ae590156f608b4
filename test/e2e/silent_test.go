package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// A back end falls silent; its entry stays. The clients that wait for it are
// told well before they give up, and nobody else's flow is touched. So it is where a
// balancer stands still as the requests come, so that it reads their first copies
// together and counts them once. There are two clients: one alone has no copies to spare.
func TestBalancerTellsTheClientsOfASilentBackend(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 9)
	flows, servers := site.open(site.target("198.18.0.1", 443), 60)
	second, secondServers := site.openBy(site.startClient(2), site.target("198.18.0.1", 443), 60)
	flows, servers = append(flows, second...), append(servers, secondServers...)
	site.backends["i-a0"].Stop()
	stall(t, started[2], stallTime)
	var waiting, others sync.WaitGroup
	told := make(chan error, len(flows))
	done := make(chan struct{})
	began := time.Now()
	for index, flow := range flows {
		if servers[index] == "lending/i-a0" {
			waiting.Go(func() {
				_, err := flow.Request("page")
				told <- err
			})
			continue
		}
		others.Go(func() { site.keepAsking(flow, servers[index], done) })
	}
	waiting.Wait()
	close(done)
	others.Wait()
	close(told)
	require.NotEmpty(t, told)
	for err := range told {
		require.ErrorIs(t, err, echonet.ErrBroken)
	}
	require.Less(t, time.Since(began), 2500*time.Millisecond)
	site.requireNothingStray()
}

// stallTime is more than what two copies of a request may lack of the time between them
// to be counted apart: 200 ms less 150 ms.
const stallTime = 100 * time.Millisecond

// stall lets a process stand still for a time from now on.
func stall(t *testing.T, stalled *process, length time.Duration) {
	require.NoError(t, stalled.command.Process.Signal(syscall.SIGSTOP))
	time.AfterFunc(length, func() { _ = stalled.command.Process.Signal(syscall.SIGCONT) })
}

// keepAsking sends requests on a flow and requires that its own back end
// answers all of them.
func (site *site) keepAsking(flow *echonet.Flow, server string, done <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		answered, err := flow.Request(fmt.Sprintf("page %d", number))
		assert.NoError(site.t, err)
		assert.Equal(site.t, server, answered)
	}
}
