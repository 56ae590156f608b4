// Package e2e holds the tests that drive the separate processes: nodes and
// stand-ins on loopback, real TCP from the callers to the back ends, and faults
// by signals and by the stand-ins' control endpoints.
package e2e
