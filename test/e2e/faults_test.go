package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
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
	"store-refuses-some", "store-throttles-some",
	"store-link-silent", "store-link-deaf", "store-link-mute", "store-link-reset",
	"peer-link-silent", "peer-link-deaf", "peer-link-mute", "peer-link-reset", "peer-link-slow",
	"crash", "crash-zone"}

// waitedFor are the steps after whose length the next one begins.
var waitedFor = map[string]bool{"pause": true, "pause-zone": true, "pause-all": true, "store-busy": true, "store-silent": true,
	"store-throttles": true, "store-slow": true, "store-late": true,
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

		"store-busy":      storeStep(metadata.Faults{Busy: true}),
		"store-silent":    storeStep(metadata.Faults{Silent: true}),
		"store-throttles": storeStep(metadata.Faults{Throttled: true}),
		"store-slow":      storeStep(metadata.Faults{Delay: slowTime}),
		"store-late":      storeStep(metadata.Faults{LateWrites: lateTime}),
		"store-compacts":  func(soak *soak, _ event) { soak.store.Compact() },

		"store-refuses-some":   someStep(metadata.Faults{Busy: true}),
		"store-throttles-some": someStep(metadata.Faults{Throttled: true}),

		"store-link-silent": func(soak *soak, next event) { soak.silence(soak.stores, next.place, wayThere, wayBack) },
		"store-link-deaf":   func(soak *soak, next event) { soak.silence(soak.stores, next.place, wayBack) },
		"store-link-mute":   func(soak *soak, next event) { soak.silence(soak.stores, next.place, wayThere) },
		"store-link-reset":  func(soak *soak, next event) { soak.reset(soak.stores, next.place) },
		"peer-link-silent":  func(soak *soak, next event) { soak.silence(soak.peers, next.place, wayThere, wayBack) },
		"peer-link-deaf":    func(soak *soak, next event) { soak.silence(soak.peers, next.place, wayBack) },
		"peer-link-mute":    func(soak *soak, next event) { soak.silence(soak.peers, next.place, wayThere) },
		"peer-link-reset":   func(soak *soak, next event) { soak.reset(soak.peers, next.place) },
		"peer-link-slow":    func(soak *soak, next event) { soak.slow(next.place, next.length) },

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
			restarted := soak.restart(soak.process(place))
			soak.record.Lock()
			soak.processes[place] = restarted
			soak.record.Unlock()
		}
		soak.holds.back()
	})
	return true
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
		soak.holds.back()
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
			soak.store.SetFaultsFor(soak.storeCaller(place), faults)
		}
		soak.trouble(places, refusalTime, func() {
			for _, place := range places {
				soak.store.SetFaultsFor(soak.storeCaller(place), metadata.Faults{})
			}
		})
	}
}

// silence lets the open connections to the store of a balancer, or to it of the
// others, carry nothing more.
func (soak *soak) silence(proxies []*proxy, place int, ways ...way) {
	proxies[place].silence(ways...)
	soak.record.Lock()
	defer soak.record.Unlock()
	soak.history.silences = append(soak.history.silences, silence{at: time.Now(), place: place})
}

func (soak *soak) reset(proxies []*proxy, place int) {
	proxies[place].reset()
	soak.trouble(soak.linked(proxies, place), 0, nil)
}

// linked are the balancers whose connections end at a proxy.
func (soak *soak) linked(proxies []*proxy, place int) []int {
	if proxies[place] == soak.stores[place] {
		return []int{place}
	}
	return everywhere()
}

// slow holds back what passes to a balancer and back.
func (soak *soak) slow(place int, length time.Duration) {
	soak.peers[place].delay.Store(int64(slowTime))
	soak.trouble(everywhere(), length, func() { soak.peers[place].delay.Store(0) })
}

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
	if !soak.holds.change(place) {
		soak.skip()
		return
	}
	path, content := soak.settingsFile(place)
	changed := strings.Replace(content, "log_level: debug", "log_level: info", 1)
	if changed == content {
		changed = strings.Replace(content, "log_level: info", "log_level: debug", 1)
	}
	skipped := soak.logSize(place)
	soak.write(path, changed)
	soak.tell(place, length)
	soak.faults.Go(func() {
		soak.awaitLine(place, skipped, "Settings: in force.")
		soak.holds.changed(place)
	})
}

