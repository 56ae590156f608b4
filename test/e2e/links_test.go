package e2e

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

// blackhole lets the open connections to the store of a balancer, or to it of the
// others, carry nothing more.
func (soak *soak) blackhole(proxies []*swallow.Proxy, balancer int, ways ...swallow.Way) {
	proxies[balancer].Silence(ways...)
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.blackholes = append(soak.history.blackholes, blackhole{at: time.Now(), balancer: balancer})
}

func (soak *soak) resetLinks(proxies []*swallow.Proxy, balancer int) {
	proxies[balancer].Reset()
	soak.recordDisturbance(soak.balancersBehind(proxies, balancer), 0, nil)
}

// balancersBehind are the balancers whose connections end at a proxy.
func (soak *soak) balancersBehind(proxies []*swallow.Proxy, balancer int) []int {
	if proxies[balancer] == soak.storeProxies[balancer] {
		return []int{balancer}
	}
	return allBalancers()
}

// delayLinks holds back what passes to a balancer and back.
func (soak *soak) delayLinks(balancer int, length time.Duration) {
	soak.peerProxies[balancer].Delay(slowDelay)
	soak.recordDisturbance(allBalancers(), length, func() { soak.peerProxies[balancer].Delay(0) })
}
