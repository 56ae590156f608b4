// Package replication decides from whom a balancer learns: from the store, or
// from which other balancer.
//
// The store answers only so many calls a second, and every call has its price,
// so not every balancer reads it. In each zone (in all zones together while they
// are few), the balancers are put in an order that all of them know, by a hash
// of their names. The first one, the reader, reads the store at a fixed pace;
// each of the others follows one balancer before it in the order, its parent,
// in a tree of a fixed width.
// A follower's call waits at its parent until there is news, so a change passes
// down the tree in a few milliseconds a level.
//
// Nothing rests on this order being the same everywhere. It only saves calls.
// What counts is the age of a balancer's knowledge: the time since the store
// confirmed it, which each answer carries along and each level adds to. When
// the age passes a limit, for whatever reason (the reader died, is cut off from
// the store, is throttled, or the order is out of date), a balancer reads the
// store itself, and tries other peers, until its knowledge is young again. The
// calls to a store that does not answer are spaced by a back-off with jitter.
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
