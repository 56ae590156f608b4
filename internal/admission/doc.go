// Package admission decides which new flows are refused at once when the back ends
// of a pool are short of room. It is a core without I/O.
//
// Without it every new flow goes to some back end, which sheds what its queue has no
// room for: after a handshake, the urgent as readily as what could wait, and its
// client tries again on a new flow. A flow that is refused here was forwarded to
// nobody, so its client may try again whatever it asks for.
//
// A Gate follows the Pressure on each pool and moves the part of new flows that is
// refused, by urgency: the least urgent first. Its Levels are immutable; traffic
// reads them with one load and one comparison.
//
// Invariants:
//
//   - Nobody is refused on a pressure that is unknown or old, nor by a balancer that
//     has just started, nor while slots are free.
//   - What is more urgent is refused no sooner than what is less so.
//   - Each flow is drawn by itself, so that no caller and no zone is chosen twice.
//
// # Usage
//
//	gate := admission.NewController()
//	levels := gate.Step(pools, now)
//	if level := levels.Refusing(pool, urgency, draw); level != nil { ... }
package admission
