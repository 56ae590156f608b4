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
	// backupInterval is how often the store's copies are taken, and maximumBackups how many there are.
	backupInterval = 250 * time.Millisecond
	maximumBackups = 24
	// rewriteTime is within which operators and back ends write again what the store lost.
	rewriteTime = 1500 * time.Millisecond
)

// backups are those of a store, the oldest first.
type backups struct {
	mutex  sync.Mutex
	recent []metadata.Backup
}

// takeBackups takes copies of the store until the site ends.
func (site *site) takeBackups() {
	for site.ctx.Err() == nil {
		taken := site.store.Backup()
		site.backups.mutex.Lock()
		site.backups.recent = append(site.backups.recent, taken)
		if len(site.backups.recent) > maximumBackups {
			site.backups.recent = site.backups.recent[1:]
		}
		site.backups.mutex.Unlock()
		time.Sleep(backupInterval)
	}
}

// ofAge returns the copy that was taken about so long ago, or the oldest.
func (c *backups) ofAge(age time.Duration) metadata.Backup {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.recent[max(0, len(c.recent)-1-int(age/backupInterval))]
}

// restoreStore puts the store back to a copy. Operators and back ends write again what they had
// written since, the ends of back ends too.
func (site *site) restoreStore(copied metadata.Backup) {
	site.store.Restore(copied)
	site.store.SetFaults(metadata.Faults{})
	time.Sleep(rewriteTime)
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.store.Put("op/config", site.configuration)
	for id, backend := range site.backends {
		if backend.withoutEntry {
			site.store.Remove("servers/" + id)
		}
	}
}

// restoreAfterOutage lets the store be away for a time, and come back from a copy some seconds old.
func (soak *soak) restoreAfterOutage(away time.Duration) {
	copied := soak.backups.ofAge(away + time.Second)
	soak.store.SetFaults(metadata.Faults{Unresponsive: true})
	soak.recordDisturbance(nil, away+rewriteTime, nil)
	soak.activeFaults.Go(func() {
		time.Sleep(away)
		soak.restoreStore(copied)
	})
}

// Callers keep their flows through drills in a row, between which balancers are stopped, killed
// and started: what was said before a drill holds during it, what is said after it holds in time,
// and nobody goes back to what a copy shows.
func TestFlowsSurviveStoreRestores(t *testing.T) {
	t.Parallel()
	site, started := newLendingSite(t, 13)
	flows, servers := site.openFlows(site.target("198.18.0.1", 443), 30)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for index, flow := range flows {
		callers.Go(func() { site.requestUntil(flow, servers[index], done) })
	}
	old := site.store.Backup()
	site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
	site.setState("i-a0", "draining")
	time.Sleep(drainBound)
	for round, restart := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, 0} {
		site.store.SetFaults(metadata.Faults{Unresponsive: true})
		time.Sleep(time.Second)
		site.restoreAndRequireNoRollback(old)
		if restart != 0 {
			started[round] = site.replace(started[round], restart)
		}
		site.configure("r-lending 198.18.0.1 443 lending")
		time.Sleep(configBound)
		_, after := site.openFlows(site.target("198.18.0.1", 443), 10)
		require.NotContains(t, after, "lending/i-a0", "it leaves")
		_, err := site.client.Open(site.target("198.18.0.3", 80))
		require.ErrorIs(t, err, echonet.ErrRefused, "a route that was dropped after the drill")
		site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
		time.Sleep(configBound)
	}
	close(done)
	callers.Wait()
	site.requireNoMisrouted()
}

// restoreAndRequireNoRollback has the store come back from a copy, and requires that meanwhile nobody
// goes back to what it shows.
func (site *site) restoreAndRequireNoRollback(copied metadata.Backup) {
	var writing sync.WaitGroup
	writing.Go(func() { site.restoreStore(copied) })
	for end := time.Now().Add(rewriteTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, moved := site.openFlows(site.target("198.18.0.1", 443), 2)
		for _, server := range moved {
			require.True(site.t, strings.HasPrefix(server, "covers/"), server)
		}
		_, kept := site.openFlows(site.target("198.18.0.3", 80), 2)
		require.NotContains(site.t, kept, "lending/i-a0")
	}
	writing.Wait()
}

// replace ends a balancer, whose callers go on until its process is gone, and starts it again.
func (site *site) replace(ended *process, signal syscall.Signal) *process {
	require.NoError(site.t, ended.command.Process.Signal(signal))
	_ = ended.command.Wait()
	started := site.restart(ended)
	site.waitReady(3)
	return started
}
