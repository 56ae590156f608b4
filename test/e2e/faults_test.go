package e2e

import (
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

const (
	// failoverTime is for how long routers and balancers may miss a killed one.
	failoverTime = time.Second
	// slowDelay is how long a slow store holds back its answers, and a slow
	// connection what it carries.
	slowDelay = 250 * time.Millisecond
	// lateWriteDelay is how long a store holds back a write; nobody waits for it so long.
	lateWriteDelay = 1500 * time.Millisecond
	// refusalTime is for how long the store refuses some balancers.
	refusalTime = 10 * time.Second
	// pollInterval is how often a planned stop asks whether it's its turn.
	pollInterval = 50 * time.Millisecond
	// startTimeout is how long a start is waited for.
	startTimeout = 5 * time.Second
	// settingsTimeout is within which a balancer takes a changed settings file.
	settingsTimeout = 3500 * time.Millisecond
)

// plannedSteps are planned work: no caller may notice any of it. Stops come more
// often, since one in a few only shows a balancer that ends too early.
var plannedSteps = []string{"stop", "stop", "leave", "vanish", "move", "burst", "settings", "settings-faulty"}

// faultSteps are faults. Those of links harm what is open and let new connections pass.
// A mute link carries no calls, a deaf one no answers.
var faultSteps = []string{"kill", "lose", "pause", "kill-zone", "pause-zone", "kill-all", "pause-all",
	"store-busy", "store-silent", "store-throttles", "store-slow", "store-late", "store-compacts",
	"store-refuses-some", "store-throttles-some", "store-drill",
	"store-link-silent", "store-link-deaf", "store-link-mute", "store-link-reset",
	"peer-link-silent", "peer-link-deaf", "peer-link-mute", "peer-link-reset", "peer-link-slow",
	"crash", "crash-zone"}

// blockingSteps are the steps after whose length the next one begins.
var blockingSteps = map[string]bool{"pause": true, "pause-zone": true, "pause-all": true, "store-busy": true, "store-silent": true,
	"store-throttles": true, "store-slow": true, "store-late": true, "store-drill": true,
	"peer-link-slow": true, "settings-faulty": true}

// soakSteps are what is done at each step. It is filled at the start, since the
// plan's reader refers to it.
var soakSteps map[string]func(*soak, event)

func init() {
	soakSteps = map[string]func(*soak, event){
		"stop":   func(soak *soak, next event) { soak.stopWhenPossible(next.balancer, next.duration) },
		"leave":  func(soak *soak, _ event) { soak.leave("draining") },
		"vanish": func(soak *soak, _ event) { soak.leave("vanishing") },
		"move":   func(soak *soak, _ event) { soak.moveRoute() },
		"burst":  func(soak *soak, next event) { soak.burst(next.duration) },

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
			soak.blackhole(soak.storeProxies, next.balancer, swallow.ToTarget, swallow.ToClient)
		},
		"store-link-deaf":  func(soak *soak, next event) { soak.blackhole(soak.storeProxies, next.balancer, swallow.ToClient) },
		"store-link-mute":  func(soak *soak, next event) { soak.blackhole(soak.storeProxies, next.balancer, swallow.ToTarget) },
		"store-link-reset": func(soak *soak, next event) { soak.resetLinks(soak.storeProxies, next.balancer) },
		"peer-link-silent": func(soak *soak, next event) {
			soak.blackhole(soak.peerProxies, next.balancer, swallow.ToTarget, swallow.ToClient)
		},
		"peer-link-deaf":  func(soak *soak, next event) { soak.blackhole(soak.peerProxies, next.balancer, swallow.ToClient) },
		"peer-link-mute":  func(soak *soak, next event) { soak.blackhole(soak.peerProxies, next.balancer, swallow.ToTarget) },
		"peer-link-reset": func(soak *soak, next event) { soak.resetLinks(soak.peerProxies, next.balancer) },
		"peer-link-slow":  func(soak *soak, next event) { soak.delayLinks(next.balancer, next.duration) },

		"crash": func(soak *soak, _ event) { soak.crash(soak.oldestReady("lending")) },
		"crash-zone": func(soak *soak, next event) {
			soak.crash(soak.readyInZone("lending", zones[next.balancer%len(zones)])...)
		},
	}
}

// allBalancers are the places of all balancers.
func allBalancers() []int {
	places := make([]int, soakBalancers)
	for place := range places {
		places[place] = place
	}
	return places
}

