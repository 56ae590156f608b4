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
	// killTime is for how long routers and balancers may miss a killed one.
	killTime = time.Second
	// slowTime is how long a slow store holds back its answers, and a slow
	// connection what it carries.
	slowTime = 250 * time.Millisecond
	// lateTime is how long a store holds back a write; nobody waits for it so long.
	lateTime = 1500 * time.Millisecond
	// refusalTime is for how long the store refuses some balancers.
	refusalTime = 10 * time.Second
	// turnPause is how often a planned stop asks whether it's its turn.
	turnPause = 50 * time.Millisecond
	// startTime is how long a start is waited for.
	startTime = 5 * time.Second
	// lookTime is within which a balancer takes a changed settings file.
	lookTime = 3500 * time.Millisecond
)

// plannedSteps are planned work: no caller may notice any of it. Stops come more
// often, since one in a few only shows a balancer that ends too early.
var plannedSteps = []string{"stop", "stop", "leave", "vanish", "move", "burst", "settings", "settings-faulty"}

// stormSteps are faults. Those of links harm what is open and let new connections pass.
// A mute link carries no calls, a deaf one no answers.
var stormSteps = []string{"kill", "lose", "pause", "kill-zone", "pause-zone", "kill-all", "pause-all",
	"store-busy", "store-silent", "store-throttles", "store-slow", "store-late", "store-compacts",
	"store-refuses-some", "store-throttles-some", "store-drill",
	"store-link-silent", "store-link-deaf", "store-link-mute", "store-link-reset",
	"peer-link-silent", "peer-link-deaf", "peer-link-mute", "peer-link-reset", "peer-link-slow",
	"crash", "crash-zone"}

// waitedFor are the steps after whose length the next one begins.
var waitedFor = map[string]bool{"pause": true, "pause-zone": true, "pause-all": true, "store-busy": true, "store-silent": true,
	"store-throttles": true, "store-slow": true, "store-late": true, "store-drill": true,
	"peer-link-slow": true, "settings-faulty": true}

// soakSteps are what is done at each step. It is filled at the start, since the
// plan's reader refers to it.
var soakSteps map[string]func(*soak, event)

func init() {
	soakSteps = map[string]func(*soak, event){
		"stop":   func(soak *soak, next event) { soak.stopSoon(next.place, next.length) },
		"leave":  func(soak *soak, _ event) { soak.leave("draining") },
		"vanish": func(soak *soak, _ event) { soak.leave("vanishing") },
		"move":   func(soak *soak, _ event) { soak.moveRoute() },
		"burst":  func(soak *soak, next event) { soak.burst(next.length) },

		"settings":        func(soak *soak, next event) { soak.changeSettings(next.place, next.length) },
		"settings-faulty": func(soak *soak, next event) { soak.breakSettings(next.place, next.length) },

		"kill":       func(soak *soak, next event) { soak.kill([]int{next.place}, next.length/4) },
		"lose":       func(soak *soak, next event) { soak.kill([]int{next.place}, longAway) },
		"kill-zone":  func(soak *soak, next event) { soak.kill(zoneOf(next.place), next.length/4) },
		"kill-all":   func(soak *soak, next event) { soak.kill(everywhere(), next.length/4) },
		"pause":      func(soak *soak, next event) { soak.pause([]int{next.place}, next.length) },
		"pause-zone": func(soak *soak, next event) { soak.pause(zoneOf(next.place), next.length) },
		"pause-all":  func(soak *soak, next event) { soak.pause(everywhere(), next.length) },

		"store-busy":      storeStep(metadata.Faults{Unavailable: true}),
		"store-silent":    storeStep(metadata.Faults{Unresponsive: true}),
		"store-throttles": storeStep(metadata.Faults{Throttled: true}),
		"store-slow":      storeStep(metadata.Faults{Delay: slowTime}),
		"store-late":      storeStep(metadata.Faults{WriteDelay: lateTime}),
		"store-compacts":  func(soak *soak, _ event) { soak.store.Compact() },

		"store-drill": func(soak *soak, next event) { soak.drill(next.length) },

		"store-refuses-some":   someStep(metadata.Faults{Unavailable: true}),
		"store-throttles-some": someStep(metadata.Faults{Throttled: true}),

		"store-link-silent": func(soak *soak, next event) {
			soak.silence(soak.stores, next.place, swallow.ToTarget, swallow.ToClient)
		},
		"store-link-deaf":  func(soak *soak, next event) { soak.silence(soak.stores, next.place, swallow.ToClient) },
		"store-link-mute":  func(soak *soak, next event) { soak.silence(soak.stores, next.place, swallow.ToTarget) },
		"store-link-reset": func(soak *soak, next event) { soak.reset(soak.stores, next.place) },
		"peer-link-silent": func(soak *soak, next event) { soak.silence(soak.peers, next.place, swallow.ToTarget, swallow.ToClient) },
		"peer-link-deaf":   func(soak *soak, next event) { soak.silence(soak.peers, next.place, swallow.ToClient) },
		"peer-link-mute":   func(soak *soak, next event) { soak.silence(soak.peers, next.place, swallow.ToTarget) },
		"peer-link-reset":  func(soak *soak, next event) { soak.reset(soak.peers, next.place) },
		"peer-link-slow":   func(soak *soak, next event) { soak.slow(next.place, next.length) },

		"crash":      func(soak *soak, _ event) { soak.crash(soak.oldest("lending")) },
		"crash-zone": func(soak *soak, next event) { soak.crash(soak.ofZone("lending", zones[next.place%len(zones)])...) },
	}
}

