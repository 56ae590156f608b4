package replication

import (
	"net"
	"time"
)

// idleTimeout is the time without traffic after which the connection of a follower is
// closed, together with a call that may still wait on it. A live follower calls again
// after FollowWait and the time for a reply; the rest allows for hosts that stall while
// they build a table.
const idleTimeout = 5 * time.Second

// idleTimeoutListener accepts connections whose reads and writes fail after idleTimeout
// without progress.
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