// balancersInZoneOf are the places of the balancers in the zone of one.
func balancersInZoneOf(place int) []int {
	var places []int
	for other := range soakBalancers {
		if other%len(zones) == place%len(zones) {
			places = append(places, other)
		}
	}
	return places
}

// recordDisturbance notes that balancers, or the store if none are named, are disturbed for a
// time, and runs the end of that.
func (soak *soak) recordDisturbance(places []int, length time.Duration, end func()) {
	now := time.Now()
	soak.historyMutex.Lock()
	soak.history.disturbances = append(soak.history.disturbances, disturbance{span: span{from: now, until: now.Add(length)}, balancers: places})
	soak.historyMutex.Unlock()
	if end == nil {
		return
	}
	soak.activeFaults.Go(func() {
		time.Sleep(length)
		end()
	})
}

// kill kills balancers, which start again after a time. Those that live must manage
// without them soon.
func (soak *soak) kill(places []int, away time.Duration) {
	if !soak.terminate(places, syscall.SIGKILL, away) {
		soak.markSkipped()
		return
	}
	soak.recordDisturbance(places, failoverTime, nil)
}

// stopWhenPossible stops a balancer as planned. If others are away, or its settings file is
// changed, it waits for its turn, unless one waits already.
func (soak *soak) stopWhenPossible(place int, away time.Duration) {
	if !soak.stopPending.CompareAndSwap(false, true) {
		soak.markSkipped()
		return
	}
	soak.activeFaults.Go(func() {
		for !soak.terminate([]int{place}, syscall.SIGTERM, away) {
			time.Sleep(pollInterval)
		}
		soak.stopCount.Add(1)
		soak.stopPending.Store(false)
	})
}

// markSkipped notes that the step of now isn't done.
func (soak *soak) markSkipped() { soak.plan[soak.eventIndex].skipped = true }

// terminate ends balancers unless some are away already, and starts them again.
func (soak *soak) terminate(places []int, signal syscall.Signal, away time.Duration) bool {
	if !soak.reservations.reserve(places) {
		return false
	}
	for _, place := range places {
		require.NoError(soak.t, soak.process(place).command.Process.Signal(signal))
	}
	soak.activeFaults.Go(func() {
		for _, place := range places {
			_ = soak.process(place).command.Wait()
		}
		time.Sleep(away)
		if signal == syscall.SIGKILL {
			soak.recordDisturbance(places, 0, nil)
		}
		for _, place := range places {
			soak.restartBalancer(place)
		}
		soak.reservations.release(places)
	})
	return true
}

// restartBalancer starts a balancer and waits until it has read its settings file: one that starts
// with a faulty file ends, as it must.
func (soak *soak) restartBalancer(place int) {
	skipped := soak.logSize(place)
	restarted := soak.restart(soak.process(place))
	soak.historyMutex.Lock()
	soak.processes[place] = restarted
	soak.historyMutex.Unlock()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		content, err := os.ReadFile(restarted.log.Name())
		require.NoError(soak.t, err)
		if strings.Contains(string(content[skipped:]), "msg=Started.") {
			return
		}
	}
}

func (soak *soak) pause(places []int, length time.Duration) {
	if !soak.reservations.reserve(places) {
		soak.markSkipped()
		return
	}
	for _, place := range places {
		require.NoError(soak.t, soak.processes[place].command.Process.Signal(syscall.SIGSTOP))
	}
	soak.recordDisturbance(places, length, func() {
		for _, place := range places {
			_ = soak.processes[place].command.Process.Signal(syscall.SIGCONT)
		}
		soak.reservations.release(places)
	})
}

func storeFaultStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		soak.store.SetFaults(faults)
		soak.recordDisturbance(nil, next.duration, func() { soak.store.SetFaults(metadata.Faults{}) })
	}
}

// zoneStoreFaultStep has the store refuse the balancers of a zone, for so long that those who
// rely on them would miss something.
func zoneStoreFaultStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		places := balancersInZoneOf(next.balancer)
		for _, place := range places {
			soak.store.SetCallerFaults(soak.storeCaller(place), faults)
		}
		soak.recordDisturbance(places, refusalTime, func() {
			for _, place := range places {
				soak.store.SetCallerFaults(soak.storeCaller(place), metadata.Faults{})
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

func (soak *soak) process(place int) *process {
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	return soak.processes[place]
}
