package balancer

import (
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// remoteWeight leaves the back ends of other zones a share that only counts
// when those of this zone are avoided or gone.
const remoteWeight = 5

// weigh gives the relative share of new flows that a back end takes.
func (control *control) weigh(backend directory.BackendEntry) uint32 {
	if backend.GetZone() == control.balancer.settings.Load().GetZone() {
		return rule.MaximumWeight
	}
	return remoteWeight
}
