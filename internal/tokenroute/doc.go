// Package tokenroute binds flows to back ends where both ends of a flow return
// a token that the balancer wrote.
//
// The balancer writes the token of the chosen back end into every packet it
// forwards. The back end copies it into its answers and the client into its
// next packets, so every balancer can tell the back end of an open flow from
// any one packet of it. Balancers therefore keep no agreement about flows: a
// balancer that has just started forwards the flows of one that has just died.
//
// A Table is an immutable index over a directory: routes by address, back ends
// by token. It answers two questions, Resolve for packets of open flows, alike on
// all balancers with the same knowledge, and Choose for new flows, which also asks
// how much of the back ends is in use.
//
// Tokens are shorter than the back ends' ids, so two back ends may share one.
// A token is looked up among the pools that the packet's route allows; where
// two back ends still share it, the one of the lower id holds it, and the other
// one is not chosen for new flows while the holder is known. All balancers come
// to the same holder, since they know the same ids.
//
// Flows is the short memory of one traffic goroutine, one state for each flow that
// passed lately (memory.go): which back end a new flow's first packet was sent to,
// so that a repeated first packet can go to another one when the first stays
// silent, and so that a flow that two back ends have answered stays with the one
// that opened it; whether a request waits for an answer; and how the answers of
// each back end were (summary.go).
//
// # Usage
//
//	table := NewTable(directory, options) // in the control goroutine
//	decision := flows.Decide(table, packet, now) // in the traffic goroutine
//	for _, abandoned := range flows.TakeAbandoned() { ... }
//	if summary := flows.Summarize(now); summary != nil { ... }
package tokenroute
