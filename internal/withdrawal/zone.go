package withdrawal

import "time"

const (
	// minZoneSize is the minimum size of a zone of which a balancer may withdraw.
	minZoneSize = 5
	// overloadNumerator / overloadDenominator is the fraction of struggling balancers above
	// which the cause is not in single balancers: the zone as a whole is overloaded, and
	// those that withdrew would leave its load to the rest.
	overloadNumerator, overloadDenominator = 2, 3
)

// Zone is what a balancer knows of its zone.
type Zone struct {
	// Rank is the position of the balancer in the order of the zone, from 0, and Size
	// is the number of balancers in the zone.
	Rank, Size int
	// Struggling are the other balancers of the zone that are known to struggle.
	Struggling []Peer
	// ReportsComplete is set while the balancer receives reports from others of the zone,
	// and those include all that struggle, so that Struggling can be relied on.
	ReportsComplete bool
}

// Peer is another balancer of the zone that cannot carry its share.
type Peer struct {
	Rank int
	// Withdrawn is set when it has withdrawn.
	Withdrawn bool
}

// spareDivisor reserves one in so many balancers of a zone for those that are stopped or
// down.
const spareDivisor = 10

// maxWithdrawn returns how many balancers may be withdrawn at once. Routers that find
// fewer than half of a zone ready use all of it, so more withdrawals would not help.
func (z Zone) maxWithdrawn() int { return max(z.Size-1, 0)/2 - z.Size/spareDivisor }

// mayWithdraw reports whether a balancer that has been struggling for the given time may
// withdraw. By then it has received the reports of all that began to struggle when it did.
// The first ranks, about half of the maximum, may always withdraw, even where no reports are
// received. Of the others, the lowest ranks may, and none while withdrawn balancers take
// up the maximum. Two balancers that decide within the time a report takes to propagate
// have each seen the other struggle; of any other two, the later one has seen the first
// withdrawn. So together they never exceed the maximum.
func (z Zone) mayWithdraw(struggling time.Duration) bool {
	if z.Size < minZoneSize || struggling < propagationTime || overloadDenominator*(len(z.Struggling)+1) > overloadNumerator*z.Size {
		return false
	}
	unconditional := max(z.Size-1, 0) / 4
	if z.Rank < unconditional {
		return true
	}
	taken := unconditional
	for _, peer := range z.Struggling {
		if peer.Rank >= unconditional && (peer.Withdrawn || peer.Rank < z.Rank) {
			taken++
		}
	}
	return z.ReportsComplete && taken < z.maxWithdrawn()
}
