package observe

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/demand"
)

// Summary is what one balancer has observed up to a time. It is immutable.
type Summary struct {
	At time.Time
	// Waiting is how many requests of this balancer's clients waited for an
	// answer of each pool, on average over the last time.
	Waiting map[string]float64
	// Places are what this balancer's flows asked since the last summary.
	Places map[demand.Place]demand.Load
	// Dead are the numbers of back ends that are judged dead, whether the directory has
	// them or not.
	Dead []uint64
	// Findings are what the answers of back ends tell beyond chance, by their
	// numbers.
	Findings map[uint64]Finding
}
