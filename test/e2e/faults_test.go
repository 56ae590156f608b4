package e2e

import (
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// failoverTime is how long routers and balancers may take to notice a killed balancer.
	failoverTime = time.Second
	// slowDelay is the delay of each response of a slow store and of all data on a slow
	// connection.
	slowDelay = 250 * time.Millisecond
	// lateWriteDelay is the delay before the store applies a late write. It exceeds the time
	// that any client waits for a write.
	lateWriteDelay = 1500 * time.Millisecond
	// refusalTime is how long the store refuses or throttles the balancers of a zone.
	refusalTime = 10 * time.Second
	// pollInterval is how often a planned stop checks whether it may begin, and how often the
	// log of a starting balancer is read.
	pollInterval = 50 * time.Millisecond
	// startTimeout is the maximum wait for a balancer to start.
	startTimeout = 5 * time.Second
	// settingsTimeout is the time within which a balancer must apply or refuse a changed
	// settings file.
	settingsTimeout = 3500 * time.Millisecond
)

// plannedSteps are planned work, which no caller may notice. Stops are listed twice, since
// only one in several of them exposes a balancer that exits too early.
var plannedSteps = []string{"stop", "stop", "leave", "vanish", "move", "burst", "settings", "settings-faulty"}

// faultSteps are the faults. Faults of links affect open connections; new connections
// work, but peer-link-slow delays them too. A mute link drops requests, a deaf link drops
// responses, and a silent link drops both.
var faultSteps = []string{"kill", "lose", "pause", "kill-zone", "pause-zone", "kill-all", "pause-all",
	"store-busy", "store-silent", "store-throttles", "store-slow", "store-late", "store-compacts",
	"store-refuses-some", "store-throttles-some", "store-drill",
	"store-link-silent", "store-link-deaf", "store-link-mute", "store-link-reset",
	"peer-link-silent", "peer-link-deaf", "peer-link-mute", "peer-link-reset", "peer-link-slow",
	"crash", "crash-zone"}

// blockingSteps are the steps whose duration passes before the next step begins.
var blockingSteps = map[string]bool{"pause": true, "pause-zone": true, "pause-all": true, "store-busy": true, "store-silent": true,
	"store-throttles": true, "store-slow": true, "store-late": true, "store-drill": true,
	"peer-link-slow": true, "settings-faulty": true}

// soakSteps maps the name of each step to its action. It is filled in by init, since
// parsePlan refers to it and an initializer would be a cycle.
var soakSteps map[string]func(*soak, event)

