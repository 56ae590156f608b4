// Package core implements the control state machine of one node, without I/O.
//
// The embedding program feeds inputs into a Core (messages from peers, ticks,
// lookups by the traffic goroutines, documents read from the store, the state
// desired by the operators and the platform) and collects outputs with
// Core.Ready: messages to send, a view for the traffic goroutines, results of
// their lookups, and writes to attempt at the store. Time is a number of
// milliseconds passed with each input. A Core is used by one goroutine; it
// starts none and reads no clock. The same code runs in a node, in the emulator
// and in the property tests.
//
// # Shared state
//
// A group of nodes serves a set of addresses. The group's EpochDocument in the
// store, changed by compare-and-swap, holds the settled epoch and at most one
// pending epoch. An epoch consists of a rule (see package rule) for every
// service and the list of members that keep records while it is in force. Any
// node may write the document; a back-off ordered by rank keeps the number of
// concurrent writers low. There is no leader.
//
// # Flow affinity
//
// Every packet of a flow must reach the same back end. Most flows need no
// record, because every node computes the same back end from the rule. When the
// rule changes, only the flows on which the old and the new rule differ (the
// displaced flows) need one. Those flows are bound: recorded at two members,
// the keepers of the flow, where the first writer wins. A node passes through
// the phases none, learned, active and flipped, and enters the next phase only
// when every participant has completed the previous one. Two nodes are
// therefore never more than one phase apart:
//
//   - none/learned: a node in none opens flows according to the settled rule
//     without binding them; a node in learned binds the same choice. They agree.
//   - learned/active: both bind at the keepers, so the first writer wins. A flow
//     opened without binding in none is recorded before the node that opened it
//     completes learned, if its SYN may still be retransmitted (SynRetryTime).
//   - active/flipped: a node completes active only when every flow it holds
//     that differs from the pending rule is recorded. From then on, a flow
//     without a record follows the pending rule.
//   - flipped/none of the next epoch: a node completes flipped when it has
//     received the keepers' filters of displaced flows. Then the document is
//     settled, and flows that match no filter follow the rule without a lookup.
//
// # Leaving marks
//
// A leaving back end must stop receiving new flows within seconds even when the
// store is unavailable. A leaving mark spreads from node to node and acts like
// a pending epoch that stays open: the flows it affects are bound at the
// keepers. Marks are only ever added; only a settled epoch removes them.
//
// # Contact lease and fencing
//
// A node may trust its view for FencingTime after it sent a heartbeat that a
// majority of the members has confirmed. A member that a majority has not heard
// from for longer than that may be fenced by a write to the document: the other
// nodes no longer wait for it. The two majorities share at least one node, so a
// fenced node has stopped trusting its view. It forwards the flows in its own
// table, and looks up or drops the rest until it has rejoined.
package core
