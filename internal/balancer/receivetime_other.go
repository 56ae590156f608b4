//go:build !linux

package balancer

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// receiveTimeSize is 0, since no receive times are reported.
var receiveTimeSize = 0

func enableReceiveTimes(*net.UDPConn) error {
	return errors.New("receive times are not available on this operating system")
}

func receiveTime([]byte) time.Time { return time.Time{} }
