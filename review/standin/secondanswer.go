package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// frozenTime is how long a balancer stands still.
	frozenTime = 2500 * time.Millisecond
	// openingTime is the longest time that the opening of a flow takes.
	openingTime = 1400 * time.Millisecond
	// openingPause is the time between the openings of two flows while it does.
	openingPause = 20 * time.Millisecond
	// hostsPerRound is more than the number of clients in a round.
	hostsPerRound = 100
	// restTime is how long after that the clients rest. It is longer than connectedTime, and the
	// flows rest for less than the configured idle_timeout_ms, 12 s.
	restTime = connectedTime + 500*time.Millisecond
)

// playSecondAnswer plays, for each of two balancers, flows that clients open while it stands
// still. The first copies of some SYNs reach that balancer, and later copies the other one, once
// the router has noticed; the other one opens these flows, and a request is answered on each.
// Then the balancer wakes and sends the SYNs that it finds to back ends. Undisturbed for longer
// than connectedTime, the clients ask again.
func playSecondAnswer(w *world) (bool, error) {
	if err := w.writeConfiguration(); err != nil {
		return false, err
	}
	for index, id := range []string{"i-a1", "i-a2", "i-a3", "i-a4"} {
		if _, err := w.addBackendEnd(id, "lending", "zone-one", index+1); err != nil {
			return false, err
		}
	}
	if err := w.startBalancers(); err != nil {
		return false, err
	}
	router, broken := w.routerOf("zone-one"), 0
	for round, balancer := range []string{"edge-one-1", "edge-one-2"} {
		opened, err := w.openWhileFrozen(balancer, router, round*hostsPerRound)
		if err != nil {
			return false, err
		}
		time.Sleep(restTime)
		reset, err := w.askAgainOnAll(opened)
		if err != nil {
			return false, err
		}
		broken += reset
	}
	w.copyLogs("Started", "configuration in force", "reason=kept")
	return broken > 0, nil
}

// askAgainOnAll asks once more on each of some flows, and returns how many were broken.
func (w *world) askAgainOnAll(flows []answeredFlow) (broken int, err error) {
	for _, flow := range flows {
		reset, err := w.askAgain(flow)
		if err != nil {
			return broken, err
		}
		if reset {
			broken++
		}
	}
	w.note("%d of %d flows were broken", broken, len(flows))
	return broken, nil
}

// routerOf returns a router of the balancers of a zone.
func (w *world) routerOf(zone string) *zoneRouter {
	checks := make(map[netip.AddrPort]string)
	for name, each := range w.balancers {
		if each.zone == zone {
			checks[w.dataAddress(name)] = w.readinessURL(name)
		}
	}
	return newZoneRouter(w.ctx, checks)
}

// openWhileFrozen stops a balancer for frozenTime, or leaves it alone without trouble. It returns
// the flows that were opened meanwhile by clients whose packets went to that balancer at first,
// and on which a request was answered. The clients' hosts are numbered from hostsBefore on.
func (w *world) openWhileFrozen(balancer string, router *zoneRouter, hostsBefore int) ([]answeredFlow, error) {
	var clients sync.WaitGroup
	var mutex sync.Mutex
	var opened []answeredFlow
	if w.trouble {
		w.signal(balancer, syscall.SIGSTOP)
	}
	wakeAt := time.Now().Add(frozenTime)
	for host := hostsBefore + 1; time.Now().Before(wakeAt.Add(-openingTime)); host++ {
		client, err := w.addClientEnd(fmt.Sprintf("reader-%d", host), router, host, w.dataAddress(balancer))
		if err != nil {
			break // the router no longer uses the balancer
		}
		clients.Go(func() {
			if flow, err := client.openAndAsk(); err == nil {
				mutex.Lock()
				defer mutex.Unlock()
				opened = append(opened, flow)
			}
		})
		time.Sleep(openingPause)
	}
	clients.Wait()
	time.Sleep(time.Until(wakeAt))
	if w.trouble {
		w.signal(balancer, syscall.SIGCONT)
	}
	if len(opened) == 0 {
		return nil, errors.New("no flow was opened")
	}
	return opened, nil
}

// answeredFlow is a flow whose first request was answered.
type answeredFlow struct {
	*clientEnd
	opener string
}

// openAndAsk opens a flow and asks on it once.
func (c *clientEnd) openAndAsk() (answeredFlow, error) {
	if err := c.openFlow(); err != nil {
		return answeredFlow{}, err
	}
	opener := c.ask("first")
	if opener == "" {
		return answeredFlow{}, errors.Newf("%s: the first request was not answered", c.name)
	}
	return answeredFlow{clientEnd: c, opener: opener}, nil
}

// askAgain asks once more on a flow and reports whether the flow was reset by another back end
// than its own, or by a balancer.
func (w *world) askAgain(flow answeredFlow) (bool, error) {
	answered := flow.ask("second")
	reset, byBackend := flow.wasReset()
	w.note("flow of %s: opened by %s, second request answered by %q, reset: %t, by a back end: %t", flow.name, flow.opener, answered, reset, byBackend)
	if answered != "" && answered != flow.opener {
		return false, errors.Newf("another back end answered: %s", answered)
	}
	return reset && !w.resetBy(flow), nil
}

// resetBy reports whether the flow's own back end sent it a reset.
func (w *world) resetBy(flow answeredFlow) bool {
	for _, end := range w.ends {
		if end.id == flow.opener {
			return end.hasReset(flow.address.Addr(), flow.port)
		}
	}
	return false
}
