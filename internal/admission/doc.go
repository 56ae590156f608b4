// Package admission implements admission control: it decides which new flows are
// refused at once when a pool is short of capacity. The package does no I/O.
//
// Without it every new flow goes to some back end, which sheds the requests that
// don't fit into its queue. That costs a handshake, hits requests of high priority
// as often as others, and makes the client retry on a new flow. A flow that is
// refused here was not forwarded to any back end, so its client may retry whatever
// the request is.
//
// A Controller follows the Pressure on each pool and adjusts the fraction of new
// flows that is refused by priority, the lowest first. The Refusals that it
// returns are immutable; the goroutine that forwards packets reads them with one
// load and one comparison.
//
// Invariants:
//
//   - No flow is refused on a pressure that is unknown or old, nor by a balancer that
//     has just started, nor while slots are free.
//   - A priority is not refused before lower ones.
//   - Each flow is selected independently, so that no caller and no zone is affected
//     more than others.
//
// # Usage
//
//	controller := admission.NewController()
//	refusals := controller.Update(pools, now)
//	if refusal := refusals.Match(pool, priority, hash); refusal != nil { ... }
package admission
