package echonet

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balancer is a balancer as the router sees it.
type Balancer struct {
	DataAddress      netip.AddrPort
	ReadinessAddress string
	failures         int
	inService        bool
}

// Router picks the balancer of each packet by rendezvous hashing of its flow: of the
// balancers in service it picks the one with the highest score, so that few flows move
// when a balancer is added or removed. It is safe for concurrent use.
type Router struct {
	mutex     sync.Mutex
	balancers []*Balancer
	modulo    bool
}

// SetModulo makes the router pick by the hash of the flow modulo the number of balancers in
// service, so that nearly all flows move when a balancer is added or removed.
func (router *Router) SetModulo(modulo bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.modulo = modulo
}

const (
	readinessInterval = 500 * time.Millisecond
	maximumFailures   = 2
)

// Add adds a balancer, which is in service once its readiness probe succeeds.
func (router *Router) Add(data netip.AddrPort, readiness string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.balancers = append(router.balancers, &Balancer{DataAddress: data, ReadinessAddress: readiness})
}

// Run probes the readiness of the balancers until the context ends.
func (router *Router) Run(ctx context.Context) {
	client := &http.Client{Timeout: readinessInterval}
	ticker := time.NewTicker(readinessInterval / 5)
	defer ticker.Stop()
	for rounds := 0; ; rounds++ {
		router.mutex.Lock()
		balancers := append([]*Balancer(nil), router.balancers...)
		router.mutex.Unlock()
		for _, balancer := range balancers {
			router.recordProbe(balancer, isReady(client, balancer.ReadinessAddress), rounds%5 == 0)
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

// recordProbe applies the result of a readiness probe. Probes run five times per
// readiness interval, and failures count only once per interval.
func (router *Router) recordProbe(balancer *Balancer, ready, countFailure bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if ready {
		balancer.inService, balancer.failures = true, 0
		return
	}
	if countFailure {
		balancer.failures++
	}
	if balancer.failures >= maximumFailures {
		balancer.inService = false
	}
}

// InService returns the number of balancers in service.
func (router *Router) InService() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	count := 0
	for _, balancer := range router.balancers {
		if balancer.inService {
			count++
		}
	}
	return count
}

// Pick returns the balancer for a packet, or false if none is in service.
func (router *Router) Pick(packet Packet) (netip.AddrPort, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.modulo {
		return router.pickModulo(packet)
	}
	var best netip.AddrPort
	var bestScore uint64
	for _, balancer := range router.balancers {
		if !balancer.inService {
			continue
		}
		hashInput := append(packet.Source[:], byte(packet.SourcePort>>8), byte(packet.SourcePort))
		hashInput = append(hashInput, balancer.DataAddress.String()...)
		if score := xxhash.Sum64(hashInput); !best.IsValid() || score > bestScore {
			best, bestScore = balancer.DataAddress, score
		}
	}
	return best, best.IsValid()
}

// pickModulo returns the balancer for a packet by the hash of its flow alone.
func (router *Router) pickModulo(packet Packet) (netip.AddrPort, bool) {
	var inService []netip.AddrPort
	for _, balancer := range router.balancers {
		if balancer.inService {
			inService = append(inService, balancer.DataAddress)
		}
	}
	if len(inService) == 0 {
		return netip.AddrPort{}, false
	}
	hash := xxhash.Sum64(append(packet.Source[:], byte(packet.SourcePort>>8), byte(packet.SourcePort)))
	return inService[hash%uint64(len(inService))], true
}
