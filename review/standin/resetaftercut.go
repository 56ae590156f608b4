package main

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

const (
	// cutTime is how long the leaving back end is cut off.
	cutTime = 2 * time.Second
	// leavingTime is how long before the cut the entry goes.
	leavingTime = time.Second
	// quietTime is how long nothing happens to it before its client asks again. It is longer
	// than connectedTime.
	quietTime = connectedTime + time.Second
	// stopLead is how long before that request the client's balancer is stopped as planned.
	// Routers stop using it after two failed checks.
	stopLead = 2 * time.Second
	// settleDelay is the time for the end of a handshake to reach the back end.
	settleDelay = 20 * time.Millisecond
	// searchLimit is how many flows are opened to find one that goes the wanted way.
	searchLimit = 200
	// leavingID is the back end that leaves.
	leavingID = "i-d1"
)

// openFlow is a flow to the leaving back end, or the reason why there is none.
type openFlow struct {
	*echonet.Flow
	name string
	err  error
}

// playResetAfterCut plays a back end that leaves without saying so, and serves on. It is cut
// off for a while in which one client asks it. Then, undisturbed for longer than
// connectedTime, two other clients ask on flows to it that were open before the cut: one whose
// balancer has been stopped as planned, and one that had not asked on its flow yet. A client
// of another zone shows that the back end serves before and after that.
func playResetAfterCut(w *world) (bool, error) {
	if err := w.startSmallSite(); err != nil {
		return false, err
	}
	open := w.openFlows()
	caught := open("caught", "zone-one", "edge-one-1", true)
	moved := open("moved", "zone-one", "edge-one-2", true)
	unused := open("unused", "zone-one", "edge-one-1", false)
	witness := open("witness", "zone-two", "edge-two-1", true)
	if err := errors.Join(caught.err, moved.err, unused.err, witness.err); err != nil {
		return false, err
	}
	stopTraffic := w.startTraffic()
	defer stopTraffic()
	time.Sleep(2 * time.Second)
	if err := w.ask(moved, "before"); err != nil {
		return false, err
	}
	w.removeEntry(leavingID)
	time.Sleep(leavingTime)
	w.cutOff(caught)
	undisturbedSince := time.Now()
	time.Sleep(quietTime - stopLead)
	w.stopAsPlanned("edge-one-2")
	time.Sleep(stopLead)

	if err := w.ask(witness, "after"); err != nil {
		return false, errors.Wrap(err, "the back end does not answer through another zone")
	}
	broken := false
	for _, flow := range []*openFlow{moved, unused} {
		flow.TakeBalancers()
		err := w.ask(flow, "after")
		via := flow.TakeBalancers()
		w.note("%s: asked through %v, %.1f s after the cut of %s", flow.name, via, time.Since(undisturbedSince).Seconds(), leavingID)
		if len(via) != 1 || via[0] != w.dataAddress("edge-one-1") {
			return false, errors.Newf("%s: the request did not go through edge-one-1 alone but %v", flow.name, via)
		}
		broken = broken || errors.Is(err, echonet.ErrBroken)
	}
	w.copyLogs("judged dead", "dead_backend", "Stopping", "Stopped")
	if err := w.ask(witness, "last"); err != nil {
		return false, errors.Wrap(err, "the back end no longer lives")
	}
	return broken, nil
}

// cutOff cuts the leaving back end off for cutTime, and lets a client ask it meanwhile. Without
// trouble only the client asks.
func (w *world) cutOff(asking *openFlow) {
	if w.trouble {
		w.setCut(leavingID, true)
	}
	var asked sync.WaitGroup
	asked.Go(func() { _ = w.ask(asking, "during") })
	time.Sleep(cutTime)
	if w.trouble {
		w.setCut(leavingID, false)
	}
	asked.Wait()
}

// startSmallSite starts four back ends of one service and the balancers.
func (w *world) startSmallSite() error {
	if err := w.writeConfiguration(); err != nil {
		return err
	}
	for index, id := range []string{leavingID, "i-e1", "i-e2", "i-e3"} {
		if _, err := w.addBackend(id, "lending", "zone-one", index+1); err != nil {
			return err
		}
	}
	return w.startBalancers()
}

// openFlows returns a function that opens a flow to the leaving back end, through a balancer,
// by a client of its own. It asks on the flow once if asks is set. No other flow may be opened
// meanwhile.
func (w *world) openFlows() func(name, zone, balancer string, asks bool) *openFlow {
	host := 0
	return func(name, zone, balancer string, asks bool) *openFlow {
		host++
		client, err := w.client(zone, host)
		if err != nil {
			return &openFlow{err: err}
		}
		through := w.dataAddress(balancer)
		// The other flows stay open during the search, since new flows go where few are open.
		var others []*echonet.Flow
		defer func() {
			for _, other := range others {
				other.Close()
			}
		}()
		for range searchLimit {
			before := w.takenByLeaving()
			flow, err := client.Open(netip.MustParseAddrPort(serviceAddress))
			if err != nil {
				return &openFlow{err: errors.Wrapf(err, "%s: open", name)}
			}
			time.Sleep(settleDelay)
			via := flow.TakeBalancers()
			if w.takenByLeaving() == before || len(via) != 1 || via[0] != through {
				others = append(others, flow)
				continue
			}
			opened := &openFlow{Flow: flow, name: name}
			w.note("%s: port %d, flow opened through %s at %s", name, flow.Port(), through, leavingID)
			if asks {
				opened.err = w.ask(opened, "first")
			}
			return opened
		}
		return &openFlow{err: errors.Newf("%s: no flow went through %s to %s", name, balancer, leavingID)}
	}
}

// takenByLeaving returns the number of flows that the leaving back end has taken.
func (w *world) takenByLeaving() int {
	taken, _, _, _ := w.backends[leavingID].Counts()
	return taken
}

func requestBody(name, step string) string {
	return fmt.Sprintf("GET / HTTP/1.1\r\nX-Attempt-Id: %s-%s\r\n\r\n", name, step)
}

// ask sends a request on a flow and records what came of it.
func (w *world) ask(flow *openFlow, step string) error {
	w.note("%s: request %q sent", flow.name, step)
	server, err := flow.Request(requestBody(flow.name, step))
	if err != nil {
		w.note("%s: request %q: %v", flow.name, step, err)
		return err
	}
	w.note("%s: request %q answered by %s", flow.name, step, server)
	return nil
}

// startTraffic keeps other clients busy through all balancers, and returns a function that
// ends them.
func (w *world) startTraffic() (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for number := range 6 {
		client, err := w.client("zone-one", 10+number)
		if err != nil {
			continue
		}
		clients.Go(func() {
			defer client.Stop()
			w.runClient(client, number, done)
		})
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// runClient opens one flow after the other, none at the leaving back end, and asks on each.
func (w *world) runClient(client *echonet.Client, number int, done <-chan struct{}) {
	answered, failed := 0, 0
	defer func() { w.note("other client %d: %d requests answered, %d failed", number, answered, failed) }()
	for sequence := 0; ; sequence++ {
		flow, err := client.Open(netip.MustParseAddrPort(serviceAddress))
		for step := 0; err == nil && step < 10; step++ {
			select {
			case <-done:
				return
			default:
			}
			var server string
			server, err = flow.Request(requestBody(fmt.Sprintf("other-%d-%d", number, sequence), fmt.Sprint(step)))
			if strings.HasSuffix(server, leavingID) {
				break
			}
			answered++
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil {
			failed++
		}
		flow.Close()
		select {
		case <-done:
			return
		default:
		}
	}
}
