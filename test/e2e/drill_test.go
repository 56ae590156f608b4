package e2e

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// copyPause is how often the store's copies are taken, and copiesKept how many there are.
	copyPause  = 250 * time.Millisecond
	copiesKept = 24
	// writeAgainTime is within which operators and back ends write again what the store lost.
	writeAgainTime = 1500 * time.Millisecond
)

// copies are those of a store, the oldest first.
type copies struct {
	mutex sync.Mutex
	kept  []metadata.Backup
}

// keepCopies takes copies of the store until the site ends.
func (site *site) keepCopies() {
	for site.ctx.Err() == nil {
		taken := site.store.Backup()
		site.copies.mutex.Lock()
		site.copies.kept = append(site.copies.kept, taken)
		if len(site.copies.kept) > copiesKept {
			site.copies.kept = site.copies.kept[1:]
		}
		site.copies.mutex.Unlock()
		time.Sleep(copyPause)
	}
}

// of returns the copy that was taken about so long ago, or the oldest.
func (c *copies) of(age time.Duration) metadata.Backup {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.kept[max(0, len(c.kept)-1-int(age/copyPause))]
}

// comeBack puts the store back to a copy. Operators and back ends write again what they had
// written since, the ends of back ends too.
func (site *site) comeBack(copied metadata.Backup) {
	site.store.Restore(copied)
	site.store.SetFaults(metadata.Faults{})
	time.Sleep(writeAgainTime)
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.store.Put("op/config", site.configuration)
	for id, backend := range site.backends {
		if backend.silent {
			site.store.Remove("servers/" + id)
		}
	}
}

// drill lets the store be away for a time, and come back from a copy some seconds old.
func (soak *soak) drill(away time.Duration) {
	copied := soak.copies.of(away + time.Second)
	soak.store.SetFaults(metadata.Faults{Unresponsive: true})
	soak.trouble(nil, away+writeAgainTime, nil)
	soak.faults.Go(func() {
		time.Sleep(away)
		soak.comeBack(copied)
	})
}

// Callers keep their flows through drills in a row, between which balancers are stopped, killed
// and started: what was said before a drill holds during it, what is said after it holds in time,
// and nobody goes back to what a copy shows.
func TestBalancersComeThroughDrills(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 13)
	flows, servers := site.open(site.target("198.18.0.1", 443), 30)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for index, flow := range flows {
		callers.Go(func() { site.keepAsking(flow, servers[index], done) })
	}
	old := site.store.Backup()
	site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
	site.setState("i-a0", "draining")
	time.Sleep(drainBound)
	for round, restart := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, 0} {
		site.store.SetFaults(metadata.Faults{Unresponsive: true})
		time.Sleep(time.Second)
		site.comeBackAndRequire(old)
		if restart != 0 {
			started[round] = site.replace(started[round], restart)
		}
		site.configure("r-lending 198.18.0.1 443 lending")
		time.Sleep(configBound)
		_, after := site.open(site.target("198.18.0.1", 443), 10)
		require.NotContains(t, after, "lending/i-a0", "it leaves")
		_, err := site.client.Open(site.target("198.18.0.3", 80))
		require.ErrorIs(t, err, echonet.ErrRefused, "a route that was dropped after the drill")
		site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
		time.Sleep(configBound)
	}
	close(done)
	callers.Wait()
	site.requireNothingStray()
}

// comeBackAndRequire has the store come back from a copy, and requires that meanwhile nobody
// goes back to what it shows.
func (site *site) comeBackAndRequire(copied metadata.Backup) {
	var writing sync.WaitGroup
	writing.Go(func() { site.comeBack(copied) })
	for end := time.Now().Add(writeAgainTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, moved := site.open(site.target("198.18.0.1", 443), 2)
		for _, server := range moved {
			require.True(site.t, strings.HasPrefix(server, "covers/"), server)
		}
		_, kept := site.open(site.target("198.18.0.3", 80), 2)
		require.NotContains(site.t, kept, "lending/i-a0")
	}
	writing.Wait()
}

// replace ends a balancer, whose callers go on until its process is gone, and starts it again.
func (site *site) replace(ended *process, signal syscall.Signal) *process {
	require.NoError(site.t, ended.command.Process.Signal(signal))
	_ = ended.command.Wait()
	started := site.restart(ended)
	site.waitIn(3)
	return started
}
