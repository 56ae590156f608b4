// Package shares computes the shares of new flows that go to each zone and back
// end, from the demand on a pool, its capacity and the health of its back ends.
// The package does no I/O.
//
// Traffic between zones costs money, so new flows stay in their zone as long as
// its back ends have free capacity. A zone whose demand exceeds its capacity
// sends the excess to other zones; otherwise it would shed requests that these
// could serve.
//
// # Usage
//
//	remote := shares.RemoteShare(demand, localSlots, remoteSlots)
//	weight := shares.RemoteWeight(remote, localBackends, remoteBackends)
package shares

import "math"

// targetUtilization is the fraction of a zone's slots in use from which on new
// flows go to other zones too. Requests queue at single back ends well before all
// slots of their zone are in use, since each back end has only a few.
const targetUtilization = 0.6

// minimumRemoteShare is the least share of new flows that may go to other zones.
// It only matters where the back ends of the local zone are avoided.
const minimumRemoteShare = 0.005

// RemoteShare returns the fraction, 0 to 1, of a zone's new flows that should go
// to the back ends of other zones. The argument demand is the number of requests
// of the zone's clients in flight; the slots are how many requests the back ends
// of the local zone and of the other zones process at once.
func RemoteShare(demand, localSlots, remoteSlots float64) float64 {
	if remoteSlots <= 0 {
		return 0
	}
	even := remoteSlots / (localSlots + remoteSlots)
	if demand <= 0 {
		return math.Min(minimumRemoteShare, even)
	}
	local := targetUtilization * localSlots / demand
	return math.Min(math.Max(1-local, minimumRemoteShare), even)
}

// RemoteWeight returns the weight of each back end in other zones, relative to a
// weight of 1 for each local back end, so that the remote ones together receive
// the fraction remote of the new flows.
func RemoteWeight(remote float64, localBackends, remoteBackends int) float64 {
	if remoteBackends == 0 || remote <= 0 {
		return 0
	}
	if localBackends == 0 || remote >= 1 {
		return 1
	}
	return remote * float64(localBackends) / ((1 - remote) * float64(remoteBackends))
}
