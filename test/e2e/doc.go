// Package e2e holds the end-to-end tests. They run nodes, balancers and simulators of the
// platform as separate processes on loopback addresses, send real TCP traffic from callers
// to back ends, and inject faults by signals and through the simulators' control endpoints.
// The binaries come from "make build"; INDIGOBARROW_BIN names their directory if it isn't bin.
package e2e
