package echonet

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer is a balancer as the routers see it.
type Balancer struct {
	DataAddress      netip.AddrPort
	ReadinessAddress string
	failures         int
	inService        bool
}

// Router picks the balancer of each packet by a hash of its flow over the
// balancers that are in, the one of the highest score, so that few flows move
// when one comes or goes.
type Router struct {
	mutex     sync.Mutex
	balancers []*Balancer
}

const (
	readinessInterval = 500 * time.Millisecond
	maximumFailures   = 2
)

// Add puts a balancer on the list; it is in once it is ready.
func (router *Router) Add(data netip.AddrPort, readiness string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.balancers = append(router.balancers, &Balancer{DataAddress: data, ReadinessAddress: readiness})
}

// Run asks the balancers whether they are ready until the context ends.
func (router *Router) Run(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval}
	ticker := time.NewTicker(readinessInterval / 5)
	defer ticker.Stop()
	for rounds := 0; ; rounds++ {
		router.mutex.Lock()
		nodes := append([]*Balancer(nil), router.balancers...)
		router.mutex.Unlock()
		for _, node := range nodes {
			router.recordProbe(node, isReady(client, node.ReadinessAddress), rounds%5 == 0)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func isReady(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// recordProbe takes one answer; misses count only at the routers' pace.
func (router *Router) recordProbe(node *Balancer, ready, counts bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if ready {
		node.inService, node.failures = true, 0
		return
	}
	if counts {
		node.failures++
	}
	if node.failures >= maximumFailures {
		node.inService = false
	}
}

// InService is the number of balancers that are in.
func (router *Router) InService() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	count := 0
	for _, node := range router.balancers {
		if node.inService {
			count++
		}
	}
	return count
}

// Pick returns the balancer for a packet.
func (router *Router) Pick(packet Packet) (netip.AddrPort, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	var best netip.AddrPort
	var bestScore uint64
	for _, node := range router.balancers {
		if !node.inService {
			continue
		}
		name := append(packet.Source[:], byte(packet.SourcePort>>8), byte(packet.SourcePort))
		name = append(name, node.DataAddress.String()...)
		if score := xxhash.Sum64(name); !best.IsValid() || score > bestScore {
			best, bestScore = node.DataAddress, score
		}
	}
	return best, best.IsValid()
}
