package e2e

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

// blackhole lets the open connections to the store of a balancer, or to it of the
// others, carry nothing more.
func (soak *soak) blackhole(proxies []*swallow.Proxy, place int, ways ...swallow.Direction) {
	proxies[place].Blackhole(ways...)
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.blackholes = append(soak.history.blackholes, blackhole{at: time.Now(), balancer: place})
}

func (soak *soak) resetLinks(proxies []*swallow.Proxy, place int) {
	proxies[place].ResetConnections()
	soak.recordDisturbance(soak.balancersBehind(proxies, place), 0, nil)
}

// balancersBehind are the balancers whose connections end at a proxy.
func (soak *soak) balancersBehind(proxies []*swallow.Proxy, place int) []int {
	if proxies[place] == soak.storeProxies[place] {
		return []int{place}
	}
	return allBalancers()
}

// delayLinks holds back what passes to a balancer and back.
func (soak *soak) delayLinks(place int, length time.Duration) {
	soak.peerProxies[place].Delay(slowDelay)
	soak.recordDisturbance(allBalancers(), length, func() { soak.peerProxies[place].Delay(0) })
}
