// Package balancer runs a balancer on a network that carries flow tokens.
//
// Two goroutines do the work. The traffic goroutine reads datagrams, decides
// each by an immutable tokenroute.Table and its own short memory, and sends it
// on. The control goroutine owns the directory and the replication core; it
// takes news from the store and from peers as control events, builds a new
// table when the directory has changed, and answers the balancers that follow
// this one. Calls to the store and to peers run in goroutines of their own and
// never touch state: what they bring is an event.
//
// The balancer holds no request and no agreement about flows, so a planned stop
// only has to wait until the routers send elsewhere.
package balancer