// breakSettings writes a file that a running balancer must refuse, and then the
// good one again.
func (soak *soak) breakSettings(place int, length time.Duration) {
	if !soak.holds.change(place) {
		soak.skip()
		return
	}
	path, content := soak.settingsFile(place)
	faulty := content[:len(content)/2]
	if length/(2*time.Millisecond)%2 == 0 {
		faulty = strings.Replace(content, "zone: ", "zone: other-", 1)
	}
	skipped := soak.logSize(place)
	soak.write(path, faulty)
	soak.tell(place, length)
	soak.faults.Go(func() {
		soak.awaitLine(place, skipped, "Settings: refused, the old ones stay.")
		soak.write(path, content)
		soak.holds.changed(place)
	})
}

func (soak *soak) write(path, content string) {
	require.NoError(soak.t, os.WriteFile(path, []byte(content), 0o600))
}

func (soak *soak) tell(place int, length time.Duration) {
	if length%(2*time.Millisecond) == 0 {
		_ = soak.process(place).command.Process.Signal(syscall.SIGHUP)
	}
}

// oldest returns the back end of a pool that has been ready for longest, if
// there are more than two.
func (soak *soak) oldest(pool string) string {
	oldest, count := "", 0
	for _, id := range soak.ready(pool) {
		count++
		if oldest == "" || len(id) < len(oldest) || len(id) == len(oldest) && id < oldest {
			oldest = id
		}
	}
	if count <= 2 {
		return ""
	}
	return oldest
}

// ready are the back ends of a pool that take flows.
func (soak *soak) ready(pool string) []string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	var found []string
	for id, backend := range soak.backends {
		if backend.Pool == pool && backend.state == "ready" && !backend.silent {
			found = append(found, id)
		}
	}
	return found
}

// ofZone are the back ends of a pool in a zone that take flows.
func (soak *soak) ofZone(pool, zone string) []string {
	var found []string
	for _, id := range soak.ready(pool) {
		if soak.zoneOfBackend(id) == zone {
			found = append(found, id)
		}
	}
	return found
}

func (soak *soak) zoneOfBackend(id string) string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.backends[id].zone
}

// leave lets a back end leave with or without a notice; another takes its part.
func (soak *soak) leave(how string) {
	id := soak.oldest("lending")
	if id == "" {
		soak.skip()
		return
	}
	soak.newBackend("lending")
	if how == "draining" {
		soak.setState(id, "draining")
	} else {
		soak.removeEntry(id)
	}
	soak.mark(soak.history.leaving, id)
	soak.faults.Go(func() {
		time.Sleep(drainBound + calmTime)
		soak.endBackend(id)
	})
}

// crash ends back ends at once; their entries go a little later.
func (soak *soak) crash(ids ...string) {
	for _, id := range ids {
		if id == "" {
			return
		}
		soak.newBackend("lending")
		soak.record.Lock()
		soak.history.crashed["lending/"+id] = true
		soak.record.Unlock()
		soak.endBackend(id)
	}
}

func (soak *soak) endBackend(id string) {
	soak.mark(soak.history.dead, id)
	soak.mutex.Lock()
	ended := soak.backends[id]
	ended.silent = true
	soak.mutex.Unlock()
	ended.Stop()
	soak.faults.Go(func() {
		time.Sleep(3 * beatPause)
		soak.store.Remove("servers/" + id)
	})
}

func (soak *soak) mark(marks map[string]time.Time, id string) {
	soak.record.Lock()
	defer soak.record.Unlock()
	marks["lending/"+id] = time.Now()
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

// awaitLine requires that a balancer's log tells something soon, unless the balancer
// is disturbed meanwhile. Skipped is the size of the log before.
func (soak *soak) awaitLine(place int, skipped int64, wanted string) {
	began := time.Now()
	watched := soak.process(place)
	time.Sleep(lookTime)
	content, err := os.ReadFile(watched.log.Name())
	require.NoError(soak.t, err)
	soak.record.Lock()
	defer soak.record.Unlock()
	if !strings.Contains(string(content[skipped:]), wanted) && soak.history.calm(began, time.Now(), []int{place}) && watched == soak.processes[place] {
		soak.history.complaints = append(soak.history.complaints, fmt.Sprintf("%s did not say %q from %s on", watched.name, wanted, began.Format(time.TimeOnly)))
	}
}

// logSize is the size of a balancer's log.
func (soak *soak) logSize(place int) int64 {
	information, err := os.Stat(soak.process(place).log.Name())
	require.NoError(soak.t, err)
	return information.Size()
}

func (soak *soak) process(place int) *process {
	soak.record.Lock()
	defer soak.record.Unlock()
	return soak.processes[place]
}
