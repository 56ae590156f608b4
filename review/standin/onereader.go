package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// drainTime is the time after which a leaving back end must get no new flows, drain_ms.
	drainTime = 3 * time.Second
	// rounds is how often the disruption is played, each time with another machine left.
	rounds = 7
	// lostTime is how long the killed machines are away, and awayTime how long the store turns
	// the others away.
	lostTime = 7 * time.Second
	awayTime = 9 * time.Second
	// roundTime is the time from one round to the next. The machine left was last disturbed
	// longer than connectedTime before.
	roundTime = 14 * time.Second
	// releaseTime is how long back ends are released in a round, one in each releaseStep.
	releaseTime = 4 * time.Second
	releaseStep = 300 * time.Millisecond
	// firstBackends is the number of back ends at the start.
	firstBackends = 12
	// serveOn is how long a back end that said that it leaves serves on.
	serveOn = drainTime + 4*time.Second
)

// machine is a balancer with a front of the store of its own, which may turn it away.
type machine struct {
	name, zone string
	host       int
	away       atomic.Bool
}

// siteMachines are the machines of a small site. All of them are alike, so that the hashes of
// their names alone give the order in which they stand in for the reader of the store. Those
// of the last zone are the last three in it.
func siteMachines() []*machine {
	var machines []*machine
	for _, zone := range []struct {
		name  string
		count int
	}{{"couva-hall", 4}, {"penal-hall", 4}, {"moruga-hall", 3}} {
		for number := range zone.count {
			machines = append(machines, &machine{name: fmt.Sprintf("edge-%s-%d", zone.name, number+1), zone: zone.name, host: len(machines) + 1})
		}
	}
	return machines
}

// leave is a back end that leaves, and when the store acknowledged that.
type leave struct {
	id             string
	acknowledgedAt time.Time
}

// playOneReader plays rounds in which the store turns some machines away while others have lost
// power, so that one machine is left that can read the store. Back ends are released meanwhile.
// The machine left is in touch all the time.
func playOneReader(w *world) (bool, error) {
	if err := w.writeConfiguration(); err != nil {
		return false, err
	}
	release := &releases{world: w}
	for range firstBackends {
		if err := release.start(); err != nil {
			return false, err
		}
	}
	machines := siteMachines()
	if err := w.startMachines(machines); err != nil {
		return false, err
	}
	flows, stop := w.openNewFlows("moruga-hall")
	defer stop()
	late := 0
	for round := range rounds {
		began := time.Now()
		left := machines[8+round%3]
		w.note("round %d: the store serves %s alone: %t", round+1, left.name, w.trouble)
		if w.trouble {
			w.strike(machines, left)
		}
		before := len(release.leaves)
		if err := release.run(began.Add(releaseTime)); err != nil {
			return false, err
		}
		time.Sleep(time.Until(began.Add(lostTime)))
		if w.trouble {
			if err := w.restart(machines); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(awayTime)))
		for _, each := range machines {
			each.away.Store(false)
		}
		late += w.countLate(flows(), release.leaves[before:], left)
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	stop()
	w.note("%d flows answered, %d of them late", len(flows()), late)
	if len(flows()) == 0 {
		return false, errors.New("no flow was answered")
	}
	return late > 0, nil
}

// startMachines starts the balancers, each with a front of the store of its own.
func (w *world) startMachines(machines []*machine) error {
	var seeds []string
	for _, each := range machines[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.ip(2, each.host), w.peerPort))
	}
	for _, each := range machines {
		if err := w.addFront(each); err != nil {
			return err
		}
		if err := w.addBalancer(each.name, each.zone, each.host, seeds); err != nil {
			return err
		}
	}
	if err := w.waitInService(); err != nil {
		return err
	}
	time.Sleep(2 * connectedTime)
	return nil
}

// addFront makes the next balancer call the store at an address of its own.
func (w *world) addFront(caller *machine) error {
	listener, err := net.Listen("tcp4", w.ip(0, 1)+":0")
	if err != nil {
		return err
	}
	store := w.store.Handler()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if caller.away.Load() {
			<-request.Context().Done() // silence
			return
		}
		store.ServeHTTP(response, request)
	})}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-w.ctx.Done()
		_ = server.Close()
	}()
	w.storeAt = listener.Addr().String()
	return nil
}

// strike kills the machines of the first zone, and makes the store turn all others away but one.
func (w *world) strike(machines []*machine, left *machine) {
	for _, each := range machines {
		switch {
		case each == left:
		case each.zone == machines[0].zone:
			w.signal(each.name, syscall.SIGKILL)
		default:
			each.away.Store(true)
		}
	}
}

// restart starts the machines of the first zone again.
func (w *world) restart(machines []*machine) error {
	for _, each := range machines {
		if each.zone != machines[0].zone {
			continue
		}
		<-w.balancers[each.name].exited
		if err := w.startBalancer(each.name); err != nil {
			return err
		}
	}
	return nil
}

// releases replaces back ends by others: the new one starts first, then the old one leaves.
type releases struct {
	world   *world
	started []string
	leaves  []leave
}

// start starts a back end.
func (r *releases) start() error {
	host := len(r.started) + 1
	id := fmt.Sprintf("i-%x", 0xa000+host)
	end, err := r.world.addBackendEnd(id, "lending", "moruga-hall", host)
	if err != nil {
		return err
	}
	end.setQuiet(true)
	r.started = append(r.started, id)
	return nil
}

// run releases back ends until a time.
func (r *releases) run(until time.Time) error {
	for time.Now().Before(until) {
		if err := r.start(); err != nil {
			return err
		}
		id := r.started[len(r.leaves)]
		acknowledgedAt := r.world.sayDraining(id)
		r.leaves = append(r.leaves, leave{id: id, acknowledgedAt: acknowledgedAt})
		time.Sleep(releaseStep)
	}
	return nil
}

// sayDraining writes that a back end leaves, and returns when the store acknowledged that. The
// back end serves on for serveOn; then its entry goes.
func (w *world) sayDraining(id string) time.Time {
	leaving := w.entries[id]
	leaving.mutex.Lock()
	leaving.value.State = metadata.StateDraining
	leaving.mutex.Unlock()
	w.writeEntry(id, leaving)
	w.note("back end %s: draining, acknowledged", id)
	time.AfterFunc(serveOn, func() {
		if w.ctx.Err() == nil {
			w.removeEntry(id)
		}
	})
	return time.Now()
}

// countLate returns how many flows the machine left sent to a leaving back end later than
// drainTime after the acknowledgement.
func (w *world) countLate(flows []newFlow, leaves []leave, left *machine) int {
	late := 0
	through := w.dataAddress(left.name)
	for _, each := range leaves {
		for _, flow := range flows {
			if flow.server != each.id || flow.balancer != through || !flow.sentAt.After(each.acknowledgedAt.Add(drainTime)) {
				continue
			}
			late++
			w.note("late flow: client %s port %d, SYN sent through %s %.3f s after the acknowledgement of %s, arrived %.3f s after it, answered",
				flow.client, flow.port, left.name, flow.sentAt.Sub(each.acknowledgedAt).Seconds(), each.id,
				w.arrival(each.id, flow.client, flow.port).Sub(each.acknowledgedAt).Seconds())
		}
	}
	w.note("%d flows came late through %s", late, left.name)
	return late
}

// arrival returns when the opening packet of a flow arrived at a back end.
func (w *world) arrival(id string, client netip.Addr, port uint16) time.Time {
	for _, end := range w.ends {
		if end.id == id {
			return end.arrival(client, port)
		}
	}
	return time.Time{}
}
