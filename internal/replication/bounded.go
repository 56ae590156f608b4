package replication

import (
	"net"
	"time"
)

// idleTimeout is the silence after which a follower's connection is given up,
// with the call that may still wait on it. One that lives calls again after
// FollowWait and the time for an answer; the rest is for machines that stand still
// while they build a table.
const idleTimeout = 5 * time.Second

// idleTimeoutListener takes connections that are given up when they bring nothing, or
// take nothing, for idleTimeout.
type idleTimeoutListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l idleTimeoutListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleTimeoutConn{accepted}, nil
}

type idleTimeoutConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c idleTimeoutConn) Read(into []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}

// Write implements net.Conn.
func (c idleTimeoutConn) Write(from []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(from)
}
