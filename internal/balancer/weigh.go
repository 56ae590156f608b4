package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

const (
	// remoteWeight leaves the back ends of other zones a share that only
	// counts when those of this zone are avoided or gone.
	remoteWeight = 5
	// spreadTime is for how long a balancer that has just learned of its back
	// ends spreads new flows over all zones. After an outage all clients come
	// back at once, and the zones together take more than each alone.
	spreadTime = 3 * time.Second
)

// weigher gives the relative share of new flows that a back end takes.
func (control *control) weigher(now time.Time) func(directory.BackendEntry) uint32 {
	zone := control.balancer.settings.Load().GetZone()
	spread := now.Sub(control.firstAt) < spreadTime
	return func(backend directory.BackendEntry) uint32 {
		if spread || backend.GetZone() == zone {
			return rule.MaximumWeight
		}
		return remoteWeight
	}
}
