package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

const (
	// newFlowClients is the number of clients that open one flow after the other, and
	// newFlowPause the time between two flows of a client.
	newFlowClients = 8
	newFlowPause   = 20 * time.Millisecond
)

// newFlow is a flow that a client opened for one request.
type newFlow struct {
	sentAt   time.Time
	client   netip.Addr
	balancer netip.AddrPort
	port     uint16
	server   string
}

// openNewFlows makes clients of a zone open one flow after the other, each for one request. It returns a
// function that returns the answered flows, and one that ends the clients.
func (w *world) openNewFlows(zone string) (flows func() []newFlow, stop func()) {
	var mutex sync.Mutex
	var answered []newFlow
	var clients sync.WaitGroup
	done := make(chan struct{})
	for number := range newFlowClients {
		client, err := w.client(zone, 10+number)
		if err != nil {
			w.note("client %d: %v", number, err)
			continue
		}
		clients.Go(func() {
			defer client.Stop()
			for sequence := 0; ; sequence++ {
				select {
				case <-done:
					return
				case <-time.After(newFlowPause):
				}
				if opened, err := openOnce(client, fmt.Sprintf("new-%d-%d", number, sequence)); err == nil {
					opened.client = netip.MustParseAddr(w.ip(3, 10+number))
					mutex.Lock()
					answered = append(answered, opened)
					mutex.Unlock()
				}
			}
		})
	}
	stop = sync.OnceFunc(func() {
		close(done)
		clients.Wait()
	})
	flows = func() []newFlow {
		mutex.Lock()
		defer mutex.Unlock()
		return answered
	}
	return flows, stop
}

// openOnce opens a flow, asks once and closes it.
func openOnce(client *echonet.Client, name string) (newFlow, error) {
	opened := newFlow{sentAt: time.Now()}
	flow, err := client.Open(netip.MustParseAddrPort(serviceAddress))
	if err != nil {
		return opened, err
	}
	defer flow.Close()
	opened.port = flow.Port()
	opened.server, err = flow.Request(requestBody(name, "only"))
	if via := flow.TakeBalancers(); len(via) > 0 {
		opened.balancer = via[0]
	}
	return opened, err
}
