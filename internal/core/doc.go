// Package core is the control state of one node, without I/O.
//
// The embedding program steps inputs into a Core (messages of peers, ticks,
// questions of the traffic goroutines, what the store says, what the operators
// and the platform want) and takes outputs back with Ready: messages to send,
// a view for the traffic goroutines, answers to their questions, writes to try
// at the store. Time is a number of milliseconds handed in with each input. A
// Core is used by one goroutine; it starts none and reads no clock. The same
// code runs in a node, in the emulator and in the property tests.
//
// # What is agreed, and where
//
// A group of nodes serves a set of addresses. The group's EpochDocument in the
// store, changed by compare-and-swap, holds the settled epoch and at most one
// pending epoch. An epoch is a rule (see package rule) for every service and
// the list of members that keep records while it holds. Any node may write the
// document; ranked back-off keeps the writers few. There is no leader.
//
// # Why a flow meets one back end
//
// Most flows need no record: every node computes the same back end from the
// rule. When the rule changes, only the flows on which the old and the new
// rule differ matter, and those are bound: written at two keepers, first
// writer wins. A node passes through the phases none, learned, active and
// flipped; it enters the next phase only when every participant has completed
// the one before. So two nodes are never more than one phase apart:
//
//   - none/learned: a node in none opens flows by the settled rule unbound; a
//     node in learned binds the same choice. They agree.
//   - learned/active: both bind at the keepers, so the first writer wins. What
//     was opened unbound in none is recorded before its opener completes
//     learned, if its SYN may still be sent again (SynRetryTime).
//   - active/flipped: a node completes active only when every flow it holds
//     that differs from the pending rule is recorded. So from then on, a flow
//     without a record follows the pending rule.
//   - flipped/none of the next: a node completes flipped when it holds the
//     keepers' filters of displaced flows; then the document is settled, and
//     flows in no filter follow the rule without a question.
//
// # Leaving marks
//
// A back end that leaves must get no new flow within seconds even when the
// store is out. A leaving mark spreads from node to node and acts like a
// pending epoch that stays open: flows on which it matters are bound at the
// keepers. Marks are only added; only a settled epoch ends them.
//
// # Contact
//
// A node may trust its view for FencingTime after a majority of the members
// has confirmed a heartbeat of it. A member that a majority has not heard for
// longer than that may be fenced, by a write to the document: the others no
// longer wait for it. The two majorities share a node, hence a fenced node has
// stopped trusting its view; it forwards what its own table holds and asks or
// drops the rest until it has joined again.
package core
