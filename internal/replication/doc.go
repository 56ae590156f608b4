// Package replication decides from whom a balancer learns: from the store, or
// from which other balancer.
//
// The store answers only so many calls a second, and every call has its price,
// so not every balancer reads it. All of them know the same order (order.go), and
// by it form a tree (tree.go): the head of each zone follows the head of an earlier
// one, the others follow one before them in their zone, and the head of the first
// zone, the reader, reads the store at a fixed pace (pace.go). A follower's call
// waits at its parent until there is news, so a change passes down the tree in a
// few milliseconds a level.
//
// Nothing rests on this order being the same everywhere. It only saves calls.
// What counts is the age of a balancer's knowledge: the time since the store
// confirmed it, which each answer carries along and each level adds to. Whoever
// can follow nobody takes the reader's place if it is among the first of the order;
// when the age passes a limit, those take turns, and of the others some try by lot,
// so that the store is not called by all at once (standby.go). Who hears nobody
// reads the store at once. The calls to a store that does not answer are spaced by
// a back-off with jitter.
//
// How a balancer that knows nothing begins is in start.go, and how the store comes
// to hold the list of balancers, without leases, in members.go.
//
// Knowledge outlives those who have it. A call shows what its caller knows, and
// who is called and knows less asks the caller (Core.Called). A balancer calls
// those that it has not heard of late (seek.go), so that one that started while
// the store is silent is found, although it knows nobody but its seeds.
//
// Core holds the decisions. It does no I/O; time is an argument and chance
// comes from a source that is passed in. Server and Client carry the calls.
//
// # Usage
//
//	for {
//		peer, found := core.NextPeer(now) // counted as under way
//		if !found {
//			break
//		}
//		go call(peer) // ends with core.PeerAnswered or core.PeerFailed
//	}
package replication
