// Package tokenroute binds flows to back ends by a token that both ends of a
// flow return.
//
// The balancer writes the token of the chosen back end into every packet it
// forwards. The back end copies it into its answers and the client into its
// next packets, so every balancer can tell the back end of an open flow from
// any single packet of it. Balancers therefore need no agreement about flows: a
// balancer that has just started forwards the flows of one that has just
// failed.
//
// A Table is an immutable index over a directory: routes by address, back ends
// by token. Resolve returns the back end for packets of open flows, and gives the
// same result on all balancers with the same knowledge. Choose picks the back end
// of a new flow, and also takes the load of the back ends into account.
//
// Tokens are shorter than the numbers of back ends, so two back ends may share
// one. A token is looked up among the pools that the packet's route admits. If two
// back ends of a pool share it, it belongs to the one with the lower ID, and the
// other one gets no new flows while the first one is known. All balancers agree on
// the owner, since they know the same IDs.
//
// Flows is the short-lived flow cache of one traffic goroutine, with one state for
// each recent flow (flowcache.go). The state holds the back end to which the first
// packet of the flow was sent, so that a retransmitted first packet can go to
// another one if the first does not answer, and so that a flow that two back ends
// have answered stays with the one that opened it. It also holds whether a request
// waits for an answer, and it measures the answers of each back end (summary.go).
//
// # Usage
//
//	table := NewTable(directory, options) // in the control goroutine
//	decision := flows.Decide(table, packet, now) // in the traffic goroutine
//	for _, abandoned := range flows.TakeAbandonedFlows() { ... }
//	if summary := flows.Summarize(now); summary != nil { ... }
package tokenroute
