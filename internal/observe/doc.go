// Package observe derives facts about pools and back ends from the packets that a
// balancer sees. The package does no I/O: it takes numbers and times, and returns
// facts.
//
// A layer-4 balancer sees the packets of clients only, since back ends answer
// clients directly (direct server return). From these packets it knows when a
// request passed, when its client first acknowledged a part of the response, and
// how long the response was, since the client's acknowledgements count its bytes.
// That gives the number of requests in flight (InFlightAverage), and shows whether
// the responses of one back end differ from those of the others of its pool
// (ResponseCounts, Compare).
//
// Invariants:
//
//   - Nothing here depends on the content of responses, or on figures that an operator
//     would have to configure: a back end is compared with the others of its pool.
//   - Few observations make no finding: Health is zero unless the difference exceeds
//     random variation.
//   - Old observations decay, so that the recovery of a back end is detected.
//
// # Usage
//
// The goroutine that forwards packets owns the observations. It periodically makes
// a Summary, which is immutable and is passed to the goroutines that compute shares.
package observe
