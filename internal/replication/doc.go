// Package replication decides where a balancer gets its data from: from the store, or
// from which other balancer.
//
// The store handles a limited number of calls a second, and every call has a price, so
// not every balancer reads it. All balancers compute the same order (order.go), which
// forms a tree (tree.go): the head of each zone follows the head of an earlier zone,
// the others follow an earlier balancer of their zone, and the head of the first zone,
// the reader, reads the store at a fixed interval (timing.go). The call of a follower
// waits at its parent until there are updates, so a change takes a few milliseconds for
// each level of the tree.
//
// Correctness does not depend on the order being the same everywhere; the order only
// saves calls. What matters is the age of a balancer's data: the time since the store
// confirmed it, which every reply carries and to which every level adds. A balancer
// that can follow nobody takes the reader's place if it is among the first of the
// order. When the age exceeds a limit, those read the store one after another, and some
// of the others try it at random times, so that they do not call the store all at once
// (standby.go). A balancer that receives nothing from any other reads the store
// immediately. Calls to a store that does not answer are spaced by a back-off with
// jitter.
//
// startup.go covers the start of a balancer without data, and members.go how the list
// of balancers gets into the store without leases.
//
// Data survives as long as one balancer has it. A call carries the revision of the
// caller's data, and a balancer that is called and has less requests the rest from the
// caller (Core.CallReceived). A balancer calls those from which it has received nothing
// recently (announce.go), so that one that started during a store outage is found
// although it knows only its seeds.
//
// Core makes the decisions. It does no I/O: the time is a parameter, and random numbers
// come from a source that the caller provides. Serve and Client carry the calls.
//
// # Usage
//
//	for {
//		peer, found := core.NextPeer(now) // counted as in progress
//		if !found {
//			break
//		}
//		go call(peer) // ends with core.PeerAnswered or core.PeerFailed
//	}
package replication
