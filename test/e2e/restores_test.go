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
	// backupInterval is the time between two backups of the store. maximumBackups is how many
	// are kept.
	backupInterval = 250 * time.Millisecond
	maximumBackups = 24
	// rewriteTime is the time in which operators and back ends rewrite what the store has lost
	// by a restore.
	rewriteTime = 1500 * time.Millisecond
)

// backups holds the latest backups of a store, the oldest first.
type backups struct {
	mutex  sync.Mutex
	recent []metadata.Backup
}

// takeBackups takes backups of the store until the site ends.
func (site *site) takeBackups() {
	for site.ctx.Err() == nil {
		backup := site.store.Backup()
		site.backups.mutex.Lock()
		site.backups.recent = append(site.backups.recent, backup)
		if len(site.backups.recent) > maximumBackups {
			site.backups.recent = site.backups.recent[1:]
		}
		site.backups.mutex.Unlock()
		time.Sleep(backupInterval)
	}
}

// ofAge returns the backup with about the given age, or the oldest one.
func (b *backups) ofAge(age time.Duration) metadata.Backup {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.recent[max(0, len(b.recent)-1-int(age/backupInterval))]
}

// restoreStore restores the store from a backup. Operators and back ends then rewrite what they
// had written since the backup. Entries that had been removed since, or whose back ends have
// stopped, are removed again.
func (site *site) restoreStore(backup metadata.Backup) {
	site.store.Restore(backup)
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

// restoreAfterOutage makes the store unavailable for a time and then restores it from a backup
// that is some seconds old.
func (soak *soak) restoreAfterOutage(outage time.Duration) {
	backup := soak.backups.ofAge(outage + time.Second)
	soak.store.SetFaults(metadata.Faults{Unresponsive: true})
	soak.recordDisturbance(nil, outage+rewriteTime, nil)
	soak.activeFaults.Go(func() {
		time.Sleep(outage)
		soak.restoreStore(backup)
	})
}

// The store is restored from the same old backup several times in a row. In between, balancers
// are stopped, killed and started. Open flows must keep their back ends. What was written before
// a restore must stay in force during it, what is written after it must come into force in time,
// and no balancer may return to what the backup shows.
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
		require.NotContains(t, after, "lending/i-a0", "it is draining")
		_, err := site.client.Open(site.target("198.18.0.3", 80))
		require.ErrorIs(t, err, echonet.ErrRefused, "a route that was removed after the restore")
		site.configure("r-lending 198.18.0.1 443 covers", "r-new 198.18.0.3 80 lending")
		time.Sleep(configBound)
	}
	close(done)
	callers.Wait()
	site.requireNoMisrouted()
}

// restoreAndRequireNoRollback restores the store from a backup and requires that meanwhile no
// balancer returns to what the backup shows.
func (site *site) restoreAndRequireNoRollback(backup metadata.Backup) {
	var writing sync.WaitGroup
	writing.Go(func() { site.restoreStore(backup) })
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

// replace sends a signal that ends a balancer, waits until its process has exited, and starts it
// again. Callers go on meanwhile. It returns once three balancers are ready.
func (site *site) replace(old *process, signal syscall.Signal) *process {
	require.NoError(site.t, old.command.Process.Signal(signal))
	_ = old.command.Wait()
	replacement := site.restart(old)
	site.waitReady(3)
	return replacement
}