// everywhere are the places of all balancers.
func everywhere() []int {
	places := make([]int, soakBalancers)
	for place := range places {
		places[place] = place
	}
	return places
}

// zoneOf are the places of the balancers in the zone of one.
func zoneOf(place int) []int {
	var places []int
	for other := range soakBalancers {
		if other%len(zones) == place%len(zones) {
			places = append(places, other)
		}
	}
	return places
}

// trouble notes that balancers, or the store if none are named, are disturbed for a
// time, and runs the end of that.
func (soak *soak) trouble(places []int, length time.Duration, end func()) {
	now := time.Now()
	soak.record.Lock()
	soak.history.troubles = append(soak.history.troubles, trouble{span: span{from: now, until: now.Add(length)}, places: places})
	soak.record.Unlock()
	if end == nil {
		return
	}
	soak.faults.Go(func() {
		time.Sleep(length)
		end()
	})
}

// kill kills balancers, which start again after a time. Those that live must manage
// without them soon.
func (soak *soak) kill(places []int, away time.Duration) {
	if !soak.end(places, syscall.SIGKILL, away) {
		soak.skip()
		return
	}
	soak.trouble(places, killTime, nil)
}

// stopSoon stops a balancer as planned. If others are away, or its settings file is
// changed, it waits for its turn, unless one waits already.
func (soak *soak) stopSoon(place int, away time.Duration) {
	if !soak.stopping.CompareAndSwap(false, true) {
		soak.skip()
		return
	}
	soak.faults.Go(func() {
		for !soak.end([]int{place}, syscall.SIGTERM, away) {
			time.Sleep(turnPause)
		}
		soak.stops.Add(1)
		soak.stopping.Store(false)
	})
}

// skip notes that the step of now isn't done.
func (soak *soak) skip() { soak.plan[soak.step].skipped = true }

// end ends balancers unless some are away already, and starts them again.
func (soak *soak) end(places []int, signal syscall.Signal, away time.Duration) bool {
	if !soak.holds.takeAway(places) {
		return false
	}
	for _, place := range places {
		require.NoError(soak.t, soak.process(place).command.Process.Signal(signal))
	}
	soak.faults.Go(func() {
		for _, place := range places {
			_ = soak.process(place).command.Wait()
		}
		time.Sleep(away)
		if signal == syscall.SIGKILL {
			soak.trouble(places, 0, nil)
		}
		for _, place := range places {
			soak.startAgain(place)
		}
		soak.holds.back(places)
	})
	return true
}

// startAgain starts a balancer and waits until it has read its settings file: one that starts
// with a faulty file ends, as it must.
func (soak *soak) startAgain(place int) {
	skipped := soak.logSize(place)
	restarted := soak.restart(soak.process(place))
	soak.record.Lock()
	soak.processes[place] = restarted
	soak.record.Unlock()
	for until := time.Now().Add(startTime); time.Now().Before(until); time.Sleep(turnPause) {
		content, err := os.ReadFile(restarted.log.Name())
		require.NoError(soak.t, err)
		if strings.Contains(string(content[skipped:]), "msg=Started.") {
			return
		}
	}
}

func (soak *soak) pause(places []int, length time.Duration) {
	if !soak.holds.takeAway(places) {
		soak.skip()
		return
	}
	for _, place := range places {
		require.NoError(soak.t, soak.processes[place].command.Process.Signal(syscall.SIGSTOP))
	}
	soak.trouble(places, length, func() {
		for _, place := range places {
			_ = soak.processes[place].command.Process.Signal(syscall.SIGCONT)
		}
		soak.holds.back(places)
	})
}

func storeStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		soak.store.SetFaults(faults)
		soak.trouble(nil, next.length, func() { soak.store.SetFaults(metadata.Faults{}) })
	}
}

// someStep has the store refuse the balancers of a zone, for so long that those who
// rely on them would miss something.
func someStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		places := zoneOf(next.place)
		for _, place := range places {
			soak.store.SetCallerFaults(soak.storeCaller(place), faults)
		}
		soak.trouble(places, refusalTime, func() {
			for _, place := range places {
				soak.store.SetCallerFaults(soak.storeCaller(place), metadata.Faults{})
			}
		})
	}
}

func (soak *soak) moveRoute() {
	soak.moved = map[string]string{"lending": "covers", "covers": "lending"}[soak.moved]
	soak.configureRoutes()
	now := time.Now()
	soak.record.Lock()
	defer soak.record.Unlock()
	spans := soak.history.pools["moving"]
	spans[len(spans)-1].until = now
	soak.history.pools["moving"] = append(spans, poolSpan{pool: soak.moved, span: span{from: now}})
}

func (soak *soak) process(place int) *process {
	soak.record.Lock()
	defer soak.record.Unlock()
	return soak.processes[place]
}