func init() {
	soakSteps = map[string]func(*soak, event){
		"stop":   func(soak *soak, next event) { soak.stopWhenPossible(next.balancer, next.duration) },
		"leave":  func(soak *soak, _ event) { soak.leave("draining") },
		"vanish": func(soak *soak, _ event) { soak.leave("vanishing") },
		"move":   func(soak *soak, _ event) { soak.moveRoute() },

		"vanish-cut": func(soak *soak, next event) { soak.vanishAndCut(next.duration) },

		"burst": func(soak *soak, next event) { soak.burst(next.duration) },

		"settings":        func(soak *soak, next event) { soak.changeSettings(next.balancer, next.duration) },
		"settings-faulty": func(soak *soak, next event) { soak.breakSettings(next.balancer, next.duration) },

		"kill":       func(soak *soak, next event) { soak.kill([]int{next.balancer}, next.duration/4) },
		"lose":       func(soak *soak, next event) { soak.kill([]int{next.balancer}, longDowntime) },
		"kill-zone":  func(soak *soak, next event) { soak.kill(balancersInZoneOf(next.balancer), next.duration/4) },
		"kill-all":   func(soak *soak, next event) { soak.kill(allBalancers(), next.duration/4) },
		"pause":      func(soak *soak, next event) { soak.pause([]int{next.balancer}, next.duration) },
		"pause-zone": func(soak *soak, next event) { soak.pause(balancersInZoneOf(next.balancer), next.duration) },
		"pause-all":  func(soak *soak, next event) { soak.pause(allBalancers(), next.duration) },

		"store-busy":      storeFaultStep(metadata.Faults{Unavailable: true}),
		"store-silent":    storeFaultStep(metadata.Faults{Unresponsive: true}),
		"store-throttles": storeFaultStep(metadata.Faults{Throttled: true}),
		"store-slow":      storeFaultStep(metadata.Faults{Delay: slowDelay}),
		"store-late":      storeFaultStep(metadata.Faults{WriteDelay: lateWriteDelay}),
		"store-compacts":  func(soak *soak, _ event) { soak.store.Compact() },

		"store-drill": func(soak *soak, next event) { soak.restoreAfterOutage(next.duration) },

		"store-refuses-some":   zoneStoreFaultStep(metadata.Faults{Unavailable: true}),
		"store-throttles-some": zoneStoreFaultStep(metadata.Faults{Throttled: true}),

		"store-link-silent": func(soak *soak, next event) {
			soak.blackhole(soak.storeProxies, next.balancer, faultproxy.ToTarget, faultproxy.ToClient)
		},
		"store-link-deaf":  func(soak *soak, next event) { soak.blackhole(soak.storeProxies, next.balancer, faultproxy.ToClient) },
		"store-link-mute":  func(soak *soak, next event) { soak.blackhole(soak.storeProxies, next.balancer, faultproxy.ToTarget) },
		"store-link-reset": func(soak *soak, next event) { soak.resetLinks(soak.storeProxies, next.balancer) },
		"peer-link-silent": func(soak *soak, next event) {
			soak.blackhole(soak.peerProxies, next.balancer, faultproxy.ToTarget, faultproxy.ToClient)
		},
		"peer-link-deaf":  func(soak *soak, next event) { soak.blackhole(soak.peerProxies, next.balancer, faultproxy.ToClient) },
		"peer-link-mute":  func(soak *soak, next event) { soak.blackhole(soak.peerProxies, next.balancer, faultproxy.ToTarget) },
		"peer-link-reset": func(soak *soak, next event) { soak.resetLinks(soak.peerProxies, next.balancer) },
		"peer-link-slow":  func(soak *soak, next event) { soak.delayLinks(next.balancer, next.duration) },

		"crash": func(soak *soak, _ event) { soak.crash(soak.oldestReady("lending")) },
		"crash-zone": func(soak *soak, next event) {
			soak.crash(soak.readyInZone("lending", zones[next.balancer%len(zones)])...)
		},
	}
}

// allBalancers returns the indexes of all balancers.
func allBalancers() []int {
	balancers := make([]int, soakBalancers)
	for balancer := range balancers {
		balancers[balancer] = balancer
	}
	return balancers
}

// balancersInZoneOf returns the indexes of the balancers in the given balancer's zone.
func balancersInZoneOf(balancer int) []int {
	var balancers []int
	for other := range soakBalancers {
		if other%len(zones) == balancer%len(zones) {
			balancers = append(balancers, other)
		}
	}
	return balancers
}

// recordDisturbance records that balancers, or the store if none are given, are disturbed
// for a time, and calls end, if it isn't nil, after that time.
func (soak *soak) recordDisturbance(balancers []int, duration time.Duration, end func()) {
	now := time.Now()
	soak.historyMutex.Lock()
	soak.history.disturbances = append(soak.history.disturbances, disturbance{span: span{from: now, until: now.Add(duration)}, balancers: balancers})
	soak.historyMutex.Unlock()
	if end == nil {
		return
	}
	soak.activeFaults.Go(func() {
		time.Sleep(duration)
		end()
	})
}

// kill kills balancers, which restart after a time. The remaining ones must take over within
// failoverTime.
func (soak *soak) kill(balancers []int, downtime time.Duration) {
	if !soak.terminate(balancers, syscall.SIGKILL, downtime) {
		soak.markSkipped()
		return
	}
	soak.recordDisturbance(balancers, failoverTime, nil)
}

