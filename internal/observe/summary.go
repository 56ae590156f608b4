package observe

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Summary is what one balancer has observed up to a time. It is immutable.
type Summary struct {
	At time.Time
	// InFlight is the mean number of requests of this balancer's clients that waited
	// for a response of each pool since the last summary.
	InFlight map[string]float64
	// Loads has the load of this balancer's flows since the last summary.
	Loads map[demand.PoolZone]demand.Load
	// Dead lists the back ends that are considered dead, whether or not the directory
	// has them.
	Dead []incarnation.ID
	// Findings has what the responses of back ends show beyond random variation.
	Findings map[incarnation.ID]Finding
}
