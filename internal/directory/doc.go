// Package directory holds what a balancer knows of the world that operators
// and back ends describe in the store: the table of routes, the back ends, the
// other balancers, the policies and the orders to evacuate zones.
//
// The store numbers its changes with one rising revision, and every entry
// carries the revision of its last change. A Directory is therefore a set of
// entries and one number: everything up to that revision is known. Two
// directories merge by taking, for each entry, the one with the higher
// revision, so it does not matter in which order changes arrive, how often, or
// whether they come from the store or from another balancer.
//
// Invariants:
//
//   - Revision never falls, and no entry is ever replaced by an older one. A
//     balancer that has once acted on a table of routes never goes back.
//   - Revisions are joined ones (package revision): when the store comes back from
//     a copy, what it says is later than all before, and what the copy lacks is held
//     until it has been written again (eras.go).
//   - An entry that was removed stays as a tombstone for Retention, together
//     with what it last held, because open flows still have to reach a back end
//     whose entry has gone.
//   - A batch that is not complete is only applied by a directory that asked
//     for it: it holds the changes after a revision that the asker knows.
//
// The package does no I/O and starts no goroutine; time is an argument.
package directory