// stopWhenPossible stops a balancer as planned. While others are down or its settings file
// is being changed, the stop waits. If another planned stop waits already, the new one
// is skipped.
func (soak *soak) stopWhenPossible(balancer int, downtime time.Duration) {
	if !soak.stopPending.CompareAndSwap(false, true) {
		soak.markSkipped()
		return
	}
	soak.activeFaults.Go(func() {
		for !soak.terminate([]int{balancer}, syscall.SIGTERM, downtime) {
			time.Sleep(pollInterval)
		}
		soak.stopCount.Add(1)
		soak.stopPending.Store(false)
	})
}

// markSkipped marks the current event as not carried out.
func (soak *soak) markSkipped() { soak.plan[soak.eventIndex].skipped = true }

// terminate sends a signal to balancers and restarts them after a time. It returns false and
// does nothing if they can't be reserved, because others are down or settings are being changed.
func (soak *soak) terminate(balancers []int, signal syscall.Signal, downtime time.Duration) bool {
	if !soak.reservations.reserve(balancers) {
		return false
	}
	for _, balancer := range balancers {
		require.NoError(soak.t, soak.process(balancer).command.Process.Signal(signal))
	}
	soak.activeFaults.Go(func() {
		for _, balancer := range balancers {
			_ = soak.process(balancer).command.Wait()
		}
		time.Sleep(downtime)
		if signal == syscall.SIGKILL {
			soak.recordDisturbance(balancers, 0, nil)
		}
		for _, balancer := range balancers {
			soak.restartBalancer(balancer)
		}
		soak.reservations.release(balancers)
	})
	return true
}

// restartBalancer starts a balancer and waits until it has read its settings file, since a
// balancer that starts with a faulty file exits, as it must.
func (soak *soak) restartBalancer(balancer int) {
	skipped := soak.logSize(balancer)
	restarted := soak.restart(soak.process(balancer))
	soak.historyMutex.Lock()
	soak.processes[balancer] = restarted
	soak.historyMutex.Unlock()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		content, err := os.ReadFile(restarted.log.Name())
		require.NoError(soak.t, err)
		if strings.Contains(string(content[skipped:]), "msg=Started.") {
			return
		}
	}
}

func (soak *soak) pause(balancers []int, duration time.Duration) {
	if !soak.reservations.reserve(balancers) {
		soak.markSkipped()
		return
	}
	for _, balancer := range balancers {
		require.NoError(soak.t, soak.processes[balancer].command.Process.Signal(syscall.SIGSTOP))
	}
	soak.recordDisturbance(balancers, duration, func() {
		for _, balancer := range balancers {
			_ = soak.processes[balancer].command.Process.Signal(syscall.SIGCONT)
		}
		soak.reservations.release(balancers)
	})
}

func storeFaultStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		soak.store.SetFaults(faults)
		soak.recordDisturbance(nil, next.duration, func() { soak.store.SetFaults(metadata.Faults{}) })
	}
}

// zoneStoreFaultStep applies faults to the store calls of the balancers of a zone, for long
// enough that balancers which depend on them for updates would miss some.
func zoneStoreFaultStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		balancers := balancersInZoneOf(next.balancer)
		for _, balancer := range balancers {
			soak.store.SetCallerFaults(soak.storeCaller(balancer), faults)
		}
		soak.recordDisturbance(balancers, refusalTime, func() {
			for _, balancer := range balancers {
				soak.store.SetCallerFaults(soak.storeCaller(balancer), metadata.Faults{})
			}
		})
	}
}

func (soak *soak) moveRoute() {
	soak.movingPool = map[string]string{"lending": "covers", "covers": "lending"}[soak.movingPool]
	soak.configureRoutes()
	now := time.Now()
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	spans := soak.history.pools["moving"]
	spans[len(spans)-1].until = now
	soak.history.pools["moving"] = append(spans, poolSpan{pool: soak.movingPool, span: span{from: now}})
}

func (soak *soak) process(balancer int) *process {
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	return soak.processes[balancer]
}
