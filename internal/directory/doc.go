// Package directory holds the part of the store's content that a balancer works from: the route
// table, the back ends, the other balancers, the policies and the orders to evacuate zones.
// Operators and back ends write these entries to the store; balancers read them and pass them on to
// each other.
//
// The store numbers its changes with a single increasing revision, and every entry carries the
// revision of its last change. A Directory is therefore a set of entries and a revision up to which
// it is complete. Two directories merge by keeping, for each entry, the one with the higher
// revision, so the result does not depend on the order in which changes arrive, on how often they
// arrive, or on whether they come from the store or from another balancer.
//
// A caller applies each batch that it reads with Apply, calls Expire regularly, and answers other
// balancers with Since or SinceWithTombstones. Routes, BackendGroups, Evacuations and the like
// return the current content.
//
// Invariants:
//
//   - Revision never decreases, and no entry is ever replaced by an older one. A
//     balancer that has once acted on a route table never goes back to an older one.
//   - Revisions include the era of the store (package revision): when the store is
//     restored from a backup, whatever it reports is later than everything before, and
//     entries that the backup lacks are kept until they have been written again
//     (eras.go).
//   - A removed entry stays as a tombstone for the retention time, together with its
//     last content, because open flows still have to reach a back end whose entry is
//     gone.
//   - A batch that is not complete is only applied by a directory that asked for it:
//     it holds the changes after a revision that the requester knows.
//
// The package does no I/O and starts no goroutines; time is an argument.
package directory
