package e2e

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
)

// blackhole makes the open connections from a balancer to the store, or from its peers to
// it, drop all further data without closing them.
func (soak *soak) blackhole(proxies []*faultproxy.Proxy, balancer int, directions ...faultproxy.Direction) {
	proxies[balancer].Blackhole(directions...)
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.blackholes = append(soak.history.blackholes, blackhole{at: time.Now(), balancer: balancer})
}

// resetLinks resets the open connections of a balancer's proxy.
func (soak *soak) resetLinks(proxies []*faultproxy.Proxy, balancer int) {
	proxies[balancer].ResetConnections()
	soak.recordDisturbance(soak.balancersBehind(proxies, balancer), 0, nil)
}

// balancersBehind returns the balancers whose connections go through a proxy.
func (soak *soak) balancersBehind(proxies []*faultproxy.Proxy, balancer int) []int {
	if proxies[balancer] == soak.storeProxies[balancer] {
		return []int{balancer}
	}
	return allBalancers()
}

// delayLinks delays the data between a balancer and its peers in both directions.
func (soak *soak) delayLinks(balancer int, duration time.Duration) {
	soak.peerProxies[balancer].Delay(slowDelay)
	soak.recordDisturbance(allBalancers(), duration, func() { soak.peerProxies[balancer].Delay(0) })
}
