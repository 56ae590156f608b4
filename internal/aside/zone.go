package aside

import "time"

const (
	// minZoneSize is the least size of a zone of which one may step aside.
	minZoneSize = 5
	// overloadNumerator of overloadDenominator of a zone that struggle are no fault of each: the zone has
	// too much to do, and who stepped aside would leave it to the rest.
	overloadNumerator, overloadDenominator = 2, 3
)

// Zone is what a balancer knows of its zone.
type Zone struct {
	// Rank is its place in the order of the zone, from 0, and Size how many the
	// zone has.
	Rank, Size int
	// Struggling are those of the zone that struggle, as far as is known.
	Struggling []Peer
	// ReportsComplete is set while others of the zone are heard that tell who struggles, and all that
	// do are known, so that Others says something.
	ReportsComplete bool
}

// Peer is another balancer that can't carry its share.
type Peer struct {
	Rank int
	// Withdrawn is set when it has stepped aside.
	Withdrawn bool
}

// spareDivisor: one part in so many of a zone is left for those that are stopped or gone.
const spareDivisor = 10

// maxWithdrawn is how many may be aside at once: routers that find fewer than half of a zone
// ready use all of it, so more would help nobody.
func (z Zone) maxWithdrawn() int { return max(z.Size-1, 0)/2 - z.Size/spareDivisor }

// mayWithdraw tells whether a balancer that has struggled for a time may step aside. By
// then its picture shows all that began to struggle as it did. The first places, half
// of the room, may always go, also where nobody is heard. Of the others the first in
// order do, and nobody while those away fill the room. Two that decide within the time
// that a picture takes have seen each other struggle, and the later one of any other
// two has seen the first away, so together they never take more than the room.
func (z Zone) mayWithdraw(struggled time.Duration) bool {
	if z.Size < minZoneSize || struggled < propagationTime || overloadDenominator*(len(z.Struggling)+1) > overloadNumerator*z.Size {
		return false
	}
	always := max(z.Size-1, 0) / 4
	if z.Rank < always {
		return true
	}
	taken := always
	for _, other := range z.Struggling {
		if other.Rank >= always && (other.Withdrawn || other.Rank < z.Rank) {
			taken++
		}
	}
	return z.ReportsComplete && taken < z.maxWithdrawn()
}
