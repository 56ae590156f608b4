// Package balancer runs a load balancer on a network whose packets carry flow tokens.
//
// Two goroutines do the work. The traffic goroutine reads datagrams, decides each one by
// an immutable tokenroute.Table and its own short-lived flow cache, and forwards it. The
// control goroutine owns the directory and the replication core. It receives updates from
// the store and from peers as control events, builds a new table when the directory has
// changed, and answers the balancers that follow this one. Calls to the store and to peers
// run in goroutines of their own and never touch shared state: each publishes its result
// as an event. Package replication describes which balancer reads the store and which one
// each of the others follows.
//
// The balancer holds no request and does not negotiate flows with other balancers, so a
// planned stop only has to wait until the routers send packets elsewhere.
//
// A program opens the sockets with New, calls Run to serve and Reload to follow the
// settings file, and calls Stop before it cancels Run's context.
package balancer
