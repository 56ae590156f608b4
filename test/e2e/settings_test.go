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

// settingsFile is the file of a balancer and what stands in it.
func (soak *soak) settingsFile(place int) (path, content string) {
	path = filepath.Join(soak.dir, soak.process(place).name+".yaml")
	read, err := os.ReadFile(path)
	require.NoError(soak.t, err)
	return path, string(read)
}

// changeSettings changes what a running balancer takes: the level of its log and
// the order of its seeds. Every other time it is told so.
func (soak *soak) changeSettings(place int, length time.Duration) {
	if !soak.reservations.reserveSettings(place) {
		soak.markSkipped()
		return
	}
	path, content := soak.settingsFile(place)
	changed := strings.Replace(content, "log_level: debug", "log_level: info", 1)
	if changed == content {
		changed = strings.Replace(content, "log_level: info", "log_level: debug", 1)
	}
	skipped := soak.logSize(place)
	soak.write(path, changed)
	soak.signalReload(place, length)
	soak.activeFaults.Go(func() {
		soak.checkLogLine(place, skipped, "Settings: in force.")
		soak.reservations.releaseSettings(place)
	})
}

// breakSettings writes a file that a running balancer must refuse, and then the
// good one again.
func (soak *soak) breakSettings(place int, length time.Duration) {
	if !soak.reservations.reserveSettings(place) {
		soak.markSkipped()
		return
	}
	path, content := soak.settingsFile(place)
	faulty := content[:len(content)/2]
	if length/(2*time.Millisecond)%2 == 0 {
		faulty = strings.Replace(content, "zone: ", "zone: other-", 1)
	}
	skipped := soak.logSize(place)
	soak.write(path, faulty)
	soak.signalReload(place, length)
	soak.activeFaults.Go(func() {
		soak.checkLogLine(place, skipped, "Settings: refused, the old ones stay.")
		soak.write(path, content)
		soak.reservations.releaseSettings(place)
	})
}

func (soak *soak) write(path, content string) {
	require.NoError(soak.t, os.WriteFile(path, []byte(content), 0o600))
}

func (soak *soak) signalReload(place int, length time.Duration) {
	if length%(2*time.Millisecond) == 0 {
		_ = soak.process(place).command.Process.Signal(syscall.SIGHUP)
	}
}

// checkLogLine requires that a balancer's log tells something soon, unless the balancer
// is disturbed meanwhile. Skipped is the size of the log before.
func (soak *soak) checkLogLine(place int, skipped int64, wanted string) {
	began := time.Now()
	watched := soak.process(place)
	time.Sleep(settingsTimeout)
	content, err := os.ReadFile(watched.log.Name())
	require.NoError(soak.t, err)
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	if !strings.Contains(string(content[skipped:]), wanted) && soak.history.undisturbed(began, time.Now(), []int{place}) && watched == soak.processes[place] {
		soak.history.violations = append(soak.history.violations, fmt.Sprintf("%s did not say %q from %s on", watched.name, wanted, began.Format(time.TimeOnly)))
	}
}

// logSize is the size of a balancer's log.
func (soak *soak) logSize(place int) int64 {
	information, err := os.Stat(soak.process(place).log.Name())
	require.NoError(soak.t, err)
	return information.Size()
}
