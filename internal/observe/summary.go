package observe

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// Summary is what one balancer has observed up to a time. It is immutable.
type Summary struct {
	At time.Time
	// InFlight is how many requests of this balancer's clients waited for an
	// answer of each pool, on average over the last time.
	InFlight map[string]float64
	// Loads are what this balancer's flows asked since the last summary.
	Loads map[demand.PoolZone]demand.Load
	// Dead are the back ends that are judged dead, whether the directory has them or
	// not.
	Dead []incarnation.ID
	// Findings are what the answers of back ends tell beyond chance.
	Findings map[incarnation.ID]Finding
}
