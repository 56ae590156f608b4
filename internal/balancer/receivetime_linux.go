package balancer

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// receiveTimeSize is the size in bytes of the control message that carries the time at
// which the kernel received a datagram.
var receiveTimeSize = syscall.CmsgSpace(int(unsafe.Sizeof(syscall.Timespec{})))

// enableReceiveTimes makes the kernel report when it received each datagram.
func enableReceiveTimes(socket *net.UDPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return failure
}

// receiveTime returns the time at which the kernel received a datagram, by the time of
// day, from the control messages that came with it. It returns the zero time if they do
// not tell.
func receiveTime(control []byte) time.Time {
	headerSize := syscall.CmsgLen(0)
	if len(control) < headerSize+int(unsafe.Sizeof(syscall.Timespec{})) {
		return time.Time{}
	}
	header := (*syscall.Cmsghdr)(unsafe.Pointer(&control[0]))
	if header.Level != syscall.SOL_SOCKET || header.Type != syscall.SO_TIMESTAMPNS {
		return time.Time{}
	}
	seconds := int64(binary.NativeEndian.Uint64(control[headerSize:]))
	return time.Unix(seconds, int64(binary.NativeEndian.Uint64(control[headerSize+8:])))
}
