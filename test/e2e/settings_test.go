package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// settingsFile returns the path and the content of a balancer's settings file.
func (soak *soak) settingsFile(balancer int) (path, content string) {
	path = filepath.Join(soak.dir, soak.process(balancer).name+".yaml")
	read, err := os.ReadFile(path)
	require.NoError(soak.t, err)
	return path, string(read)
}

// changeSettings changes a setting that a running balancer applies: its log level. About
// every other change is signaled with SIGHUP.
func (soak *soak) changeSettings(balancer int, duration time.Duration) {
	if !soak.reservations.reserveSettings(balancer) {
		soak.markSkipped()
		return
	}
	path, content := soak.settingsFile(balancer)
	changed := strings.Replace(content, "log_level: debug", "log_level: info", 1)
	if changed == content {
		changed = strings.Replace(content, "log_level: info", "log_level: debug", 1)
	}
	skipped := soak.logSize(balancer)
	soak.write(path, changed)
	soak.signalReload(balancer, duration)
	soak.activeFaults.Go(func() {
		soak.checkLogLine(balancer, skipped, "Settings: in force.")
		soak.reservations.releaseSettings(balancer)
	})
}

// breakSettings writes a file that a running balancer must refuse, and then restores the
// valid one.
func (soak *soak) breakSettings(balancer int, duration time.Duration) {
	if !soak.reservations.reserveSettings(balancer) {
		soak.markSkipped()
		return
	}
	path, content := soak.settingsFile(balancer)
	faulty := content[:len(content)/2]
	if duration/(2*time.Millisecond)%2 == 0 {
		faulty = strings.Replace(content, "zone: ", "zone: other-", 1)
	}
	skipped := soak.logSize(balancer)
	soak.write(path, faulty)
	soak.signalReload(balancer, duration)
	soak.activeFaults.Go(func() {
		soak.checkLogLine(balancer, skipped, "Settings: refused, the old ones stay.")
		soak.write(path, content)
		soak.reservations.releaseSettings(balancer)
	})
}

func (soak *soak) write(path, content string) {
	require.NoError(soak.t, os.WriteFile(path, []byte(content), 0o600))
}

// signalReload sends SIGHUP to a balancer if the duration is an even number of milliseconds.
// Otherwise the balancer has to notice the changed file on its own.
func (soak *soak) signalReload(balancer int, duration time.Duration) {
	if duration%(2*time.Millisecond) == 0 {
		_ = soak.process(balancer).command.Process.Signal(syscall.SIGHUP)
	}
}

// checkLogLine records a violation if a balancer's log doesn't contain the wanted text
// after settingsTimeout, unless the balancer was disturbed or restarted meanwhile. It searches
// the log beyond the first skipped bytes.
func (soak *soak) checkLogLine(balancer int, skipped int64, wanted string) {
	start := time.Now()
	watched := soak.process(balancer)
	time.Sleep(settingsTimeout)
	content, err := os.ReadFile(watched.log.Name())
	require.NoError(soak.t, err)
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	if !strings.Contains(string(content[skipped:]), wanted) && soak.history.undisturbed(start, time.Now(), []int{balancer}) && watched == soak.processes[balancer] {
		soak.history.violations = append(soak.history.violations, fmt.Sprintf("%s did not log %q after %s", watched.name, wanted, start.Format(time.TimeOnly)))
	}
}

// logSize returns the size of a balancer's log.
func (soak *soak) logSize(balancer int) int64 {
	information, err := os.Stat(soak.process(balancer).log.Name())
	require.NoError(soak.t, err)
	return information.Size()
}
