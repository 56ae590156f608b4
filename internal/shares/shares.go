// Package shares turns facts into the shares of new flows: which part of a
// pool's new flows stays in the zone of the balancer. It is a core without I/O.
//
// Traffic between zones has its price, so new flows stay in their zone as long
// as its back ends have room. Beyond that, a zone that is in more demand than it
// has room for would shed what the others could serve.
//
// # Usage
//
//	remote := shares.RemoteShare(demand, localSlots, remoteSlots)
//	weight := shares.RemoteWeight(remote, localBackends, remoteBackends)
package shares

import "math"

// targetUtilization is the part of a zone's slots in use from which on new flows go to
// other zones too. Back ends queue requests well before all slots of their zone
// are in use, since each has a few only.
const targetUtilization = 0.6

// minimumRemoteShare is the share of new flows that may go to other zones in any case;
// it only counts where the back ends of this zone are avoided.
const minimumRemoteShare = 0.005

// RemoteShare returns the part, 0 to 1, of a zone's new flows that should go to the
// back ends of other zones. Demand is how many requests of the zone's clients
// wait at a time; slots are how many the back ends of a zone handle at once.
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

// RemoteWeight returns the weight of each back end in other zones, where each in
// this zone has the weight 1, so that the remote ones together take a part of
// the new flows.
func RemoteWeight(remote float64, localBackends, remoteBackends int) float64 {
	if remoteBackends == 0 || remote <= 0 {
		return 0
	}
	if localBackends == 0 || remote >= 1 {
		return 1
	}
	return remote * float64(localBackends) / ((1 - remote) * float64(remoteBackends))
}
