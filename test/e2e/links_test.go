package e2e

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
)

// silence lets the open connections to the store of a balancer, or to it of the
// others, carry nothing more.
func (soak *soak) silence(proxies []*swallow.Proxy, place int, ways ...swallow.Direction) {
	proxies[place].Blackhole(ways...)
	soak.record.Lock()
	defer soak.record.Unlock()
	soak.history.silences = append(soak.history.silences, silence{at: time.Now(), place: place})
}

func (soak *soak) reset(proxies []*swallow.Proxy, place int) {
	proxies[place].ResetConnections()
	soak.trouble(soak.linked(proxies, place), 0, nil)
}

// linked are the balancers whose connections end at a proxy.
func (soak *soak) linked(proxies []*swallow.Proxy, place int) []int {
	if proxies[place] == soak.stores[place] {
		return []int{place}
	}
	return everywhere()
}

// slow holds back what passes to a balancer and back.
func (soak *soak) slow(place int, length time.Duration) {
	soak.peers[place].Delay(slowTime)
	soak.trouble(everywhere(), length, func() { soak.peers[place].Delay(0) })
}
